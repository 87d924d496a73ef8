package domain

import "time"

// JobKind tells which policy a job is scheduled by.
type JobKind string

// Kinds of jobs.
const (
	// JobBatch runs each task to its end once.
	JobBatch JobKind = "batch"
	// JobService keeps Tasks replicas running until it is cancelled.
	JobService JobKind = "service"
	// JobGang starts all tasks at once or none.
	JobGang JobKind = "gang"
)

// Priority orders jobs before shares are compared.
type Priority string

// Priorities from the most to the least pressing.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// JobSpec is what a submitter asks for.
type JobSpec struct {
	// Name is chosen by the submitter, for people.
	Name string `json:"name" cbor:"1,keyasint"`
	// Class groups jobs of like size and run time for estimates. Empty means Name.
	Class string  `json:"class,omitempty" cbor:"2,keyasint,omitempty"`
	Kind  JobKind `json:"kind" cbor:"3,keyasint"`
	// Priority defaults to PriorityNormal.
	Priority Priority `json:"priority,omitempty" cbor:"4,keyasint,omitempty"`
	// Tasks is the number of tasks, replicas or gang members.
	Tasks int `json:"tasks" cbor:"5,keyasint"`
	// Resources is the declared size of one task.
	Resources Resources `json:"resources" cbor:"6,keyasint"`
	// RunTimeMS is the declared run time of one task in milliseconds. Zero means unknown.
	RunTimeMS int64 `json:"run_time_ms,omitempty" cbor:"7,keyasint,omitempty"`
	// Command is passed to the worker unchanged.
	Command []string `json:"command,omitempty" cbor:"8,keyasint,omitempty"`
	// Idempotent tells that a task may run again after it may have run.
	Idempotent bool `json:"idempotent" cbor:"9,keyasint,omitempty"`
	// Checkpointable tells that a task can be checkpointed and moved.
	Checkpointable bool `json:"checkpointable,omitempty" cbor:"10,keyasint,omitempty"`
	// MaxAttempts bounds the attempts of each task. Zero means the default.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"11,keyasint,omitempty"`
	// Region restricts the job to one region. Empty means the region of the accepting instance, then others.
	Region RegionID `json:"region,omitempty" cbor:"12,keyasint,omitempty"`
	// Zones restricts the job to these availability zones. Empty means any of the partition.
	Zones []ZoneID `json:"zones,omitempty" cbor:"13,keyasint,omitempty"`
	// SpanZones allows a gang to cross availability zones of its partition.
	SpanZones bool `json:"span_zones,omitempty" cbor:"14,keyasint,omitempty"`
	// IdempotencyKey makes a resubmission by the same team the same job.
	IdempotencyKey string `json:"idempotency_key,omitempty" cbor:"15,keyasint,omitempty"`
}

// ClassName returns the class that estimates are kept under.
func (s JobSpec) ClassName() string {
	if s.Class != "" {
		return s.Class
	}
	return s.Name
}

// JobState is the state of a job as a whole.
type JobState string

// States of a job. A job starts queued and ends in one of the last five.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobUnknown tells that a task of a job that is not idempotent may or may not have run to its end.
	JobUnknown JobState = "unknown"
	// JobFailedEverywhere tells that a task failed on several distinct workers.
	JobFailedEverywhere JobState = "failed_everywhere"
)

// Terminal reports whether the state never changes again.
func (s JobState) Terminal() bool {
	return s != JobQueued && s != JobRunning
}

// Outcome tells how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeCheckpointed Outcome = "checkpointed"
	// OutcomeLeaseLapsed tells that the worker stopped the task because its lease lapsed.
	OutcomeLeaseLapsed Outcome = "lease_lapsed"
	// OutcomeNeverStarted tells that the start was refused or proven never to happen.
	OutcomeNeverStarted Outcome = "never_started"
	// OutcomeLost tells that the worker was lost while the attempt may have run.
	OutcomeLost Outcome = "lost"
)

// Event is one entry of the history that explain prints.
type Event struct {
	At     time.Time `json:"at" cbor:"1,keyasint"`
	Task   int       `json:"task" cbor:"2,keyasint"`
	Kind   string    `json:"kind" cbor:"3,keyasint"`
	Worker WorkerID  `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Detail string    `json:"detail,omitempty" cbor:"5,keyasint,omitempty"`
}

// JobStatus is what a caller sees of a job.
type JobStatus struct {
	ID        JobID       `json:"id"`
	Team      TeamID      `json:"team"`
	Partition PartitionID `json:"partition"`
	Spec      JobSpec     `json:"spec"`
	State     JobState    `json:"state"`
	Queued    int         `json:"queued_tasks"`
	Running   int         `json:"running_tasks"`
	Succeeded int         `json:"succeeded_tasks"`
	Failed    int         `json:"failed_tasks"`
	Accepted  time.Time   `json:"accepted_at"`
	Ended     *time.Time  `json:"ended_at,omitempty"`
	// Reason says in one sentence why the job waits or how it ended.
	Reason string `json:"reason,omitempty"`
	// Events is filled for explain only.
	Events []Event `json:"events,omitempty"`
}
