package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// newFormedNetwork returns a network whose instances all list each other as alive.
func newFormedNetwork(t *testing.T, count, regions int, seed uint64, inject func(*network)) *network {
	t.Helper()
	w := newNetwork(t, count, regions, seed)
	if inject != nil {
		inject(w)
	}
	w.startAll()
	if _, ok := w.until(30*time.Second, w.agree); !ok {
		t.Fatalf("seed %d: instances did not find each other: %s", seed, w.disagreement())
	}
	w.falseDeaths = 0
	return w
}

func cutBetweenRegions(a, b *host) bool { return a.region != b.region }

// faultCase is one fault, or two combined, and how it ends.
type faultCase struct {
	name  string
	begin func(w *network)
	end   func(w *network)
	// length is the duration of the fault, 30 s if it is not set.
	length time.Duration
	// falseDeaths allows live instances to be declared dead during the fault,
	// because some of them cannot be reached.
	falseDeaths bool
	// during returns a problem found just before the fault ends.
	during func(w *network) string
	// injectFault changes the network so that the case fails.
	injectFault func(w *network)
}

func withConfig(tweak func(*Config)) func(*network) {
	return func(w *network) { w.tweak = tweak }
}

// withShortSuspicion asks no relays and leaves too little time for refutations.
var withShortSuspicion = withConfig(func(c *Config) { c.RelayFanout, c.SuspicionMin, c.SuspicionFactor = 0, 200*time.Millisecond, 1 })

func faultCases() []faultCase {
	lossy := func(w *network) { w.loss = 0.2 }
	heal := func(w *network) { w.loss, w.duplicate, w.jitter, w.cut = 0, 0, 0, nil }
	noRevive := withConfig(func(c *Config) { c.DeadPingInterval = time.Hour })
	noHold := withConfig(func(c *Config) { c.IsolationGrace = 0 })
	noSuspicion := withConfig(func(c *Config) { c.SuspicionMin = time.Hour })
	return []faultCase{
		{name: "lost datagrams", begin: lossy, end: heal, injectFault: withShortSuspicion},
		{
			name: "duplicated datagrams", begin: func(w *network) { w.duplicate = 0.5 }, end: heal,
			injectFault: func(w *network) {
				w.alter = func(m *Message) {
					if w.duplicate > 0 {
						*m = Message{From: m.From, Digest: Digest{Incarnation: m.Digest.Incarnation}}
					}
				}
			},
		},
		{
			name: "reordered datagrams", begin: func(w *network) { w.jitter = 250 * time.Millisecond }, end: heal,
			injectFault: withConfig(func(c *Config) {
				c.PingTimeout, c.ProbeTimeout, c.SuspicionMin, c.MaxHealthScore = 50*time.Millisecond, 100*time.Millisecond, 50*time.Millisecond, 0
			}),
		},
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
			injectFault: noSuspicion,
		},
		{
			name: "one direction cut between two instances",
			begin: func(w *network) {
				w.cut = func(a, b *host) bool { return a == w.hosts[0] && b == w.hosts[1] }
			},
			end:         heal,
			injectFault: withConfig(func(c *Config) { c.RelayFanout, c.SuspicionMin, c.SuspicionFactor = 0, 50*time.Millisecond, 1 }),
		},
		{
			name:        "an instance that receives nothing",
			begin:       func(w *network) { w.cut = func(_, b *host) bool { return b == w.hosts[1] } },
			end:         heal,
			length:      15 * time.Second,
			falseDeaths: true,
			during:      checkOnlyDead(1),
			injectFault: noHold,
		},
		{
			name:        "an instance whose datagrams are all lost",
			begin:       func(w *network) { w.cut = func(a, _ *host) bool { return a == w.hosts[1] } },
			end:         heal,
			length:      15 * time.Second,
			falseDeaths: true,
			during:      checkOnlyDead(1),
			injectFault: noHold,
		},
		{
			name:        "cut between regions",
			begin:       func(w *network) { w.cut = cutBetweenRegions },
			end:         heal,
			falseDeaths: true,
			injectFault: noRevive,
		},
		{
			name:        "restart with the same address",
			begin:       func(w *network) { w.kill(w.hosts[1]) },
			end:         func(w *network) { w.start(w.hosts[1]) },
			injectFault: func(w *network) { w.alter = hideRestart },
		},
		{
			name:        "quick restart with the same address",
			begin:       func(w *network) { w.kill(w.hosts[1]); w.run(300 * time.Millisecond); w.start(w.hosts[1]) },
			end:         func(*network) {},
			injectFault: func(w *network) { w.alter = hideRestart },
		},
		{
			name:        "cut between regions and lost datagrams",
			begin:       func(w *network) { w.cut = cutBetweenRegions; lossy(w) },
			end:         heal,
			falseDeaths: true,
			injectFault: noRevive,
		},
		{
			name:        "paused instance and death of another",
			begin:       func(w *network) { w.pause(w.hosts[2]); w.kill(w.hosts[0]) },
			end:         func(w *network) { w.resume(w.hosts[2]) },
			injectFault: noSuspicion,
		},
		{
			name:        "restart during loss",
			begin:       func(w *network) { lossy(w); w.kill(w.hosts[0]); w.run(time.Second); w.start(w.hosts[0]) },
			end:         heal,
			injectFault: withShortSuspicion,
		},
		{
			name:        "restart during a cut between regions",
			begin:       func(w *network) { w.cut = cutBetweenRegions; w.run(5 * time.Second); w.kill(w.hosts[1]) },
			end:         func(w *network) { w.start(w.hosts[1]); heal(w) },
			falseDeaths: true,
			injectFault: func(w *network) { w.alter = hideRestart },
		},
	}
}

