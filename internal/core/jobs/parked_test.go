package jobs

import (
	"fmt"
	"slices"
	"testing"

	"auburnpier/internal/domain"
)

// inTerm runs an event of the present owner unless another one has taken over by then.
func (f *fleet) inTerm(d int64, run func()) {
	term := f.term
	f.after(d, func() {
		if term == f.term {
			run()
		}
	})
}

// store applies a write.
func (f *fleet) store(b *Batch) {
	for _, j := range b.Jobs {
		value := j
		if j.Job == nil && !j.Ended {
			value.Job = f.stored[j.ID].Job
		}
		f.stored[j.ID] = value
	}
	for _, id := range b.DeletedJobs {
		delete(f.stored, id)
	}
}

// load reads a parked job from the store.
func (f *fleet) load(id domain.JobID) {
	j, ok := f.stored[id]
	if !ok || j.Job == nil || f.rng.Intn(4) == 0 {
		f.m.JobNotLoaded(id)
		return
	}
	if err := f.m.JobLoaded(id, j.Job, j.State); err != nil {
		f.violate("%v", err)
	}
}

// takeOver replaces the owner by one with so much memory.
func (f *fleet) takeOver(memoryBytes int64) {
	f.t.Helper()
	former := f.m
	var members []Member
	for _, w := range former.sortedWorkers {
		members = append(members, Member{ID: w.id, Address: w.address, Capacity: w.capacity, StartedMS: w.startedMS})
	}
	f.term++
	f.writing = false
	cfg := testConfig()
	cfg.Epoch, cfg.MemoryBytes = former.cfg.Epoch+1, memoryBytes
	f.m = New(cfg, f.nowMS, 1_000_000+f.nowMS)
	f.m.AddSuspects(members)
	var ids []domain.JobID
	for id := range f.stored {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if err := f.m.RecoverJob(id, f.stored[id].Job, f.stored[id].State); err != nil {
			f.t.Fatal(err)
		}
	}
	f.m.FinishRecovery()
	var queues []Queue
	for _, q := range former.queues {
		queues = append(queues, *q)
	}
	f.m.Configure(queues, nil)
	f.m.SetApprovers(f.addresses)
	var list []WorkerInfo
	for _, w := range former.sortedWorkers {
		list = append(list, WorkerInfo{ID: w.id, Address: w.address, Service: w.service, Capacity: w.capacity, StartedMS: f.workers[w.id].startedMS,
			Rack: w.rack, Labels: w.labels})
	}
	f.m.UpdateWorkers(list)
	for _, id := range f.ids {
		f.workers[id].polling = false
		f.poll(f.workers[id])
	}
}

// smallMemory is a VM's memory that has room for a tenth of the jobs of these tests.
const smallMemory = 400 << 10

// Guards against accepted jobs that a next owner with less memory loses, starts twice, or holds in memory all at once:
// it keeps only their state, and reads the rest when there is room, or when a worker lists a run.
func TestSmallerOwnerRunsAllAcceptedJobs(t *testing.T) {
	for seed := range int64(16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := newOpticianFleet(t, 7)
			f.rng.Seed(seed)
			f.checkUnaccounted = true
			submitOpticianMix(f, 300, 6000, 1)
			wide := Spec{Steps: []StepSpec{{Tasks: 60, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 500},
				{Tasks: 40, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 500, After: []int{0}}}}
			for n := range 20 {
				f.after(500+int64(n)*100, func() {
					f.submit(domain.JobID(fmt.Sprintf("wide-%d", n)), &opticianQueues[2], "team", wide)
				})
			}
			for range 6 {
				w := f.workers[f.ids[f.rng.Intn(len(f.ids))]]
				at, forMS, restarted := 1000+f.rng.Int63n(20_000), 200+f.rng.Int63n(9000), f.rng.Intn(2) == 0
				f.after(at, func() { f.disconnect(w, forMS, restarted) })
			}
			most := int64(0)
			f.onPass = func() {
				if f.term > 0 {
					most = max(most, f.m.memoryView().Held)
				}
			}
			parked := 0
			for range 4 {
				f.runUntil(f.nowMS + 2000 + f.rng.Int63n(4000))
				f.takeOver(smallMemory)
				parked = max(parked, f.m.CountParked())
			}
			f.runUntil(f.nowMS + 120_000)
			f.check()
			for id := range f.submitted {
				if _, stored := f.stored[id]; !stored {
					continue
				}
				if _, ok := f.completed[id]; !ok {
					view, _ := f.m.Explain(id)
					t.Errorf("job %s has not completed: %+v", id, view)
					break
				}
			}
			if parked == 0 {
				t.Error("no job was parked")
			}
			t.Logf("%d jobs, up to %d parked, up to %d KB held", len(f.submitted), parked, most>>10)
		})
	}
}
