package membership

import (
	"fmt"
	"testing"
	"time"
)

// formed returns a network whose instances all hold each other for alive.
func formed(t *testing.T, count, regions int, seed uint64, tweak func(*Config)) *network {
	t.Helper()
	w := newNetwork(t, count, regions, seed)
	w.tweak = tweak
	w.startAll()
	if _, ok := w.until(30*time.Second, w.agree); !ok {
		t.Fatalf("seed %d: instances did not find each other: %s", seed, w.disagreement())
	}
	w.falseDeath = 0
	return w
}

func cutBetweenRegions(a, b *host) bool { return a.region != b.region }

// faultCase is one fault, or two together, and its end.
type faultCase struct {
	name  string
	begin func(w *network)
	end   func(w *network)
	// falseDeaths tells that live instances may be declared dead during the
	// fault, because some of them cannot be reached.
	falseDeaths bool
	// during is checked at the end of the fault.
	during func(w *network) string
}

func faultCases() []faultCase {
	lossy := func(w *network) { w.loss = 0.2 }
	heal := func(w *network) { w.loss, w.duplicate, w.jitter, w.cut = 0, 0, 0, nil }
	return []faultCase{
		{name: "lost datagrams", begin: lossy, end: heal},
		{name: "duplicated datagrams", begin: func(w *network) { w.duplicate = 0.5 }, end: heal},
		{name: "reordered datagrams", begin: func(w *network) { w.jitter = 250 * time.Millisecond }, end: heal},
		{
			name:  "paused instance",
			begin: func(w *network) { w.pause(w.hosts[2]) },
			end:   func(w *network) { w.resume(w.hosts[2]) },
			during: func(w *network) string {
				if !w.allKnow(w.hosts[2].id, func(m *member) bool { return m.State == StateDead }) {
					return "a paused instance was not declared dead"
				}
				return ""
			},
		},
		{
			name: "one direction cut between two instances",
			begin: func(w *network) {
				w.cut = func(a, b *host) bool { return a == w.hosts[0] && b == w.hosts[1] }
			},
			end: heal,
		},
		{
			name:        "an instance that receives nothing",
			begin:       func(w *network) { w.cut = func(_, b *host) bool { return b == w.hosts[1] } },
			end:         heal,
			falseDeaths: true,
			during:      onlyDead(1),
		},
		{
			name:        "an instance whose datagrams are all lost",
			begin:       func(w *network) { w.cut = func(a, _ *host) bool { return a == w.hosts[1] } },
			end:         heal,
			falseDeaths: true,
			during:      onlyDead(1),
		},
		{
			name:        "cut between regions",
			begin:       func(w *network) { w.cut = cutBetweenRegions },
			end:         heal,
			falseDeaths: true,
		},
		{
			name:  "restart with the same address",
			begin: func(w *network) { w.kill(w.hosts[1]) },
			end:   func(w *network) { w.start(w.hosts[1]) },
		},
		{
			name:  "quick restart with the same address",
			begin: func(w *network) { w.kill(w.hosts[1]); w.run(300 * time.Millisecond); w.start(w.hosts[1]) },
			end:   func(*network) {},
		},
		{
			name:        "cut between regions and lost datagrams",
			begin:       func(w *network) { w.cut = cutBetweenRegions; lossy(w) },
			end:         heal,
			falseDeaths: true,
		},
		{
			name:  "paused instance and death of another",
			begin: func(w *network) { w.pause(w.hosts[2]); w.kill(w.hosts[0]) },
			end:   func(w *network) { w.resume(w.hosts[2]) },
		},
		{
			name:  "restart during loss",
			begin: func(w *network) { lossy(w); w.kill(w.hosts[0]); w.run(time.Second); w.start(w.hosts[0]) },
			end:   heal,
		},
		{
			name:        "restart during a cut between regions",
			begin:       func(w *network) { w.cut = cutBetweenRegions; w.run(5 * time.Second); w.kill(w.hosts[1]) },
			end:         func(w *network) { w.start(w.hosts[1]); heal(w) },
			falseDeaths: true,
		},
	}
}

// onlyDead checks that no instance but one was declared dead by the others.
func onlyDead(index int) func(w *network) string {
	return func(w *network) string {
		cut := w.hosts[index]
		for _, h := range w.hosts {
			for _, m := range h.node.members {
				if h != cut && m.State == StateDead && m.ID != cut.id {
					return fmt.Sprintf("%s holds the reachable %s for dead", h.id, m.ID)
				}
			}
		}
		if !w.allKnow(cut.id, func(m *member) bool { return m.State == StateDead }) {
			return "the unreachable instance was not declared dead"
		}
		return ""
	}
}

// Guards against live instances that stay declared dead after a fault, and
// against deaths declared of instances that could be reached all the time.
func TestFaultsHeal(t *testing.T) {
	for _, count := range []int{8, 40} {
		for _, c := range faultCases() {
			t.Run(fmt.Sprintf("%d instances, %s", count, c.name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(5) {
					w := formed(t, count, 2, seed, nil)
					c.begin(w)
					w.run(30 * time.Second)
					if c.during != nil {
						if problem := c.during(w); problem != "" {
							t.Errorf("seed %d: %s", seed, problem)
						}
					}
					if w.falseDeath > 0 && !c.falseDeaths {
						t.Errorf("seed %d: %d deaths were declared of reachable instances", seed, w.falseDeath)
					}
					c.end(w)
					if _, ok := w.until(40*time.Second, w.agree); !ok {
						t.Errorf("seed %d: 40 s after the fault %s", seed, w.disagreement())
					}
				}
			})
		}
	}
}

// Guards against detection that takes longer than takeovers may wait.
func TestDetectionTime(t *testing.T) {
	cases := []struct {
		count, regions int
		bound          time.Duration
	}{
		{3, 3, 6 * time.Second},
		{8, 3, 7 * time.Second},
		{40, 2, 8 * time.Second},
	}
	for _, c := range cases {
		var slowest, sum time.Duration
		const runs = 20
		for seed := range uint64(runs) {
			w := formed(t, c.count, c.regions, seed, nil)
			w.run(10 * time.Second)
			victim := w.hosts[int(seed)%c.count]
			w.kill(victim)
			took, ok := w.until(c.bound, func() bool {
				return w.allKnow(victim.id, func(m *member) bool { return m.State == StateDead })
			})
			if !ok {
				t.Errorf("%d instances, seed %d: death not known by all within %s", c.count, seed, c.bound)
			}
			slowest, sum = max(slowest, took), sum+took
		}
		t.Logf("%d instances: death known by all after %s on average, %s at most of %d runs", c.count, sum/runs, slowest, runs)
	}
}

// Guards against loss that has reachable instances declared dead.
func TestFalsePositivesUnderLoss(t *testing.T) {
	for _, count := range []int{3, 8, 40} {
		total := 0
		for seed := range uint64(5) {
			w := formed(t, count, 2, seed, nil)
			w.loss = 0.2
			w.run(2 * time.Minute)
			total += w.falseDeath
		}
		t.Logf("%d instances, 20 %% loss, 10 minutes in all: %d false deaths", count, total)
		if total > 0 {
			t.Errorf("%d instances: %d false deaths, want none", count, total)
		}
	}
}
