package domain

import "time"

// JobKind selects the policy by which a job is scheduled.
type JobKind string

// Job kinds.
const (
	// JobBatch runs each task to completion once.
	JobBatch JobKind = "batch"
	// JobService keeps Tasks replicas running until it is cancelled.
	JobService JobKind = "service"
	// JobGang starts all tasks together or none of them.
	JobGang JobKind = "gang"
)

// Priority ranks jobs. It takes precedence over the comparison of team shares.
type Priority string

// Priorities, from the most to the least urgent.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// JobSpec is the specification of a job as submitted.
type JobSpec struct {
	// Name is a label for people. The submitter chooses it.
	Name string `json:"name" cbor:"1,keyasint"`
	// Class groups jobs of similar size and run time for estimates. Empty means Name.
	Class string  `json:"class,omitempty" cbor:"2,keyasint,omitempty"`
	Kind  JobKind `json:"kind" cbor:"3,keyasint"`
	// Priority defaults to PriorityNormal.
	Priority Priority `json:"priority,omitempty" cbor:"4,keyasint,omitempty"`
	// Tasks is the number of tasks, replicas or gang members.
	Tasks int `json:"tasks" cbor:"5,keyasint"`
	// Resources is the declared resource demand of one task.
	Resources Resources `json:"resources" cbor:"6,keyasint"`
	// RunTimeMS is the declared run time of one task in milliseconds. Zero means unknown.
	RunTimeMS int64 `json:"run_time_ms,omitempty" cbor:"7,keyasint,omitempty"`
	// Command is passed to the worker unchanged.
	Command []string `json:"command,omitempty" cbor:"8,keyasint,omitempty"`
	// Idempotent reports whether a task that may already have run may run again.
	Idempotent bool `json:"idempotent" cbor:"9,keyasint,omitempty"`
	// Checkpointable reports whether a task can be checkpointed and resumed on another worker.
	Checkpointable bool `json:"checkpointable,omitempty" cbor:"10,keyasint,omitempty"`
	// MaxAttempts bounds the attempts of each task. Zero means the default.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"11,keyasint,omitempty"`
	// Region restricts the job to one region. Empty prefers the region of the
	// instance that accepts the job, then the other regions.
	Region RegionID `json:"region,omitempty" cbor:"12,keyasint,omitempty"`
	// Zones restricts the job to these availability zones. Empty means any of the partition.
	Zones []ZoneID `json:"zones,omitempty" cbor:"13,keyasint,omitempty"`
	// SpanZones allows a gang to span several availability zones of its partition.
	SpanZones bool `json:"span_zones,omitempty" cbor:"14,keyasint,omitempty"`
	// IdempotencyKey identifies the job when the same team submits it again.
	IdempotencyKey string `json:"idempotency_key,omitempty" cbor:"15,keyasint,omitempty"`
}

// ClassName returns the class under which estimates are kept.
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
	// JobUnknown means that a task of a non-idempotent job may or may not have run to completion.
	JobUnknown JobState = "unknown"
	// JobFailedEverywhere means that a task failed on several different workers.
	JobFailedEverywhere JobState = "failed_everywhere"
)

// Terminal reports whether the state is final.
func (s JobState) Terminal() bool {
	return s != JobQueued && s != JobRunning
}

// Outcome is how an attempt ended.
type Outcome string

// Attempt outcomes.
const (
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeCheckpointed Outcome = "checkpointed"
	// OutcomeLeaseExpired means that the worker stopped the task because its lease expired.
	OutcomeLeaseExpired Outcome = "lease_lapsed"
	// OutcomeNeverStarted means that the start was refused, or is proven not to
	// have happened and not to happen later.
	OutcomeNeverStarted Outcome = "never_started"
	// OutcomeLost means that the worker was lost while the attempt may have been running.
	OutcomeLost Outcome = "lost"
)

// Event is an entry in the history that the explain command prints.
type Event struct {
	At     time.Time `json:"at" cbor:"1,keyasint"`
	Task   int       `json:"task" cbor:"2,keyasint"`
	Kind   string    `json:"kind" cbor:"3,keyasint"`
	Worker WorkerID  `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Detail string    `json:"detail,omitempty" cbor:"5,keyasint,omitempty"`
}

// JobStatus is the state of a job as reported to callers.
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
	// Reason is one sentence on why the job is waiting or how it ended.
	Reason string `json:"reason,omitempty"`
	// Events is set for explain only.
	Events []Event `json:"events,omitempty"`
}
