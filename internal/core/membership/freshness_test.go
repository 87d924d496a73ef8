package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// fakeStore accepts edits of the configuration and checks confirmations
// against the times at which versions were accepted.
type fakeStore struct {
	w       *network
	version uint64
	// acceptedAt holds the time at which each version was accepted.
	acceptedAt map[uint64]time.Time
	up         func(h *host) bool
	edits      map[*host]time.Time
	polls      map[*host]poll
	editEvery  time.Duration
	problem    string
	checked    int
}

// poll is a store call under way.
type poll struct {
	began   time.Time
	version uint64
}

// pollTime is the time that a store call takes.
const pollTime = 2 * time.Second

func attachStore(w *network, up func(h *host) bool) *fakeStore {
	s := &fakeStore{
		w: w, version: 1, up: up,
		acceptedAt: map[uint64]time.Time{},
		edits:      map[*host]time.Time{},
		polls:      map[*host]poll{},
	}
	w.onTick = s.tick
	return s
}

// tick runs the store calls and the edits of a host, then checks what it holds confirmed.
func (s *fakeStore) tick(h *host) {
	now := s.w.now
	p, polling := s.polls[h]
	switch {
	case !s.up(h):
		delete(s.polls, h)
	case !polling:
		s.polls[h] = poll{began: now, version: s.version}
	case now.Sub(p.began) >= pollTime || p.version != s.version:
		h.node.StoreConfirmed(p.version, p.began)
		h.node.SetConfigVersion(s.version)
		delete(s.polls, h)
	}
	s.edit(h)
	s.check(h)
}

// edit follows the rule of SelfState: the edit is announced, accepted, known, and then over.
func (s *fakeStore) edit(h *host) {
	began, running := s.edits[h]
	switch {
	case running && s.w.now.Sub(began) >= 300*time.Millisecond:
		if s.up(h) {
			s.version++
			s.acceptedAt[s.version] = s.w.now
			h.node.SetConfigVersion(s.version)
		}
		h.node.SetEditInFlight(false)
		delete(s.edits, h)
	case !running && s.editEvery > 0 && s.up(h) && s.w.rng.Int64N(int64(s.editEvery/tickEvery)) == 0:
		h.node.SetEditInFlight(true)
		s.edits[h] = s.w.now
	}
}

// check reports a confirmation of a version at a time when a newer one was accepted.
func (s *fakeStore) check(h *host) {
	for version := uint64(1); version <= s.version; version++ {
		next, superseded := s.acceptedAt[version+1]
		for kind, c := range map[string]Confirmation{"relayed": h.node.Relayed(version), "all peers": h.node.AllPeers(version)} {
			if c.At.IsZero() {
				continue
			}
			s.checked++
			if superseded && c.At.After(next) && s.problem == "" {
				s.problem = fmt.Sprintf("%s holds version %d confirmed by %s at a time %s after version %d was accepted",
					h.id, version, kind, c.At.Sub(next), version+1)
			}
		}
	}
}

// confirmationsAreTrue runs faults and edits at random and returns the first false confirmation.
func confirmationsAreTrue(t *testing.T, seed uint64, plant func(*network)) string {
	w := formed(t, 6, 2, seed, plant)
	onlyRegion := func(h *host) bool { return h.region == "r0" }
	onlyOne := func(h *host) bool { return h == w.hosts[0] }
	s := attachStore(w, func(*host) bool { return true })
	s.editEvery = 30 * time.Second
	for round := range 24 {
		w.loss, w.duplicate, w.jitter = 0.1*float64(round%3), 0.2, time.Duration(round%4)*100*time.Millisecond
		w.cut = nil
		if round%4 == 3 {
			w.cut = cutBetweenRegions
		}
		s.up = []func(*host) bool{onlyRegion, onlyOne, func(*host) bool { return round%2 == 0 }}[w.rng.IntN(3)]
		paused := w.hosts[w.rng.IntN(len(w.hosts))]
		w.run(5 * time.Second)
		w.pause(paused)
		w.run(time.Duration(w.rng.Int64N(int64(10 * time.Second))))
		w.resume(paused)
		w.run(5 * time.Second)
	}
	if s.checked == 0 || s.version < 3 {
		t.Fatalf("seed %d: %d confirmations and %d versions, too few to check", seed, s.checked, s.version)
	}
	return s.problem
}

// Guards against confirmations that would let a withdrawn key work on: relayed
// ones that count the way of the datagram in favor of freshness, and those of
// all peers that overlook an edit or an instance.
func TestConfirmationsAreTrue(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		if problem := confirmationsAreTrue(t, seed, nil); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	plants := map[string]func(*Message){
		"age of the confirmation not stated": func(m *Message) { m.Digest.StoreAge = min(m.Digest.StoreAge, 0) },
		"edits in flight and their versions not stated": func(m *Message) {
			m.Digest.EditInFlight = false
			m.Digest.KnownVersion = 1
		},
	}
	for name, alter := range plants {
		found := ""
		for seed := uint64(0); seed < 10 && found == ""; seed++ {
			found = confirmationsAreTrue(t, seed, func(w *network) { w.alter = alter })
		}
		t.Logf("planted: %s: %s", name, found)
		if found == "" {
			t.Errorf("planted: %s: not found", name)
		}
	}
}

// freshBound is the age at which keyed work is refused.
const freshBound = 8 * time.Second

