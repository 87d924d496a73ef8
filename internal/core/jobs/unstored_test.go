package jobs

import "testing"

// Guards against a job that is shown as completed before the store knows it
// while a worker that alone lists an end of it may be gone: on a play of
// further, trouble-1, it left, and the next owner ran the tasks again.
func TestCompletedUnstoredNeedsItsWorkers(t *testing.T) {
	f := newLensFleet(t, 7)
	f.m.Configure(lensQueues, nil)
	f.submit("job", &lensQueues[0], "team", lensSpec("lookup"))
	f.runUntil(f.nowMS + 300)
	if f.m.CompletedUnstored("job") {
		t.Fatal("a job that runs is shown as completed")
	}
	// The store takes no write any more.
	f.writing = true
	f.runUntil(f.nowMS + 1500)
	if state, _, _ := f.m.Known("job"); state == Completed {
		t.Error("the store is said to hold a state that it does not hold")
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
			t.Errorf("%s: a worker that may be gone before the next owner reads its ends is relied on", name)
		}
		lose(false)
	}
	// Another life of the worker lists nothing of before.
	f.m.Report(WorkerReport{Worker: holder.id, BornMS: holder.startedMS + 1, SentMS: f.nowMS, ReceivedMS: f.nowMS, ClockMS: 1})
	if f.m.CompletedUnstored("job") {
		t.Error("an end that no worker lists any more is relied on")
	}
}
