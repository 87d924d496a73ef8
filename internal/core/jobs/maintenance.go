package jobs

import (
	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// EmptyWorkers names the workers whose VMs go down for maintenance next. They
// get no new work; others are used again.
func (m *Machine) EmptyWorkers(list map[domain.WorkerID]waves.Emptying) {
	for _, w := range m.sortedWorkers {
		e, emptied := list[w.id]
		if emptied != w.evacuating {
			kind := "worker_emptied"
			if !emptied {
				kind = "worker_used_again"
			}
			m.out.recordWorker(kind, w.id, "maintenance of its VM")
			m.needsPass = true
		}
		w.evacuating, w.evacuateByMS = emptied, e.ByMS
	}
}

// empties reports whether a run of an emptied worker is on its way out, and
// stops it when it will not end in time. Lasting tasks leave at once, as far as
// their disruption budget permits.
func (m *Machine) evacuateRun(r *run) bool {
	s := r.task.step
	left := r.worker.evacuateByMS - m.nowMS
	switch {
	case r.phase != runConfirmed:
		return false
	case s.spec.Lasting:
		if m.mayDisrupt(s) {
			m.stopRun(r, "maintenance of its VM")
			return true
		}
		return false
	case left <= 0 || s.spec.Checkpointable && r.remainingMS() > left:
		if s.spec.Gang {
			m.stopStep(s, "maintenance of its VM")
		} else {
			m.stopRun(r, "maintenance of its VM")
		}
		return true
	}
	return false
}

// WorkerLoad returns what runs on a worker, or may: a worker that has not
// reported yet counts as busy.
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
		if !r.task.step.spec.Lasting {
			load.LeftMS = max(load.LeftMS, r.remainingMS())
		}
	}
	return load, true
}
