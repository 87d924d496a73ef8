package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// floodOf hands in readings of one team every 50 ms, and returns how many were accepted.
func (f *fleet) floodOf(team domain.TeamID, readings int) int {
	accepted := 0
	for n := range readings {
		r := f.submit(domain.JobID(fmt.Sprintf("%s-%d", team, n)), &lensQueues[1], team, lensSpec("reading"))
		if r.Refusal == NotRefused {
			accepted++
		} else if r.RetryAfterMS < minRetryMS {
			f.t.Errorf("a refused job may come back after %d ms, want %d at least", r.RetryAfterMS, minRetryMS)
		}
		f.runUntil(f.nowMS + 50)
	}
	return accepted
}

// Guards against jobs that are refused because of the backlog of another team,
// which its limit keeps from running, and against a team whose own backlog is
// beyond what its limit permits in time and that is not told so.
func TestBacklogOfOneTeam(t *testing.T) {
	const readings = 200
	f := newLensFleet(t, 7)
	limit := domain.Resources{CPUMilli: 300_000}
	f.m.Configure(lensQueues, []Team{{ID: "hot", Limit: limit}, {ID: "small"}})
	accepted := f.floodOf("hot", readings)
	for n, queue := range lensQueues {
		q := queue
		if r := f.submit(domain.JobID(fmt.Sprintf("small-%d", n)), &q, "small", lensSpec(q.Name)); r.Refusal != NotRefused {
			t.Errorf("%s of another team is refused with %v because of the flood", q.Name, r.Refusal)
		}
	}
	// All that the limit permits until a result of the last job is of no use.
	spec := lensSpec("reading")
	perJob := workOf(spec.Steps[0].Need, spec.Steps[0].Tasks, spec.Steps[0].EstimateMS)
	most := int(float64(f.nowMS+usefulLatenessFactor*ObjectiveMS(&spec, &lensQueues[1])) / perJob.durationOn(limit))
	t.Logf("%d of %d readings of the flood were accepted, %d can be of use", accepted, readings, most)
	if accepted > most {
		t.Errorf("%d readings were accepted where the limit permits %d in useful time", accepted, most)
	}
	f.runUntil(60_000)
	f.check()
}

// Guards against refusals while half of the fleet is free, whatever the estimates say.
func TestNothingIsRefusedOnAFreeFleet(t *testing.T) {
	f := newLensFleet(t, 7)
	f.m.Configure(lensQueues, nil)
	spec := Spec{Steps: []StepSpec{{Tasks: 2000, Need: domain.Resources{CPUMilli: 100, MemoryMB: 1}, EstimateMS: 60_000}}}
	for n := range 3 {
		if r := f.submit(domain.JobID(fmt.Sprintf("wide-%d", n)), &lensQueues[2], "team", spec); r.Refusal != NotRefused {
			t.Errorf("job %d is refused with %v while the fleet is empty", n, r.Refusal)
		}
	}
}

// Guards against a team of which nothing starts because its more urgent steps,
// which wait for something else than its limit, or never end, are left room.
func TestUrgentStepsThatCannotStart(t *testing.T) {
	f := newLensFleet(t, 7)
	f.m.Configure(lensQueues, []Team{{ID: "team", Limit: domain.Resources{CPUMilli: 200_000, MemoryMB: 800_000}}})
	// Workers of this label do not exist any more.
	for n := range 200 {
		f.submit(domain.JobID(fmt.Sprintf("stuck-%d", n)), &lensQueues[0], "team", lensSpec("lookup"))
	}
	for id := range f.submitted {
		f.m.findStep(StepID{Job: id}).spec.Label = "gone"
	}
	f.submit("reading", &lensQueues[1], "team", lensSpec("reading"))
	f.submit("matching", &lensQueues[2], "team", lensSpec("matching"))
	// The platform permits 3 s while half of the limit and of the fleet are free.
	f.runUntil(f.nowMS + 3000)
	for _, id := range []domain.JobID{"reading", "matching"} {
		if !f.m.jobs[id].started {
			t.Errorf("%s has not begun after 3 s with the limit free: %s", id, f.m.findStep(StepID{Job: id}).waitReason)
		}
	}
}
