package sched

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Submit submits a validated job. The team is derived from the submitter's key.
type Submit struct {
	Job  domain.JobID
	Team domain.TeamID
	Spec domain.JobSpec
}

// Cancel cancels jobs. Unknown and ended jobs are skipped.
type Cancel struct {
	Jobs []domain.JobID
	// Team restricts the cancellation to jobs of one team. Empty means any.
	Team   domain.TeamID
	Reason string
}

// WorkersListed is one successful read of the platform's list: every live and
// leaving worker VM of the partition. A worker that is missing from all reads for
// Config.ListLag is proven to be removed.
type WorkersListed struct {
	VMs []domain.VM
}

// LeaseAcquired reports that a worker granted a new lease, which supersedes all
// earlier ones. SentAt is when the call was sent.
type LeaseAcquired struct {
	Worker domain.WorkerID
	Lease  port.Lease
	SentAt time.Time
}

// LeaseRenewed reports that a worker extended its lease.
type LeaseRenewed struct {
	Worker domain.WorkerID
	Lease  port.Lease
	SentAt time.Time
}

// LeaseRefused reports that a worker rejected a call under the lease. Attempts
// lists the starts of the call, if any: the call started none of them.
type LeaseRefused struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// StartAccepted reports that a worker accepted a start call.
type StartAccepted struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// StartOutcomeUnknown reports that a start call got no response. It may or may not have taken effect.
type StartOutcomeUnknown struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// WorkerUnreachable reports that a lease call got no response. LastSent is the
// time of the last acquisition or renewal that this owner, or a deputy on its
// behalf, may have sent. A caller that wants the lease to expire sends no
// further one until Worker(id).LeaseExpiresAt.
type WorkerUnreachable struct {
	Worker   domain.WorkerID
	LastSent time.Time
}

// FormerOwnerStopped gives a successor the latest time at which the former owner
// may have renewed leases. Without it, a recovered machine never treats a lease
// that it has not acquired itself as expired.
type FormerOwnerStopped struct {
	At time.Time
}

// Durable reports that every batch up to Batch is in the journal.
type Durable struct {
	Batch uint64
}

// TeamRow is one team of the configuration.
type TeamRow struct {
	ID    domain.TeamID
	Share float64
	// Limit is the team's limit over the fleet.
	Limit domain.Resources
}

// TeamsChanged replaces the team table. Jobs of missing teams are cancelled.
type TeamsChanged struct {
	Teams []TeamRow
}

// Allotment is this partition's portion of a team's limit.
type Allotment struct {
	Team   domain.TeamID
	Amount domain.Resources
	// RunningElsewhere is what the team runs in other partitions. Fair sharing counts it.
	RunningElsewhere domain.Resources
}

// AllotmentsChanged sets the allotments of the listed teams. A team has no allotment until it
// is listed.
type AllotmentsChanged struct {
	Allotments []Allotment
}

// Tick advances the time. Scheduling rounds run on ticks only. A process sends a
// Tick before its first Submit, Cancel or WorkersListed.
type Tick struct {
	Now time.Time
}

func (Submit) isEvent()              {}
func (Cancel) isEvent()              {}
func (WorkersListed) isEvent()       {}
func (LeaseAcquired) isEvent()       {}
func (LeaseRenewed) isEvent()        {}
func (LeaseRefused) isEvent()        {}
func (StartAccepted) isEvent()       {}
func (StartOutcomeUnknown) isEvent() {}
func (WorkerUnreachable) isEvent()   {}
func (FormerOwnerStopped) isEvent()  {}
func (Durable) isEvent()             {}
func (TeamsChanged) isEvent()        {}
func (AllotmentsChanged) isEvent()   {}
func (Tick) isEvent()                {}

// Result is the immediate result of an event.
type Result struct {
	// Job is the accepted job of a Submit. It is an earlier job, and Existing is set,
	// if the job ID or idempotency key was used before.
	Job      domain.JobID
	Existing bool
	// Cancelled is the number of jobs that a Cancel ended or started to end.
	Cancelled int
	// Batch must be durable before a Submit or Cancel is confirmed to the caller. Zero
	// means that everything is durable already.
	Batch uint64
	// Err is a *refusal.Refusal if a Submit was refused.
	Err error
}
