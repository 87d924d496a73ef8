package jobs

import (
	"fmt"
	"slices"
	"testing"

	"auburnpier/internal/domain"
)

// newZonedFleet returns a fleet whose workers are spread over the zones in turn.
func newZonedFleet(t *testing.T, workers int, zones ...domain.ZoneID) *fleet {
	f := newFleet(t, workers, domain.Resources{CPUMilli: 4000, MemoryMB: 4000})
	var list []WorkerInfo
	for i, w := range f.m.sortedWorkers {
		list = append(list, WorkerInfo{ID: w.id, Address: w.address, Service: w.service, Zone: zones[i%len(zones)],
			Rack: w.rack, Labels: w.labels, Capacity: w.capacity, StartedMS: 1})
	}
	f.m.UpdateWorkers(list)
	return f
}

// runsByZone counts the runs on the workers of each zone, by phase.
func (f *fleet) runsByZone() map[domain.ZoneID]map[runPhase]int {
	counts := make(map[domain.ZoneID]map[runPhase]int)
	for _, w := range f.m.sortedWorkers {
		if counts[w.zone] == nil {
			counts[w.zone] = make(map[runPhase]int)
		}
		for _, r := range w.runs {
			counts[w.zone][r.phase]++
		}
	}
	return counts
}

// watchStarts lists the zones of the start orders that the workers get, with the time of their decision.
func (f *fleet) watchStarts() *[]zoneStart {
	var starts []zoneStart
	f.refuse = func(o StartOrder) (StartOutcome, bool) {
		w := f.m.workers[o.Worker]
		starts = append(starts, zoneStart{w.zone, o.LimitClockMS - w.clockOffset - f.m.cfg.StartLimitMS})
		return StartAccepted, false
	}
	return &starts
}

type zoneStart struct {
	zone      domain.ZoneID
	decidedMS int64
}

var evacuationQueue = &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 4, ObjectiveMS: 20_000}

// Guards against tasks that are started in an evacuated zone by any of the ways in which a start is
// decided, against work that is lost or stopped by an evacuation, and against a zone that gets no work
// after it was returned.
func TestNoStartsInEvacuatedZone(t *testing.T) {
	single := StepSpec{Tasks: 60, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 1000}
	gang := StepSpec{Tasks: 10, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 1000, Gang: true}
	approved := *evacuationQueue
	approved.Approval = &ApprovalPolicy{BaseMS: 40, PerWorkerMS: 1, ValidMS: 1500}
	for name, c := range map[string]struct {
		queue *Queue
		step  StepSpec
		jobs  int
		fault func(f *fleet)
	}{
		"single tasks":         {queue: evacuationQueue, step: single, jobs: 2},
		"gangs":                {queue: evacuationQueue, step: gang, jobs: 8},
		"approvals in flight":  {queue: &approved, step: single, jobs: 2},
		"gangs with approvals": {queue: &approved, step: gang, jobs: 8},
		"gang members refused": {queue: evacuationQueue, step: gang, jobs: 8, fault: refuseEvery(7)},
		"start orders lost":    {queue: evacuationQueue, step: single, jobs: 2, fault: loseEvery(5)},
		"worker leaves the zone": {queue: evacuationQueue, step: single, jobs: 2, fault: func(f *fleet) {
			f.workers[f.ids[0]].disconnected = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newZonedFleet(t, 9, "a", "b", "c")
			for i := range c.jobs {
				f.submit(domain.JobID(fmt.Sprintf("j%02d", i)), c.queue, "team", Spec{Steps: []StepSpec{c.step}})
			}
			starts := f.watchStarts()
			if c.fault != nil {
				c.fault(f)
			}
			f.runUntil(400)
			evacuatedMS := f.nowMS
			f.m.EvacuateZones([]domain.ZoneID{"a", "unknown"})
			f.runUntil(2400)
			returnedMS := f.nowMS
			f.m.EvacuateZones(nil)
			f.runUntil(60_000)
			returned := 0
			for _, s := range *starts {
				switch {
				case s.zone != "a":
				case s.decidedMS >= evacuatedMS && s.decidedMS < returnedMS:
					t.Errorf("a start in the evacuated zone was decided %d ms after its evacuation", s.decidedMS-evacuatedMS)
				case s.decidedMS >= returnedMS:
					returned++
				}
			}
			if len(f.completed) != c.jobs {
				t.Errorf("%d of %d jobs completed", len(f.completed), c.jobs)
			}
			if returned == 0 {
				t.Error("no task was started in the zone after its return")
			}
			f.check()
		})
	}
}

