package jobs

import (
	"fmt"
	"math"
	"slices"

	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
)

// Bounds of a submitted job. They keep a single submission from exhausting an instance's memory.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 2000
	MaxPayloadBytes = 4000
	MaxOccurrences  = 100_000
	maxAmount       = int64(math.MaxInt32) * 1000
)

// TaskID identifies one task of one occurrence of a step.
type TaskID struct {
	Job        domain.JobID
	Occurrence int
	Step       int
	Index      int
}

// StepID identifies one occurrence of a step.
type StepID struct {
	Job        domain.JobID
	Occurrence int
	Step       int
}

// StepOf returns the step that the task belongs to.
func (t TaskID) StepOf() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// StepSpec specifies one step of a submitted job.
type StepSpec struct {
	Tasks int              `cbor:"1,keyasint" json:"tasks"`
	Need  domain.Resources `cbor:"2,keyasint" json:"need"`
	// EstimateMS is the submitter's rough estimate of a task's duration.
	EstimateMS int64 `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"`
	// After lists the earlier steps that must have succeeded before this one starts.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Checkpointable tasks save their progress and resume from it.
	Checkpointable bool `cbor:"5,keyasint,omitempty" json:"checkpointable,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang     bool `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`
	// Label is a label that the worker must have. Empty means any worker.
	Label string `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack of the step's data, where it runs fastest. Empty means none.
	DataRack domain.RackID `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker. Zero means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"`
	// CopiesAllowed permits several concurrent runs of a task.
	CopiesAllowed bool `cbor:"11,keyasint,omitempty" json:"copies_allowed,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty" json:"lasting,omitempty"`
	// Image groups tasks that are expected to behave alike.
	Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// LatencyTargetMS is the target for the tail latency of a long-running task.
	LatencyTargetMS int64 `cbor:"14,keyasint,omitempty" json:"latency_target_ms,omitempty"`
	// BestEffort tasks run on CPU time that other tasks leave, and reserve none themselves.
	BestEffort bool `cbor:"15,keyasint,omitempty" json:"uses_leftover,omitempty"`
	// DisruptionBudget is how many long-running tasks the scheduler may keep unavailable at once.
	DisruptionBudget int `cbor:"16,keyasint,omitempty" json:"disruption_budget,omitempty"`
}

// Reserved returns the resources that a task reserves on its worker.
func (s *StepSpec) Reserved() domain.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPUMilli = 0
	}
	return need
}

// Spec is a submitted job.
type Spec struct {
	// Payload is passed to the workers as is.
	Payload string     `cbor:"1,keyasint" json:"payload,omitempty"`
	Steps   []StepSpec `cbor:"2,keyasint" json:"steps"`
	// Occurrences above zero makes the job recurring: occurrence k is due at
	// FirstUnixMS + k x PeriodMS.
	Occurrences int   `cbor:"3,keyasint,omitempty" json:"occurrences,omitempty"`
	FirstUnixMS int64 `cbor:"4,keyasint,omitempty" json:"first_unix_ms,omitempty"`
	PeriodMS    int64 `cbor:"5,keyasint,omitempty" json:"period_ms,omitempty"`
}

// Recurring reports whether the job has due times.
func (s *Spec) Recurring() bool { return s.Occurrences > 0 }

// dueUnixMS returns the Unix time in ms at which an occurrence of a recurring job is due.
func (s *Spec) dueUnixMS(occurrence int) int64 {
	return s.FirstUnixMS + int64(occurrence)*s.PeriodMS
}

// Validate lists every invalid field and how to correct it.
func (s *Spec) Validate() fault.List {
	var l fault.List
	l.CheckRange("payload (bytes)", int64(len(s.Payload)), 0, MaxPayloadBytes)
	l.CheckRange("steps (count)", int64(len(s.Steps)), 1, MaxSteps)
	l.CheckRange("occurrences", int64(s.Occurrences), 0, MaxOccurrences)
	if s.Recurring() {
		l.CheckRange("first_unix_ms", s.FirstUnixMS, 0, math.MaxInt64/4)
		l.CheckRange("period_ms", s.PeriodMS, 0, math.MaxInt64/4/MaxOccurrences)
	}
	if len(s.Steps) > MaxSteps {
		// The faults of so many steps would take far more memory than the job.
		return l
	}
	for i := range s.Steps {
		s.Steps[i].validate(&l, i)
	}
	return l
}

