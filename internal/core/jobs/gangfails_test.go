package jobs

import (
	"testing"

	"auburnpier/internal/domain"
)

// Guards against gang members that time out waiting for a missing one, because one start order was
// not answered and the worker reports arrive too late to show it.
func TestIncompleteGangIsStoppedInTime(t *testing.T) {
	f := newFleet(t, 4, domain.Resources{CPUMilli: 4000, MemoryMB: 4000})
	f.pollIntervalMS = 8000
	queue := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 100, ObjectiveMS: 600_000}
	f.m.Configure([]Queue{*queue}, nil)
	f.runUntil(9000)
	f.taskMS = func(StartOrder) int64 { return 60_000 }
	first, lost := int64(0), TaskID{Job: "gang", Index: 2}
	f.refuse = func(o StartOrder) (StartOutcome, bool) {
		if first == 0 {
			first = f.nowMS
		}
		return StartUnanswered, o.Task == lost
	}
	stopped := int64(0)
	f.submit("gang", queue, "team", Spec{Steps: []StepSpec{{Tasks: 4, Need: domain.Resources{CPUMilli: 4000, MemoryMB: 100}, EstimateMS: 60_000, Gang: true}}})
	for f.nowMS < 14_000 && stopped == 0 {
		f.runUntil(f.nowMS + 25)
		for _, w := range f.m.sortedWorkers {
			for _, r := range w.runs {
				if r.phase == runStopping && stopped == 0 {
					stopped = f.nowMS
				}
			}
		}
	}
	if first == 0 {
		t.Fatal("the gang was not started")
	}
	// Stopping a member takes its worker StopMS, and must be finished by GangWaitMS.
	if latest := first + f.m.cfg.GangWaitMS - f.m.cfg.StopMS; stopped == 0 || stopped > latest {
		t.Errorf("the gang that started at %d ms was stopped at %d ms, want at most %d ms", first, stopped, latest)
	}
}