// refuseEvery makes workers refuse every n-th start order for want of room.
func refuseEvery(n int) func(*fleet) {
	return func(f *fleet) { f.failEvery(n, StartNoRoom) }
}

// loseEvery leaves every n-th start order without effect and without an answer.
func loseEvery(n int) func(*fleet) {
	return func(f *fleet) { f.failEvery(n, StartUnanswered) }
}

func (f *fleet) failEvery(n int, outcome StartOutcome) {
	watched, count := f.refuse, 0
	f.refuse = func(o StartOrder) (StartOutcome, bool) {
		watched(o)
		count++
		return outcome, count%n == 0
	}
}

// Guards against running tasks that are stopped because their zone is evacuated, although they finish
// by themselves.
func TestFiniteTasksFinishInEvacuatedZone(t *testing.T) {
	f := newZonedFleet(t, 4, "a", "b")
	step := StepSpec{Tasks: 16, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 3000, Checkpointable: true}
	f.taskMS = func(StartOrder) int64 { return 3000 }
	f.submit("j", evacuationQueue, "team", Spec{Steps: []StepSpec{step}})
	f.runUntil(600)
	f.m.EvacuateZones([]domain.ZoneID{"a"})
	f.runUntil(5000)
	if f.starts != 16 || len(f.completed) != 1 {
		t.Errorf("%d starts for 16 tasks, %d jobs completed", f.starts, len(f.completed))
	}
	f.check()
}

// Guards against long-running tasks that stay in an evacuated zone, that leave it beyond their
// disruption budget, or that are stopped while no other zone has room for them.
func TestLongRunningTasksLeaveEvacuatedZone(t *testing.T) {
	for name, c := range map[string]struct {
		cpuMilli int64
		moves    bool
	}{"room elsewhere": {1000, true}, "no room elsewhere": {4000, false}} {
		t.Run(name, func(t *testing.T) {
			f := newZonedFleet(t, 4, "a", "b")
			f.interference = &interference{baseTail: func(int64, TaskID) float64 { return 0 }}
			step := StepSpec{Tasks: 4, Need: domain.Resources{CPUMilli: c.cpuMilli, MemoryMB: 500}, LongRunning: true, DisruptionBudget: 1}
			f.submit("j", evacuationQueue, "team", Spec{Steps: []StepSpec{step}})
			f.runUntil(3000)
			before := f.starts
			f.m.EvacuateZones([]domain.ZoneID{"a"})
			for f.nowMS < 20_000 {
				f.runUntil(f.nowMS + 100)
				if stopping := f.runsByZone()["a"][runStopping]; stopping > 1 {
					t.Fatalf("%d tasks are being stopped at once, the budget is 1", stopping)
				}
			}
			left := f.runsByZone()["a"][runConfirmed]
			if c.moves && left > 0 {
				t.Errorf("%d long-running tasks are still in the evacuated zone", left)
			}
			if !c.moves && (left != 2 || f.starts != before) {
				t.Errorf("%d of 2 long-running tasks are left in the zone, %d were restarted; want no change without room elsewhere", left, f.starts-before)
			}
			f.check()
		})
	}
}

// Guards against a job that is accepted although it can only run in evacuated zones, against accepted
// work that is dropped, and against reasons that do not name the evacuation.
func TestEvacuationOfAllZones(t *testing.T) {
	f := newZonedFleet(t, 4, "a", "b")
	spec := Spec{Steps: []StepSpec{{Tasks: 40, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 1000}}}
	f.submit("accepted", evacuationQueue, "team", spec)
	f.runUntil(500)
	f.m.EvacuateZones([]domain.ZoneID{"a", "b"})
	f.runUntil(4000)
	r := f.submit("refused", evacuationQueue, "team", spec)
	if r.Refusal != RefusedEvacuated || r.RetryAfterMS <= 0 {
		t.Errorf("a job that can run nowhere is answered with %+v, want RefusedEvacuated with a retry delay", r)
	}
	view, _ := f.m.Explain("accepted")
	if view.Steps[0].Reason != waitEvacuated {
		t.Errorf("the accepted job waits because %q, want %q", view.Steps[0].Reason, waitEvacuated)
	}
	zones := f.m.Overview().EvacuatedZones
	if len(zones) != 2 || zones[0].Zone != "a" || zones[0].Workers != 2 || zones[0].RunningTasks != 0 {
		t.Errorf("the overview lists %+v, want zones a and b with 2 idle workers each", zones)
	}
	f.m.EvacuateZones([]domain.ZoneID{"b"})
	f.runUntil(12_000)
	if !slices.Contains(f.completedJobs(), "accepted") {
		t.Error("the accepted job did not complete after a zone returned")
	}
	f.check()
}

