package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// Guards against jobs that fail although sound workers have room: their tasks are retried at once on
// the worker that failed them, because it has become free and its approval is at hand, and use up the
// attempts that the queue permits.
func TestLastAttemptAvoidsFailingWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		step StepSpec
		// failing is the fraction of starts that a bad worker fails.
		failing float64
	}{
		"single tasks, all fail":  {step: StepSpec{Tasks: 4}, failing: 1},
		"single tasks, some fail": {step: StepSpec{Tasks: 4}, failing: 0.45},
		"gangs, all fail":         {step: StepSpec{Tasks: 6, Gang: true}, failing: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 40, domain.Resources{CPUMilli: 8000, MemoryMB: 8000})
			f.approvalShare = 0.7
			bad := func(id domain.WorkerID) bool { return f.m.workers[id].slot%12 == 0 }
			f.taskMS = func(o StartOrder) int64 { return 700 }
			f.failRun = func(o StartOrder) (afterMS int64, fails bool) {
				return 60, bad(o.Worker) && f.nowMS > 2000 && f.rng.Float64() < c.failing
			}
			q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 3, ObjectiveMS: 3000,
				Approval: &ApprovalPolicy{BaseMS: 9, PerWorkerMS: 0.2, ValidMS: 1500}}
			c.step.Need, c.step.EstimateMS = domain.Resources{CPUMilli: 2000, MemoryMB: 1000}, 800
			const count = 300
			for i := range count {
				f.submit(domain.JobID(fmt.Sprintf("j%03d", i)), q, "team", Spec{Steps: []StepSpec{c.step}})
				f.runUntil(f.nowMS + 40)
			}
			f.runUntil(f.nowMS + 10_000)
			failed := 0
			for _, j := range f.m.jobs {
				if j.state == Failed {
					failed++
				}
			}
			if maxFailed := count / 100; failed > maxFailed {
				t.Errorf("%d of %d jobs failed, want at most %d", failed, count, maxFailed)
			}
			f.check()
		})
	}
}

// Guards against a worker that gets no work any more after it has recovered, and against one that is
// doubted because of tasks that fail by themselves.
func TestDoubtEnds(t *testing.T) {
	h := health{}
	h.lastFailureMS = 1000
	if !h.doubted(1001) {
		t.Error("the worker is not doubted after a failure")
	}
	if h.doubted(1000 + doubtMS) {
		t.Error("the worker is still doubted after the doubt has expired")
	}
	h.lastSuccessMS, h.successes, h.failures = 2000, 9, 1
	if h.doubted(2001) {
		t.Error("the worker is doubted although its last run and most before it succeeded")
	}
}
