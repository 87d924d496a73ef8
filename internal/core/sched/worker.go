package sched

import (
	"cmp"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// worker is the volatile state of one worker.
type worker struct {
	id       domain.WorkerID
	address  string
	location domain.Location
	// capacity is what may be reserved: the VM's capacity less the memory headroom.
	capacity domain.Resources
	// indexed tells that the placement index knows the worker.
	indexed         bool
	listed, leaving bool
	// absentMS is the time of the first of the latest reads in a row that lacked the worker.
	absentMS int64
	lease    domain.LeaseID
	bootID   string
	// acquired tells that this process has held the worker's lease.
	acquired    bool
	unreachable bool
	// unreachableMS is when the worker became unreachable.
	unreachableMS int64
	// lapsed tells that the lease provably lapsed and every attempt was ended.
	lapsed bool
	// rackFailure exempts the worker from blame until it is reachable again.
	rackFailure bool
	// lastSentMS is the last time at which a lease call of this owner may have been sent.
	lastSentMS int64
	attempts   map[domain.AttemptID]*attempt
	// orphans are attempts that the worker runs although they have ended here, with what is reserved for them.
	orphans  map[domain.AttemptID]domain.Resources
	excluded placement.RejectReason
}

type rackKey struct {
	zone domain.ZoneID
	rack domain.RackID
}

// worker returns the entry of a worker, which may be unlisted so far.
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

// sorted returns the worker's attempts, oldest first.
func (w *worker) sorted() []*attempt {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}

// sortedAttempts returns all attempts, oldest first.
func (m *Machine) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}

// compareAttempts orders by time of the intent, then by job and task.
func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(a.IntentMS, b.IntentMS), cmp.Compare(a.j.Seq, b.j.Seq), cmp.Compare(a.Task, b.Task))
}

// usable reports whether starts may be sent to the worker.
func (w *worker) usable() bool {
	return w.listed && w.lease != "" && !w.unreachable && !w.leaving
}

// callable reports whether calls under the lease make sense.
func (w *worker) callable() bool { return w.lease != "" && !w.unreachable }

// updateExclusion tells the index whether the worker may be chosen.
func (m *Machine) updateExclusion(w *worker) {
	if !w.indexed {
		return
	}
	reason := m.exclusion(w)
	if reason == w.excluded {
		return
	}
	w.excluded = reason
	m.index.Exclude(w.id, reason)
	m.dirty = true
	if reason != "" {
		m.holdLost(w.id)
	}
}

func (m *Machine) exclusion(w *worker) placement.RejectReason {
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

// workersListed handles one read of the platform's list.
func (m *Machine) workersListed(e WorkersListed) {
	seen := make(map[domain.WorkerID]bool, len(e.VMs))
	changed := false
	for _, vm := range e.VMs {
		if vm.Role != domain.RoleWorker {
			continue
		}
		id := domain.WorkerID(vm.ID)
		seen[id] = true
		changed = m.workerSeen(m.worker(id), vm) || changed
	}
	for _, w := range slices.Clone(m.workerOrder) {
		if !seen[w.id] {
			changed = m.workerAbsent(w) || changed
		}
	}
	if changed {
		m.capacityChanged()
	}
}

// workerSeen updates a listed worker and reports whether the index changed.
func (m *Machine) workerSeen(w *worker, vm domain.VM) bool {
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
		for _, a := range w.sorted() {
			m.index.ForceReserve(w.id, a.Job, a.Reservation)
			a.reserved = true
		}
	}
	if !w.listed && w.lease == "" {
		m.out.acquire = append(m.out.acquire, w.id)
	}
	w.listed = true
	w.absentMS = 0
	w.address = vm.Address
	w.leaving = vm.Leaving
	m.updateExclusion(w)
	return changed
}

// workerAbsent handles a read that lacks the worker. Only a read at least
// ListLag after the first such read proves that the VM is gone.
func (m *Machine) workerAbsent(w *worker) bool {
	if !m.ticked {
		// The time of the first missing read would be unknown.
		return false
	}
	if w.absentMS == 0 {
		w.absentMS = m.now
		w.listed = false
		m.updateExclusion(w)
		return false
	}
	if m.now-w.absentMS < m.cfg.ListLag.Milliseconds() {
		return false
	}
	m.workerGone(w)
	return true
}

// workerGone ends the attempts of a worker that is proven gone and forgets it.
func (m *Machine) workerGone(w *worker) {
	m.endAll(w, "the VM left the platform's list", w.rackFailure || w.leaving)
	m.clearOrphans(w)
	if _, ok := m.health[w.id]; ok {
		m.commit(Record{WorkerGone: &WorkerGoneRecord{Worker: w.id}})
	}
	if w.indexed {
		m.index.Remove(w.id)
	}
	m.holdLost(w.id)
	m.leaveRack(w)
	delete(m.workers, w.id)
	at, _ := slices.BinarySearchFunc(m.workerOrder, w, compareWorkers)
	m.workerOrder = slices.Delete(m.workerOrder, at, at+1)
	m.out.forgotten = append(m.out.forgotten, w.id)
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

// capacityChanged updates what depends on the sum and the largest of the workers.
func (m *Machine) capacityChanged() {
	m.largest = domain.Resources{}
	for _, w := range m.workerOrder {
		m.largest = m.largest.Max(w.capacity)
	}
	m.queue.SetTotal(m.index.Total())
	m.dirty = true
}
