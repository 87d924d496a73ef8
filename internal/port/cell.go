package port

import (
	"context"
	"fmt"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// Condition is a revision that a key must have. Zero means that it is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put is one value of a transaction.
type Put struct {
	Key   string
	Value []byte
	// Lease removes the key when it ends. Zero means no lease.
	Lease int64
}

// Txn is a change that takes effect as a whole where all conditions hold.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries bounds the conditions, puts and deletes of a transaction together.
const MaxTxnEntries = 32

// LeaseStore is a key-value service with leases and transactions. Methods
// return the typed errors of this package, and Commit a *TxnConflictError.
type LeaseStore interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
	// Commit returns the revision of the change.
	Commit(ctx context.Context, txn Txn) (int64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	// RenewLease returns a *NotFoundError where the lease has ended.
	RenewLease(ctx context.Context, lease int64) error
	RevokeLease(ctx context.Context, lease int64) error
}

// TxnConflictError tells that a condition did not hold. Nothing was changed.
type TxnConflictError struct {
	// Current lists the present entries of the conditions' keys.
	Current []Entry
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction did not hold (%d keys returned); read the keys again", len(e.Current))
}

// PollRequest looks at a worker and may extend the lease of its tasks.
type PollRequest struct {
	Fence int64
	// LimitClockMS is the worker-clock time to extend the lease to. Zero extends nothing.
	LimitClockMS int64
	// Acknowledged is the last end that need not be listed again.
	Acknowledged int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// WorkerClient is the interface of the workers that run tasks under fences.
type WorkerClient interface {
	// Start reports what became of the order. The error explains outcomes other than accepted.
	Start(ctx context.Context, fence int64, order jobs.StartOrder) (jobs.StartOutcome, error)
	// Stop returns nil once the worker knows that the run must end or never begin.
	Stop(ctx context.Context, fence int64, order jobs.StopOrder) error
	// Throttle returns nil once the worker lets the run work at the percentage, or a *FencedError.
	Throttle(ctx context.Context, fence int64, order jobs.PaceOrder) error
	// Poll returns the report, a *FencedError, a *WorkerTerminatedError, or a *WorkerUnreachableError.
	Poll(ctx context.Context, id domain.WorkerID, address string, r PollRequest) (jobs.WorkerReport, error)
}

// FencedError tells that a later owner has spoken to the worker.
type FencedError struct{ Worker domain.WorkerID }

func (e *FencedError) Error() string {
	return fmt.Sprintf("worker %s has seen a higher fence; another instance owns the cell", e.Worker)
}

// WorkerTerminatedError tells that the process of the worker is certainly not there
// any more: its address refuses connections, or another process answers there.
type WorkerTerminatedError struct {
	Worker  domain.WorkerID
	Address string
	Err     error
}

func (e *WorkerTerminatedError) Error() string {
	return fmt.Sprintf("worker %s is not at %s any more, what ran on it has ended: %v", e.Worker, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *WorkerTerminatedError) Unwrap() error { return e.Err }

// Approver asks the external policy service which workers may run a step.
type Approver interface {
	Approve(ctx context.Context, step jobs.StepID, workers []domain.WorkerID) (ApprovalReply, error)
}

// ApprovalReply lists the approved workers of a request.
type ApprovalReply struct {
	Approved []jobs.Approval `cbor:"1,keyasint"`
	ValidMS  int64           `cbor:"2,keyasint"`
}

// WorkerRegistry reads the workers that the platform lists, and follows changes.
type WorkerRegistry interface {
	// Workers returns the list and the store revision at which it was read.
	// Entries that cannot be read name no worker; their number is returned.
	Workers(ctx context.Context) (list []jobs.WorkerInfo, unreadable int, revision int64, err error)
	WorkerChanges
}

// WorkerChanges follows the workers that the platform lists.
type WorkerChanges interface {
	// Changes waits for changes after the revision.
	Changes(ctx context.Context, after int64, wait time.Duration) (RegistryChanges, error)
}

// RegistryChanges is what changed in the registry. A worker stands in one of
// the lists, with its last state.
type RegistryChanges struct {
	Updated  []jobs.WorkerInfo `cbor:"Set"`
	Removed  []domain.WorkerID
	Revision int64
	// More tells that further changes may be there already.
	More bool
	// Gap tells that changes were missed and the list has to be read again.
	Gap bool
}

// CellConfig is the configuration of queues and teams that operators edit.
type CellConfig struct {
	Version uint64
	Routes  []QueueRoute
	Teams   []TeamKeys
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes int64
}

// QueueRoute maps calls of a host and path prefix to a queue.
type QueueRoute struct {
	Queue  jobs.Queue
	Host   string
	Prefix string
	// Open queues accept calls without a key.
	Open bool
}

// TeamKeys is a team with the keys that prove it.
type TeamKeys struct {
	jobs.Team
	Keys []string
}

// ConfigSource reads the configuration and waits for its changes.
type ConfigSource interface {
	// Read returns the configuration and the store revision. It returns a *NotFoundError before the first one.
	Read(ctx context.Context) (CellConfig, int64, error)
	// WaitForChange returns a newer configuration, nil where there was none until the wait was over, or sets gap.
	WaitForChange(ctx context.Context, after int64, wait time.Duration) (next *CellConfig, revision int64, gap bool, err error)
}
