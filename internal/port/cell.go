package port

import (
	"context"
	"fmt"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// Condition requires a key to be at a revision. Revision zero requires the key to be absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put is one key that a transaction writes.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease that the key is attached to: the key is removed when
	// the lease expires or is revoked. Zero means no lease.
	Lease int64
}

// Txn is a set of writes that is applied atomically if all conditions hold.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries bounds the total number of conditions, puts and deletes in a transaction.
const MaxTxnEntries = 32

// Page is a part of the entries of a prefix. Pages are not one snapshot.
type Page struct {
	Entries  []Entry
	Revision int64
	// More is set if other entries follow.
	More bool
}

// LeaseStore is a key-value store with leases and transactions. Methods return
// the typed errors of this package; Commit may also return a *TxnConflictError.
type LeaseStore interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// ListPage returns the entries of a prefix that follow the key, in the order of their keys, as many as the store returns at once. An
	// empty key begins with the first one.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	// RenewLease returns a *NotFoundError if the lease has expired or was revoked.
	RenewLease(ctx context.Context, lease int64) error
	RevokeLease(ctx context.Context, lease int64) error
}

// TxnConflictError reports that a condition of a transaction did not hold. Nothing was written.
type TxnConflictError struct {
	// Current lists the current entries of the keys in the conditions.
	Current []Entry
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction condition failed (%d current entries returned); read the keys again and retry", len(e.Current))
}

// PollRequest reads the state of a worker and may extend the lease of its tasks.
type PollRequest struct {
	Fence int64
	// LimitClockMS is when the extended lease expires, by the worker's clock.
	// Zero leaves the lease unchanged.
	LimitClockMS int64
	// Acknowledged is the number of the last run end that the worker need not report again.
	Acknowledged int64
	// Wait is how long the worker may delay its response until a run ends.
	Wait time.Duration
}

// WorkerClient calls workers. Every call carries the owner's fencing token.
type WorkerClient interface {
	// Start orders a worker to start a run. The error explains any outcome other than accepted.
	Start(ctx context.Context, fence int64, order jobs.StartOrder) (jobs.StartOutcome, error)
	// Stop returns nil once the worker has confirmed that it ends the run or will never start it.
	Stop(ctx context.Context, fence int64, order jobs.StopOrder) error
	// Throttle returns nil once the worker runs the task at the ordered percentage
	// of its speed, or a *FencedError.
	Throttle(ctx context.Context, fence int64, order jobs.ThrottleOrder) error
	// Poll returns the worker's report, a *FencedError, a *WorkerTerminatedError or
	// a *WorkerUnreachableError.
	Poll(ctx context.Context, id domain.WorkerID, address string, r PollRequest) (jobs.WorkerReport, error)
}

// FencedError reports that the worker has already served an owner with a higher fence.
type FencedError struct{ Worker domain.WorkerID }

func (e *FencedError) Error() string {
	return fmt.Sprintf("worker %s has seen a higher fence; another instance owns the cell", e.Worker)
}

// WorkerTerminatedError reports proof that the worker's process has terminated:
// another process responds at its address.
type WorkerTerminatedError struct {
	Worker  domain.WorkerID
	Address string
	Err     error
}

func (e *WorkerTerminatedError) Error() string {
	return fmt.Sprintf("worker %s at %s has terminated together with its tasks: %v", e.Worker, e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *WorkerTerminatedError) Unwrap() error { return e.Err }

// Approver asks the external approval service which workers may run a step.
type Approver interface {
	Approve(ctx context.Context, step jobs.StepID, workers []domain.WorkerID) (ApprovalReply, error)
}

// ApprovalReply lists the workers that the approval service allows for a step.
type ApprovalReply struct {
	Approved []jobs.Approval `cbor:"1,keyasint"`
	ValidMS  int64           `cbor:"2,keyasint"`
}

// WorkerRegistry lists the workers registered with the platform and watches for changes.
type WorkerRegistry interface {
	// Workers returns the workers and the store revision at which they were
	// read. Entries that cannot be decoded are left out and counted in unreadable.
	Workers(ctx context.Context) (list []jobs.WorkerInfo, unreadable int, revision int64, err error)
	WorkerChanges
}

// WorkerChanges watches the workers registered with the platform.
type WorkerChanges interface {
	// Changes waits up to wait for changes after the revision.
	Changes(ctx context.Context, after int64, wait time.Duration) (RegistryChanges, error)
}

// RegistryChanges lists the workers that changed in the registry. Each worker is
// in one of the two lists, with its latest state.
type RegistryChanges struct {
	Updated  []jobs.WorkerInfo `cbor:"Set"`
	Removed  []domain.WorkerID
	Revision int64
	// More reports whether further changes may already be available.
	More bool
	// Gap reports whether changes were missed, so that the caller must list the workers again.
	Gap bool
}

// CellConfig is the operators' configuration of queues and teams.
type CellConfig struct {
	Version uint64
	Routes  []QueueRoute
	Teams   []TeamKeys
	// MaxBodyBytes bounds the body of a client request.
	MaxBodyBytes int64
	// EvacuatedZones are the zones whose workers get no new work, in any order. Operators evacuate
	// zones apart from the versions of the configuration.
	EvacuatedZones []domain.ZoneID
}

// QueueRoute maps requests for a host and path prefix to a queue.
type QueueRoute struct {
	Queue  jobs.Queue
	Host   string
	Prefix string
	// Open reports whether the queue accepts requests without a key.
	Open bool
}

// TeamKeys is a team with the keys that authenticate it.
type TeamKeys struct {
	jobs.Team
	Keys []string
}

// ConfigSource reads the configuration and the evacuated zones, and waits for changes.
type ConfigSource interface {
	// Read returns the configuration and the store revision at which it was
	// read. If no configuration has been stored yet it returns the evacuated zones with a
	// *NotFoundError.
	Read(ctx context.Context) (CellConfig, int64, error)
	// WaitForChange waits up to wait for changes after the revision.
	WaitForChange(ctx context.Context, after int64, wait time.Duration) (ConfigChange, error)
}

// ConfigChange is what operators have changed up to a store revision.
type ConfigChange struct {
	// Config is the newest configuration without its evacuated zones, or nil if there is no newer
	// one that can be decoded.
	Config *CellConfig
	// Unreadable is why the newest configuration cannot be decoded, or nil. An older one in Config may
	// be applied but not taken for the newest.
	Unreadable error
	// Evacuated holds the zones whose evacuation has begun (true) or ended (false).
	Evacuated map[domain.ZoneID]bool
	Revision  int64
	// Transfer is how long the response took to arrive once it had begun.
	Transfer time.Duration
	// Gap reports whether the store has compacted changes after the revision, so that the caller must
	// read the configuration again.
	Gap bool
}
