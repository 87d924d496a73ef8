package sched

import (
	"cmp"
	"maps"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// worker is the volatile state of one worker.
type worker struct {
	id       domain.WorkerID
	address  string
	location domain.Location
	// capacity is what may be reserved: the VM's capacity minus the memory headroom.
	capacity domain.Resources
	// indexed is set while the placement index contains the worker.
	indexed         bool
	listed, leaving bool
	// absentSinceMS is the time of the first of the latest consecutive reads of the platform's
	// list that did not contain the worker.
	absentSinceMS int64
	lease         domain.LeaseID
	bootID        string
	// everAcquired is set once this process has acquired the worker's lease.
	everAcquired bool
	unreachable  bool
	// unreachableSinceMS is when the worker became unreachable.
	unreachableSinceMS int64
	// leaseExpired is set when the lease provably expired and every attempt was ended.
	leaseExpired bool
	// rackFailure is set during a rack failure, until the worker is reachable again. Lost
	// attempts do not count against the worker meanwhile.
	rackFailure bool
	// lastLeaseCallMS is the latest time at which a lease call of this owner may have been sent.
	lastLeaseCallMS int64
	attempts        map[domain.AttemptID]*attempt
	// orphans are attempts that the worker runs although they are not active here, with the
	// resources reserved for them.
	orphans  map[domain.AttemptID]domain.Resources
	excluded placement.RejectReason
}

type rackKey struct {
	zone domain.ZoneID
	rack domain.RackID
}

// worker returns the entry of a worker and adds it if it is missing. The worker need not be in
// the platform's list yet.
func (m *Machine) worker(id domain.WorkerID) *worker {
	if w, ok := m.workers[id]; ok {
		return w
	}
	w := &worker{id: id, attempts: make(map[domain.AttemptID]*attempt)}
	m.workers[id] = w
	at, _ := slices.BinarySearchFunc(m.workerOrder, w, compareWorkers)
	m.workerOrder = slices.Insert(m.workerOrder, at, w)
	return w
}

func compareWorkers(a, b *worker) int { return cmp.Compare(a.id, b.id) }

// sortedAttempts returns the worker's attempts, oldest first.
func (w *worker) sortedAttempts() []*attempt { return sortAttempts(w.attempts) }

// sortedAttempts returns all attempts, oldest first.
func (m *Machine) sortedAttempts() []*attempt { return sortAttempts(m.attempts) }

func sortAttempts(attempts map[domain.AttemptID]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), compareAttempts)
}

// compareAttempts orders attempts by time of the intent, then by job and task.
func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(a.IntentMS, b.IntentMS), cmp.Compare(a.j.Seq, b.j.Seq), cmp.Compare(a.Task, b.Task))
}

// usable reports whether starts may be sent to the worker.
func (w *worker) usable() bool {
	return w.listed && w.lease != "" && !w.unreachable && !w.leaving
}

// callable reports whether calls under the lease can reach the worker.
func (w *worker) callable() bool { return w.lease != "" && !w.unreachable }

// updateExclusion updates in the placement index whether the worker may be chosen.
func (m *Machine) updateExclusion(w *worker) {
	if !w.indexed {
		return
	}
	reason := m.exclusionReason(w)
	if reason == w.excluded {
		return
	}
	w.excluded = reason
	m.index.Exclude(w.id, reason)
	m.needsRound = true
	if reason != "" {
		m.dropHoldsOfWorker(w.id)
	}
}

// exclusionReason returns why the worker must not be chosen, or an empty reason.
func (m *Machine) exclusionReason(w *worker) placement.RejectReason {
	switch {
	case w.leaving:
		return placement.RejectLeaving
	case !w.listed || w.lease == "" || w.unreachable:
		return placement.RejectUnreachable
	case !m.admits(w.id):
		return placement.RejectQuarantined
	}
	return ""
}

