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

// AttemptReport is a worker's report of one attempt. An ended attempt is
// reported until the owner acknowledges it.
type AttemptReport struct {
	ID        domain.AttemptID `json:"id"`
	State     AttemptState     `json:"state"`
	Outcome   domain.Outcome   `json:"outcome,omitempty"`
	ExitCode  int              `json:"exit_code,omitempty"`
	StartedAt time.Time        `json:"started_at"`
	EndedAt   time.Time        `json:"ended_at,omitzero"`
	// Usage is the measured resource usage. It lags behind.
	Usage domain.Resources `json:"usage"`
	// Detail is the worker's description of a failure.
	Detail string `json:"detail,omitempty"`
}

// Lease is the right to start tasks on one worker. The worker grants it, and
// stops its tasks when the lease expires.
type Lease struct {
	ID     domain.LeaseID `json:"lease_id"`
	Epoch  domain.Epoch   `json:"epoch"`
	BootID string         `json:"boot_id"`
	// TTL is the time to live that an acquisition or renewal gives the lease.
	TTL time.Duration `json:"ttl_ns"`
	// Version increases with each start and end of an attempt.
	Version uint64 `json:"version"`
	// Attempts lists all attempts that are running or not yet acknowledged. If
	// Partial is set, it lists only those whose report changed since the version
	// in the renewal request.
	Attempts []AttemptReport `json:"attempts,omitempty"`
	// Partial is never set in the response to an acquisition.
	Partial bool `json:"partial,omitempty"`
}

// RenewRequest renews a lease and waits for changes to its attempts.
type RenewRequest struct {
	Lease        domain.LeaseID     `json:"lease_id"`
	Acknowledged []domain.AttemptID `json:"acknowledged,omitempty"`
	// Elapsed is the time between the arrival of the response to the acquisition
	// and the sending of this renewal, by the holder's clock. The lease expires
	// Elapsed plus its TTL after the acquisition, so that a renewal that arrives
	// late does not extend the lease beyond the time that the holder assumes.
	Elapsed time.Duration `json:"elapsed_ns"`
	// SeenVersion is the version of the last report received. The worker responds
	// as soon as its version is higher, and after Wait at the latest, and may omit
	// attempts that have not changed since. Zero requests a full report.
	SeenVersion uint64        `json:"seen"`
	Wait        time.Duration `json:"wait_ns,omitempty"`
}

// StartRequest describes an attempt to start.
type StartRequest struct {
	Attempt   domain.AttemptID `json:"attempt"`
	Job       domain.JobID     `json:"job"`
	Team      domain.TeamID    `json:"team"`
	Task      int              `json:"task"`
	Command   []string         `json:"command,omitempty"`
	Resources domain.Resources `json:"resources"`
	// Checkpoint is the attempt from whose checkpoint to resume.
	Checkpoint domain.AttemptID `json:"checkpoint,omitempty"`
}

// Worker is the API of one worker VM. A worker starts every attempt that it
// receives under its current lease, without checking whether it fits. Starting
// an attempt ID that the worker already knows has no effect.
type Worker interface {
	// AcquireLease supersedes a lease with a lower epoch, or with the same holder
	// and epoch. Otherwise it returns a *LeaseRefusedError.
	AcquireLease(ctx context.Context, holder domain.InstanceID, epoch domain.Epoch, ttl time.Duration) (Lease, error)
	// RenewLease extends the lease immediately and acknowledges ended attempts. It
	// returns once an attempt has changed or the wait is over.
	RenewLease(ctx context.Context, r RenewRequest) (Lease, error)
	// Start starts attempts under the lease. A *LeaseRefusedError proves that none was started.
	Start(ctx context.Context, lease domain.LeaseID, requests []StartRequest) error
	// Stop stops attempts. Unknown attempts are ignored.
	Stop(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error
	// Checkpoint saves attempts and ends them with OutcomeCheckpointed.
	Checkpoint(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error
	// Throttle limits the processor time of an attempt.
	Throttle(ctx context.Context, lease domain.LeaseID, attempt domain.AttemptID, cpuMilli int64) error
}

// WorkerDialer dials workers by their address.
type WorkerDialer interface {
	Worker(address string) Worker
}

// LeaseRefusedError reports that the lease has expired or was superseded. The call had no effect.
type LeaseRefusedError struct {
	Worker  domain.WorkerID
	Lease   domain.LeaseID
	Current domain.Epoch
}

func (e *LeaseRefusedError) Error() string {
	return fmt.Sprintf("worker %s refused lease %s: its current epoch is %d; acquire a new lease if the partition is still owned",
		e.Worker, e.Lease, e.Current)
}

// WorkerUnreachableError reports that a worker did not respond to a call, which
// may or may not have taken effect.
type WorkerUnreachableError struct {
	Address string
	Err     error
}

func (e *WorkerUnreachableError) Error() string {
	return fmt.Sprintf("worker at %s did not respond; the outcome of the call is unknown until its lease is renewed: %v",
		e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *WorkerUnreachableError) Unwrap() error { return e.Err }
