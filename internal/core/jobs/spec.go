package jobs

import (
	"fmt"
	"math"

	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
)

// Bounds of a submitted job. They keep one submission from taking the memory
// of an instance.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 2000
	MaxPayloadBytes = 4000
	MaxOccurrences  = 100_000
	maxAmount       = int64(math.MaxInt32) * 1000
)

// TaskID names one task of one occurrence of a step.
type TaskID struct {
	Job        domain.JobID
	Occurrence int
	Step       int
	Index      int
}

// StepID names one occurrence of a step.
type StepID struct {
	Job        domain.JobID
	Occurrence int
	Step       int
}

// StepOf returns the step that the task belongs to.
func (t TaskID) StepOf() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// StepSpec is what a submitter asks for in one step.
type StepSpec struct {
	Tasks int              `cbor:"1,keyasint" json:"tasks"`
	Need  domain.Resources `cbor:"2,keyasint" json:"need"`
	// EstimateMS is the submitter's rough estimate of a task's duration.
	EstimateMS int64 `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"`
	// After lists earlier steps whose tasks must all have succeeded.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Checkpointable tasks save their progress while they run.
	Checkpointable bool `cbor:"5,keyasint,omitempty" json:"checkpointable,omitempty"`
	// Gang tasks work only while all of them run.
	Gang     bool `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`
	// Label must be carried by the worker. Empty means any worker.
	Label string `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack where the step runs fastest. Empty means none.
	DataRack domain.RackID `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker. Zero means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"`
	// CopiesAllowed permits several runs of a task at once.
	CopiesAllowed bool `cbor:"11,keyasint,omitempty" json:"copies_allowed,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"12,keyasint,omitempty" json:"lasting,omitempty"`
	// Image groups tasks that behave alike.
	Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// LatencyTargetMS bounds the tail of a lasting task's own response times.
	LatencyTargetMS int64 `cbor:"14,keyasint,omitempty" json:"latency_target_ms,omitempty"`
	// UsesLeftover tasks take the processor time that others leave; it is not reserved.
	UsesLeftover bool `cbor:"15,keyasint,omitempty" json:"uses_leftover,omitempty"`
	// DisruptionBudget is how many lasting tasks may be away by the scheduler's doing.
	DisruptionBudget int `cbor:"16,keyasint,omitempty" json:"disruption_budget,omitempty"`
}

// Reserved returns the room that a task takes on its worker.
func (s *StepSpec) Reserved() domain.Resources {
	need := s.Need
	if s.UsesLeftover {
		need.CPUMilli = 0
	}
	return need
}

// Spec is a submitted job.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string     `cbor:"1,keyasint" json:"payload,omitempty"`
	Steps   []StepSpec `cbor:"2,keyasint" json:"steps"`
	// Occurrences above zero makes the job recurring: occurrence K is due at
	// FirstUnixMS + K x PeriodMS.
	Occurrences int   `cbor:"3,keyasint,omitempty" json:"occurrences,omitempty"`
	FirstUnixMS int64 `cbor:"4,keyasint,omitempty" json:"first_unix_ms,omitempty"`
	PeriodMS    int64 `cbor:"5,keyasint,omitempty" json:"period_ms,omitempty"`
}

// Recurring reports whether the job has due times.
func (s *Spec) Recurring() bool { return s.Occurrences > 0 }

// Faults lists every wrong field with its remedy.
func (s *Spec) Faults() fault.List {
	var l fault.List
	l.CheckRange("payload (bytes)", int64(len(s.Payload)), 0, MaxPayloadBytes)
	l.CheckRange("steps (count)", int64(len(s.Steps)), 1, MaxSteps)
	l.CheckRange("occurrences", int64(s.Occurrences), 0, MaxOccurrences)
	if s.Recurring() {
		l.CheckRange("first_unix_ms", s.FirstUnixMS, 0, math.MaxInt64/4)
		l.CheckRange("period_ms", s.PeriodMS, 0, math.MaxInt64/4/MaxOccurrences)
	}
	for i := range s.Steps {
		s.Steps[i].faults(&l, i)
	}
	return l
}