func (f *fleet) completedJobs() []domain.JobID {
	var ids []domain.JobID
	for id := range f.completed {
		ids = append(ids, id)
	}
	return ids
}

// Guards against admission that counts on the capacity of an evacuated zone: callers would wait for a
// result that comes too late instead of being told when to come back.
func TestAdmissionLeavesOutEvacuatedCapacity(t *testing.T) {
	f := newZonedFleet(t, 4, "a", "b")
	q := *evacuationQueue
	q.ObjectiveMS, q.Stretch = 1000, 1
	// Each job needs 5 s of one zone; a result is of use for 6 s.
	spec := Spec{Steps: []StepSpec{{Tasks: 40, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 1000}}}
	f.submit("first", &q, "team", spec)
	f.m.EvacuateZones([]domain.ZoneID{"a"})
	f.runUntil(400)
	f.submit("second", &q, "team", spec)
	if r := f.submit("third", &q, "team", spec); r.Refusal != RefusedOverload {
		t.Errorf("the third job is answered with %+v, want a refusal for load", r)
	}
	f.m.EvacuateZones(nil)
	if r := f.submit("fourth", &q, "team", spec); r.Refusal != NotRefused {
		t.Errorf("after the zone has returned the job is answered with %+v, want acceptance", r)
	}
}

// Guards against capacity that stays held in an evacuated zone for a gang, which then cannot start
// elsewhere until the hold expires.
func TestEvacuationReleasesHolds(t *testing.T) {
	f := newZonedFleet(t, 4, "a", "b")
	filler := Spec{Steps: []StepSpec{{Tasks: 12, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 2000}}}
	f.taskMS = func(StartOrder) int64 { return 2000 }
	f.submit("filler", evacuationQueue, "team", filler)
	f.runUntil(400)
	gang := Spec{Steps: []StepSpec{{Tasks: 8, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 500, Gang: true}}}
	f.submit("gang", evacuationQueue, "team", gang)
	f.runUntil(700)
	held := f.m.findStep(StepID{"gang", 0, 0})
	if held.hold == nil {
		t.Fatal("the gang holds no capacity")
	}
	f.m.EvacuateZones([]domain.ZoneID{"a"})
	if held.hold != nil && f.m.holdsEvacuated(held) {
		t.Error("the gang still holds capacity in the evacuated zone")
	}
	f.runUntil(8000)
	if len(f.completed) != 2 {
		t.Errorf("%d of 2 jobs completed", len(f.completed))
	}
	f.check()
}

// Guards against starts that are decided while the evacuations are not confirmed, and against work
// that does not go on after that.
func TestStartsPauseWhileEvacuationsAreUnconfirmed(t *testing.T) {
	f := newZonedFleet(t, 4, "a", "b")
	f.m.PauseStarts(true)
	f.submit("j", evacuationQueue, "team", Spec{Steps: []StepSpec{{Tasks: 4, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 500}, EstimateMS: 500}}})
	f.runUntil(2000)
	if f.starts > 0 {
		t.Errorf("%d tasks were started while starts were paused", f.starts)
	}
	if view, _ := f.m.Explain("j"); view.Steps[0].Reason != waitUnconfirmed {
		t.Errorf("the job waits because %q, want %q", view.Steps[0].Reason, waitUnconfirmed)
	}
	f.m.PauseStarts(false)
	f.runUntil(4000)
	if len(f.completed) != 1 {
		t.Error("the job did not complete after the pause")
	}
	f.check()
}
