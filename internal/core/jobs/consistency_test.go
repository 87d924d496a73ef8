package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// disconnect makes a worker unreachable for a time. If restarted is set, it comes back as a new
// incarnation that has lost its running tasks and run ends.
func (f *fleet) disconnect(w *fakeWorker, forMS int64, restarted bool) {
	w.disconnected = true
	f.after(forMS, func() {
		w.disconnected = false
		if restarted {
			w.startedMS++
			for id, r := range w.running {
				w.used = w.used.Sub(r.need)
				f.runningRuns[id]--
				delete(w.running, id)
			}
			for _, e := range w.ends {
				if e.Number > w.acknowledged {
					delete(f.succeeded, e.Task)
				}
			}
			w.ends, w.lastEnd, w.acknowledged, w.leaseExpiryMS = nil, 0, 0, 0
		}
		f.poll(w)
	})
}

// Guards against a task that is neither running, waiting nor done, and so never starts again. This
// can happen when disconnected workers come back as a new incarnation and a gang loses a member.
func TestAllTasksStayAccountedFor(t *testing.T) {
	for seed := range int64(10) {
		f := newOpticianFleet(t, 7)
		f.rng.Seed(seed)
		f.checkUnaccounted = true
		submitOpticianMix(f, 300, 12_000, 1)
		for range 12 {
			w := f.workers[f.ids[f.rng.Intn(len(f.ids))]]
			at, forMS, restarted := 1000+f.rng.Int63n(11_000), 200+f.rng.Int63n(9000), f.rng.Intn(2) == 0
			f.after(at, func() { f.disconnect(w, forMS, restarted) })
		}
		f.runUntil(60_000)
		f.check()
		for id := range f.submitted {
			if _, ok := f.completed[id]; !ok {
				view, _ := f.m.Explain(id)
				t.Errorf("seed %d: job %s has not completed: %+v", seed, id, view)
				break
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against a check that detects nothing: it must report tasks of a step that is missing from
// the ready list, and tasks whose runs are missing from their worker.
func TestUnaccountedFindsLostTasks(t *testing.T) {
	f := newOpticianFleet(t, 7)
	f.submit("job", &opticianQueues[0], "team", opticianSpec("lookup"))
	if lost := f.m.UnaccountedTasks(); len(lost) != 0 {
		t.Fatalf("tasks of a new job are reported as lost: %v", lost)
	}
	s := f.m.findStep(StepID{Job: "job"})
	f.m.ready = removeItem(f.m.ready, s)
	if lost := f.m.UnaccountedTasks(); len(lost) != s.spec.Tasks {
		t.Errorf("%d lost tasks reported, want %d", len(lost), s.spec.Tasks)
	}
	f.m.ready = append(f.m.ready, s)
	f.runUntil(f.nowMS + 500)
	for _, task := range s.active {
		for _, r := range task.runs {
			delete(r.worker.runs, task.id())
		}
	}
	if lost := f.m.UnaccountedTasks(); len(lost) != s.spec.Tasks {
		t.Errorf("%d tasks with lost runs reported, want %d: %s", len(lost), s.spec.Tasks, fmt.Sprint(lost))
	}
}

// Guards against an accepted job that is deleted when an earlier submission under its ID would have been: that one
// was cancelled before it was written, and then withdrawn because the store took no writes.
func TestSubmittedAgainAfterWithdrawal(t *testing.T) {
	f := newFleet(t, 2, workerSize)
	f.taskMS = func(StartOrder) int64 { return 10 * testConfig().RetentionMS }
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 500}
	f.m.Configure([]Queue{*q}, nil)
	spec := Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1000}, EstimateMS: 1000, LongRunning: true}}}
	anyTeam := func(domain.TeamID, domain.QueueID) bool { return true }
	if r := f.m.Submit("job", q, "team", &spec); r.Refusal != NotRefused {
		t.Fatalf("refused with %v", r.Refusal)
	}
	f.m.Cancel("job", anyTeam)
	if !f.m.Withdraw("job") {
		t.Fatal("a job that no write includes is not withdrawn")
	}
	f.submit("job", q, "team", spec)
	f.runUntil(f.nowMS + testConfig().RetentionMS + 5000)
	if state, _, _, found := f.m.StoredState("job"); !found || state != Running {
		t.Errorf("after the retention of the withdrawn job, the accepted one is found %v, %v", found, state)
	}
	f.check()
}
