package sched

import (
	"math"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// gangHold is the reservation of the one gang that holds workers. A single hold
// at a time keeps gangs from blocking each other with half of what they need.
type gangHold struct {
	j       *job
	workers []domain.WorkerID
	sinceMS int64
}

// considerGang places all waiting members of a gang, or none.
func (m *Machine) considerGang(r *round, j *job, size domain.Resources, n int) {
	tasks, restart := waitingMembers(j)
	if restart && !m.mayRestart() {
		m.pass(r, j, policy.WaitRestarts, "")
		return
	}
	req := m.request(j, size)
	for _, i := range tasks {
		req.Avoid = append(req.Avoid, m.avoided(&j.Tasks[i])...)
	}
	if zone, ok := m.gangZone(j); ok {
		req.Zones = []domain.ZoneID{zone}
	}
	workers, err := m.index.PlaceGang(req, n, j.Spec.SpanZones)
	if err == nil {
		err = m.reserveGang(j, size, workers)
	}
	if j.lowerCeiling(size, err) {
		r.misses++
		m.requeue(j)
		return
	}
	if err != nil {
		r.misses++
		m.preempt(j, size, n, err)
		m.pass(r, j, m.missReason(j), waitDetail(err))
		m.holdForGang(j, req, n)
		return
	}
	if m.gangHold != nil && m.gangHold.j == j {
		m.dropGangHold()
	}
	m.intend(r, j, size, workers, tasks, restart)
}

// gangZone returns the availability zone that a late member has to join: a start
// of a gang that is not idempotent was refused while the other members run.
func (m *Machine) gangZone(j *job) (domain.ZoneID, bool) {
	if j.Spec.SpanZones || j.active() == 0 {
		return "", false
	}
	for i := range j.Tasks {
		if a, ok := m.attempts[j.Tasks[i].Attempt]; ok {
			return m.worker(a.Worker).location.Zone, true
		}
	}
	return "", false
}

// waitingMembers returns the waiting tasks and whether one of them restarts after a failure.
func waitingMembers(j *job) (tasks []int, restart bool) {
	for i := range j.Tasks {
		if j.Tasks[i].State != taskWaiting {
			continue
		}
		tasks = append(tasks, i)
		restart = restart || j.Tasks[i].Restart
	}
	return tasks, restart
}

// reserveGang reserves every member, or none.
func (m *Machine) reserveGang(j *job, size domain.Resources, workers []domain.WorkerID) error {
	for i, id := range workers {
		if m.index.Reserve(id, j.ID, size) {
			continue
		}
		for _, done := range workers[:i] {
			m.index.Release(done, j.ID, size)
		}
		return &placement.NoFitError{}
	}
	return nil
}

// holdForGang reserves workers for a gang that waited longer than the delay. An
// urgent gang holds at once, and takes the hold from a gang that is not urgent.
func (m *Machine) holdForGang(j *job, req placement.Request, n int) {
	waited := m.now - j.WaitingSinceMS
	if (waited < m.cfg.GangDelay.Milliseconds() && !j.urgent()) || m.preemptions[j.ID] != nil {
		return
	}
	if h := m.gangHold; h != nil {
		if h.j == j || h.j.urgent() || !j.urgent() {
			return
		}
		m.dropGangHold()
	}
	workers, ok := m.gangWorkers(j, req, n)
	if !ok {
		return
	}
	m.gangHold = &gangHold{j: j, workers: slices.Clone(workers), sinceMS: m.now}
	m.index.HoldRoom(j.ID, req.Size, workers)
	m.index.ExpectStart(j.ID, fromMillis(m.expectedFree(workers)))
	j.wait += "; workers are reserved for the gang"
	m.touch(j)
	m.dirty = true
}

// maxCandidateTries bounds the searches for workers of one gang.
const maxCandidateTries = 8

// gangWorkers chooses a worker for each of n members that holds them once its batch
// work has ended. Replicas do not end: room that they keep would be held for nothing.
func (m *Machine) gangWorkers(j *job, req placement.Request, n int) ([]domain.WorkerID, bool) {
	want := n
	for range maxCandidateTries {
		list, ok := m.index.GangCandidates(req, want, j.Spec.SpanZones)
		if !ok {
			return nil, false
		}
		workers := make([]domain.WorkerID, 0, len(list))
		members := make(map[domain.WorkerID]int)
		for _, id := range list {
			if members[id] < copies(req.Size, m.roomBesideServices(m.worker(id))) {
				members[id]++
				workers = append(workers, id)
			}
		}
		if len(workers) >= n {
			return workers[:n], true
		}
		want += n - len(workers)
	}
	return nil, false
}

// roomBesideServices returns what the worker has once its batch work has ended.
func (m *Machine) roomBesideServices(w *worker) domain.Resources {
	room := w.capacity
	for _, a := range w.attempts {
		if a.j.isService() {
			room = room.Sub(a.Reservation)
		}
	}
	return room
}

// copies returns how many tasks of a size fit in room.
func copies(size, room domain.Resources) int {
	n := int64(math.MaxInt32)
	for _, c := range [...][2]int64{
		{size.CPUMilli, room.CPUMilli}, {size.MemoryMB, room.MemoryMB}, {size.Accelerators, room.Accelerators},
	} {
		if c[0] > 0 {
			n = min(n, max(0, c[1])/c[0])
		}
	}
	return int(n)
}

// expectedFree returns when the batch work on the workers is expected to have
// ended. It is zero where a run time is not known, so that nothing backfills.
func (m *Machine) expectedFree(workers []domain.WorkerID) int64 {
	free := m.now
	for _, id := range workers {
		for _, a := range m.worker(id).attempts {
			if a.j.isService() {
				continue
			}
			run := m.expectedRunMS(a.j)
			if run == 0 {
				return 0
			}
			free = max(free, max(a.startedMS, a.IntentMS)+run)
		}
	}
	return free
}

func (m *Machine) dropGangHold() {
	j := m.gangHold.j
	m.index.Unhold(j.ID)
	m.gangHold = nil
	// An ended job is not touched: its hold is dropped while flushTouched goes through the list.
	if !j.State.Terminal() && !j.Cancelled {
		m.touch(j)
	}
	m.dirty = true
}

// holdLost ends holds on a worker that takes no starts. The job chooses again in the next round.
func (m *Machine) holdLost(id domain.WorkerID) {
	if m.gangHold != nil && slices.Contains(m.gangHold.workers, id) {
		m.dropGangHold()
	}
	for _, job := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[job]; ok && slices.Contains(p.claims, id) {
			m.dropPreemption(job)
		}
	}
}

// checkHolds ends holds that lasted too long: the choice of workers may have become a bad one.
func (m *Machine) checkHolds() {
	if m.gangHold != nil && m.now-m.gangHold.sinceMS >= m.cfg.HoldMax.Milliseconds() {
		m.dropGangHold()
	}
	for _, id := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[id]; ok && m.now >= p.untilMS {
			m.dropPreemption(id)
		}
	}
}
