package confsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

func makeUnavailable(f *store.Faulty) { f.Inject(store.Fault{Action: store.Refuse}) }

// Guards against an instance that accepts keyed work without a confirmed configuration, or rejects it
// although the store or all of its peers can confirm the configuration.
func TestFreshUnderFaults(t *testing.T) {
	all := []int{0, 1, 2}
	cases := []struct {
		name string
		// fault is called after 5 s. f[i] is the store connection of instance i.
		fault func(m *mesh, f []*store.Faulty)
		// fresh lists the instances that are fresh 12 s later.
		fresh []int
	}{
		{"no fault", func(*mesh, []*store.Faulty) {}, all},
		{"store down for all", func(_ *mesh, f []*store.Faulty) { makeUnavailable(f[0]); makeUnavailable(f[1]); makeUnavailable(f[2]) }, all},
		{"store hangs for all", func(_ *mesh, f []*store.Faulty) {
			for _, one := range f {
				one.Inject(store.Fault{Action: store.Hang})
			}
		}, all},
		{"store down for one, which has peers", func(_ *mesh, f []*store.Faulty) { makeUnavailable(f[0]) }, all},
		{"cut off from the store and one of two peers that reach it", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[0])
			m.setCut(0, 1, true)
		}, all},
		{"cut off from the store and all peers", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[0])
			m.setCut(0, 1, true)
			m.setCut(0, 2, true)
		}, []int{1, 2}},
		{"store down for all, one cut off", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[0])
			makeUnavailable(f[1])
			makeUnavailable(f[2])
			m.setCut(0, 1, true)
			m.setCut(0, 2, true)
		}, nil},
		{"store down for all, two of three cut off from each other", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[0])
			makeUnavailable(f[1])
			makeUnavailable(f[2])
			m.setCut(0, 1, true)
		}, []int{2}},
		{"store down for all, the cut off one proven dead", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[0])
			makeUnavailable(f[1])
			makeUnavailable(f[2])
			m.mu.Lock()
			defer m.mu.Unlock()
			m.nodes[0].dead = true
		}, []int{1, 2}},
		{"store down for all, an edit in flight", func(m *mesh, f []*store.Faulty) {
			f[0].Inject(store.Fault{Action: store.LoseRequest, Kinds: []store.Kind{store.CompareAndSwap}})
			if _, err := m.nodes[0].Apply(context.Background(), setTeamEdit("x", 0, 1)); err == nil {
				panic("an edit whose request was lost was reported as accepted")
			}
			makeUnavailable(f[0])
			makeUnavailable(f[1])
			makeUnavailable(f[2])
		}, nil},
		// All three agree on the version, so their statements confirm it.
		{"store returns stale reads to all", func(m *mesh, f []*store.Faulty) {
			for _, one := range f {
				one.Inject(store.Fault{Action: store.Stale})
			}
			mustApply(m.nodes[1].Sync, setTeamEdit("x", 0, 1))
		}, all},
		{"store returns stale reads to one that is cut off", func(m *mesh, f []*store.Faulty) {
			time.Sleep(4 * time.Second)
			mustApply(m.nodes[1].Sync, setTeamEdit("x", 0, 1))
			time.Sleep(100 * time.Millisecond)
			f[0].Inject(store.Fault{Action: store.Stale})
			m.setCut(0, 1, true)
			m.setCut(0, 2, true)
			mustApply(m.nodes[1].Sync, setTeamEdit("x", 1, 2))
		}, []int{1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				base := store.New()
				var f []*store.Faulty
				m := newMesh(3, func(int) port.Store {
					f = append(f, store.NewFaulty(base))
					return f[len(f)-1]
				})
				m.start(ctx)
				time.Sleep(5 * time.Second)
				c.fault(m, f)
				time.Sleep(12 * time.Second)
				want := make(map[int]bool)
				for _, i := range c.fresh {
					want[i] = true
				}
				for i, n := range m.nodes {
					if got := n.Fresh(); got != want[i] && !n.dead {
						age, _ := n.Age()
						t.Errorf("instance %d: fresh is %v, age %s", i, got, age)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an age counted from the response that confirmed the configuration: an instance
// must fail closed 8 s after the confirmed time, which is when that call began.
func TestFailsClosedAtBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := store.NewFaulty(store.New())
		i := newInstance(f, nil)
		i.start(ctx)
		time.Sleep(5 * time.Second)
		makeUnavailable(f)
		// The long poll in progress began before the fault and still completes.
		time.Sleep(pollLength)
		confirmed, _ := i.freshness.times()
		time.Sleep(time.Until(confirmed.Add(8 * time.Second)))
		if !i.Fresh() {
			t.Fatal("not fresh at the bound")
		}
		time.Sleep(time.Nanosecond)
		if i.Fresh() || i.Ready() || i.CheckFresh() == nil {
			t.Fatal("fresh beyond the bound")
		}
		f.Clear()
		time.Sleep(2 * time.Second)
		if !i.Fresh() {
			t.Fatal("not fresh 2 s after the store recovered")
		}
		cancel()
		synctest.Wait()
	})
}

// pollLength is the duration of a long poll of sharedwatch.
const pollLength = 2 * time.Second

// Guards against a peer's confirmation that is counted for another version or with a wrong age.
func TestRelayedConfirmation(t *testing.T) {
	base := time.Now()
	cases := []struct {
		name      string
		statement Statement
		confirmed time.Time // zero where nothing is confirmed
	}{
		{"same version", Statement{Version: 1, Applied: 1, StoreConfirmed: true, StoreAge: 3 * time.Second}, base.Add(-3 * time.Second)},
		{"lower version", Statement{Version: 0, Applied: 0, StoreConfirmed: true}, time.Time{}},
		{"higher version", Statement{Version: 2, Applied: 2, StoreConfirmed: true}, time.Time{}},
		{"knows a higher version", Statement{Version: 2, Applied: 1, StoreConfirmed: true}, time.Time{}},
		{"not confirmed by the store", Statement{Version: 1, Applied: 1}, time.Time{}},
		{"negative age", Statement{Version: 1, Applied: 1, StoreConfirmed: true, StoreAge: -time.Second}, time.Time{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(store.New(), nil)
			doc, _, err := confdoc.Apply(confdoc.Clone(emptyDoc), setTeamEdit("a", 0, 1))
			if err != nil {
				t.Fatal(err)
			}
			i.adopt(doc)
			i.ReceiveStatement(PeerStatement{Instance: "p", PingSent: base, Statement: c.statement})
			confirmed, _ := i.freshness.times()
			if !confirmed.Equal(c.confirmed) {
				t.Fatalf("confirmed %v, want %v", confirmed, c.confirmed)
			}
		})
	}
}

// Guards against a confirmation by peers later than the oldest acknowledged ping, or while one of them
// has not acknowledged, knows a newer version or has an edit in flight.
func TestConfirmedByAll(t *testing.T) {
	now := time.Now()
	said := func(ago time.Duration, version uint64, flight bool) PeerStatement {
		return PeerStatement{PingSent: now.Add(-ago), Statement: Statement{Version: version, Applied: version, EditInFlight: flight}}
	}
	cases := []struct {
		name       string
		statements []PeerStatement
		at         time.Time
		ok         bool
	}{
		{"no other instance", nil, now, true},
		{"oldest ping counts", []PeerStatement{said(time.Second, 4, false), said(3*time.Second, 4, false)}, now.Add(-3 * time.Second), true},
		{"a peer with a lower version", []PeerStatement{said(time.Second, 3, false)}, now.Add(-time.Second), true},
		{"a peer with a higher version", []PeerStatement{said(time.Second, 5, false)}, time.Time{}, false},
		{"a peer with an edit in flight", []PeerStatement{said(time.Second, 4, true)}, time.Time{}, false},
		{"a peer that never acknowledged", []PeerStatement{said(time.Second, 4, false), {}}, time.Time{}, false},
	}
	for _, c := range cases {
		if at, ok := confirmedByAll(c.statements, 4, now); ok != c.ok || !at.Equal(c.at) {
			t.Errorf("%s: got %v %v", c.name, at, ok)
		}
	}
}

// Guards against a new instance that does not become ready from its peers while the store is down, or
// that becomes ready before it knows the set of instances.
func TestReadyFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		base := store.New()
		var f []*store.Faulty
		m := newMesh(3, func(int) port.Store {
			f = append(f, store.NewFaulty(base))
			return f[len(f)-1]
		})
		m.nodes[2].dead = true
		m.nodes[2].peersUnknown = true
		for _, n := range m.nodes[:2] {
			n.start(ctx)
			go n.ping(ctx)
		}
		time.Sleep(time.Second)
		mustApply(m.nodes[0].Sync, setTeamEdit("a", 0, 1))
		for _, one := range f {
			makeUnavailable(one)
		}
		time.Sleep(10 * time.Second)
		fresh := m.nodes[2]
		fresh.start(ctx)
		time.Sleep(5 * time.Second)
		if fresh.Ready() {
			t.Fatal("ready without contact")
		}
		m.mu.Lock()
		fresh.dead = false
		m.mu.Unlock()
		go fresh.ping(ctx)
		time.Sleep(2 * time.Second)
		if fresh.Ready() {
			t.Fatal("ready while the set of instances is not known")
		}
		m.mu.Lock()
		fresh.peersUnknown = false
		m.mu.Unlock()
		time.Sleep(2 * time.Second)
		if !fresh.Ready() || fresh.Current().Version() != 1 {
			t.Fatal("not ready from peers")
		}
		cancel()
		synctest.Wait()
	})
}
