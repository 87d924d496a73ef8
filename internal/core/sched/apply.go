package sched

import (
	"fmt"
	"strconv"

	"auburnpier/internal/domain"
)

// commit applies the record of a decision and adds it to the next Ready.
func (m *Machine) commit(r Record) {
	r.Version = RecordVersion
	r.AtMS = m.nowMS
	ended := len(m.ended)
	if err := m.apply(r); err != nil {
		// A decision is based on the state that it changes, so an error here is a bug in this package.
		panic(fmt.Sprintf("sched: cannot apply a record of this process: %v", err))
	}
	for _, j := range m.ended[min(ended, len(m.ended)):] {
		j.endBatch = m.nextBatch()
	}
	m.records = append(m.records, r)
}

// nextBatch returns the number of the batch that will contain the records being collected.
func (m *Machine) nextBatch() uint64 { return m.batch + 1 }

// apply changes the durable state. It depends only on that state and the record.
func (m *Machine) apply(r Record) error {
	switch {
	case r.Accepted != nil:
		return m.applyAccepted(r.AtMS, r.Accepted)
	case r.Intents != nil:
		return m.applyIntents(r.AtMS, r.Intents)
	case r.Ended != nil:
		return m.applyEnded(r.AtMS, r.Ended)
	case r.Cancelled != nil:
		return m.applyCancelled(r.AtMS, r.Cancelled)
	case r.ReservationRaised != nil:
		return m.applyReservationRaised(r.AtMS, r.ReservationRaised)
	case r.JobsDropped != nil:
		return m.applyJobsDropped(r.JobsDropped)
	case r.WorkerRemoved != nil:
		delete(m.health, r.WorkerRemoved.Worker)
		return nil
	case r.CanaryPassed != nil:
		delete(m.health, r.CanaryPassed.Worker)
		return nil
	}
	return fmt.Errorf("record of version %d has no body of a known type", r.Version)
}

func (m *Machine) applyAccepted(at int64, r *AcceptedRecord) error {
	if _, ok := m.jobs[r.Job]; ok {
		return fmt.Errorf("record accepts job %s a second time", r.Job)
	}
	m.seq++
	j := newJob(durableJob{
		ID: r.Job, Team: r.Team, Spec: r.Spec, Seq: m.seq, AcceptedMS: at,
		State: domain.JobQueued, Tasks: make([]durableTask, r.Spec.Tasks), WaitingSinceMS: at,
	})
	m.addJob(j)
	m.addEvent(j, at, 0, "accepted", "", "")
	return nil
}

// addJob adds a job, its idempotency key and, if the job has not ended, its waiting tasks.
func (m *Machine) addJob(j *job) {
	m.jobs[j.ID] = j
	if key := j.Spec.IdempotencyKey; key != "" {
		m.keys[submitKey{j.Team, key}] = j.ID
	}
	if j.State.Terminal() {
		m.ended = append(m.ended, j)
		return
	}
	m.open = append(m.open, j)
	for i := range j.Tasks {
		if j.Tasks[i].State == taskWaiting {
			m.scheduleWaitingTask(j, i)
		}
	}
}

func (m *Machine) applyIntents(at int64, r *IntentsRecord) error {
	j, ok := m.jobs[r.Job]
	if !ok {
		return fmt.Errorf("intent for unknown job %s", r.Job)
	}
	for _, in := range r.Intents {
		if in.Task < 0 || in.Task >= len(j.Tasks) || j.Tasks[in.Task].State != taskWaiting {
			return fmt.Errorf("intent %s for a task that is not waiting", in.Attempt)
		}
		t := &j.Tasks[in.Task]
		t.Starts++
		t.Attempt = in.Attempt
		t.Restart = false
		j.setTask(in.Task, taskActive)
		if in.Restart {
			m.consumeRestart(at)
		}
		m.addAttempt(j, durableAttempt{
			ID: in.Attempt, Job: j.ID, Task: in.Task, Worker: in.Worker,
			BootID: in.BootID, Reservation: in.Reservation, IntentMS: at,
		})
		m.assignCanary(in.Worker, in.Attempt, at)
		m.addEvent(j, at, in.Task, "planned", in.Worker, string(in.Attempt))
	}
	j.State = domain.JobRunning
	return nil
}

