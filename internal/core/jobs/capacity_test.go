package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// Guards against starts on a worker whose capacity has shrunk below what runs there, and against one that stays unused after it has grown again.
func TestShrunkWorkerGetsNoWorkUntilItFits(t *testing.T) {
	size := domain.Resources{CPUMilli: 8000, MemoryMB: 8000}
	f := newFleet(t, 2, size)
	f.taskMS = func(StartOrder) int64 { return 2000 }
	resize := func(cpuMilli int64) {
		var list []WorkerInfo
		for _, id := range f.ids {
			w := f.workers[id]
			w.capacity.CPUMilli = cpuMilli
			list = append(list, WorkerInfo{ID: id, Address: "10.0.0.1:1", Service: "svc", Capacity: w.capacity, StartedMS: 1, Labels: []string{"a"}})
		}
		f.m.UpdateWorkers(list)
	}
	q := &Queue{Name: "q", Service: "svc", Stretch: 9, ObjectiveMS: 20_000}
	spec := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 2000, MemoryMB: 100}, EstimateMS: 2000}}}
	for i := range 4 {
		f.submit(domain.JobID(fmt.Sprintf("before%d", i)), q, "team", spec)
	}
	f.runUntil(1000)
	resize(3000)
	f.submit("during", q, "team", spec)
	f.runUntil(6000)
	if got := f.m.jobs["during"].state; got != Completed {
		t.Errorf("the job is %v on workers that shrank to the size of one task, want completed", got)
	}
	resize(8000)
	before := f.starts
	for i := range 4 {
		f.submit(domain.JobID(fmt.Sprintf("after%d", i)), q, "team", spec)
	}
	f.runUntil(7000)
	if got := f.starts - before; got != 8 {
		t.Errorf("%d tasks started after the workers had grown again, want 8", got)
	}
	f.check()
}
