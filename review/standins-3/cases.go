package main

import "time"

// recurring: more occurrences of a job are due than run at a time, while the store is down for 3 s and leases run out.
func recurring(r *rig) {
	const outage = 3 * time.Second
	r.configure(7, 3, resources{}, 0)
	for n := range 6 {
		r.workers = append(r.workers, newWorker(r, workerName(n), "a", resources{CPU: 16000, MemMB: 32768}))
	}
	for range 3 {
		r.addInstance(nil).start()
	}
	r.awaitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	ids := []string{jobID(1), jobID(2)}
	first := time.Now().Add(500 * time.Millisecond).UnixMilli()
	for _, id := range ids {
		r.submit(id, map[string]any{"spec": "work_ms=800", "first_ms": first, "period_ms": 40, "times": 200,
			"steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 800}}})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("the store is down")
		r.store.setDown(true)
		time.Sleep(outage)
		r.store.setDown(false)
		r.note("the store is back")
	}
	r.awaitStates(ids, 40*time.Second)
	r.checkTwice()
}

func crashes(*rig)            {}
func otherKind(*rig)          {}
func limitAfterTakeover(*rig) {}
func bigConfig(*rig)          {}
