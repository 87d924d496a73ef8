package main

import "time"

// Bounds of the rules, in the small site files.
const (
	cancelMS  = 3000 * time.Millisecond
	contactMS = 4000 * time.Millisecond
)

func init() { cases["cancel"] = playCancel }

// playCancel cancels a job twice while the store is down, and watches whether an acknowledged cancellation lasts.
func playCancel() {
	const (
		job    = "/lohu930/5c0e7a21d94b36f8"
		id     = "5c0e7a21d94b36f8"
		key    = "6x73d3zji9n73hh2b9wu"
		outage = 4500 * time.Millisecond
	)
	l := newLab(8, 16000, 32768, func(_, task string, _ int) behaviour {
		if task == id+".0.0.0" || task == id+".0.0.1" {
			return behaviour{runs: 14 * time.Second, how: "done"}
		}
		return behaviour{runs: time.Second, how: "done"}
	})
	l.setConfig([]queue{{"r-lohu", "/lohu930/", 1, 3, 2.2, 1200}}, []tenant{{"kaje80", key}})
	l.begin(3)
	l.submit(l.daemons[0], job, key, map[string]any{"spec": "render", "steps": []map[string]any{
		{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 14000},
		{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 1000, "after": []int{0}},
	}})
	time.Sleep(3 * time.Second)
	if l.runningOf(id) != 2 {
		cannot("the first step does not run")
	}
	down := time.Now()
	if l.trouble {
		l.rec("the store is down")
		l.store.setDown(true)
		time.AfterFunc(outage, func() { l.store.setDown(false); l.rec("the store is up again") })
	}
	time.Sleep(50 * time.Millisecond)
	var acked time.Time
	// The client asks again at other nodes until the cancellation is acknowledged.
	for i := 1; acked.IsZero() && i <= 20; i++ {
		if status, _ := l.call(l.daemons[i%3], "DELETE", job, key, 300*time.Millisecond, nil); status/100 == 2 || status == 410 {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		l.finish(false, "no cancellation was acknowledged")
	}
	l.rec("the cancellation is acknowledged %d ms after the outage began", acked.Sub(down).Milliseconds())
	time.Sleep(time.Until(down.Add(22 * time.Second)))
	status, state := l.call(l.daemons[0], "GET", job, key, 3*time.Second, nil)
	stable := down
	if l.trouble {
		stable = down.Add(outage + contactMS)
	}
	for _, s := range l.startsOf(id) {
		if s.at.After(acked.Add(cancelMS)) && s.at.After(stable) {
			l.finish(true, "run %d of %s was started %d ms after the job's cancelling was acknowledged, the job is shown as %d %s",
				s.run, s.task, s.at.Sub(acked).Milliseconds(), status, state)
		}
	}
	l.finish(false, "nothing was started later than %v after the acknowledgement; the job is shown as %d %s", cancelMS, status, state)
}
