package sched

import (
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// Status returns the state of a job without its history. A job whose end is not durable is shown as running: another owner that takes over
// before the journal holds the end runs it on.
func (m *Machine) Status(id domain.JobID) (domain.JobStatus, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return domain.JobStatus{}, false
	}
	s := domain.JobStatus{
		ID: j.ID, Team: j.Team, Partition: m.cfg.Partition, Spec: j.Spec, State: j.State,
		Queued: j.waiting(), Running: j.active(), Succeeded: j.counts[taskSucceeded],
		Failed:   j.counts[taskFailed] + j.counts[taskFailedEverywhere] + j.counts[taskUnknown],
		Accepted: fromMillis(j.AcceptedMS), Reason: m.reason(j),
	}
	switch {
	case !j.State.Terminal():
	case j.endBatch > m.durable:
		s.State, s.Reason = domain.JobRunning, "its end is not stored yet"
	default:
		ended := fromMillis(j.EndedMS)
		s.Ended = &ended
	}
	return s, true
}

// reason returns why the job waits or how it ended.
func (m *Machine) reason(j *job) string {
	switch {
	case j.State.Terminal() || j.Cancelled || j.waiting() == 0:
		return j.Reason
	case j.GangRestart:
		return "the gang restarts once all members have ended"
	case m.readyTasks(j) == 0:
		return "a retry waits for its backoff"
	case !m.team(j.Team).allotted:
		return "the partition does not know the team's allotment yet"
	}
	reason := m.queue.WaitReason(j.ID)
	if reason == policy.WaitNoCapacity && j.noCapacityDetail != "" {
		return j.noCapacityDetail
	}
	return waitTexts[reason]
}

// waitTexts maps the queue's wait reasons to texts for users.
var waitTexts = map[policy.WaitReason]string{
	policy.WaitTeamLimit:   "the team is at its limit in this partition",
	policy.WaitNoCapacity:  "no worker has room for a task of this size",
	policy.WaitBehind:      "jobs of a higher priority, of teams further below their share, or older ones go first",
	waitPreempting:         "other tasks are checkpointed to make room for it",
	policy.WaitRestartRate: "restarts after failures are at their rate",
}

// Explain returns the state of a job with its history. If the job waits, the last event says why.
func (m *Machine) Explain(id domain.JobID) (domain.JobStatus, bool) {
	s, ok := m.Status(id)
	if !ok {
		return s, false
	}
	j := m.jobs[id]
	for _, e := range j.Events {
		s.Events = append(s.Events, domain.Event{
			At: fromMillis(e.AtMS), Task: e.Task, Kind: e.Kind, Worker: e.Worker, Detail: e.Detail,
		})
	}
	if !j.State.Terminal() && j.waiting() > 0 {
		s.Events = append(s.Events, domain.Event{At: fromMillis(m.nowMS), Kind: "waiting", Detail: s.Reason})
	}
	return s, true
}

// Worker returns the state of a worker.
func (m *Machine) Worker(id domain.WorkerID) (WorkerStatus, bool) {
	w, ok := m.workers[id]
	if !ok {
		return WorkerStatus{}, false
	}
	s := WorkerStatus{
		ID: w.id, Address: w.address, Location: w.location, Capacity: w.capacity, Reserved: m.reserved(w),
		Lease: w.lease, BootID: w.bootID, Listed: w.listed, Leaving: w.leaving, Unreachable: w.unreachable,
		Quarantined: m.quarantined(id), Attempts: len(w.attempts),
	}
	if at, known := m.leaseExpiryMS(w); known && w.unreachable {
		s.LeaseExpiresAt = fromMillis(at)
	}
	return s, true
}

// Workers returns the IDs of all known workers in order.
func (m *Machine) Workers() []domain.WorkerID {
	ids := make([]domain.WorkerID, 0, len(m.workerOrder))
	for _, w := range m.workerOrder {
		ids = append(ids, w.id)
	}
	return ids
}

func (m *Machine) quarantined(id domain.WorkerID) bool {
	h, ok := m.health[id]
	return ok && h.Quarantined
}

// reserved returns the sum of the worker's reservations, including those of orphans.
func (m *Machine) reserved(w *worker) domain.Resources {
	var sum domain.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.Reservation)
	}
	for _, usage := range w.orphans {
		sum = sum.Add(usage)
	}
	return sum
}

// Stats returns the partition's counts for operators and metrics.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Retries = make(map[metrics.RetryReason]uint64, len(m.stats.Retries))
	for reason, n := range m.stats.Retries {
		s.Retries[reason] = n
	}
	s.JobsEnded = len(m.ended)
	for _, t := range m.teamOrder {
		t.waitingTasks = 0
	}
	for _, j := range m.open {
		switch {
		case j.State == domain.JobQueued:
			s.JobsQueued++
		case j.State == domain.JobRunning:
			s.JobsRunning++
		}
		s.TasksWaiting += j.waiting()
		m.team(j.Team).waitingTasks += j.waiting()
	}
	s.TasksActive = len(m.attempts)
	for _, w := range m.workerOrder {
		m.countWorker(&s, w)
	}
	s.Capacity = m.index.Total()
	s.Reserved = m.index.Reserved()
	for _, t := range m.teamOrder {
		s.Teams = append(s.Teams, TeamStats{
			Team: t.id, Running: t.running, Allotment: t.allotment, Limit: t.limit, WaitingTasks: t.waitingTasks,
		})
	}
	return s
}

func (m *Machine) countWorker(s *Stats, w *worker) {
	s.Workers++
	if w.lease != "" {
		s.WorkersLeased++
	}
	if w.unreachable {
		s.WorkersUnreachable++
	}
	if w.leaving {
		s.WorkersLeaving++
	}
	if w.excluded == placement.RejectQuarantined {
		s.WorkersQuarantined++
	}
}
