package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// Guards against an accepted gang that never starts because no rack has room for all of its members, although
// it can run on several racks, and against one that is spread although a rack has room or soon will.
func TestGangSpreadsOverRacksIfNoneHasRoom(t *testing.T) {
	const perRack, members = 8, 8
	queue := Queue{Name: "q", Service: "svc", Stretch: 3, ObjectiveMS: 3000, MaxAttempts: 3}
	half := domain.Resources{CPUMilli: 8000, MemoryMB: 100}
	// The platform takes a step for stuck after 3 s without a start.
	const maxWaitMS = 3000
	for name, c := range map[string]struct {
		// workers is the number of workers in the first rack; freeAfterMS is when the other racks have room.
		workers       int
		freeAfterMS   int64
		racks         int
		earliest, end int64
	}{
		"a rack has room":      {workers: perRack, freeAfterMS: 60_000, racks: 1, end: 200},
		"a rack has room soon": {workers: perRack - 1, freeAfterMS: 1000, racks: 1, earliest: 1000, end: 1400},
		"no rack has room":     {workers: perRack - 1, freeAfterMS: 60_000, racks: 2, earliest: maxSameRackWaitMS, end: maxWaitMS},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(testConfig(), 0, 1_000_000)
			m.Configure([]Queue{queue}, nil)
			var workers []WorkerInfo
			for rack, n := range []int{c.workers, perRack, perRack} {
				for i := range n {
					workers = append(workers, WorkerInfo{ID: domain.WorkerID(fmt.Sprintf("w%d-%d", rack, i)), Address: "x", Service: "svc", StartedMS: 1,
						Rack: domain.RackID(fmt.Sprint("r", rack)), Capacity: domain.Resources{CPUMilli: 16_000, MemoryMB: 32_000}})
				}
			}
			m.UpdateWorkers(workers)
			m.Submit("long", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 2, Need: half, EstimateMS: 60_000}}})
			storeAll(t, m)
			running, ends := make(map[domain.WorkerID][]RunReport), make(map[domain.WorkerID][]EndReport)
			step := func() []StartOrder {
				const interval = 100
				m.Advance(m.nowMS+interval, m.unixMS+interval)
				for _, w := range workers {
					m.LeaseLimit(w.ID)
					m.Report(WorkerReport{Worker: w.ID, StartedMS: 1, SentMS: m.nowMS - 1, ReceivedMS: m.nowMS, ClockMS: m.nowMS, Running: running[w.ID], Ends: ends[w.ID]})
				}
				m.Schedule()
				storeAll(t, m)
				starts := m.TakeOutput().Starts
				for _, o := range starts {
					m.StartAnswered(o.Worker, o.Task, o.Run, StartAccepted)
					running[o.Worker] = append(running[o.Worker], RunReport{Task: o.Task, Run: o.Run})
				}
				return starts
			}
			// A long task takes half of a worker in each of the other racks.
			holders := []domain.WorkerID{"w1-0", "w2-0"}
			for i, id := range holders {
				m.adopt(m.workers[id], m.findTask(TaskID{Job: "long", Index: i}), RunReport{Run: 1})
				running[id] = []RunReport{{Task: TaskID{Job: "long", Index: i}, Run: 1}}
			}
			step()
			m.Submit("gang", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: members, Gang: true, SameRack: true,
				Need: domain.Resources{CPUMilli: 12_000, MemoryMB: 100}, EstimateMS: 5000}}})
			storeAll(t, m)
			submittedMS := m.nowMS
			var starts []StartOrder
			for len(starts) == 0 {
				if m.nowMS-submittedMS > maxWaitMS {
					t.Fatalf("the gang has not started after %d ms", m.nowMS-submittedMS)
				}
				if m.nowMS-submittedMS >= c.freeAfterMS {
					for i, id := range holders {
						running[id], ends[id] = nil, []EndReport{{Number: 1, Task: TaskID{Job: "long", Index: i}, Run: 1, Kind: EndSucceeded}}
					}
				}
				starts = step()
			}
			if waited := m.nowMS - submittedMS; waited < c.earliest || waited > c.end {
				t.Errorf("the gang starts after %d ms, want %d to %d", waited, c.earliest, c.end)
			}
			racks := make(map[domain.RackID]bool)
			for _, o := range starts {
				racks[m.workers[o.Worker].rack] = true
			}
			if len(starts) != members || len(racks) != c.racks {
				t.Errorf("%d members start on %d racks, want %d on %d", len(starts), len(racks), members, c.racks)
			}
		})
	}
}

// Guards against a gang that is accepted although it is wider than the whole fleet: each of its tasks fits a worker, but all
// of them never do at once.
func TestGangWiderThanFleetIsRefused(t *testing.T) {
	f := newFleet(t, 4, domain.Resources{CPUMilli: 8000, MemoryMB: 8000})
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 3000}
	f.taskMS = func(StartOrder) int64 { return 500 }
	for name, c := range map[string]struct {
		step    StepSpec
		refusal Refusal
	}{
		"as wide as the fleet":  {StepSpec{Tasks: 16, Gang: true}, NotRefused},
		"one wider":             {StepSpec{Tasks: 17, Gang: true}, RefusedNeverFits},
		"few per worker":        {StepSpec{Tasks: 5, Gang: true, MaxPerWorker: 1}, RefusedNeverFits},
		"wider, but no gang":    {StepSpec{Tasks: 17}, NotRefused},
		"wider and best-effort": {StepSpec{Tasks: 17, Gang: true, BestEffort: true}, NotRefused},
	} {
		c.step.Need, c.step.EstimateMS = domain.Resources{CPUMilli: 2000}, 500
		r := f.submit(domain.JobID(name), q, "team", Spec{Steps: []StepSpec{c.step}})
		if r.Refusal != c.refusal || r.Refusal != NotRefused && r.RetryAfterMS == 0 {
			t.Errorf("%s: refusal %v, retry after %d ms, want %v", name, r.Refusal, r.RetryAfterMS, c.refusal)
		}
	}
	f.runUntil(f.nowMS + 20_000)
	f.check()
	if len(f.completed) != 3 {
		t.Errorf("%d of the 3 accepted jobs have completed", len(f.completed))
	}
}
