package sched

import (
	"math"
	"slices"
	"time"

	"auburnpier/internal/core/holds"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// holdSearchIntervalMS is the minimum time between two searches of one job for workers
// to hold: an unsuccessful search examines every worker.
const holdSearchIntervalMS = 1000

// hold is the capacity that is kept free for the waiting tasks of one job. It is chosen
// for all of them at once, and no worker is held for two jobs, so that jobs cannot
// deadlock by each holding a part of what they need.
type hold struct {
	j    *job
	size domain.Resources
	// workers has one entry for each task.
	workers []domain.WorkerID
	sinceMS int64
	start   time.Time
	// unbounded is set if the hold does not count towards Config.MaxHeld.
	unbounded bool
}

func (h *hold) total() domain.Resources { return h.size.Scale(int64(len(h.workers))) }

// tryHold holds workers for n tasks of a job, if the job has waited long enough for free capacity.
func (m *Machine) tryHold(j *job, req placement.Request, n int) {
	if m.holds[j.ID] != nil || m.preemptions[j.ID] != nil || m.nowMS < j.holdAfterMS {
		return
	}
	unbounded, ok := m.holdAllowed(j, req.Size.Scale(int64(n)))
	if !ok {
		return
	}
	// With an end, workers held for other jobs would count as candidates for backfill.
	req.End = time.Time{}
	workers, ok := m.chooseHoldWorkers(j, req, n)
	if !ok {
		j.holdAfterMS = m.nowMS + holdSearchIntervalMS
		return
	}
	if j.urgent() {
		m.dropHoldsOn(workers)
	}
	h := &hold{j: j, size: req.Size, workers: slices.Clone(workers), sinceMS: m.nowMS, unbounded: unbounded}
	h.start = m.expectedStart(h)
	m.holds[j.ID] = h
	m.addToLedger(h)
	m.index.HoldCapacity(j.ID, h.size, h.workers)
	m.index.SetExpectedStart(j.ID, h.start)
	j.noCapacityDetail += "; workers are reserved for the job"
	m.markChanged(j)
}

// holdAllowed reports whether the job may hold capacity, and whether it may exceed
// MaxHeld. One gang at a time may exceed it: a gang larger than the bound would never
// start otherwise. An urgent gang may hold immediately, and replaces such a hold of a
// gang that is not urgent.
func (m *Machine) holdAllowed(j *job, need domain.Resources) (unbounded, ok bool) {
	if j.isGang() && (j.urgent() || m.nowMS-j.WaitingSinceMS >= m.cfg.GangDelay.Milliseconds()) {
		h := m.unboundedHold()
		if h != nil && j.urgent() && !h.j.urgent() {
			m.dropHold(h.j.ID)
			h = nil
		}
		if h == nil {
			return true, true
		}
	}
	if j.urgent() || len(m.holds) >= m.cfg.MaxFailedSearches || !m.holdLedger.Allows(need, m.index.Total(), m.cfg.MaxHeld) {
		return false, false
	}
	return false, m.queue.ShouldHold(j.ID, m.holdLedger.HeldByTeam(j.Team))
}

// unboundedHold returns the hold that does not count towards MaxHeld, or nil.
func (m *Machine) unboundedHold() *hold {
	for _, h := range m.holds {
		if h.unbounded {
			return h
		}
	}
	return nil
}

// dropHoldsOn drops holds of non-urgent jobs on the workers: in the placement index, a held worker
// stays with its first holder.
func (m *Machine) dropHoldsOn(workers []domain.WorkerID) {
	for _, id := range sortedKeys(m.holds) {
		h := m.holds[id]
		if !h.j.urgent() && slices.ContainsFunc(workers, func(w domain.WorkerID) bool { return slices.Contains(h.workers, w) }) {
			m.dropHold(id)
		}
	}
}

// maxCandidateSearches bounds the searches for workers of one job.
const maxCandidateSearches = 8

// chooseHoldWorkers chooses a worker for each of n tasks, such that the tasks fit once the batch
// work of the workers has ended. Only gangs are restricted to one zone. Capacity that replicas
// use is not counted: they do not end, so holding it would be useless.
func (m *Machine) chooseHoldWorkers(j *job, req placement.Request, n int) ([]domain.WorkerID, bool) {
	want := n
	for range maxCandidateSearches {
		list, ok := m.index.GangCandidates(req, want, j.Spec.SpanZones || !j.isGang())
		if !ok {
			return nil, false
		}
		workers := make([]domain.WorkerID, 0, len(list))
		members := make(map[domain.WorkerID]int)
		for _, id := range list {
			if members[id] < tasksThatFit(req.Size, m.capacityBesideServices(m.worker(id))) {
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

// capacityBesideServices returns the worker's capacity that is free once its batch work has ended.
func (m *Machine) capacityBesideServices(w *worker) domain.Resources {
	capacity := w.capacity
	for _, a := range w.attempts {
		if a.j.isService() {
			capacity = capacity.Sub(a.Reservation)
		}
	}
	return capacity
}

// tasksThatFit returns how many tasks of the size fit into capacity.
func tasksThatFit(size, capacity domain.Resources) int {
	n := int64(math.MaxInt32)
	for _, c := range [...][2]int64{
		{size.CPUMilli, capacity.CPUMilli}, {size.MemoryMB, capacity.MemoryMB}, {size.Accelerators, capacity.Accelerators},
	} {
		if c[0] > 0 {
			n = min(n, max(0, c[1])/c[0])
		}
	}
	return int(n)
}

// expectedStart returns when the batch work that occupies the held workers is expected to have
// ended. If that is unknown it returns the zero time, so that no work backfills.
func (m *Machine) expectedStart(h *hold) time.Time {
	return holds.ExpectedStart(fromMillis(m.nowMS), h.size, h.workers, func(id domain.WorkerID) holds.WorkerCapacity {
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

func (m *Machine) addToLedger(h *hold) {
	if h.unbounded {
		m.holdLedger.AddUnbounded(h.j.Team, h.total())
		return
	}
	m.holdLedger.Add(h.j.Team, h.total())
}

func (m *Machine) removeFromLedger(h *hold) {
	if h.unbounded {
		m.holdLedger.RemoveUnbounded(h.j.Team, h.total())
		return
	}
	m.holdLedger.Remove(h.j.Team, h.total())
}

// consumeHold removes one started task, or the whole gang, from the job's hold. A task
// that started on another worker no longer needs its held capacity.
func (m *Machine) consumeHold(j *job, id domain.WorkerID) {
	h := m.holds[j.ID]
	if h == nil {
		return
	}
	if j.isGang() || len(h.workers) == 1 {
		m.dropHold(j.ID)
		return
	}
	m.removeFromLedger(h)
	at := max(slices.Index(h.workers, id), 0)
	h.workers = slices.Delete(h.workers, at, at+1)
	m.addToLedger(h)
	m.index.ReleaseHold(j.ID)
	m.index.HoldCapacity(j.ID, h.size, h.workers)
	m.index.SetExpectedStart(j.ID, h.start)
}

func (m *Machine) dropHold(id domain.JobID) {
	h := m.holds[id]
	if h == nil {
		return
	}
	m.removeFromLedger(h)
	delete(m.holds, id)
	m.index.ReleaseHold(id)
	// An ended job is not marked: its hold is dropped while requeueChanged iterates over the list.
	if !h.j.State.Terminal() && !h.j.Cancelled {
		m.markChanged(h.j)
	}
	m.needsRound = true
}

// dropHoldsOfWorker drops holds and preemptions that need a worker which accepts no starts. Their
// jobs choose again in the next round.
func (m *Machine) dropHoldsOfWorker(id domain.WorkerID) {
	for _, job := range sortedKeys(m.holds) {
		if slices.Contains(m.holds[job].workers, id) {
			m.dropHold(job)
		}
	}
	for _, job := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[job]; ok && slices.Contains(p.targets, id) {
			m.dropPreemption(job)
		}
	}
}

// expireHolds drops holds and preemptions that lasted too long: a better choice of workers may be
// possible by now.
func (m *Machine) expireHolds() {
	for _, id := range sortedKeys(m.holds) {
		if m.nowMS-m.holds[id].sinceMS >= m.cfg.MaxHoldTime.Milliseconds() {
			m.dropHold(id)
		}
	}
	for _, id := range sortedKeys(m.preemptions) {
		if p, ok := m.preemptions[id]; ok && m.nowMS >= p.untilMS {
			m.dropPreemption(id)
		}
	}
}
