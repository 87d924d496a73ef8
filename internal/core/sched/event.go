package sched

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Event is one input of the machine.
type Event interface{ isEvent() }

// Submit offers a validated job. The team comes from the submitter's key.
type Submit struct {
	Job  domain.JobID
	Team domain.TeamID
	Spec domain.JobSpec
}

// Cancel ends jobs. Unknown and ended jobs are skipped.
type Cancel struct {
	Jobs []domain.JobID
	// Team restricts the cancellation to jobs of one team. Empty means any.
	Team   domain.TeamID
	Reason string
}

// WorkersListed is one successful read of the platform's list: every live and
// leaving worker VM of the partition. A worker that is missing from all reads
// over the list's lag is proven gone.
type WorkersListed struct {
	VMs []domain.VM
}

// LeaseAcquired tells that a worker granted a new lease, which supersedes all
// earlier ones. SentAt is the time at which the call was sent.
type LeaseAcquired struct {
	Worker domain.WorkerID
	Lease  port.Lease
	SentAt time.Time
}

// LeaseRenewed tells that a worker extended its lease.
type LeaseRenewed struct {
	Worker domain.WorkerID
	Lease  port.Lease
	SentAt time.Time
}

// LeaseRefused tells that a worker refused a call under the lease. Attempts
// lists the starts of the call, if any: none of them was started by it.
type LeaseRefused struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// StartAccepted tells that a worker took a start call.
type StartAccepted struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// StartUnknown tells that a start call had no answer. It may or may not have taken effect.
type StartUnknown struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// WorkerUnreachable tells that a lease call had no answer. LastSent is the
// time of the last acquisition or renewal that this owner, or a deputy on its
// behalf, may have sent. A caller that wants the lease to lapse sends no
// further one until Worker(id).LapsesAt.
type WorkerUnreachable struct {
	Worker   domain.WorkerID
	LastSent time.Time
}

// FormerOwnerStopped gives a successor the last moment at which the former
// owner may have renewed leases. Without it a recovered machine never counts
// a lease that it has not acquired as lapsed.
type FormerOwnerStopped struct {
	At time.Time
}

// Durable tells that every batch up to Batch is in the journal.
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

// Allotment is this partition's part of a team's limit.
type Allotment struct {
	Team   domain.TeamID
	Amount domain.Resources
	// Outside is what the team holds in other partitions, for nearness to its share.
	Outside domain.Resources
}

// AllotmentsChanged sets the allotments of the listed teams. A team has none until it is listed.
type AllotmentsChanged struct {
	Allotments []Allotment
}

// Tick tells the time. Rounds of placement happen on ticks only. A process
// sends a Tick before its first Submit, Cancel or WorkersListed.
type Tick struct {
	Now time.Time
}

func (Submit) isEvent()             {}
func (Cancel) isEvent()             {}
func (WorkersListed) isEvent()      {}
func (LeaseAcquired) isEvent()      {}
func (LeaseRenewed) isEvent()       {}
func (LeaseRefused) isEvent()       {}
func (StartAccepted) isEvent()      {}
func (StartUnknown) isEvent()       {}
func (WorkerUnreachable) isEvent()  {}
func (FormerOwnerStopped) isEvent() {}
func (Durable) isEvent()            {}
func (TeamsChanged) isEvent()       {}
func (AllotmentsChanged) isEvent()  {}
func (Tick) isEvent()               {}

// Result is the direct answer to an event.
type Result struct {
	// Job is the accepted job of a Submit. It is an earlier one where the
	// idempotency key was used before.
	Job      domain.JobID
	Existing bool
	// Cancelled is the number of jobs that a Cancel ended or began to end.
	Cancelled int
	// Batch must be durable before a Submit or Cancel is confirmed to the caller. Zero means that it is.
	Batch uint64
	// Err is a *refusal.Refusal where a Submit was refused.
	Err error
}