// addAttempt adds an attempt and charges its team. It does not change the placement index.
func (m *Machine) addAttempt(j *job, d durableAttempt) *attempt {
	a := &attempt{durableAttempt: d, j: j, batch: m.nextBatch(), phase: phaseSent}
	m.attempts[a.ID] = a
	w := m.worker(a.Worker)
	w.attempts[a.ID] = a
	m.charge(j.Team, a.Reservation)
	return a
}

// removeAttempt reverts addAttempt and releases the reservation in the placement index.
func (m *Machine) removeAttempt(a *attempt) {
	delete(m.attempts, a.ID)
	w := m.worker(a.Worker)
	delete(w.attempts, a.ID)
	if a.reserved {
		m.index.Release(a.Worker, a.Job, a.Reservation)
		a.reserved = false
	}
	m.refund(a.j.Team, a.Reservation)
	if a.cause == CauseLeaving {
		a.j.movingOff--
	}
	m.needsRound = true
}

func (m *Machine) applyEnded(at int64, r *EndedRecord) error {
	a, ok := m.attempts[r.Attempt]
	if !ok {
		return fmt.Errorf("end of unknown attempt %s", r.Attempt)
	}
	j := a.j
	t := &j.Tasks[a.Task]
	m.removeAttempt(a)
	m.recordUsage(j, r)
	m.updateHealth(a, r, at)
	t.Attempt = ""
	if r.Stable {
		t.Failures = 0
		t.FailedOn = nil
	}
	if r.Failure {
		t.Failures++
	}
	if r.Outcome == domain.OutcomeFailed {
		t.FailedOn = addDistinct(t.FailedOn, a.Worker, m.cfg.MaxFailedWorkers)
	}
	switch {
	case r.Outcome == domain.OutcomeCheckpointed:
		t.Checkpoint = a.ID
	case j.isGang() && r.Outcome != domain.OutcomeNeverStarted:
		t.Checkpoint = ""
	}
	if r.Cause == CauseMemory {
		j.MinReservation = j.MinReservation.Max(domain.Resources{MemoryMB: enlargedMemoryMB(max(r.Peak.MemoryMB, a.Reservation.MemoryMB))})
	}
	m.addEvent(j, at, a.Task, string(r.Outcome), a.Worker, endDetail(r))
	m.applyNext(j, a.Task, at, r)
	m.updateJobState(j, at)
	m.markChanged(j)
	return nil
}

// addDistinct appends id to list unless list contains it or has bound entries already.
func addDistinct(list []domain.WorkerID, id domain.WorkerID, bound int) []domain.WorkerID {
	for _, have := range list {
		if have == id {
			return list
		}
	}
	if len(list) >= bound {
		return list
	}
	return append(list, id)
}

// endDetail joins the cause of an end and the worker's detail text.
func endDetail(r *EndedRecord) string {
	switch {
	case r.Cause == CauseNone:
		return r.Detail
	case r.Detail == "":
		return string(r.Cause)
	}
	return string(r.Cause) + ": " + r.Detail
}

// applyNext moves the task to the state that the record determines.
func (m *Machine) applyNext(j *job, i int, at int64, r *EndedRecord) {
	switch r.Next {
	case NextSucceeded:
		j.setTask(i, taskSucceeded)
	case NextFailed:
		j.setTask(i, taskFailed)
	case NextFailedEverywhere:
		j.setTask(i, taskFailedEverywhere)
	case NextUnknown:
		j.setTask(i, taskUnknown)
	case NextCancelled:
		j.setTask(i, taskCancelled)
	default:
		t := &j.Tasks[i]
		t.NotBeforeMS = r.NotBeforeMS
		t.Restart = r.Restart
		if j.waiting() == 0 {
			j.WaitingSinceMS = at
		}
		j.setTask(i, taskWaiting)
		m.scheduleWaitingTask(j, i)
	}
	if j.Reason == "" && r.Next >= NextFailed && r.Next <= NextUnknown {
		j.Reason = "task " + strconv.Itoa(i) + " ended " + string(r.Outcome)
		if detail := endDetail(r); detail != "" {
			j.Reason += ": " + detail
		}
	}
	if j.isGang() {
		m.updateGang(j, r)
	}
}

