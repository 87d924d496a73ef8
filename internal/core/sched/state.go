package sched

import (
	"time"

	"auburnpier/internal/domain"
)

// taskState is the durable state of one task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskActive has an attempt whose end is not proven.
	taskActive
	taskSucceeded
	taskFailed
	taskFailedEverywhere
	// taskUnknown may or may not have run to its end.
	taskUnknown
	taskCancelled
	taskStates
)

// durableTask is the part of a task that records determine.
type durableTask struct {
	_     struct{} `cbor:",toarray"`
	State taskState
	// Starts counts intents and numbers attempts.
	Starts int
	// Failures counts ends that use up the bound on attempts and determine the backoff.
	Failures int
	// NotBeforeMS is the end of the backoff.
	NotBeforeMS int64
	// Restart tells that the next start uses the restart rate.
	Restart bool
	// FailedOn lists the distinct workers on which the task failed.
	FailedOn []domain.WorkerID
	// Attempt is the current attempt of an active task.
	Attempt domain.AttemptID
	// Checkpoint is the attempt whose checkpoint the next start resumes.
	Checkpoint domain.AttemptID
}

// durableEvent is a history entry with its time in milliseconds.
type durableEvent struct {
	_      struct{} `cbor:",toarray"`
	AtMS   int64
	Task   int
	Kind   string
	Worker domain.WorkerID
	Detail string
}

// durableJob is the part of a job that records determine.
type durableJob struct {
	ID         domain.JobID    `cbor:"1,keyasint"`
	Team       domain.TeamID   `cbor:"2,keyasint"`
	Spec       domain.JobSpec  `cbor:"3,keyasint"`
	Seq        uint64          `cbor:"4,keyasint"`
	AcceptedMS int64           `cbor:"5,keyasint"`
	EndedMS    int64           `cbor:"6,keyasint,omitempty"`
	State      domain.JobState `cbor:"7,keyasint"`
	Cancelled  bool            `cbor:"8,keyasint,omitempty"`
	Reason     string          `cbor:"9,keyasint,omitempty"`
	Tasks      []durableTask   `cbor:"10,keyasint"`
	Events     []durableEvent  `cbor:"11,keyasint,omitempty"`
	// Larger is the least reservation after a task exceeded its memory.
	Larger domain.Resources `cbor:"12,keyasint,omitempty"`
	// WaitingSinceMS is when a task last began to wait, for aging and gang delays.
	WaitingSinceMS int64 `cbor:"13,keyasint,omitempty"`
	// GangRestart tells that all members end before the gang is placed again.
	GangRestart bool `cbor:"14,keyasint,omitempty"`
	// GangFailed tells that a member failed for good, so that the others end.
	GangFailed bool `cbor:"15,keyasint,omitempty"`
}

// job is a job with what is derived from its durable state.
type job struct {
	durableJob
	counts [taskStates]int
	// fresh and restarts list waiting tasks past their backoff. Entries may be
	// stale; a task is placed only where its state is taskWaiting.
	fresh, restarts []int
	// queued is the demand that the team was told of.
	queued  domain.Resources
	inQueue bool
	touched bool
	// moving counts attempts that are stopped to leave their worker.
	moving int
	// preemptAfterMS is when the job may search for victims again.
	preemptAfterMS int64
	// holdAfterMS is when the job may search for workers to hold again.
	holdAfterMS int64
	// ceiling bounds learned reservations where one fitted no empty worker.
	ceiling domain.Resources
	// wait lists the rejections where the last search found no room.
	wait string
}

// newJob returns the derived state of d.
func newJob(d durableJob) *job {
	j := &job{durableJob: d}
	for i := range j.Tasks {
		j.counts[j.Tasks[i].State]++
	}
	return j
}

func (j *job) active() int  { return j.counts[taskActive] }
func (j *job) waiting() int { return j.counts[taskWaiting] }

func (j *job) isGang() bool    { return j.Spec.Kind == domain.JobGang }
func (j *job) isService() bool { return j.Spec.Kind == domain.JobService }

// urgent reports whether the job may preempt and pass gang reservations.
func (j *job) urgent() bool { return j.Spec.Priority == domain.PriorityUrgent }

// movable reports whether an attempt can be checkpointed and resumed elsewhere.
// A task that is not idempotent never has a second attempt, checkpoint or not.
func (j *job) movable() bool { return j.Spec.Checkpointable && j.Spec.Idempotent }

// setTask changes a task's state and keeps the counts.
func (j *job) setTask(i int, s taskState) {
	j.counts[j.Tasks[i].State]--
	j.Tasks[i].State = s
	j.counts[s]++
}

// durableAttempt is the part of an attempt that its intent determines.
type durableAttempt struct {
	_           struct{} `cbor:",toarray"`
	ID          domain.AttemptID
	Job         domain.JobID
	Task        int
	Worker      domain.WorkerID
	BootID      string
	Reservation domain.Resources
	IntentMS    int64
}

// phase tells how far a start got in this process.
type phase uint8

const (
	// phaseIntended attempts provably never reached the worker.
	phaseIntended phase = iota
	// phaseSent attempts may or may not run.
	phaseSent
	// phaseRunning attempts were accepted or listed by the worker.
	phaseRunning
)

// attempt is one attempt to run a task, from the decision to the proof of its end.
type attempt struct {
	durableAttempt
	j     *job
	phase phase
	// batch holds the intent; the start is sent once it is durable.
	batch    uint64
	released bool
	// reserved tells that the index holds the reservation.
	reserved bool
	sentMS   int64
	// startUnknown tells that a start call had no answer.
	startUnknown bool
	// unlisted counts renewals in a row that did not list a running attempt.
	unlisted  int
	startedMS int64
	peak      domain.Resources
	// throttledMS is when the attempt was throttled last.
	throttledMS int64
	// cause is set once the attempt is to end; stopMS is when it is stopped
	// if it was not checkpointed until then, and resendMS when the call is repeated.
	cause    Cause
	stopMS   int64
	resendMS int64
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
