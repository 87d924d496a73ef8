package main

import "time"

func init() { cases["longtask"] = playLongTask }

// playLongTask runs a job of long tasks whose estimate is missing, and watches whether its runs are left alone.
func playLongTask() {
	const (
		long, key = "00000000000000a1", "key-of-the-long-job"
		tasks     = 40
		takes     = 300 * time.Second
	)
	var l *lab
	l = newLab(48, 16000, 32768, func(string, string, int) behaviour { return behaviour{runs: takes, how: "done"} })
	l.setConfig([]queue{{"r-one", "/one/", 1, 3, 2.2, 1200}}, []tenant{{"team-a", key}})
	l.cpu[long] = 9000
	l.begin(3)
	step := map[string]any{"count": tasks, "cpu": l.cpu[long], "mem_mb": 1000}
	if !l.trouble {
		step["estimate_ms"] = takes.Milliseconds()
	}
	l.submit(l.daemons[0], "/one/"+long, key, map[string]any{"spec": "long", "steps": []any{step}})
	time.Sleep(finishMS)
	stop := make(chan struct{})
	watch := l.watchIdle(long, func() bool { return false }, stop)
	time.Sleep(50 * time.Second)
	close(stop)
	idle, at := watch.result()
	_, state := l.call(l.daemons[2], "GET", "/one/"+long, key, 3*time.Second, nil)
	if idle > 0 {
		l.rec("the longest time without a run: %.1f s, from %.1f s", idle.Seconds(), at.Sub(l.begun).Seconds())
	}
	l.finish(idle >= 3*time.Second, "%d tasks of %.0f s were started %d times in %.0f s; later than finish_s the job had nothing running for up to %.1f s with more than half of all room free, it is %s",
		tasks, takes.Seconds(), len(l.startsOf(long)), (finishMS + 50*time.Second).Seconds(), idle.Seconds(), state)
}
