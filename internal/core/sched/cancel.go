package sched

import "auburnpier/internal/domain"

const (
	// maxJobsPerCancel bounds the jobs of one record, so that a bulk cancellation fits into
	// journal groups of at most 1 MB.
	maxJobsPerCancel = 1000
	// maxJobsPerDrop bounds the ended jobs deleted by one record.
	maxJobsPerDrop = 1000
)

// cancel records the cancellation of jobs in batches. The cost is linear in the number of jobs
// and their tasks.
func (m *Machine) cancel(e Cancel) Result {
	jobs := make([]*job, 0, len(e.Jobs))
	seen := make(map[domain.JobID]bool, len(e.Jobs))
	for _, id := range e.Jobs {
		j, ok := m.jobs[id]
		if !ok || seen[id] || j.Cancelled || j.State.Terminal() || (e.Team != "" && j.Team != e.Team) {
			continue
		}
		seen[id] = true
		jobs = append(jobs, j)
	}
	m.cancelJobs(jobs, e.Reason)
	return Result{Cancelled: len(jobs), Batch: m.batchToConfirm()}
}

// cancelJobs cancels open jobs and stops their attempts.
func (m *Machine) cancelJobs(jobs []*job, reason string) {
	for len(jobs) > 0 {
		chunk := jobs[:min(maxJobsPerCancel, len(jobs))]
		jobs = jobs[len(chunk):]
		ids := make([]domain.JobID, 0, len(chunk))
		for _, j := range chunk {
			ids = append(ids, j.ID)
		}
		m.commit(Record{Cancelled: &CancelledRecord{Jobs: ids, Reason: reason}})
		for _, j := range chunk {
			m.stopAttempts(j)
		}
	}
}

func (m *Machine) stopAttempts(j *job) {
	if j.active() == 0 {
		return
	}
	for i := range j.Tasks {
		if a, ok := m.attempts[j.Tasks[i].Attempt]; ok {
			m.requestEnd(a, CauseCancelled)
		}
	}
}

// dropEndedJobs deletes jobs that ended longer than EndedRetention ago or exceed MaxEnded, oldest first.
func (m *Machine) dropEndedJobs() {
	if m.openEnded > len(m.open)/2 {
		kept := make([]*job, 0, len(m.open)-m.openEnded)
		for _, j := range m.open {
			if !j.State.Terminal() {
				kept = append(kept, j)
			}
		}
		m.open = kept
		m.openEnded = 0
	}
	var ids []domain.JobID
	for i, j := range m.ended {
		old := m.nowMS-j.EndedMS >= m.cfg.EndedRetention.Milliseconds() || len(m.ended)-i > m.cfg.MaxEnded
		if !old || len(ids) == maxJobsPerDrop {
			break
		}
		ids = append(ids, j.ID)
	}
	if len(ids) > 0 {
		m.commit(Record{JobsDropped: &JobsDroppedRecord{Jobs: ids}})
	}
}

// drainLeaving moves work off VMs that the platform is going to remove.
func (m *Machine) drainLeaving() {
	for _, w := range m.workerOrder {
		if !w.leaving || len(w.attempts) == 0 {
			continue
		}
		for _, a := range w.sortedAttempts() {
			if m.attempts[a.ID] == a && a.cause == CauseNone && m.shouldMoveOff(a) {
				m.requestEnd(a, CauseLeaving)
			}
		}
	}
}

// shouldMoveOff reports whether an attempt should leave a leaving VM now. Replicas move one
// at a time, so that the service stays up.
func (m *Machine) shouldMoveOff(a *attempt) bool {
	switch {
	case a.phase == phaseIntended:
		return true
	case a.j.isService():
		return a.j.movingOff == 0 && a.j.active() == len(a.j.Tasks)
	}
	return a.j.migratable()
}