// workersListed processes one read of the platform's list.
func (m *Machine) workersListed(e WorkersListed) {
	seen := make(map[domain.WorkerID]bool, len(e.VMs))
	changed := false
	for _, vm := range e.VMs {
		if vm.Role != domain.RoleWorker {
			continue
		}
		id := domain.WorkerID(vm.ID)
		seen[id] = true
		changed = m.updateListed(m.worker(id), vm) || changed
	}
	for _, w := range slices.Clone(m.workerOrder) {
		if !seen[w.id] {
			changed = m.updateAbsent(w) || changed
		}
	}
	if changed {
		m.capacityChanged()
	}
}

// updateListed updates a listed worker and reports whether its capacity or location changed.
func (m *Machine) updateListed(w *worker, vm domain.VM) bool {
	capacity := vm.Capacity
	capacity.MemoryMB -= capacity.MemoryMB * m.cfg.MemoryHeadroomPercent / 100
	changed := !w.indexed || w.capacity != capacity || w.location != vm.Location
	if changed {
		m.leaveRack(w)
		w.capacity = capacity
		w.location = vm.Location
		key := rackKey{w.location.Zone, w.location.Rack}
		m.racks[key] = append(m.racks[key], w)
		m.index.Upsert(placement.Worker{ID: w.id, Location: w.location, Capacity: capacity})
	}
	if !w.indexed {
		w.indexed = true
		for _, a := range w.sortedAttempts() {
			m.index.ForceReserve(w.id, a.Job, a.Reservation)
			a.reserved = true
		}
	}
	if !w.listed && w.lease == "" {
		m.out.acquire = append(m.out.acquire, w.id)
	}
	w.listed = true
	w.absentSinceMS = 0
	w.address = vm.Address
	w.leaving = vm.Leaving
	m.updateExclusion(w)
	return changed
}

// updateAbsent processes a read that does not contain the worker, and reports whether the worker
// was removed. Only a read at least ListLag after the first such read proves that the VM no
// longer exists.
func (m *Machine) updateAbsent(w *worker) bool {
	if !m.ticked {
		// Without a clock reading, the time of the first such read would be unknown.
		return false
	}
	if w.absentSinceMS == 0 {
		w.absentSinceMS = m.nowMS
		w.listed = false
		m.updateExclusion(w)
		return false
	}
	if m.nowMS-w.absentSinceMS < m.cfg.ListLag.Milliseconds() {
		return false
	}
	m.removeWorker(w)
	return true
}

// removeWorker ends the attempts of a worker whose VM provably no longer exists and removes it.
func (m *Machine) removeWorker(w *worker) {
	m.endAllAttempts(w, "the VM left the platform's list", w.rackFailure || w.leaving)
	m.clearOrphans(w)
	if _, ok := m.health[w.id]; ok {
		m.commit(Record{WorkerRemoved: &WorkerRemovedRecord{Worker: w.id}})
	}
	if w.indexed {
		m.index.Remove(w.id)
	}
	m.dropHoldsOfWorker(w.id)
	m.leaveRack(w)
	delete(m.workers, w.id)
	at, _ := slices.BinarySearchFunc(m.workerOrder, w, compareWorkers)
	m.workerOrder = slices.Delete(m.workerOrder, at, at+1)
	m.out.removedWorkers = append(m.out.removedWorkers, w.id)
}

func (m *Machine) leaveRack(w *worker) {
	key := rackKey{w.location.Zone, w.location.Rack}
	list := m.racks[key]
	at := slices.Index(list, w)
	if at < 0 {
		return
	}
	if m.racks[key] = slices.Delete(list, at, at+1); len(m.racks[key]) == 0 {
		delete(m.racks, key)
	}
}

// capacityChanged updates the state that depends on the total capacity and the largest worker.
func (m *Machine) capacityChanged() {
	m.largest = domain.Resources{}
	for _, w := range m.workerOrder {
		m.largest = m.largest.Max(w.capacity)
	}
	m.queue.SetTotal(m.index.Total())
	m.needsRound = true
}
