package jobs

import (
	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// EvacuateWorkers replaces the set of workers whose VMs go down for maintenance next. These get no
// new work. Workers that are no longer in the set are used again.
func (m *Machine) EvacuateWorkers(list map[domain.WorkerID]waves.Evacuation) {
	for _, w := range m.sortedWorkers {
		e, emptied := list[w.id]
		if emptied != w.evacuating {
			kind := "worker_emptied"
			if !emptied {
				kind = "worker_used_again"
			}
			m.out.recordWorker(kind, w.id, stopMaintenance)
			m.needsPass = true
		}
		w.evacuating, w.evacuateByMS = emptied, e.DeadlineMS
	}
}

// evacuateRun stops a run of an evacuating worker if it would not end in time, and reports
// whether it did. Long-running tasks are stopped at once, as far as their disruption budget
// permits.
func (m *Machine) evacuateRun(r *run) bool {
	s := r.task.step
	left := r.worker.evacuateByMS - m.nowMS
	switch {
	case r.phase != runConfirmed:
		return false
	case s.spec.LongRunning:
		if m.mayDisrupt(s) {
			m.stopRun(r, stopMaintenance)
			return true
		}
		return false
	case left <= 0 || s.spec.Checkpointable && m.checkpointDue(r, left) && m.remainingMS(r) > left:
		m.stopWhole(r, stopMaintenance)
		return true
	}
	return false
}

// WorkerLoad returns the load of a worker. A worker that has not reported yet counts as busy,
// because it may run tasks of a former owner.
func (m *Machine) WorkerLoad(id domain.WorkerID) (waves.Load, bool) {
	w, ok := m.workers[id]
	if !ok {
		_, suspect := m.suspects[id]
		return waves.Load{Runs: 1}, suspect
	}
	load := waves.Load{Runs: len(w.runs) + w.unknownRuns}
	if !w.contacted {
		load.Runs++
	}
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning {
			load.RemainingMS = max(load.RemainingMS, m.remainingMS(r))
		}
	}
	return load, true
}
