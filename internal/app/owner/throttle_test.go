package owner

import (
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Guards against a throttle order that is decided but does not reach the worker, also after another
// instance has taken over the cell.
func TestThrottleReachesWorker(t *testing.T) {
	const maxDelay = 4 * time.Second
	c := newFleetTest(t, 1, time.Minute)
	first := c.start("a")
	cell := first.awaitOwned(t)
	submit := func(id string, step jobs.StepSpec) jobs.TaskID {
		t.Helper()
		r, err := cell.Submit(t.Context(), port.SubmitRequest{Job: domain.JobID(id), Queue: c.queue, Team: "team",
			Spec: jobs.Spec{Steps: []jobs.StepSpec{step}}})
		if err != nil || !r.Accepted {
			t.Fatalf("%s: %+v %v", id, r, err)
		}
		return jobs.TaskID{Job: domain.JobID(id)}
	}
	serving := submit("serving", jobs.StepSpec{Tasks: 1, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100},
		LongRunning: true, LatencyTargetMS: 100, Image: "server"})
	bestEffort := submit("leftover", jobs.StepSpec{Tasks: 1, Need: domain.Resources{CPUMilli: 3000, MemoryMB: 100},
		EstimateMS: 60_000, BestEffort: true, Image: "filler"})
	awaitThrottle := func(tail int64, want func(int) bool) {
		t.Helper()
		c.fleet.Measure(serving, tail)
		for deadline := time.Now().Add(maxDelay); ; time.Sleep(20 * time.Millisecond) {
			percent, ok := c.fleet.PaceOf(bestEffort)
			if ok && want(percent) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%v after the tail latency was %d of 100 ms the task is throttled to %d %% (%v)", maxDelay, tail, percent, ok)
			}
		}
	}
	awaitThrottle(150, func(p int) bool { return p == 0 })
	awaitThrottle(20, func(p int) bool { return p > 0 })
	first.stop()
	<-first.done
	cell = c.start("b").awaitOwned(t)
	awaitThrottle(150, func(p int) bool { return p == 0 })
	c.checkFaults()
}
