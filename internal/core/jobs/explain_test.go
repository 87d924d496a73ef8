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

// Guards against operators who are shown that a job has ended while that is not stored: if the write is lost, the
// next owner runs the job on.
func TestExplainShowsStoredState(t *testing.T) {
	f := newFleet(t, 2, workerSize)
	f.taskMS = func(StartOrder) int64 { return 60_000 }
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 500}
	f.submit("job", q, "team", Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1000}, EstimateMS: 60_000}}})
	f.runUntil(f.nowMS + 1000)
	f.m.Cancel("job", func(domain.TeamID, domain.QueueID) bool { return true })
	if v, _ := f.m.Explain("job"); v.State != "running" || v.UnstoredState != "cancelled" {
		t.Errorf("before the write the job is shown as %s, not stored yet %q, want running, cancelled", v.State, v.UnstoredState)
	}
	f.runUntil(f.nowMS + 1000)
	if v, _ := f.m.Explain("job"); v.State != "cancelled" || v.UnstoredState != "" {
		t.Errorf("after the write the job is shown as %s, not stored yet %q, want cancelled", v.State, v.UnstoredState)
	}
}
