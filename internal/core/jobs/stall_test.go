package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// stallFleet runs tasks of one duration. Those on workers that stand still report no progress and do not end.
func stallFleet(t *testing.T, workers int, takesMS int64, standsStill func(domain.WorkerID) bool) (*fleet, *int) {
	f := newFleet(t, workers, domain.Resources{CPUMilli: 16_000, MemoryMB: 32_000})
	f.pollIntervalMS = 200
	f.taskMS = func(o StartOrder) int64 {
		if standsStill(o.Worker) {
			return 1 << 40
		}
		return takesMS
	}
	f.percentOf = func(w domain.WorkerID, _ TaskID, ageMS int64) int {
		if standsStill(w) {
			return 0
		}
		return int(min(99, ageMS*100/takesMS))
	}
	avoided := new(int)
	f.onDecision = func(d Decision) {
		if d.Kind == "worker_avoided" {
			*avoided++
		}
	}
	return f, avoided
}

// Guards against sound tasks that are stopped for lack of progress again and again, so that their job never ends, and
// against workers that are avoided for it: the caller's estimate is missing or far too small, and the reported percentage
// changes less often than each 1.8 s.
func TestLongTasksEndWhateverTheirEstimate(t *testing.T) {
	const takesMS = 400_000
	need := domain.Resources{CPUMilli: 9000, MemoryMB: 1000}
	for name, c := range map[string]struct {
		step                  StepSpec
		mostStarts, mostAvoid int
	}{
		"wide, no estimate":         {StepSpec{Tasks: 40, Need: need}, 41, 0},
		"wide, estimate too small":  {StepSpec{Tasks: 40, Need: need, EstimateMS: takesMS / 100}, 41, 0},
		"wider than the fleet":      {StepSpec{Tasks: 60, Need: need}, 62, 0},
		"alone, no estimate":        {StepSpec{Tasks: 1, Need: need}, 4, 0},
		"alone, estimate too small": {StepSpec{Tasks: 1, Need: need, EstimateMS: takesMS / 100}, 5, 4},
		"two, estimate too small":   {StepSpec{Tasks: 2, Need: need, EstimateMS: takesMS / 100}, 10, 8},
		"gang, no estimate":         {StepSpec{Tasks: 8, Need: need, Gang: true}, 32, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, avoided := stallFleet(t, 48, takesMS, func(domain.WorkerID) bool { return false })
			q := &Queue{Name: "q", Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
			f.m.Configure([]Queue{*q}, nil)
			f.submit("long", q, "team", Spec{Steps: []StepSpec{c.step}})
			f.runUntil(f.nowMS + 2*takesMS + 60_000)
			f.check()
			if _, done := f.completed["long"]; !done {
				t.Errorf("the job has not completed after %d starts", f.starts)
			}
			if f.starts > c.mostStarts || *avoided > c.mostAvoid {
				t.Errorf("%d starts and %d workers avoided, want at most %d and %d", f.starts, *avoided, c.mostStarts, c.mostAvoid)
			}
		})
	}
}

// Guards against tasks that stay on workers which stand still: the estimate is right, missing, or far too large.
func TestTasksLeaveWorkersThatStandStill(t *testing.T) {
	const takesMS = 3000
	for _, estimateMS := range []int64{takesMS, 0, 100 * takesMS} {
		t.Run(fmt.Sprintf("estimate %d ms", estimateMS), func(t *testing.T) {
			f, avoided := stallFleet(t, 12, takesMS, func(w domain.WorkerID) bool { return w < "w003" })
			q := &Queue{Name: "q", Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
			f.m.Configure([]Queue{*q}, nil)
			for n := range 4 {
				f.submit(domain.JobID(fmt.Sprintf("job-%d", n)), q, "team", Spec{Steps: []StepSpec{
					{Tasks: 20, Need: domain.Resources{CPUMilli: 2000, MemoryMB: 100}, EstimateMS: estimateMS}}})
			}
			begin := f.nowMS
			f.runUntil(begin + 30_000)
			f.check()
			for id, at := range f.completed {
				// A stalled run is moved after 1.8 s, at most twice as the avoidance of a worker ends.
				if took := at - begin; took > 3*(takesMS+minStallMS+1000) {
					t.Errorf("%s took %d ms", id, took)
				}
			}
			if len(f.completed) != 4 || *avoided == 0 {
				t.Errorf("%d of 4 jobs have completed, %d times a worker was avoided", len(f.completed), *avoided)
			}
		})
	}
}
