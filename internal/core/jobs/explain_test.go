package jobs

import (
	"testing"

	"auburnpier/internal/domain"
)

// Guards against a job of which nobody can tell what it waited for, and against
// a gang that is taken for wider than a limit that does not bound its memory:
// all of its team then waits until nothing of it runs.
func TestExplainTellsWhatAJobWaitedFor(t *testing.T) {
	f := newLensFleet(t, 7)
	f.m.Configure(lensQueues, []Team{{ID: "team", Limit: domain.Resources{CPUMilli: 30_000}}})
	f.submit("first", &lensQueues[1], "team", lensSpec("reading"))
	f.runUntil(f.nowMS + 2000)
	f.submit("second", &lensQueues[1], "team", lensSpec("reading"))
	f.runUntil(f.nowMS + 3000)
	v, known := f.m.Explain("second")
	if !known || len(v.Steps) != 1 {
		t.Fatalf("the job is shown as %+v", v)
	}
	if waited := v.Steps[0].WaitedMS[waitTeamLimit]; waited < 2500 || waited > 3000 {
		t.Errorf("after 3 s the job is said to have waited %d ms for its team's limit: %v", waited, v.Steps[0].WaitedMS)
	}
}