// updateJobState ends a job whose tasks have all ended, and returns a job without active
// tasks to the queue.
func (m *Machine) updateJobState(j *job, at int64) {
	if j.State.Terminal() {
		return
	}
	if j.active() == 0 && j.waiting() > 0 {
		j.State = domain.JobQueued
		return
	}
	if j.active()+j.waiting() > 0 {
		return
	}
	j.State = j.finalState()
	j.EndedMS = at
	j.ready, j.readyRestarts = nil, nil
	m.ended = append(m.ended, j)
	m.openEnded++
	m.addEvent(j, at, 0, "ended", "", string(j.State))
}

// finalState returns the state of a job whose tasks have all ended. A task with an unknown
// outcome takes precedence over all others.
func (j *job) finalState() domain.JobState {
	switch {
	case j.counts[taskUnknown] > 0:
		return domain.JobUnknown
	case j.counts[taskSucceeded] == len(j.Tasks):
		return domain.JobSucceeded
	case j.Cancelled:
		return domain.JobCancelled
	case j.counts[taskFailedEverywhere] > 0:
		return domain.JobFailedEverywhere
	}
	return domain.JobFailed
}

func (m *Machine) applyCancelled(at int64, r *CancelledRecord) error {
	for _, id := range r.Jobs {
		j, ok := m.jobs[id]
		if !ok {
			return fmt.Errorf("cancellation of unknown job %s", id)
		}
		if j.Cancelled || j.State.Terminal() {
			continue
		}
		j.Cancelled = true
		j.Reason = r.Reason
		j.ready, j.readyRestarts = nil, nil
		for i := range j.Tasks {
			if j.Tasks[i].State == taskWaiting {
				j.setTask(i, taskCancelled)
			}
		}
		m.addEvent(j, at, 0, "cancelled", "", r.Reason)
		m.updateJobState(j, at)
		m.markChanged(j)
	}
	return nil
}

func (m *Machine) applyJobsDropped(r *JobsDroppedRecord) error {
	for _, id := range r.Jobs {
		j, ok := m.jobs[id]
		if !ok || !j.State.Terminal() {
			return fmt.Errorf("record drops job %s, which has not ended", id)
		}
		delete(m.jobs, id)
		key := submitKey{j.Team, j.Spec.IdempotencyKey}
		if m.keys[key] == id {
			delete(m.keys, key)
		}
	}
	kept := m.ended[:0]
	for _, j := range m.ended {
		if m.jobs[j.ID] == j {
			kept = append(kept, j)
		}
	}
	clear(m.ended[len(kept):])
	m.ended = kept
	return nil
}

func (m *Machine) applyReservationRaised(at int64, r *ReservationRaisedRecord) error {
	a, ok := m.attempts[r.Attempt]
	if !ok {
		return fmt.Errorf("raised reservation of unknown attempt %s", r.Attempt)
	}
	m.refund(a.j.Team, a.Reservation)
	a.Reservation = r.Reservation
	m.charge(a.j.Team, a.Reservation)
	m.addEvent(a.j, at, a.Task, "reservation raised", a.Worker, describeResources(a.Reservation))
	return nil
}

// addEvent appends an entry to a job's bounded history. The entry of the acceptance is always
// kept; the oldest of the others is dropped first.
func (m *Machine) addEvent(j *job, at int64, task int, kind string, w domain.WorkerID, detail string) {
	if len(j.Events) >= m.cfg.MaxEvents && len(j.Events) > 1 {
		copy(j.Events[1:], j.Events[2:])
		j.Events = j.Events[:len(j.Events)-1]
	}
	j.Events = append(j.Events, durableEvent{AtMS: at, Task: task, Kind: kind, Worker: w, Detail: detail})
}
