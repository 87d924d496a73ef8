package jobs

import (
	"fmt"
	"testing"
)

// strike lets a worker be cut off for a time, in which it may end, be reborn
// under its ID, or take orders whose answers are lost.
func (f *fleet) strike(w *fakeWorker, forMS int64, reborn bool) {
	w.cut = true
	f.after(forMS, func() {
		w.cut = false
		if reborn {
			w.born++
			for id, r := range w.running {
				w.used = w.used.Sub(r.need)
				f.runningRuns[id]--
				delete(w.running, id)
			}
			for _, e := range w.ends {
				if e.Number > w.acked {
					delete(f.succeeded, e.Task)
				}
			}
			w.ends, w.lastEnd, w.acked, w.lapseMS = nil, 0, 0, 0
		}
		f.look(w)
	})
}

// Guards against a task that neither runs nor waits nor has ended, as after
// workers that were cut off came back under another life and a gang lost a
// member: it is never started again.
func TestTasksAreAccountedFor(t *testing.T) {
	for seed := range int64(10) {
		f := newLensFleet(t, 7)
		f.rng.Seed(seed)
		f.checkTasks = true
		playLens(f, 300, 12_000, 1)
		for range 12 {
			w := f.workers[f.ids[f.rng.Intn(len(f.ids))]]
			at, forMS, reborn := 1000+f.rng.Int63n(11_000), 200+f.rng.Int63n(9000), f.rng.Intn(2) == 0
			f.after(at, func() { f.strike(w, forMS, reborn) })
		}
		f.runUntil(60_000)
		f.check()
		for id := range f.submitted {
			if _, ok := f.completed[id]; !ok {
				view, _ := f.m.Explain(id)
				t.Errorf("seed %d: %s is not completed: %+v", seed, id, view)
				break
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against a check that finds nothing: a task that was dropped from the order is found.
func TestUnaccountedFindsALostTask(t *testing.T) {
	f := newLensFleet(t, 7)
	f.submit("job", &lensQueues[0], "team", lensSpec("lookup"))
	if lost := f.m.Unaccounted(); len(lost) != 0 {
		t.Fatalf("tasks of a new job are taken for lost: %v", lost)
	}
	s := f.m.findStep(StepID{Job: "job"})
	f.m.ready = removeItem(f.m.ready, s)
	if lost := f.m.Unaccounted(); len(lost) != len(s.tasks) {
		t.Errorf("%d lost tasks were found, want %d", len(lost), len(s.tasks))
	}
	f.m.ready = append(f.m.ready, s)
	f.runUntil(f.nowMS + 500)
	for _, task := range s.tasks {
		for _, r := range task.runs {
			delete(r.worker.runs, task.id())
		}
	}
	if lost := f.m.Unaccounted(); len(lost) != len(s.tasks) {
		t.Errorf("%d tasks whose runs are lost were found, want %d: %s", len(lost), len(s.tasks), fmt.Sprint(lost))
	}
}
