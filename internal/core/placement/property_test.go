package placement

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"auburnpier/internal/domain"
)

// model tracks reservations and holds in plain maps and slices.
type model struct {
	x        *index
	tasks    []modelTask
	excluded map[domain.WorkerID]bool
	held     map[domain.WorkerID]domain.Resources
}

type modelTask struct {
	worker domain.WorkerID
	job    domain.JobID
	size   domain.Resources
}

func drawResources(t *rapid.T) domain.Resources {
	return resources(rapid.Int64Range(0, 8).Draw(t, "cores"), rapid.Int64Range(0, 32).Draw(t, "gb"), rapid.Int64Range(0, 2).Draw(t, "accelerators"))
}

func (m *model) worker(t *rapid.T) domain.WorkerID {
	zone := rapid.IntRange(1, 2).Draw(t, "zone")
	return domain.WorkerID(fmt.Sprintf("z%d-w%d", zone, rapid.IntRange(0, 3).Draw(t, "worker")))
}

// workersWithCapacity scans all workers for sufficient capacity that is not held.
func (m *model) workersWithCapacity(size domain.Resources) map[domain.WorkerID]bool {
	eligible := make(map[domain.WorkerID]bool)
	for id := range m.x.slots {
		free, _ := m.x.Free(id)
		if !m.excluded[id] && size.Fits(free.Sub(m.held[id])) {
			eligible[id] = true
		}
	}
	return eligible
}

func (m *model) place(t *rapid.T) {
	size := drawResources(t)
	job := domain.JobID(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job")))
	worker, err := m.x.Place(Request{Size: size, Spread: job})
	eligible := m.workersWithCapacity(size)
	var none *NoFitError
	switch {
	case err == nil && !eligible[worker]:
		t.Fatalf("%v was placed on %s, which lacks free capacity", size, worker)
	case err != nil && len(eligible) > 0:
		t.Fatalf("%v was not placed although %v have free capacity", size, eligible)
	case errors.As(err, &none):
		sum := 0
		for _, r := range none.Rejections {
			sum += r.Workers
		}
		if sum != len(m.x.slots) {
			t.Fatalf("rejections %v do not add up to %d workers", none.Rejections, len(m.x.slots))
		}
		return
	}
	if !m.x.Reserve(worker, job, size) {
		t.Fatalf("Reserve failed on %s, which Place selected", worker)
	}
	m.tasks = append(m.tasks, modelTask{worker: worker, job: job, size: size})
}

func (m *model) release(t *rapid.T) {
	if len(m.tasks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.tasks)-1).Draw(t, "task")
	m.x.Release(m.tasks[i].worker, m.tasks[i].job, m.tasks[i].size)
	m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
}

func (m *model) exclude(t *rapid.T) {
	id := m.worker(t)
	m.excluded[id] = !m.excluded[id]
	reason := RejectReason("")
	if m.excluded[id] {
		reason = RejectQuarantined
	}
	m.x.Exclude(id, reason)
}

func (m *model) holdOrUnhold(t *rapid.T) {
	if len(m.held) > 0 {
		m.x.ReleaseHold("g")
		clear(m.held)
		return
	}
	id, size := m.worker(t), drawResources(t)
	m.x.HoldCapacity("g", size, []domain.WorkerID{id})
	if m.x.holds["g"] != nil && len(m.x.holds["g"].slots) > 0 {
		m.held[id] = size.Min(m.x.bySlot[m.x.slots[id]].capacity)
	}
}

func (m *model) replace(t *rapid.T) {
	id := m.worker(t)
	w := m.x.bySlot[m.x.slots[id]]
	n := Worker{ID: id, Location: domain.Location{Zone: w.zone.id, Rack: "r0"}, Capacity: w.capacity}
	m.x.Remove(id)
	m.x.Upsert(n)
	delete(m.excluded, id)
	if _, held := m.held[id]; held {
		m.x.ReleaseHold("g")
		clear(m.held)
	}
	kept := m.tasks[:0]
	for _, task := range m.tasks {
		if task.worker != id {
			kept = append(kept, task)
		}
	}
	m.tasks = kept
}

// check compares the state of the index with the model.
func (m *model) check(t *rapid.T) {
	var reserved domain.Resources
	free := make(map[domain.WorkerID]domain.Resources)
	for id, slot := range m.x.slots {
		free[id] = m.x.bySlot[slot].capacity
	}
	for _, task := range m.tasks {
		reserved = reserved.Add(task.size)
		free[task.worker] = free[task.worker].Sub(task.size)
	}
	if m.x.Reserved() != reserved {
		t.Fatalf("reserved is %v, want %v", m.x.Reserved(), reserved)
	}
	for id, want := range free {
		if got, _ := m.x.Free(id); got != want || want.IsNegative() {
			t.Fatalf("free capacity of %s is %v, want %v", id, got, want)
		}
	}
	if len(m.tasks) == 0 && len(m.x.countsByJob) != 0 {
		t.Fatalf("counts of %d jobs remain although no task is reserved", len(m.x.countsByJob))
	}
}

// Guards against overcommitted workers, missed capacity, rejection counts that do not
// add up, and reservation totals that drift, under any sequence of calls.
func TestIndexMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			x:        newTestIndex(rapid.Float64Range(0, 1).Draw(t, "packing")),
			excluded: make(map[domain.WorkerID]bool),
			held:     make(map[domain.WorkerID]domain.Resources),
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": m.place, "release": m.release, "exclude": m.exclude,
			"hold": m.holdOrUnhold, "replace": m.replace, "": m.check,
		})
	})
}