// hideRestart removes the records of restarted processes from a message.
func hideRestart(m *Message) {
	m.Updates = slices.Clone(m.Updates)
	for i := range m.Updates {
		if m.Updates[i].Record.Incarnation > uint64(epoch.UnixMilli()) {
			m.Updates[i].Full = false
		}
	}
}

// checkOnlyDead checks that the instance that is cut off declares nobody dead and
// is itself declared dead.
func checkOnlyDead(index int) func(w *network) string {
	return func(w *network) string {
		cut := w.hosts[index]
		for _, h := range w.hosts {
			for _, m := range h.node.members {
				if m.State == StateDead && m.ID != cut.id {
					return fmt.Sprintf("%s lists the reachable %s as dead", h.id, m.ID)
				}
			}
		}
		if !w.allKnow(cut.id, func(m *member) bool { return m.State == StateDead }) {
			return "the unreachable instance was not declared dead"
		}
		return ""
	}
}

// runFault returns what went wrong: live instances still declared dead after the
// fault, or reachable instances declared dead during it.
func runFault(t *testing.T, c faultCase, count int, seed uint64, inject func(*network)) string {
	w := newFormedNetwork(t, count, 2, seed, inject)
	c.begin(w)
	w.run(cmp.Or(c.length, 30*time.Second))
	if c.during != nil {
		if problem := c.during(w); problem != "" {
			return problem
		}
	}
	if w.falseDeaths > 0 && !c.falseDeaths {
		return fmt.Sprintf("reachable instances were declared dead %d times", w.falseDeaths)
	}
	c.end(w)
	if _, ok := w.until(40*time.Second, w.agree); !ok {
		return "40 s after the fault " + w.disagreement()
	}
	return ""
}

// Guards against live instances that stay declared dead after a fault, and
// against instances declared dead although they were reachable throughout.
func TestFaultsHeal(t *testing.T) {
	t.Parallel()
	seeds := map[int]uint64{8: 5, 40: 2}
	for _, count := range []int{8, 40} {
		for _, c := range faultCases() {
			t.Run(fmt.Sprintf("%d instances, %s", count, c.name), func(t *testing.T) {
				for seed := range seeds[count] {
					if problem := runFault(t, c, count, seed, nil); problem != "" {
						t.Errorf("seed %d: %s", seed, problem)
					}
				}
			})
		}
	}
}

// Guards against fault cases that pass even if the node is broken.
func TestFaultCasesDetectInjectedFault(t *testing.T) {
	t.Parallel()
	for _, c := range faultCases() {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				if problem := runFault(t, c, 8, seed, c.injectFault); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("the injected fault was not detected")
		})
	}
}

