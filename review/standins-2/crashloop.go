package main

import "time"

func init() { cases["crashloop"] = playCrashLoop }

// playCrashLoop runs a small service whose tasks fail soon after each start, and watches whether an urgent job of
// another team goes on.
func playCrashLoop() {
	const (
		loop, loopKey     = "00000000000000a1", "key-of-the-service"
		urgent, urgentKey = "00000000000000b2", "key-of-the-urgent-job"
		tasks, steps      = 40, 12
	)
	var l *lab
	l = newLab(48, 16000, 32768, func(_, task string, _ int) behaviour {
		switch {
		case jobOf(task) == urgent:
			return behaviour{runs: time.Second, how: "done"}
		case l.trouble:
			return behaviour{runs: 300 * time.Millisecond, how: "failed"}
		}
		return behaviour{startup: 300 * time.Millisecond}
	})
	l.setConfig([]queue{{"r-one", "/one/", 2, 2, 4, 3000}, {"r-two", "/two/", 0, 2, 1.5, 500}},
		[]tenant{{"team-a", loopKey}, {"team-b", urgentKey}})
	l.cpu[loop], l.cpu[urgent] = 500, 1000
	l.begin(3)
	l.submit(l.daemons[0], "/one/"+loop, loopKey, map[string]any{"spec": "service", "steps": []map[string]any{
		{"count": tasks, "cpu": l.cpu[loop], "mem_mb": 100, "estimate_ms": 1000, "long_running": true}}})
	// The service fails for a while before the urgent job comes.
	time.Sleep(10 * time.Second)
	var chain []map[string]any
	for k := range steps {
		s := map[string]any{"count": 1, "cpu": l.cpu[urgent], "mem_mb": 100, "estimate_ms": 1000}
		if k > 0 {
			s["after"] = []int{k - 1}
		}
		chain = append(chain, s)
	}
	l.submit(l.daemons[1], "/two/"+urgent, urgentKey, map[string]any{"spec": "urgent", "steps": chain})

	// finish_s after the last submission the rule holds for all jobs.
	time.Sleep(finishMS)
	stop := make(chan struct{})
	watch := l.watchIdle(urgent, func() bool { return l.endsOf(urgent) == steps }, stop)
	time.Sleep(40 * time.Second)
	close(stop)
	idle, at := watch.result()
	_, state := l.call(l.daemons[2], "GET", "/two/"+urgent, urgentKey, 3*time.Second, nil)
	l.rec("starts of the service's tasks: %d", len(l.startsOf(loop)))
	if idle > 0 {
		l.rec("the longest time without a run of the urgent job: %.1f s, from %.1f s", idle.Seconds(), at.Sub(l.begun).Seconds())
	}
	l.finish(idle >= 3*time.Second, "later than finish_s the urgent job had nothing running for up to %.1f s with more than half of all room free; %d of its %d steps of 1 s are done after %.0f s, it is %s",
		idle.Seconds(), l.endsOf(urgent), steps, (finishMS + 40*time.Second).Seconds(), state)
}
