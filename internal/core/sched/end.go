package sched

import (
	"math"
	"strings"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// ending is a proven end of an attempt.
type ending struct {
	outcome domain.Outcome
	detail  string
	// runMS is the run time. Zero means unknown.
	runMS int64
	// blame counts the end against the worker.
	blame bool
	// excused keeps a loss out of the task's bound on attempts, as in a rack failure.
	excused bool
}

// end records the proven end of an attempt and decides what becomes of the task. An
// attempt that ended together with another member of its gang is left alone.
func (m *Machine) end(a *attempt, e ending) {
	if m.attempts[a.ID] != a {
		return
	}
	j := a.j
	r := &EndedRecord{
		Attempt: a.ID, Outcome: e.outcome, Peak: a.peak, RunMS: e.runMS, Detail: clip(e.detail), BlameWorker: e.blame,
	}
	if e.outcome == domain.OutcomeStopped || e.outcome == domain.OutcomeCheckpointed || e.outcome == domain.OutcomeNeverStarted {
		r.Cause = a.cause
	}
	m.decide(a, r, e)
	restarting, failed := j.GangRestart, j.GangFailed
	m.commit(Record{Ended: r})
	m.pendingEnds[a.ID] = m.nextBatch()
	m.endOrder = append(m.endOrder, pendingAck{batch: m.nextBatch(), attempt: a.ID})
	if j.isGang() && (j.GangRestart != restarting || j.GangFailed != failed) {
		m.endMembers(j, r.Cause)
	}
	if w, ok := m.workers[a.Worker]; ok {
		m.updateExclusion(w)
	}
}

// maxDetail bounds a worker's text in bytes: it is journaled and kept in the history.
const maxDetail = 300

// clip shortens a text to maxDetail bytes of valid UTF-8, which CBOR requires.
func clip(text string) string {
	if len(text) > maxDetail {
		text = text[:maxDetail]
	}
	return strings.ToValidUTF8(text, "")
}

// endMembers ends the remaining members of a gang that fails or restarts.
func (m *Machine) endMembers(j *job, cause Cause) {
	if j.GangFailed || (cause != CauseLeaving && cause != CausePreempted && cause != CauseLimit) {
		cause = CauseGang
	}
	for i := range j.Tasks {
		if a, ok := m.attempts[j.Tasks[i].Attempt]; ok {
			m.requestEnd(a, cause)
		}
	}
}

// decide fills in what becomes of the task after the end.
func (m *Machine) decide(a *attempt, r *EndedRecord, e ending) {
	j := a.j
	t := &j.Tasks[a.Task]
	r.NotBeforeMS = m.now
	r.Stable = j.isService() && m.ranMS(a, e) >= m.cfg.StableRun.Milliseconds()
	dropped := j.Cancelled || j.GangFailed
	switch {
	case e.outcome == domain.OutcomeNeverStarted && dropped:
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
	case dropped:
		r.Next = NextCancelled
	case !j.Spec.Idempotent:
		r.Next = NextFailed
	default:
		m.decideRetry(a, t, r, e)
	}
}

// ranMS returns how long the attempt ran as far as is known.
func (m *Machine) ranMS(a *attempt, e ending) int64 {
	if e.runMS > 0 || a.startedMS == 0 {
		return e.runMS
	}
	return m.now - a.startedMS
}

// decideRetry decides whether an idempotent task runs again, and when.
func (m *Machine) decideRetry(a *attempt, t *durableTask, r *EndedRecord, e ending) {
	r.Next = NextRetry
	switch e.outcome {
	case domain.OutcomeLost:
		r.Failure = !e.excused
		r.Restart = true
		m.stats.Retries[metrics.RetryTaskLost]++
	case domain.OutcomeLeaseExpired:
		r.Restart = true
		m.stats.Retries[metrics.RetryTaskLost]++
	case domain.OutcomeStopped, domain.OutcomeCheckpointed:
		r.Failure = r.Cause == CauseMemory
	default:
		// A failure, or a replica that exited by itself.
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
	if e.outcome == domain.OutcomeFailed && len(addDistinct(failedOn, a.Worker, m.cfg.FailedEverywhere)) >= m.cfg.FailedEverywhere {
		r.Next = NextFailedEverywhere
		return
	}
	if failures >= m.maxAttempts(a.j) {
		r.Next = NextFailed
		return
	}
	r.NotBeforeMS = m.now + m.backoffMS(failures)
}

// maxAttempts is the bound on failed attempts of one task. Replicas have none unless the job sets it.
func (m *Machine) maxAttempts(j *job) int {
	switch {
	case j.Spec.MaxAttempts > 0:
		return j.Spec.MaxAttempts
	case j.isService():
		return math.MaxInt
	}
	return m.cfg.MaxAttempts
}

// backoffMS is the wait after that many failures.
func (m *Machine) backoffMS(failures int) int64 {
	wait := m.cfg.BackoffBase
	for i := 1; i < failures && wait < m.cfg.BackoffMax; i++ {
		wait *= 2
	}
	return min(wait, m.cfg.BackoffMax).Milliseconds()
}

// settleGang keeps the members of a gang together after one of them ended.
// It depends on durable state and the record only.
func (m *Machine) settleGang(j *job, r *EndedRecord) {
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

// restartGang makes members that succeeded wait again, so that all start together.
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
// because members resumed from different moments do not fit together.
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

// requestEnd asks the worker to checkpoint or stop an attempt. A start that
// was not sent yet is withdrawn.
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
		a.j.moving++
	}
	if a.phase == phaseIntended {
		m.end(a, ending{outcome: domain.OutcomeNeverStarted, detail: "withdrawn before the start was sent"})
		return
	}
	a.stopMS = m.now
	if a.j.movable() && cause != CauseCancelled && cause != CauseGang {
		a.stopMS += m.graceMS(cause)
	}
	m.stopping = append(m.stopping, a)
	m.sendEnd(a)
}

// graceMS is the time that a checkpoint may take. A leaving VM leaves more time
// than a preemption, which has to start urgent work within seconds.
func (m *Machine) graceMS(cause Cause) int64 {
	grace := m.cfg.CheckpointGrace.Milliseconds()
	if cause == CauseLeaving {
		return 10 * grace
	}
	return grace
}

// escalate turns a checkpoint into a stop where the job was cancelled meanwhile.
func (m *Machine) escalate(a *attempt, cause Cause) {
	if cause != CauseCancelled || a.cause == CauseCancelled {
		return
	}
	if a.cause == CauseLeaving {
		a.j.moving--
	}
	a.cause = cause
	a.stopMS = m.now
	m.sendEnd(a)
}

// sendEnd puts out the checkpoint or stop of an attempt.
func (m *Machine) sendEnd(a *attempt) {
	a.resendMS = m.now + m.cfg.ResendAfter.Milliseconds()
	w := m.worker(a.Worker)
	if !w.callable() {
		return
	}
	call := outCall{a.Worker, a.ID}
	if m.now < a.stopMS {
		m.out.checkpoints = append(m.out.checkpoints, call)
	} else {
		m.out.stops = append(m.out.stops, call)
	}
	m.out.renew = append(m.out.renew, a.Worker)
}

// resendStops repeats stops and checkpoints without effect so far: a stop may
// overtake the start that it is for.
func (m *Machine) resendStops() {
	kept := m.stopping[:0]
	for _, a := range m.stopping {
		if m.attempts[a.ID] != a {
			continue
		}
		kept = append(kept, a)
		if m.now >= a.resendMS {
			m.sendEnd(a)
		}
	}
	clear(m.stopping[len(kept):])
	m.stopping = kept
}
