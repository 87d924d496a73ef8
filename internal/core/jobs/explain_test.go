package jobs

import (
	"testing"

	"auburnpier/internal/domain"
)

// Guards against a job without a recorded wait reason, and against a gang that is treated as larger
// than its team's limit because the limit does not bound memory. All jobs of the team would then
// wait until nothing of the team runs.
func TestExplainReportsWaitReason(t *testing.T) {
	f := newOpticianFleet(t, 7)
	f.m.Configure(opticianQueues, []Team{{ID: "team", Limit: domain.Resources{CPUMilli: 30_000}}})
	f.submit("first", &opticianQueues[1], "team", opticianSpec("reading"))
	f.runUntil(f.nowMS + 2000)
	f.submit("second", &opticianQueues[1], "team", opticianSpec("reading"))
	f.runUntil(f.nowMS + 3000)
	v, known := f.m.Explain("second")
	if !known || len(v.Steps) != 1 {
		t.Fatalf("unexpected description of the job: %+v", v)
	}
	if waited := v.Steps[0].WaitedMS[waitTeamLimit]; waited < 2500 || waited > 3000 {
		t.Errorf("after 3 s the job reports a wait of %d ms for its team's limit, want 2500 to 3000 ms: %v", waited, v.Steps[0].WaitedMS)
	}
}