func (s *StepSpec) validate(l *fault.List, number int) {
	path := func(field string) string { return fmt.Sprintf("steps[%d].%s", number, field) }
	l.CheckRange(path("tasks"), int64(s.Tasks), 1, MaxTasksPerStep)
	l.CheckRange(path("need.cpu_milli"), s.Need.CPUMilli, 0, maxAmount)
	l.CheckRange(path("need.memory_mb"), s.Need.MemoryMB, 0, maxAmount)
	l.CheckRange(path("need.accelerators"), s.Need.Accelerators, 0, maxAmount)
	l.CheckRange(path("estimate_ms"), s.EstimateMS, 0, domain.MaxRunTimeMS)
	l.CheckRange(path("max_per_worker"), int64(s.MaxPerWorker), 0, MaxTasksPerStep)
	l.CheckRange(path("disruption_budget"), int64(s.DisruptionBudget), 0, MaxTasksPerStep)
	l.CheckRange(path("latency_target_ms"), s.LatencyTargetMS, 0, domain.MaxRunTimeMS)
	if len(s.After) > 0 {
		// One fault of each kind is enough: a caller may name any number of steps.
		l.CheckRange(path("after"), int64(slices.Min(s.After)), 0, int64(number)-1)
		l.CheckRange(path("after"), int64(slices.Max(s.After)), 0, int64(number)-1)
	}
}

// ApprovalPolicy describes the external service that approves workers for a queue's steps.
type ApprovalPolicy struct {
	// A request takes BaseMS plus PerWorkerMS for each worker that it names.
	BaseMS      float64 `cbor:"1,keyasint"`
	PerWorkerMS float64 `cbor:"2,keyasint"`
	// ValidMS is how long an approval is valid.
	ValidMS int64 `cbor:"3,keyasint"`
}

// Queue is the scheduling policy of a class of jobs.
type Queue struct {
	Name    domain.QueueID `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Priority zero is the most urgent.
	Priority    int `cbor:"3,keyasint"`
	MaxAttempts int `cbor:"4,keyasint"`
	// Callers want a job to complete within Stretch times its critical path plus ObjectiveMS.
	Stretch     float64 `cbor:"5,keyasint"`
	ObjectiveMS int64   `cbor:"6,keyasint"`
	// Approval is nil if every worker may run the queue's steps.
	Approval *ApprovalPolicy `cbor:"7,keyasint,omitempty"`
}

// Team is one row of the table of team weights and limits.
type Team struct {
	ID     domain.TeamID
	Weight float64
	// Limit bounds the resources of the team's running tasks. A zero component means no limit.
	Limit domain.Resources
}

// State is the state of a job as shown to its submitter.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = []string{"queued", "running", "completed", "failed", "cancelled"}

// nameOf returns the name of a value, which may be out of range if it comes from the store or
// another instance.
func nameOf(names []string, value int) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("invalid_%d", value)
}

// String returns the name of the state.
func (s State) String() string {
	return nameOf(stateNames, int(s))
}

// Shown returns the state shown to callers: a queued job with a started task is running.
func (s State) Shown(started bool) State {
	if s == Queued && started {
		return Running
	}
	return s
}

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s >= Completed }

// EndKind is how a run ended on its worker.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndSucceeded
	EndFailed
	EndStopped
	// EndLeaseExpired means that the lease of the worker's tasks expired.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded
	// EndGangIncomplete means that a gang member timed out waiting for the others.
	EndGangIncomplete
	// EndWorkerTerminated means that the worker's process terminated. It is concluded by the owner; no
	// worker reports it.
	EndWorkerTerminated
)

var endKindNames = []string{"unknown", "succeeded", "failed", "stopped", "lapsed", "broken", "alone", "worker_terminated"}

// String returns the name of the kind.
func (k EndKind) String() string {
	return nameOf(endKindNames, int(k))
}

// StartOutcome is the result of a start order.
type StartOutcome uint8

// Outcomes of a start order.
const (
	StartAccepted StartOutcome = iota
	// StartFenced means that the worker has seen a later owner epoch.
	StartFenced
	// StartSuperseded means that on the worker this run, or a higher one, has already ended.
	StartSuperseded
	// StartTooLate means that the order arrived after its time limit.
	StartTooLate
	StartNoRoom
	// StartNotApproved means that the approval was missing or had expired.
	StartNotApproved
	// StartUnhealthy means that the worker declined because it is unhealthy.
	StartUnhealthy
	// StartWrongIncarnation means that another incarnation of the worker answered.
	StartWrongIncarnation
	StartInvalid
	// StartUnanswered means that no answer arrived: the order may take effect until its limit.
	StartUnanswered
	// StartNotDelivered means that no connection to the worker could be opened. It is concluded by the
	// owner; no other instance reports it.
	StartNotDelivered
)

var startOutcomeNames = [...]string{"accepted", "fenced", "superseded", "too_late", "no_room", "not_approved",
	"unhealthy", "wrong_incarnation", "invalid", "unanswered", "not_delivered"}

// String returns the name of the outcome.
func (o StartOutcome) String() string {
	if o > StartNotDelivered {
		o = StartUnanswered
	}
	return startOutcomeNames[o]
}

// OrUnanswered returns the outcome, or StartUnanswered if it is a value that this version does
// not know. Outcomes may come from another instance.
func (o StartOutcome) OrUnanswered() StartOutcome { return min(o, StartUnanswered) }