// detection returns the time until all instances list a killed one as dead.
func detection(t *testing.T, count, regions int, seed uint64, inject func(*network)) time.Duration {
	w := newFormedNetwork(t, count, regions, seed, inject)
	w.run(10 * time.Second)
	victim := w.hosts[int(seed)%count]
	w.kill(victim)
	took, _ := w.until(time.Minute, func() bool {
		return w.allKnow(victim.id, func(m *member) bool { return m.State == StateDead })
	})
	return took
}

// Guards against failure detection that takes longer than a takeover may wait.
func TestDetectionTime(t *testing.T) {
	t.Parallel()
	cases := []struct {
		count, regions int
		bound          time.Duration
	}{
		{3, 3, 6 * time.Second},
		{8, 3, 7 * time.Second},
		{40, 2, 8 * time.Second},
	}
	const runs = 20
	for _, c := range cases {
		var slowest, sum time.Duration
		for seed := range uint64(runs) {
			took := detection(t, c.count, c.regions, seed, nil)
			slowest, sum = max(slowest, took), sum+took
		}
		t.Logf("%d instances: death known by all after %s on average, %s at most of %d runs", c.count, sum/runs, slowest, runs)
		if slowest > c.bound {
			t.Errorf("%d instances: death known by all after %s, want at most %s", c.count, slowest, c.bound)
		}
	}
	slow := withConfig(func(c *Config) { c.SuspicionMin *= 5 })
	if took := detection(t, 8, 3, 1, slow); took <= cases[1].bound {
		t.Errorf("the injected slow suspicion was not detected: %s", took)
	}
}

// falseDeaths returns how often reachable instances are declared dead under loss.
func falseDeaths(t *testing.T, count int, seed uint64, inject func(*network)) int {
	w := newFormedNetwork(t, count, 2, seed, inject)
	w.loss = 0.2
	w.run(2 * time.Minute)
	return w.falseDeaths
}

// Guards against reachable instances that are declared dead because of lost datagrams.
func TestFalsePositivesUnderLoss(t *testing.T) {
	t.Parallel()
	for count, seeds := range map[int]uint64{3: 5, 8: 5, 40: 2} {
		total := 0
		for seed := range seeds {
			total += falseDeaths(t, count, seed, nil)
		}
		t.Logf("%d instances, 20 %% loss, %d simulated minutes: %d false deaths", count, 2*seeds, total)
		if total > 0 {
			t.Errorf("%d instances: %d false deaths, want none", count, total)
		}
	}
	if falseDeaths(t, 8, 1, withShortSuspicion) == 0 {
		t.Error("the injected short suspicion timeout was not detected")
	}
}

// suspicionsAfterPause returns the number of suspicions that an instance reports
// in the seconds after a pause, while all others are alive.
func suspicionsAfterPause(t *testing.T, pause time.Duration, seed uint64, inject func(*network)) int {
	w := newFormedNetwork(t, 8, 2, seed, inject)
	w.run(10*time.Second + time.Duration(seed)*130*time.Millisecond)
	paused := w.hosts[2]
	// Its last pings before the pause get no response.
	w.cut = func(_, b *host) bool { return b == paused }
	w.run(900 * time.Millisecond)
	w.pause(paused)
	w.run(pause)
	w.cut = nil
	suspicions := 0
	w.onSend = func(at *host, d Datagram) {
		for _, u := range d.Message.Updates {
			if at == paused && u.Reporter == paused.id {
				suspicions++
			}
		}
	}
	w.resume(paused)
	w.run(5 * time.Second)
	return suspicions
}

// Guards against a resumed instance that suspects others because of its own pause.
func TestResumedInstanceSuspectsNobody(t *testing.T) {
	injected := 0
	for _, pause := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 30 * time.Second} {
		for seed := range uint64(10) {
			if got := suspicionsAfterPause(t, pause, seed, nil); got > 0 {
				t.Errorf("seed %d: %d suspicions after a pause of %s", seed, got, pause)
			}
			injected += suspicionsAfterPause(t, pause, seed, withConfig(func(c *Config) { c.PauseThreshold, c.IsolationGrace = time.Hour, 0 }))
		}
	}
	if injected == 0 {
		t.Error("the injected fault that ignores pauses was not detected")
	}
}
