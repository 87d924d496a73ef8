package jobs

import (
	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// requiredVMLists is how many consecutive lists must prove that a worker has terminated, so that its runs are
// never abandoned because of a single answer. The pages of a list are not one snapshot.
const requiredVMLists = 2

// requiredYoungerWorkers is how many workers must be younger than one that a former owner knew, so that the proof never
// depends on the time of day of a single VM.
const requiredYoungerWorkers = 3

// maxTimeOfDayDifferenceMS bounds how far the times of day of two VMs differ.
const maxTimeOfDayDifferenceMS = 5000

// vmHistory holds the worker that the last list named on a VM, or none, and the one named before.
type vmHistory struct {
	current, former domain.WorkerID
}

// TerminatedWorker is a worker whose process has terminated, with the proof.
type TerminatedWorker struct {
	ID    domain.WorkerID
	Proof string
}

// VMListVerdict is what a list of VMs proves.
type VMListVerdict struct {
	// Terminated are the workers that have terminated.
	Terminated []TerminatedWorker
	// Foreign is set if the list names no worker of the cell, and Outdated if it contradicts an earlier list
	// or a worker that answers. Either way it proves nothing.
	Foreign, Outdated bool
	// Unproven counts the unresponsive workers that the list leaves out without proving that they have terminated.
	Unproven int
}

// HandleVMList judges a complete list of VMs that was requested at the given monotonic time, after the answer to
// the previous one. A list may be of any age, so it proves nothing about a worker only by leaving it out.
func (m *Machine) HandleVMList(list []waves.VM, requestedMS int64) VMListVerdict {
	workerOn := make(map[waves.VMID]domain.WorkerID, len(list))
	listed := make(map[domain.WorkerID]bool, len(list))
	foreign := true
	for _, vm := range list {
		workerOn[vm.ID] = vm.Worker
		listed[vm.Worker] = true
		foreign = foreign && m.workers[vm.Worker] == nil
	}
	v := VMListVerdict{Outdated: m.isOutdated(list, listed)}
	sameVMs := sameKeys(workerOn, m.workerOn)
	m.workerOn = workerOn
	lastJoinMS := m.lastJoin(listed)
	if !v.Outdated {
		m.recordVMs(list)
		v.Foreign = foreign && len(m.workers) > 0
	}
	if foreign || v.Outdated {
		for _, w := range m.sortedWorkers {
			w.listsWithout = 0
		}
		return v
	}
	for _, w := range m.sortedWorkers {
		if listed[w.id] || !m.isUnresponsive(w) || w.lastReportMS >= requestedMS {
			w.listsWithout = 0
			continue
		}
		proof := ""
		switch {
		case m.hasLostVM(w, workerOn):
			proof = "its VM is listed without it"
		case sameVMs && w.knownSinceMS < lastJoinMS:
			proof = "a list of VMs leaves it out that names a worker which joined later"
		case sameVMs && m.hasYoungerWorkers(w, listed):
			proof = "a list of VMs leaves it out that names younger workers"
		default:
			w.listsWithout = 0
			v.Unproven++
			continue
		}
		if w.listsWithout++; w.listsWithout >= requiredVMLists {
			v.Terminated = append(v.Terminated, TerminatedWorker{w.id, proof})
		}
	}
	return v
}

// hasLostVM reports whether the list shows the VM on which an earlier one named the worker without a worker, or with one
// that has answered since: a VM has one worker at a time.
func (m *Machine) hasLostVM(w *worker, workerOn map[waves.VMID]domain.WorkerID) bool {
	successor, shown := workerOn[w.vm]
	return w.vm != "" && shown && (successor == "" || m.answeredAfter(successor, w))
}

// isOutdated reports whether the list is certainly older than an earlier one: it leaves out a worker that was
// named before and answers, or names the former worker of a VM, which does not answer. A worker that is about to
// leave may be missing before its polls fail.
func (m *Machine) isOutdated(list []waves.VM, listed map[domain.WorkerID]bool) bool {
	for _, w := range m.sortedWorkers {
		if w.vm != "" && !listed[w.id] && w.answers() && !w.draining {
			return true
		}
	}
	for _, vm := range list {
		if w := m.workers[vm.Worker]; vm.Worker != "" && vm.Worker == m.vms[vm.ID].former && (w == nil || !w.answers()) {
			return true
		}
	}
	return false
}

// recordVMs records on which VM each worker is.
func (m *Machine) recordVMs(list []waves.VM) {
	clear(m.listedVMs)
	for _, vm := range list {
		h := m.vms[vm.ID]
		if vm.Worker != h.current {
			if h.current != "" {
				h.former = h.current
			}
			if vm.Worker == h.former {
				h.former = ""
			}
			h.current = vm.Worker
			m.vms[vm.ID] = h
		}
		if vm.Worker == "" {
			continue
		}
		m.listedVMs[vm.Worker] = vm.ID
		if w := m.workers[vm.Worker]; w != nil && !w.restarted && w.vm != vm.ID {
			w.vm = vm.ID
			m.membersChanged = true
		}
	}
}

// hasYoungerWorkers reports whether the list names workers that are younger than one which a former owner has stored, so that
// it is not from before that one joined. This owner does not know in which order they joined. A worker that was restarted
// under its ID may be listed from its former incarnation.
func (m *Machine) hasYoungerWorkers(w *worker, listed map[domain.WorkerID]bool) bool {
	startMS := max(w.storedStartMS, w.registeredStartMS)
	if _, suspect := m.suspects[w.id]; !suspect || w.startedMS != 0 || w.storedStartMS == 0 {
		return false
	}
	younger := 0
	for id := range listed {
		x := m.workers[id]
		if x != nil && x.answers() && !x.restarted && x.storedStartMS == x.startedMS && x.startedMS > startMS {
			younger++
		}
	}
	return younger >= requiredYoungerWorkers
}

// lastJoin returns the latest time at which one of the listed workers joined that answers, or zero: a list that names it is
// not from before this owner knew those that it has learned of earlier.
func (m *Machine) lastJoin(listed map[domain.WorkerID]bool) int64 {
	lastMS := int64(0)
	for id := range listed {
		if w := m.workers[id]; w != nil && w.answers() && w.startedMS-m.beganUnixMS >= maxTimeOfDayDifferenceMS {
			lastMS = max(lastMS, w.joinedMS)
		}
	}
	return lastMS
}

// sameKeys reports whether both maps have the same keys. Between two lists with the same VMs none has slipped from one page
// to another.
func sameKeys[K comparable, V any](a, b map[K]V) bool {
	for k := range a {
		if _, ok := b[k]; !ok {
			return false
		}
	}
	return len(a) == len(b)
}

// answers reports whether the worker answered its last poll.
func (w *worker) answers() bool { return w.contacted && !w.pollFailed }

// answeredAfter reports whether the worker with the ID answers and has reported after w did.
func (m *Machine) answeredAfter(id domain.WorkerID, w *worker) bool {
	other := m.workers[id]
	return other != nil && other.answers() && other.lastReportMS > w.lastReportMS
}

// isUnresponsive reports whether the worker did not answer the last poll and may have tasks.
func (m *Machine) isUnresponsive(w *worker) bool {
	_, suspect := m.suspects[w.id]
	return w.pollFailed && !w.terminated && (suspect || len(w.runs) > 0)
}

// UnresponsiveWorkers returns the workers that did not answer the last poll and may have tasks.
func (m *Machine) UnresponsiveWorkers() []domain.WorkerID {
	var list []domain.WorkerID
	for _, w := range m.sortedWorkers {
		if m.isUnresponsive(w) {
			list = append(list, w.id)
		}
	}
	return list
}

// CountUnlistedWorkers returns the number of workers that answer and that no list of VMs has named.
func (m *Machine) CountUnlistedWorkers() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.vm == "" && !w.restarted && w.answers() {
			n++
		}
	}
	return n
}
