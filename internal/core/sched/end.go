package sched

import (
	"math"
	"strings"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// provenEnd is a proven end of an attempt.
type provenEnd struct {
	outcome domain.Outcome
	detail  string
	// runMS is the run time. Zero means unknown.
	runMS int64
	// blame counts the end as a failure of the worker.
	blame bool
	// exempt excludes a loss from the task's attempt limit, as in a rack failure.
	exempt bool
}

// recordEnd records the proven end of an attempt and decides what happens to the task. An
// attempt that was already ended together with another member of its gang is skipped.
func (m *Machine) recordEnd(a *attempt, e provenEnd) {
	if m.attempts[a.ID] != a {
		return
	}
	j := a.j
	r := &EndedRecord{
		Attempt: a.ID, Outcome: e.outcome, Peak: a.peak, RunMS: e.runMS, Detail: truncateDetail(e.detail), BlameWorker: e.blame,
	}
	if e.outcome == domain.OutcomeStopped || e.outcome == domain.OutcomeCheckpointed || e.outcome == domain.OutcomeNeverStarted {
		r.Cause = a.cause
	}
	m.decideNext(a, r, e)
	restarting, failed := j.GangRestart, j.GangFailed
	m.commit(Record{Ended: r})
	m.pendingEnds[a.ID] = m.nextBatch()
	m.pendingEndOrder = append(m.pendingEndOrder, pendingAck{batch: m.nextBatch(), attempt: a.ID})
	if j.isGang() && (j.GangRestart != restarting || j.GangFailed != failed) {
		m.endGangMembers(j, r.Cause)
	}
	if w, ok := m.workers[a.Worker]; ok {
		m.updateExclusion(w)
	}
}

// maxDetailBytes bounds a worker's detail text, which is journaled and kept in the history.
const maxDetailBytes = 300

// truncateDetail shortens a text to maxDetailBytes of valid UTF-8, which CBOR requires.
func truncateDetail(text string) string {
	if len(text) > maxDetailBytes {
		text = text[:maxDetailBytes]
	}
	return strings.ToValidUTF8(text, "")
}

// endGangMembers ends the remaining members of a gang that fails or restarts.
func (m *Machine) endGangMembers(j *job, cause Cause) {
	if j.GangFailed || (cause != CauseLeaving && cause != CausePreempted && cause != CauseLimit) {
		cause = CauseGang
	}
	for i := range j.Tasks {
		if a, ok := m.attempts[j.Tasks[i].Attempt]; ok {
			m.requestEnd(a, cause)
		}
	}
}

// decideNext sets the fields of the record that determine what happens to the task.
func (m *Machine) decideNext(a *attempt, r *EndedRecord, e provenEnd) {
	j := a.j
	t := &j.Tasks[a.Task]
	r.NotBeforeMS = m.nowMS
	r.Stable = j.isService() && m.ranMS(a, e) >= m.cfg.StableRun.Milliseconds()
	noRetry := j.Cancelled || j.GangFailed
	switch {
	case e.outcome == domain.OutcomeNeverStarted && noRetry:
		r.Next = NextCancelled
	case e.outcome == domain.OutcomeNeverStarted:
		r.Next = NextRetry
		m.stats.Retries[metrics.RetryTaskNotStarted]++
	case e.outcome == domain.OutcomeSucceeded && !j.isService():
		r.Next = NextSucceeded
		if j.GangRestart && !j.Cancelled {
			r.Next = NextRetry
		}
	case e.outcome == domain.OutcomeLost && !j.Spec.Idempotent:
		r.Next = NextUnknown
	case noRetry:
		r.Next = NextCancelled
	case !j.Spec.Idempotent:
		r.Next = NextFailed
	default:
		m.decideRetry(a, t, r, e)
	}
}

// ranMS returns how long the attempt ran, as far as it is known.
func (m *Machine) ranMS(a *attempt, e provenEnd) int64 {
	if e.runMS > 0 || a.startedMS == 0 {
		return e.runMS
	}
	return m.nowMS - a.startedMS
}

// decideRetry decides whether an idempotent task runs again, and when.
func (m *Machine) decideRetry(a *attempt, t *durableTask, r *EndedRecord, e provenEnd) {
	r.Next = NextRetry
	switch e.outcome {
	case domain.OutcomeLost:
		r.Failure = !e.exempt
		r.Restart = true
		m.stats.Retries[metrics.RetryTaskLost]++
	case domain.OutcomeLeaseExpired:
		r.Restart = true
		m.stats.Retries[metrics.RetryTaskLost]++
	case domain.OutcomeStopped, domain.OutcomeCheckpointed:
		r.Failure = r.Cause == CauseMemory
	default:
		// The task failed, or a replica exited by itself.
		r.Failure = true
		r.Restart = true
		m.stats.Retries[metrics.RetryTaskFailed]++
	}
	if !r.Failure {
		return
	}
	failures, failedOn := t.Failures, t.FailedOn
	if r.Stable {
		failures, failedOn = 0, nil
	}
	failures++
	if e.outcome == domain.OutcomeFailed && len(addDistinct(failedOn, a.Worker, m.cfg.MaxFailedWorkers)) >= m.cfg.MaxFailedWorkers {
		r.Next = NextFailedEverywhere
		return
	}
	if failures >= m.maxAttempts(a.j) {
		r.Next = NextFailed
		return
	}
	r.NotBeforeMS = m.nowMS + m.backoffMS(failures)
}

// maxAttempts returns the limit on failed attempts of one task. Replicas have none unless the
// job sets one.
func (m *Machine) maxAttempts(j *job) int {
	switch {
	case j.Spec.MaxAttempts > 0:
		return j.Spec.MaxAttempts
	case j.isService():
		return math.MaxInt
	}
	return m.cfg.MaxAttempts
}

// backoffMS returns the delay before the next retry after the given number of failures.
func (m *Machine) backoffMS(failures int) int64 {
	wait := m.cfg.BackoffBase
	for i := 1; i < failures && wait < m.cfg.BackoffMax; i++ {
		wait *= 2
	}
	return min(wait, m.cfg.BackoffMax).Milliseconds()
}

// updateGang restarts or fails a gang as a whole after one of its members ended.
// It depends only on durable state and the record.
func (m *Machine) updateGang(j *job, r *EndedRecord) {
	if r.Next == NextRetry && j.Spec.Idempotent {
		m.restartGang(j)
	}
	if r.Next >= NextFailed && r.Next <= NextUnknown {
		j.GangFailed = true
		j.GangRestart = false
	}
	if j.GangFailed && j.waiting() > 0 {
		for i := range j.Tasks {
			if j.Tasks[i].State == taskWaiting {
				j.setTask(i, taskCancelled)
			}
		}
	}
	if j.GangRestart && j.active() == 0 {
		j.GangRestart = false
		m.alignCheckpoints(j)
	}
}

// restartGang returns members that succeeded to the waiting state, so that all start together.
func (m *Machine) restartGang(j *job) {
	if j.GangFailed || j.active()+j.counts[taskSucceeded] == 0 {
		return
	}
	j.GangRestart = true
	if j.counts[taskSucceeded] == 0 {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == taskSucceeded {
			j.setTask(i, taskWaiting)
			j.Tasks[i].Checkpoint = ""
		}
	}
}

// alignCheckpoints drops the checkpoints of a gang unless every member has one,
// because members resumed from different points in time would be inconsistent.
func (m *Machine) alignCheckpoints(j *job) {
	for i := range j.Tasks {
		if j.Tasks[i].Checkpoint != "" {
			continue
		}
		for k := range j.Tasks {
			j.Tasks[k].Checkpoint = ""
		}
		return
	}
}

// requestEnd asks the worker to checkpoint or stop an attempt. If its start was not
// sent yet, the start is withdrawn instead.
func (m *Machine) requestEnd(a *attempt, cause Cause) {
	if m.attempts[a.ID] != a {
		return
	}
	if a.cause != CauseNone {
		m.escalate(a, cause)
		return
	}
	a.cause = cause
	if cause == CauseLeaving {
		a.j.movingOff++
	}
	if a.phase == phaseIntended {
		m.recordEnd(a, provenEnd{outcome: domain.OutcomeNeverStarted, detail: "withdrawn before the start was sent"})
		return
	}
	a.stopMS = m.nowMS
	if a.j.migratable() && cause != CauseCancelled && cause != CauseGang {
		a.stopMS += m.graceMS(cause)
	}
	m.stopping = append(m.stopping, a)
	m.sendStop(a)
}

// graceMS returns the time that a checkpoint may take. A leaving VM allows more time
// than a preemption, which has to start urgent work within seconds.
func (m *Machine) graceMS(cause Cause) int64 {
	grace := m.cfg.CheckpointGrace.Milliseconds()
	if cause == CauseLeaving {
		return 10 * grace
	}
	return grace
}

// escalate turns a checkpoint into an immediate stop if the job has been cancelled meanwhile.
func (m *Machine) escalate(a *attempt, cause Cause) {
	if cause != CauseCancelled || a.cause == CauseCancelled {
		return
	}
	if a.cause == CauseLeaving {
		a.j.movingOff--
	}
	a.cause = cause
	a.stopMS = m.nowMS
	m.sendStop(a)
}

// sendStop sends the checkpoint or stop call of an attempt.
func (m *Machine) sendStop(a *attempt) {
	a.resendMS = m.nowMS + m.cfg.ResendAfter.Milliseconds()
	w := m.worker(a.Worker)
	if !w.callable() {
		return
	}
	call := outCall{a.Worker, a.ID}
	if m.nowMS < a.stopMS {
		m.out.checkpoints = append(m.out.checkpoints, call)
	} else {
		m.out.stops = append(m.out.stops, call)
	}
	m.out.renew = append(m.out.renew, a.Worker)
}

// resendStops repeats stops and checkpoints that have had no effect so far: a stop may
// overtake the start of the same attempt.
func (m *Machine) resendStops() {
	kept := m.stopping[:0]
	for _, a := range m.stopping {
		if m.attempts[a.ID] != a {
			continue
		}
		kept = append(kept, a)
		if m.nowMS >= a.resendMS {
			m.sendStop(a)
		}
	}
	clear(m.stopping[len(kept):])
	m.stopping = kept
}
