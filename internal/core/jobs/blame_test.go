package jobs

import (
	"fmt"
	"strings"
	"testing"

	"auburnpier/internal/domain"
)

// urgentChain is a job of a dozen tasks of one second, one after the other.
func urgentChain() Spec {
	var spec Spec
	for k := range 12 {
		s := StepSpec{Tasks: 1, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 1000}
		if k > 0 {
			s.After = []int{k - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// Guards against one team's failing tasks that keep all workers from all teams: two failures kept a worker out for
// seconds, and a small service whose tasks fail soon after each start went round the fleet within 2 s.
func TestFailingWorkKeepsNoWorkersFromOthers(t *testing.T) {
	service := StepSpec{Tasks: 40, Need: domain.Resources{CPUMilli: 500, MemoryMB: 100}, EstimateMS: 1000, LongRunning: true}
	hopeless := StepSpec{Tasks: 10, Need: domain.Resources{CPUMilli: 500, MemoryMB: 100}, EstimateMS: 1000}
	for name, c := range map[string]struct {
		services, jobsPerSecond int
	}{"a service": {1, 0}, "four services": {4, 0}, "hopeless jobs": {0, 8}, "both": {2, 4}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 48, domain.Resources{CPUMilli: 16_000, MemoryMB: 32_000})
			f.taskMS = func(StartOrder) int64 { return 1000 }
			f.failRun = func(o StartOrder) (int64, bool) { return 300, strings.HasPrefix(string(o.Task.Job), "failing") }
			low := &Queue{Name: "low", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000}
			urgent := &Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, Stretch: 1.5, ObjectiveMS: 500}
			f.m.Configure([]Queue{*low, *urgent}, nil)
			for n := range c.services {
				f.submit(domain.JobID(fmt.Sprintf("failing-service-%d", n)), low, "team-a", Spec{Steps: []StepSpec{service}})
			}
			usable, least := 0, 48
			f.onPass = func() {
				usable = 0
				for _, w := range f.m.sortedWorkers {
					if f.m.nowMS >= w.health.struckUntilMS {
						usable++
					}
				}
				least = min(least, usable)
			}
			for n := range 10 * c.jobsPerSecond {
				f.after(int64(n*1000/c.jobsPerSecond), func() {
					f.submit(domain.JobID(fmt.Sprintf("failing-%d", n)), low, "team-a", Spec{Steps: []StepSpec{hopeless}})
				})
			}
			f.runUntil(f.nowMS + 5000)
			f.submit("chain", urgent, "team-b", urgentChain())
			begin := f.nowMS
			f.runUntil(begin + 60_000)
			f.check()
			spec := urgentChain()
			objective := ObjectiveMS(&spec, urgent)
			t.Logf("the chain took %d ms, objective %d ms; at least %d of 48 workers were not avoided", f.completed["chain"]-begin, objective, least)
			if at, done := f.completed["chain"]; !done || at-begin > objective {
				t.Errorf("the chain of another team took %d ms, want at most the objective of %d ms", at-begin, objective)
			}
			if least < 24 {
				t.Errorf("only %d of 48 workers were not avoided", least)
			}
		})
	}
}

// Guards against workers that fail all they start and are not avoided, because their failures are taken for those of the
// work.
func TestWorkersThatFailAllAreAvoided(t *testing.T) {
	for _, bad := range []int{1, 4, 12} {
		t.Run(fmt.Sprintf("%d of 48", bad), func(t *testing.T) {
			f := newFleet(t, 48, domain.Resources{CPUMilli: 16_000, MemoryMB: 32_000})
			f.taskMS = func(StartOrder) int64 { return 1000 }
			failures := 0
			f.failRun = func(o StartOrder) (int64, bool) {
				fails := o.Worker < domain.WorkerID(fmt.Sprintf("w%03d", bad))
				if fails {
					failures++
				}
				return 100, fails
			}
			q := &Queue{Name: "q", Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 4, ObjectiveMS: 3000}
			f.m.Configure([]Queue{*q}, nil)
			const seconds = 20
			for n := range seconds * 10 {
				f.after(int64(n*100), func() {
					f.submit(domain.JobID(fmt.Sprintf("job-%d", n)), q, "team", Spec{Steps: []StepSpec{
						{Tasks: 10, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 1000}}})
				})
			}
			f.runUntil(f.nowMS + (seconds+10)*1000)
			f.check()
			t.Logf("%d runs failed on %d workers, %d of %d jobs completed", failures, bad, len(f.completed), len(f.submitted))
			// A worker is avoided after two failures, for at least 2.5 s, and a worker of 16 cores is given up to 16 tasks at once.
			if most := bad * 16 * (seconds*1000/avoidBaseMS + 1); failures > most {
				t.Errorf("%d runs failed, want at most %d", failures, most)
			}
			// The first jobs meet the workers before any has failed; three attempts may all go there, once for each of them.
			lost := 0
			for id := range f.submitted {
				if f.m.jobs[id].state != Completed {
					lost++
				}
			}
			if lost > bad {
				t.Errorf("%d of %d jobs have not completed", lost, len(f.submitted))
			}
		})
	}
}