func (s *StepSpec) faults(l *fault.List, number int) {
	path := func(field string) string { return fmt.Sprintf("steps[%d].%s", number, field) }
	l.CheckRange(path("tasks"), int64(s.Tasks), 1, MaxTasksPerStep)
	l.CheckRange(path("need.cpu_milli"), s.Need.CPUMilli, 0, maxAmount)
	l.CheckRange(path("need.memory_mb"), s.Need.MemoryMB, 0, maxAmount)
	l.CheckRange(path("need.accelerators"), s.Need.Accelerators, 0, maxAmount)
	l.CheckRange(path("estimate_ms"), s.EstimateMS, 0, domain.MaxRunTimeMS)
	l.CheckRange(path("max_per_worker"), int64(s.MaxPerWorker), 0, MaxTasksPerStep)
	l.CheckRange(path("disruption_budget"), int64(s.DisruptionBudget), 0, MaxTasksPerStep)
	l.CheckRange(path("latency_target_ms"), s.LatencyTargetMS, 0, domain.MaxRunTimeMS)
	for _, after := range s.After {
		l.CheckRange(path("after"), int64(after), 0, int64(number)-1)
	}
}

// ApprovalPolicy describes the external service that approves workers for a
// queue's steps.
type ApprovalPolicy struct {
	// BaseMS and PerWorkerMS give the duration of a request.
	BaseMS      float64 `cbor:"1,keyasint"`
	PerWorkerMS float64 `cbor:"2,keyasint"`
	// ValidMS is how long an approval may be used.
	ValidMS int64 `cbor:"3,keyasint"`
}

// Queue is the policy that a job is scheduled by.
type Queue struct {
	Name    domain.QueueID `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Priority zero comes first.
	Priority    int `cbor:"3,keyasint"`
	MaxAttempts int `cbor:"4,keyasint"`
	// Stretch times the longest chain of work plus ObjectiveMS is the time in
	// which callers want a job to complete.
	Stretch     float64 `cbor:"5,keyasint"`
	ObjectiveMS int64   `cbor:"6,keyasint"`
	// Approval is nil where every worker may run the queue's steps.
	Approval *ApprovalPolicy `cbor:"7,keyasint,omitempty"`
}

// Team is one row of the table of weights and limits.
type Team struct {
	ID     domain.TeamID
	Weight float64
	// Limit is the most that the team may have running. Zero components are no limit.
	Limit domain.Resources
}

// State is the state of a job as its submitter sees it.
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

// nameOf returns the name of a value that may come from a store or another instance.
func nameOf(names []string, value int) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("invalid_%d", value)
}

// String returns the state in words.
func (s State) String() string {
	return nameOf(stateNames, int(s))
}

// Shown returns the state that callers are told: a queued job of which a task has
// started is running.
func (s State) Shown(started bool) State {
	if s == Queued && started {
		return Running
	}
	return s
}

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool { return s >= Completed }

// EndKind tells how a run ended at its worker.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndSucceeded
	EndFailed
	EndStopped
	// EndLapsed tells that the lease of the worker's tasks expired.
	EndLapsed
	// EndBroken tells that another member of the gang ended.
	EndBroken
	// EndAlone tells that a gang member waited in vain for the others.
	EndAlone
)

var endKindNames = []string{"unknown", "succeeded", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the kind in words.
func (k EndKind) String() string {
	return nameOf(endKindNames, int(k))
}

// StartOutcome is what is known of a start order after its answer.
type StartOutcome uint8

// Outcomes of a start order.
const (
	StartAccepted StartOutcome = iota
	// StartFenced tells that a later owner has spoken to the worker.
	StartFenced
	// StartSuperseded tells that the worker knows this run, or a higher one, as ended.
	StartSuperseded
	// StartTooLate tells that the order's own limit had passed.
	StartTooLate
	StartNoRoom
	// StartNotApproved tells that the approval was missing or had lapsed.
	StartNotApproved
	// StartUnhealthy tells that the worker did nothing because it is unwell.
	StartUnhealthy
	// StartWrongIncarnation tells that another life of the worker answered.
	StartWrongIncarnation
	StartInvalid
	// StartUnanswered tells that the order may take effect until its limit.
	StartUnanswered
)

var startOutcomeNames = [...]string{"accepted", "fenced", "superseded", "too_late", "no_room", "not_approved",
	"unhealthy", "wrong_incarnation", "invalid", "unanswered"}

// String returns the outcome in words.
func (o StartOutcome) String() string { return startOutcomeNames[o.OrUnanswered()] }

// OrUnanswered returns an outcome that another instance told, or
// StartUnanswered where it is none that is known here.
func (o StartOutcome) OrUnanswered() StartOutcome { return min(o, StartUnanswered) }
