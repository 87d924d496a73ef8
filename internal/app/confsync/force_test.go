package confsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

const cellInstances = 8

// inForceBound is the time within which an edit must be in force at every instance, and keyBound the
// time within which a withdrawn key must be refused everywhere.
const (
	inForceBound = 10 * time.Second
	keyBound     = 8 * time.Second
)

// Guards against a withdrawn key that is still accepted after keyBound, or an edit that is not in force
// after inForceBound at every instance that can learn of it, when instances lose the store or peers.
func TestInForceWithinBounds(t *testing.T) {
	cases := []struct {
		name  string
		fault func(m *mesh, f []*store.Faulty)
		// reached is the number of instances, counted from the first, that can still learn of the edit.
		reached int
	}{
		{"no fault", func(*mesh, []*store.Faulty) {}, cellInstances},
		{"store down for seven", func(_ *mesh, f []*store.Faulty) {
			for _, one := range f[1:] {
				makeUnavailable(one)
			}
		}, cellInstances},
		{"store slow", func(_ *mesh, f []*store.Faulty) {
			for _, one := range f {
				one.Inject(store.Fault{Action: store.Slow, Delay: 800 * time.Millisecond})
			}
		}, cellInstances},
		{"watches hang", func(_ *mesh, f []*store.Faulty) {
			for _, one := range f {
				one.Inject(store.Fault{Action: store.Hang, Kinds: []store.Kind{store.Watch}})
			}
		}, cellInstances},
		{"last one cut off from the store and all peers", func(m *mesh, f []*store.Faulty) {
			makeUnavailable(f[7])
			for i := range 7 {
				m.setCut(7, i, true)
			}
		}, 7},
		{"last four cut off from the store and the others", func(m *mesh, f []*store.Faulty) {
			for i := 4; i < 8; i++ {
				makeUnavailable(f[i])
				for j := range 4 {
					m.setCut(i, j, true)
				}
			}
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				base := store.New()
				var f []*store.Faulty
				m := newMesh(cellInstances, func(int) port.Store {
					f = append(f, store.NewFaulty(base))
					return f[len(f)-1]
				})
				m.start(ctx)
				time.Sleep(time.Second)
				key := testKey(t, "k")
				mustApply(m.nodes[0].Sync, setTeamEdit("a", 0, 1))
				mustApply(m.nodes[0].Sync, grantKeyEdit(t, key, "a"))
				time.Sleep(3 * time.Second)
				c.fault(m, f)
				time.Sleep(500 * time.Millisecond)
				withdraw := confdoc.Edit{ID: "w", WithdrawKey: &confdoc.WithdrawKey{KeyID: key.ID(), Based: 2}}
				accepted := mustApply(m.nodes[0].Sync, withdraw)
				began := time.Now()
				refusedAt := refusedEverywhere(m, key)
				if took := refusedAt.Sub(began); took > keyBound {
					t.Errorf("the key was refused everywhere after %s", took)
				}
				time.Sleep(time.Until(began.Add(inForceBound)))
				for i, n := range m.nodes[:c.reached] {
					if n.Current().Version() < accepted.Version {
						t.Errorf("instance %d is at version %d after %s", i, n.Current().Version(), inForceBound)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// refusedEverywhere waits until no instance accepts the key, for at most about 20 s, and returns
// the time.
func refusedEverywhere(m *mesh, key teamkey.Key) time.Time {
	for range 2000 {
		accepting := false
		for _, n := range m.nodes {
			if _, err := n.Resolve(key); err == nil {
				accepting = true
			}
		}
		if !accepting {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Now()
}

// Guards against an idle cell that exceeds the budget of 4.1 store reads a second, or writes at all.
func TestStoreCallsOfIdleCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := store.NewFaulty(store.New())
		m := newMesh(cellInstances, func(int) port.Store { return f })
		m.start(ctx)
		time.Sleep(10 * time.Second)
		readsBefore, writesBefore := f.TotalCalls()
		time.Sleep(time.Minute)
		reads, writes := f.TotalCalls()
		perSecond := float64(reads-readsBefore) / 60
		t.Logf("%.2f reads/s, %d writes at rest with %d instances", perSecond, writes-writesBefore, cellInstances)
		if perSecond > 4.1 || writes != writesBefore {
			t.Errorf("%.2f reads/s and %d writes in 60 s", perSecond, writes-writesBefore)
		}
		cancel()
		synctest.Wait()
	})
}

// BenchmarkInForce measures, in real time, how long an edit of a table of 260 teams takes until it
// is in force at all 8 instances of a cell.
func BenchmarkInForce(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := store.New()
	m := newMesh(cellInstances, func(int) port.Store { return st })
	importTeams(b, st, 260)
	m.start(ctx)
	waitVersion(m, 1)
	random := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	based := uint64(1)
	for b.Loop() {
		// A random delay varies the phase of the polls at which the edit is made.
		time.Sleep(time.Duration(random.Int64N(int64(700 * time.Millisecond))))
		began := time.Now()
		a := mustApply(m.nodes[random.IntN(cellInstances)].Sync, setTeamEdit("team-000", based, float64(random.IntN(1000)+1)))
		waitVersion(m, a.Version)
		times = append(times, time.Since(began))
		based = a.Version
	}
	slices.Sort(times)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50-ms", 0.5}, {"p99-ms", 0.99}, {"max-ms", 1}} {
		i := min(int(q.at*float64(len(times))), len(times)-1)
		b.ReportMetric(float64(times[i].Microseconds())/1000, q.name)
	}
}

func waitVersion(m *mesh, version uint64) {
	for _, n := range m.nodes {
		for n.Current() == nil || n.Current().Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}

func importTeams(b *testing.B, s port.Store, teams int) {
	b.Helper()
	table := confdoc.Table{Teams: make(map[domain.TeamID]domain.TeamRow), Keys: make(map[string]domain.KeyRow)}
	for i := range teams {
		id := domain.TeamID(fmt.Sprintf("team-%03d", i))
		table.Teams[id] = domain.TeamRow{Share: 1, LimitRequests: 10}
		for k := range 4 {
			table.Keys[fmt.Sprintf("k%d-%d", i, k)] = domain.KeyRow{Team: id, SecretSHA256: testKey(b, "s").SecretSHA256(), Granted: time.Unix(0, 0).UTC()}
		}
	}
	doc, _, err := confdoc.Apply(confdoc.Clone(emptyDoc), confdoc.Edit{ID: "import", Import: &confdoc.Import{Table: table}})
	if err != nil {
		b.Fatal(err)
	}
	data, err := confdoc.Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.CompareAndSwap(context.Background(), ConfigKey, 0, data); err != nil {
		b.Fatal(err)
	}
}

func BenchmarkResolve(b *testing.B) {
	st := store.New()
	i := newInstance(st, nil)
	key := testKey(b, "k")
	mustApply(i.Sync, setTeamEdit("a", 0, 1))
	mustApply(i.Sync, grantKeyEdit(b, key, "a"))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			i.freshness.advance(time.Now())
			if _, err := i.Resolve(key); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
