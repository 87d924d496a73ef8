package jobs

import "testing"

// Guards against showing a job as completed before this is stored, while the only worker that lists
// one of its run ends may be lost. In a simulated run of the deployment "further" (trouble-1) such a
// worker left, and the next owner ran the tasks again.
func TestCompletedUnstoredNeedsItsWorkers(t *testing.T) {
	f := newOpticianFleet(t, 7)
	f.m.Configure(opticianQueues, nil)
	f.submit("job", &opticianQueues[0], "team", opticianSpec("lookup"))
	f.runUntil(f.nowMS + 300)
	if f.m.CompletedUnstored("job") {
		t.Fatal("a running job is shown as completed")
	}
	// No further write reaches the store.
	f.writing = true
	f.runUntil(f.nowMS + 1500)
	if state, _, _ := f.m.StoredState("job"); state == Completed {
		t.Error("a state that is not stored is reported as stored")
	}
	if !f.m.CompletedUnstored("job") {
		t.Fatal("a job whose tasks have succeeded is not shown as completed")
	}
	var holder *worker
	for _, w := range f.m.sortedWorkers {
		if len(w.pendingEnds) > 0 {
			holder = w
		}
	}
	for name, lose := range map[string]func(bool){
		"draining":   func(on bool) { holder.draining = on },
		"unlisted":   func(on bool) { holder.registered = !on },
		"unanswered": func(on bool) { holder.pollFailed = on },
	} {
		if lose(true); f.m.CompletedUnstored("job") {
			t.Errorf("%s: the completion relies on a worker that may be lost before the next owner polls it", name)
		}
		lose(false)
	}
	// A new incarnation of the worker does not list earlier run ends.
	f.m.Report(WorkerReport{Worker: holder.id, StartedMS: holder.startedMS + 1, SentMS: f.nowMS, ReceivedMS: f.nowMS, ClockMS: 1})
	if f.m.CompletedUnstored("job") {
		t.Error("the completion relies on a run end that no worker lists any more")
	}
}
