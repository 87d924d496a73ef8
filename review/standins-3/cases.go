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

// awaitRun waits until the task has been started so many times, and returns the worker of the last start.
func (r *rig) awaitRun(task string, starts int) *worker {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		list := r.task(task).starts
		r.mu.Unlock()
		if len(list) < starts {
			continue
		}
		for _, w := range r.workers {
			if w.id == list[len(list)-1].worker {
				return w
			}
		}
	}
	r.fail("task %s was not started %d times", task, starts)
	return nil
}

// otherKind: a worker crashes and starts again under its ID as another kind. It registers with its first heartbeat.
func otherKind(r *rig) {
	const label = "a"
	r.configure(7, 5, resources{}, 0)
	for n := range 8 {
		r.workers = append(r.workers, newWorker(r, workerName(n), label, resources{CPU: 16000, MemMB: 32768}))
	}
	for range 3 {
		r.addInstance(nil).start()
	}
	r.awaitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	var ids []string
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for n := range 80 {
			id := jobID(n)
			ids = append(ids, id)
			r.submit(id, map[string]any{"spec": "work_ms=800", "steps": []map[string]any{{"count": 7, "cpu": 2000, "mem_mb": 256, "estimate_ms": 800, "requires": label}}})
			time.Sleep(60 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	if r.trouble {
		w := r.workers[0]
		w.crash()
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		w.kind, w.registers = "b", false
		w.mu.Unlock()
		w.start()
		r.note("worker %s is up again as kind b", w.id)
		time.Sleep(heartbeat * 4 / 5)
		w.mu.Lock()
		w.register()
		w.registers = true
		w.mu.Unlock()
		r.note("worker %s has registered as kind b", w.id)
	}
	<-submitted
	r.awaitStates(ids, 30*time.Second)
	r.mu.Lock()
	var found []string
	for name, t := range r.tasks {
		for _, s := range t.starts {
			if s.kind != label {
				found = append(found, name+" on "+s.worker)
			}
		}
	}
	r.mu.Unlock()
	for _, f := range found {
		r.breaks("ROUTE: started %s without the label %q", f, label)
	}
}

// lateOrder: a start order gets no answer and is carried out 10 s later, by the next life of its worker.
func lateOrder(r *rig) {
	const delay, crashAfter, downFor = 10 * time.Second, 6 * time.Second, 500 * time.Millisecond
	r.configure(7, 5, resources{}, 0)
	for n := range 8 {
		kind := "b"
		if n == 0 {
			kind = "a"
		}
		r.workers = append(r.workers, newWorker(r, workerName(n), kind, resources{CPU: 16000, MemMB: 32768}))
	}
	for range 3 {
		r.addInstance(nil).start()
	}
	r.awaitReady(10 * time.Second)
	time.Sleep(6 * time.Second)
	if r.trouble {
		for _, w := range r.workers {
			w.mu.Lock()
			w.holdStart = delay
			w.mu.Unlock()
		}
	}
	id := jobID(1)
	r.submit(id, map[string]any{"spec": "work_ms=12000", "steps": []map[string]any{{"count": 1, "cpu": 4500, "mem_mb": 8000, "estimate_ms": 12000}}})
	w := r.awaitRun(id+".0.0.0", 1)
	for _, other := range r.workers {
		other.mu.Lock()
		other.holdStart = 0
		other.mu.Unlock()
	}
	// Work on another worker, beside which the scheduler likes to place the next task.
	r.submit(jobID(2), map[string]any{"spec": "work_ms=20000", "steps": []map[string]any{{"count": 1, "cpu": 11000, "mem_mb": 8000, "estimate_ms": 20000, "requires": "b"}}})
	began := time.Now()
	for n := range 24 {
		r.submit(jobID(10+n), map[string]any{"spec": "work_ms=500", "steps": []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 500, "requires": "b"}}})
	}
	if r.trouble {
		time.Sleep(crashAfter - time.Since(began))
		w.crash()
		time.Sleep(downFor)
		w.start()
		r.note("worker %s is up again", w.id)
	}
	r.awaitStates([]string{id}, 60*time.Second)
	r.checkTwice()
}
