package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// fakeStore accepts configuration edits and checks confirmations against the
// times at which versions were accepted.
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

// poll is a store call in flight.
type poll struct {
	began   time.Time
	version uint64
}

// pollTime is the duration of a store call.
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

// tick runs the store calls and the edits of a host, then checks its confirmations.
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

// edit follows the required order: announce the edit as in flight, have it
// accepted, set the new version, then clear the announcement.
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

// check records a confirmation of a version for a time after a newer one was accepted.
func (s *fakeStore) check(h *host) {
	for version := uint64(1); version <= s.version; version++ {
		next, superseded := s.acceptedAt[version+1]
		for kind, c := range map[string]Confirmation{"relayed": h.node.RelayedConfirmation(version), "all peers": h.node.PeersConfirmation(version)} {
			if c.At.IsZero() {
				continue
			}
			s.checked++
			if superseded && c.At.After(next) && s.problem == "" {
				s.problem = fmt.Sprintf("%s lists version %d as confirmed by %s at a time %s after version %d was accepted",
					h.id, version, kind, c.At.Sub(next), version+1)
			}
		}
	}
}

// falseConfirmation runs random faults and edits and returns the first false confirmation.
func falseConfirmation(t *testing.T, seed uint64, inject func(*network)) string {
	w := newFormedNetwork(t, 6, 2, seed, inject)
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

// Guards against false confirmations, which would keep a withdrawn key valid:
// relayed ones that ignore the delay of the datagram, and those of all peers
// that miss an edit or an instance.
func TestConfirmationsAreTrue(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		if problem := falseConfirmation(t, seed, nil); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	injections := map[string]func(*Message){
		"age of the confirmation not sent": func(m *Message) { m.Digest.StoreAge = min(m.Digest.StoreAge, 0) },
		"edits in flight and their versions not sent": func(m *Message) {
			m.Digest.EditInFlight = false
			m.Digest.KnownVersion = 1
		},
	}
	for name, alter := range injections {
		found := ""
		for seed := uint64(0); seed < 10 && found == ""; seed++ {
			found = falseConfirmation(t, seed, func(w *network) { w.alter = alter })
		}
		t.Logf("injected fault: %s: %s", name, found)
		if found == "" {
			t.Errorf("injected fault: %s: not detected", name)
		}
	}
}

// freshBound is the age of the latest confirmation at which requests with a key are refused.
const freshBound = 8 * time.Second

// oldestConfirmationAge returns the highest age of the latest confirmation of
// version 1 among all live instances.
func oldestConfirmationAge(w *network) time.Duration {
	oldest := time.Duration(0)
	for _, h := range w.hosts {
		if !h.up || h.paused {
			continue
		}
		at := latest(h.node.self.storeConfirmedAt, latest(h.node.RelayedConfirmation(1).At, h.node.PeersConfirmation(1).At))
		oldest = max(oldest, w.now.Sub(at))
	}
	return oldest
}

// Guards against a store outage that stops instances although they reach each
// other, and against instances that continue although an unreachable one may
// have accepted an edit.
func TestFreshnessInOutages(t *testing.T) {
	t.Parallel()
	all := func(*host) bool { return false }
	dead := func(w *network) { w.kill(w.hosts[1]) }
	cases := []struct {
		name    string
		up      func(h *host) bool
		fault   func(w *network)
		stopped bool
		// injectFault makes the case fail with injectAt instances, 8 if it is not set.
		injectFault func(w *network)
		injectAt    int
	}{
		{name: "store down for all", up: all, fault: func(*network) {},
			injectFault: withConfig(func(c *Config) { c.OutageThreshold = time.Hour }), injectAt: 40},
		{name: "store down for all and 20 % loss", up: all, fault: func(w *network) { w.loss = 0.2 },
			injectFault: withConfig(func(c *Config) { c.OutageRetryInterval = 5 * time.Second }), injectAt: 40},
		{name: "store down for one region", up: func(h *host) bool { return h.region == "r0" }, fault: func(*network) {},
			injectFault: func(w *network) { w.alter = func(m *Message) { m.Digest.StoreAge, m.Digest.KnownHash = NoStoreAge, 1 } }},
		{name: "store reachable for one instance", up: func(h *host) bool { return h.id == "i00" }, fault: func(*network) {},
			injectFault: func(w *network) { w.alter = func(m *Message) { m.Digest.StoreAge, m.Digest.KnownHash = NoStoreAge, 1 } }},
		{name: "store down and one instance dead without proof", up: all, fault: dead, stopped: true,
			injectFault: func(w *network) { w.onTick = proveAll(w) }},
		{name: "store down and one instance proven dead", up: all, fault: func(w *network) { dead(w); w.onTick = proveAll(w) }},
		{name: "store down and regions cut off from each other", up: all, fault: func(w *network) { w.cut = cutBetweenRegions }, stopped: true,
			injectFault: func(w *network) { w.onTick = proveCut }},
	}
	for _, c := range cases {
		for _, count := range []int{3, 8, 40} {
			check := func(inject func(*network)) string { return runOutage(t, count, c.up, c.fault, c.stopped, inject) }
			if problem := check(nil); problem != "" {
				t.Errorf("%d instances, %s: %s", count, c.name, problem)
			}
			if c.injectFault != nil && count == cmp.Or(c.injectAt, 8) && check(c.injectFault) == "" {
				t.Errorf("%d instances, %s: the injected fault was not detected", count, c.name)
			}
		}
	}
}

// proveAll returns a tick function with which each host records killed hosts as proven dead.
func proveAll(w *network) func(*host) {
	return func(h *host) {
		for _, other := range w.hosts {
			if !other.up {
				h.node.MarkProvenDead(other.id, other.node.self.record.Incarnation)
			}
		}
	}
}

// proveCut records the members that a host lists as dead as proven dead.
func proveCut(h *host) {
	for _, m := range h.node.members {
		if m.State == StateDead {
			h.node.MarkProvenDead(m.ID, m.Incarnation)
		}
	}
}

func runOutage(t *testing.T, count int, up func(*host) bool, fault func(*network), stopped bool, inject func(*network)) string {
	w := newFormedNetwork(t, count, 2, 3, inject)
	for _, h := range w.hosts {
		h.node.SetConfigVersion(1)
	}
	w.run(10 * time.Second)
	w.storeDown = func(h *host) bool { return !up(h) }
	if w.onTick != nil {
		// onTick replaces the store confirmations of the network, so this sets the first ones.
		for _, h := range w.hosts {
			h.node.StoreConfirmed(1, w.now)
		}
	}
	fault(w)
	fresh := true
	end := w.now.Add(time.Minute)
	for w.now.Before(end) {
		w.run(100 * time.Millisecond)
		fresh = oldestConfirmationAge(w) <= freshBound
		if !fresh && !stopped {
			return fmt.Sprintf("a confirmation was %s old after %s", oldestConfirmationAge(w), time.Minute-end.Sub(w.now))
		}
	}
	if fresh && stopped {
		return "all instances continue"
	}
	return ""
}

// Guards against a confirmation by all peers while some of them know an instance
// that this one does not know and that may be accepting an edit.
func TestUnknownInstanceBlocksConfirmation(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		w := newFormedNetwork(t, 3, 1, 1, nil)
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
		confirmed := w.hosts[2].node.PeersConfirmation(1).At.After(began)
		if confirmed == unknown {
			t.Errorf("instance known only to the peers: %v, confirmed: %v", unknown, confirmed)
		}
	}
}
