package sched

import (
	"math"
	"slices"
	"time"

	"auburnpier/internal/core/holds"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// holdPauseMS is the least time between two searches for workers to hold by one
// job: a search without result looks at every worker.
const holdPauseMS = 1000

// hold is the room that is kept for the waiting tasks of one job. It is chosen for
// all of them at once, and no worker is held for two jobs, so that holders cannot
// block each other with half of what they need.
type hold struct {
	j    *job
	size domain.Resources
	// workers names a worker for each task.
	workers []domain.WorkerID
	sinceMS int64
	start   time.Time
	// beyond tells that the hold does not count towards the bound.
	beyond bool
}

func (h *hold) need() domain.Resources { return h.size.Scale(int64(len(h.workers))) }

// holdRoom keeps workers for n tasks of a job that found no room for long enough.
func (m *Machine) holdRoom(j *job, req placement.Request, n int) {
	if m.holds[j.ID] != nil || m.preemptions[j.ID] != nil || m.now < j.holdAfterMS {
		return
	}
	beyond, ok := m.mayHold(j, req.Size.Scale(int64(n)))
	if !ok {
		return
	}
	// With an end, workers that others hold would count as candidates for backfill.
	req.End = time.Time{}
	workers, ok := m.holdWorkers(j, req, n)
	if !ok {
		j.holdAfterMS = m.now + holdPauseMS
		return
	}
	if j.urgent() {
		m.dropHoldsOn(workers)
	}
	h := &hold{j: j, size: req.Size, workers: slices.Clone(workers), sinceMS: m.now, beyond: beyond}
	h.start = m.expectedStart(h)
	m.holds[j.ID] = h
	m.count(h)
	m.index.HoldCapacity(j.ID, h.size, h.workers)
	m.index.SetExpectedStart(j.ID, h.start)
	j.wait += "; workers are reserved for the job"
	m.touch(j)
}

// mayHold reports whether the job may hold room, and whether beyond the bound. One
// gang at a time may: a gang larger than the bound would never start otherwise. An
// urgent gang holds at once, and ends such a hold of a gang that is not urgent.
func (m *Machine) mayHold(j *job, need domain.Resources) (beyond, ok bool) {
	if j.isGang() && (j.urgent() || m.now-j.WaitingSinceMS >= m.cfg.GangDelay.Milliseconds()) {
		h := m.beyondHold()
		if h != nil && j.urgent() && !h.j.urgent() {
			m.dropHold(h.j.ID)
			h = nil
		}
		if h == nil {
			return true, true
		}
	}
	if j.urgent() || len(m.holds) >= m.cfg.MaxMisses || !m.held.Allows(need, m.index.Total(), m.cfg.MaxHeld) {
		return false, false
	}
	return false, m.queue.ShouldHold(j.ID, m.held.HeldByTeam(j.Team))
}

// beyondHold returns the hold that does not count towards the bound, or nil.
func (m *Machine) beyondHold() *hold {
	for _, h := range m.holds {
		if h.beyond {
			return h
		}
	}
	return nil
}

// dropHoldsOn ends holds of jobs that are not urgent on the workers: the index
// leaves a held worker to its first holder.
func (m *Machine) dropHoldsOn(workers []domain.WorkerID) {
	for _, id := range sortedKeys(m.holds) {
		h := m.holds[id]
		if !h.j.urgent() && slices.ContainsFunc(workers, func(w domain.WorkerID) bool { return slices.Contains(h.workers, w) }) {
			m.dropHold(id)
		}
	}
}

// maxCandidateTries bounds the searches for workers of one job.
const maxCandidateTries = 8

// holdWorkers chooses a worker for each of n tasks that holds them once its batch
// work has ended. Only gangs keep to one zone. Replicas do not end: room that they keep would be held for nothing.
func (m *Machine) holdWorkers(j *job, req placement.Request, n int) ([]domain.WorkerID, bool) {
	want := n
	for range maxCandidateTries {
		list, ok := m.index.GangCandidates(req, want, j.Spec.SpanZones || !j.isGang())
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

// expectedStart returns when the batch work that is in the way should have ended,
// or a zero time where that is unknown, so that nothing backfills.
func (m *Machine) expectedStart(h *hold) time.Time {
	return holds.ExpectedStart(fromMillis(m.now), h.size, h.workers, func(id domain.WorkerID) holds.WorkerCapacity {
		free, _ := m.index.Free(id)
		r := holds.WorkerCapacity{Free: free}
		for _, a := range m.worker(id).attempts {
			if run := m.expectedRunMS(a.j); run > 0 {
				at := fromMillis(max(a.startedMS, a.IntentMS) + run)
				r.Ends = append(r.Ends, holds.TaskEnd{At: at, Size: a.Reservation})
			}
		}
		return r
	})
}

// count adds a hold to the ledger, and uncount takes it off.
func (m *Machine) count(h *hold) {
	if h.beyond {
		m.held.AddUnbounded(h.j.Team, h.need())
		return
	}
	m.held.Add(h.j.Team, h.need())
}

func (m *Machine) uncount(h *hold) {
	if h.beyond {
		m.held.RemoveUnbounded(h.j.Team, h.need())
		return
	}
	m.held.Remove(h.j.Team, h.need())
}

// holdUsed takes one started task, or the gang, off what the job holds. A task
// that started on another worker needs its held room no longer.
func (m *Machine) holdUsed(j *job, id domain.WorkerID) {
	h := m.holds[j.ID]
	if h == nil {
		return
	}
	if j.isGang() || len(h.workers) == 1 {
		m.dropHold(j.ID)
		return
	}
	m.uncount(h)
	at := max(slices.Index(h.workers, id), 0)
	h.workers = slices.Delete(h.workers, at, at+1)
	m.count(h)
	m.index.ReleaseHold(j.ID)
	m.index.HoldCapacity(j.ID, h.size, h.workers)
	m.index.SetExpectedStart(j.ID, h.start)
}

func (m *Machine) dropHold(id domain.JobID) {
	h := m.holds[id]
	if h == nil {
		return
	}
	m.uncount(h)
	delete(m.holds, id)
	m.index.ReleaseHold(id)
	// An ended job is not touched: its hold is dropped while flushTouched goes through the list.
	if !h.j.State.Terminal() && !h.j.Cancelled {
		m.touch(h.j)
	}
	m.dirty = true
}

// holdLost ends holds on a worker that takes no starts. The job chooses again in the next round.
func (m *Machine) holdLost(id domain.WorkerID) {
	for _, job := range sortedKeys(m.holds) {
		if slices.Contains(m.holds[job].workers, id) {
			m.dropHold(job)
		}
	}
	for _, job := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[job]; ok && slices.Contains(p.claims, id) {
			m.dropPreemption(job)
		}
	}
}

// checkHolds ends holds that lasted too long: the choice of workers may have become a bad one.
func (m *Machine) checkHolds() {
	for _, id := range sortedKeys(m.holds) {
		if m.now-m.holds[id].sinceMS >= m.cfg.HoldMax.Milliseconds() {
			m.dropHold(id)
		}
	}
	for _, id := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[id]; ok && m.now >= p.untilMS {
			m.dropPreemption(id)
		}
	}
}