// stalest returns the largest age of the latest confirmation of version 1 over all live instances.
func stalest(w *network) time.Duration {
	oldest := time.Duration(0)
	for _, h := range w.hosts {
		if !h.up || h.paused {
			continue
		}
		at := latest(h.node.self.storeBegan, latest(h.node.Relayed(1).At, h.node.AllPeers(1).At))
		oldest = max(oldest, w.now.Sub(at))
	}
	return oldest
}

// Guards against an outage of the store that stops instances which hear each
// other, and against instances that work on although one may have missed them.
func TestFreshnessInOutages(t *testing.T) {
	t.Parallel()
	all := func(*host) bool { return false }
	dead := func(w *network) { w.kill(w.hosts[1]) }
	cases := []struct {
		name    string
		up      func(h *host) bool
		fault   func(w *network)
		stopped bool
		// plant makes the case fail with plantAt instances, 8 if it is not set.
		plant   func(w *network)
		plantAt int
	}{
		{name: "store down for all", up: all, fault: func(*network) {},
			plant: tweaked(func(c *Config) { c.OutageAfter = time.Hour }), plantAt: 40},
		{name: "store down for all and 20 % loss", up: all, fault: func(w *network) { w.loss = 0.2 },
			plant: tweaked(func(c *Config) { c.OutageRetry = 5 * time.Second }), plantAt: 40},
		{name: "store down for one region", up: func(h *host) bool { return h.region == "r0" }, fault: func(*network) {},
			plant: func(w *network) { w.alter = func(m *Message) { m.Digest.StoreAge, m.Digest.KnownHash = NoStoreAge, 1 } }},
		{name: "store reachable for one instance", up: func(h *host) bool { return h.id == "i00" }, fault: func(*network) {},
			plant: func(w *network) { w.alter = func(m *Message) { m.Digest.StoreAge, m.Digest.KnownHash = NoStoreAge, 1 } }},
		{name: "store down and one instance dead without proof", up: all, fault: dead, stopped: true,
			plant: func(w *network) { w.onTick = proveAll(w) }},
		{name: "store down and one instance proven dead", up: all, fault: func(w *network) { dead(w); w.onTick = proveAll(w) }},
		{name: "store down and regions cut off from each other", up: all, fault: func(w *network) { w.cut = cutBetweenRegions }, stopped: true,
			plant: func(w *network) { w.onTick = proveCut }},
	}
	for _, c := range cases {
		for _, count := range []int{3, 8, 40} {
			check := func(plant func(*network)) string { return runOutage(t, count, c.up, c.fault, c.stopped, plant) }
			if problem := check(nil); problem != "" {
				t.Errorf("%d instances, %s: %s", count, c.name, problem)
			}
			if c.plant != nil && count == cmp.Or(c.plantAt, 8) && check(c.plant) == "" {
				t.Errorf("%d instances, %s: the planted fault was not found", count, c.name)
			}
		}
	}
}

// proveAll has each host note a proof of death of the killed ones.
func proveAll(w *network) func(*host) {
	return func(h *host) {
		for _, other := range w.hosts {
			if !other.up {
				h.node.ProveDead(other.id, other.node.self.record.Incarnation)
			}
		}
	}
}

// proveCut has each host take the members it holds for dead as proven dead.
func proveCut(h *host) {
	for _, m := range h.node.members {
		if m.State == StateDead {
			h.node.ProveDead(m.ID, m.Incarnation)
		}
	}
}

func runOutage(t *testing.T, count int, up func(*host) bool, fault func(*network), stopped bool, plant func(*network)) string {
	w := formed(t, count, 2, 3, plant)
	for _, h := range w.hosts {
		h.node.SetConfigVersion(1)
	}
	w.run(10 * time.Second)
	w.storeDown = func(h *host) bool { return !up(h) }
	if w.onTick != nil {
		// A planted proof replaces the confirmations of the store.
		for _, h := range w.hosts {
			h.node.StoreConfirmed(1, w.now)
		}
	}
	fault(w)
	fresh := true
	end := w.now.Add(time.Minute)
	for w.now.Before(end) {
		w.run(100 * time.Millisecond)
		fresh = stalest(w) <= freshBound
		if !fresh && !stopped {
			return fmt.Sprintf("a confirmation was %s old after %s", stalest(w), time.Minute-end.Sub(w.now))
		}
	}
	if fresh && stopped {
		return "all instances work on"
	}
	return ""
}

// Guards against a confirmation by all peers while one of them knows an
// instance that this one does not know, which may be accepting an edit.
func TestUnknownInstanceBlocksConfirmation(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		w := formed(t, 3, 1, 1, nil)
		w.run(5 * time.Second)
		began := w.now
		if unknown {
			// The records of the instance reach hosts 0 and 1 but not host 2.
			w.alter = func(m *Message) {
				m.Updates = slices.DeleteFunc(slices.Clone(m.Updates), func(u Update) bool { return m.To == "i02" && u.Record.ID == "new" })
			}
			w.cut = func(a, b *host) bool { return a.id == "new" && b.id == "i02" }
			joiner := &host{id: "new", address: "10.0.0.9:7000", region: "r0"}
			w.hosts = append(w.hosts, joiner)
			w.start(joiner)
			w.run(time.Second)
			began = w.now
		}
		w.run(5 * time.Second)
		confirmed := w.hosts[2].node.AllPeers(1).At.After(began)
		if confirmed == unknown {
			t.Errorf("another instance known to the peers alone: %v, confirmed: %v", unknown, confirmed)
		}
	}
}
