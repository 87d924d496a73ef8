package sched

import (
	"time"

	"auburnpier/internal/domain"
)

// taskState is the durable state of one task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskActive tasks have an attempt whose end is not proven.
	taskActive
	taskSucceeded
	taskFailed
	taskFailedEverywhere
	// taskUnknown tasks may or may not have run to completion.
	taskUnknown
	taskCancelled
	numTaskStates
)

// durableTask is the part of a task's state that is determined by records.
type durableTask struct {
	_     struct{} `cbor:",toarray"`
	State taskState
	// Starts counts intents; attempts are numbered by it.
	Starts int
	// Failures counts the ends that count towards the attempt limit and determine the backoff.
	Failures int
	// NotBeforeMS is the end of the backoff.
	NotBeforeMS int64
	// Restart is set if the next start counts against the restart rate.
	Restart bool
	// FailedOn lists the distinct workers on which the task failed.
	FailedOn []domain.WorkerID
	// Attempt is the current attempt of an active task.
	Attempt domain.AttemptID
	// Checkpoint is the attempt from whose checkpoint the next start resumes.
	Checkpoint domain.AttemptID
}

// durableEvent is an entry of a job's history.
type durableEvent struct {
	_      struct{} `cbor:",toarray"`
	AtMS   int64
	Task   int
	Kind   string
	Worker domain.WorkerID
	Detail string
}

// durableJob is the part of a job's state that is determined by records.
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

	// MinReservation is the smallest reservation that tasks get after one exceeded its memory.
	MinReservation domain.Resources `cbor:"12,keyasint,omitempty"`
	// WaitingSinceMS is when the job last began to wait, for aging and gang delays.
	WaitingSinceMS int64 `cbor:"13,keyasint,omitempty"`
	// GangRestart is set while all members of the gang must end before it is placed again.
	GangRestart bool `cbor:"14,keyasint,omitempty"`
	// GangFailed is set once a member failed permanently; the other members are stopped.
	GangFailed bool `cbor:"15,keyasint,omitempty"`
}

// job is a job's durable state with the state derived from it.
type job struct {
	durableJob
	counts [numTaskStates]int
	// ready and readyRestarts list waiting tasks past their backoff: those whose start
	// does not count against the restart rate, and those whose start does. Entries may
	// be stale; a task is placed only if its state is taskWaiting.
	ready, readyRestarts []int
	// endBatch is the batch with the record that ended the job, or zero if the job had ended when the state was loaded.
	endBatch uint64
	// queuedDemand is the job's part of its team's demand.
	queuedDemand domain.Resources
	inQueue      bool
	changed      bool
	// movingOff counts attempts that are being stopped because their worker's VM leaves.
	movingOff int
	// preemptAfterMS is when the job may next search for preemption victims.
	preemptAfterMS int64
	// holdAfterMS is when the job may next search for workers to hold.
	holdAfterMS int64
	// learnedCeiling bounds reservations learned from usage, after one of them fitted
	// no empty worker.
	learnedCeiling domain.Resources
	// noCapacityDetail lists the rejections of the last search that found no free capacity.
	noCapacityDetail string
}

// newJob returns the job with durable state d.
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

// urgent reports whether the job may preempt other work and ignore holds.
func (j *job) urgent() bool { return j.Spec.Priority == domain.PriorityUrgent }

// migratable reports whether an attempt can be checkpointed and resumed elsewhere.
// A task that is not idempotent never has a second attempt, checkpoint or not.
func (j *job) migratable() bool { return j.Spec.Checkpointable && j.Spec.Idempotent }

// setTask changes a task's state and updates the counts.
func (j *job) setTask(i int, s taskState) {
	j.counts[j.Tasks[i].State]--
	j.Tasks[i].State = s
	j.counts[s]++
}

// durableAttempt is the part of an attempt's state that is determined by its intent.
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

// phase is the progress of a start, as far as this process knows.
type phase uint8

const (
	// phaseIntended attempts were never sent to the worker.
	phaseIntended phase = iota
	// phaseSent attempts may or may not be running.
	phaseSent
	// phaseRunning attempts were accepted or reported by the worker.
	phaseRunning
)

// attempt is one attempt to run a task, from the decision until its end is proven.
type attempt struct {
	durableAttempt
	j     *job
	phase phase
	// batch contains the intent; the start is sent once that batch is durable.
	batch         uint64
	startReleased bool
	// reserved is set while the placement index contains the reservation.
	reserved bool
	sentMS   int64
	// startOutcomeUnknown is set if a start call got no response.
	startOutcomeUnknown bool
	// unlistedRenewals counts consecutive renewals that did not list the running attempt.
	unlistedRenewals int
	startedMS        int64
	peak             domain.Resources
	// throttledMS is when the attempt was last throttled.
	throttledMS int64
	// cause is set once the attempt is to be ended. If it is not checkpointed by stopMS,
	// it is stopped; the call is repeated at resendMS.
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
