package port

import (
	"context"
	"fmt"
	"time"

	"auburnpier/internal/domain"
)

// AttemptState is the state of an attempt at its worker.
type AttemptState string

// States of an attempt at its worker.
const (
	AttemptRunning AttemptState = "running"
	AttemptEnded   AttemptState = "ended"
)

// AttemptReport is what a worker knows of one attempt. An ended attempt is
// reported until it is acknowledged.
type AttemptReport struct {
	ID        domain.AttemptID `json:"id"`
	State     AttemptState     `json:"state"`
	Outcome   domain.Outcome   `json:"outcome,omitempty"`
	ExitCode  int              `json:"exit_code,omitempty"`
	StartedAt time.Time        `json:"started_at"`
	EndedAt   time.Time        `json:"ended_at,omitzero"`
	// Usage is measured with a lag.
	Usage domain.Resources `json:"usage"`
	// Detail is the worker's text about a failure.
	Detail string `json:"detail,omitempty"`
}

// Lease is the right to start tasks on one worker. The worker grants it and
// stops its tasks when it lapses.
type Lease struct {
	ID     domain.LeaseID `json:"lease_id"`
	Epoch  domain.Epoch   `json:"epoch"`
	BootID string         `json:"boot_id"`
	// TTL is the time to live of an acquisition or renewal.
	TTL time.Duration `json:"ttl_ns"`
	// Version grows with each start and end of an attempt.
	Version uint64 `json:"version"`
	// Attempts lists all attempts that the worker runs or has not had
	// acknowledged; in the answer to a renewal with Partial set, only those
	// whose report changed since the version that the renewal had seen.
	Attempts []AttemptReport `json:"attempts,omitempty"`
	// Partial is never set in the answer to an acquisition.
	Partial bool `json:"partial,omitempty"`
}

// RenewRequest renews a lease and waits for news.
type RenewRequest struct {
	Lease        domain.LeaseID     `json:"lease_id"`
	Acknowledged []domain.AttemptID `json:"acknowledged,omitempty"`
	// Elapsed is the time between the receipt of the answer to the acquisition
	// and the sending of this call, by the holder's clock. The lease lives until
	// Elapsed plus its time to live after the acquisition, so that a renewal
	// which arrives late does not extend it beyond what the holder counts on.
	Elapsed time.Duration `json:"elapsed_ns"`
	// SeenVersion is the version of the last report. The answer comes as soon as the
	// version is higher, and at the latest after Wait. It may leave out what has
	// not changed since. Zero asks for a whole report.
	SeenVersion uint64        `json:"seen"`
	Wait        time.Duration `json:"wait_ns,omitempty"`
}

// StartRequest starts one attempt.
type StartRequest struct {
	Attempt   domain.AttemptID `json:"attempt"`
	Job       domain.JobID     `json:"job"`
	Team      domain.TeamID    `json:"team"`
	Task      int              `json:"task"`
	Command   []string         `json:"command,omitempty"`
	Resources domain.Resources `json:"resources"`
	// Checkpoint names the attempt whose checkpoint is resumed.
	Checkpoint domain.AttemptID `json:"checkpoint,omitempty"`
}

// Worker is the interface of one worker VM. A worker starts what it is given,
// whether it fits or not, but only under its current lease. Starting an
// attempt ID that the worker already knows has no effect.
type Worker interface {
	// AcquireLease supersedes any lease of a lower epoch, or of the same
	// holder and epoch, and returns a *LeaseRefusedError otherwise.
	AcquireLease(ctx context.Context, holder domain.InstanceID, epoch domain.Epoch, ttl time.Duration) (Lease, error)
	// RenewLease extends the lease at once, acknowledges ended attempts, and
	// reports as soon as there is news or the wait is over.
	RenewLease(ctx context.Context, r RenewRequest) (Lease, error)
	// Start starts attempts under the lease. A *LeaseRefusedError proves that none was started.
	Start(ctx context.Context, lease domain.LeaseID, requests []StartRequest) error
	// Stop ends attempts. Unknown attempts are ignored.
	Stop(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error
	// Checkpoint saves and ends attempts with OutcomeCheckpointed.
	Checkpoint(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error
	// Throttle caps the processor time of an attempt.
	Throttle(ctx context.Context, lease domain.LeaseID, attempt domain.AttemptID, cpuMilli int64) error
}

// WorkerDialer dials workers by their address.
type WorkerDialer interface {
	Worker(address string) Worker
}

// LeaseRefusedError tells that the lease lapsed or was superseded. The call had no effect.
type LeaseRefusedError struct {
	Worker  domain.WorkerID
	Lease   domain.LeaseID
	Current domain.Epoch
}

func (e *LeaseRefusedError) Error() string {
	return fmt.Sprintf("worker %s refused lease %s, its current epoch is %d; acquire the lease again if the partition is still owned",
		e.Worker, e.Lease, e.Current)
}

// WorkerUnreachableError tells that the call may or may not have had an effect.
type WorkerUnreachableError struct {
	Address string
	Err     error
}

func (e *WorkerUnreachableError) Error() string {
	return fmt.Sprintf("worker at %s did not answer, the outcome of the call is unknown until its lease is renewed: %v",
		e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *WorkerUnreachableError) Unwrap() error { return e.Err }
