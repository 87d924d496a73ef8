// Package port declares the interfaces between the core and the outside: the
// platform's store, its VM list, workers, and time. Adapters implement them
// and stand-ins take the platform's place in tests.
package port

import (
	"context"
	"time"

	"auburnpier/internal/domain"
)

// Entry is one key of the store.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store revision that last wrote the key. It is never zero.
	Revision int64
}

// Event is one change seen by a watch. Deleted entries have a nil Value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchResult is the answer of one long poll.
type WatchResult struct {
	Events []Event
	// Revision is the store revision up to which Events is complete.
	Revision int64
	// Gap tells that changes after the given revision were compacted away;
	// the caller lists the prefix and polls again from Revision.
	Gap bool
}

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Store is the platform's key-value service. Every method returns one of the
// typed errors of this package: *NotFoundError, *ConflictError,
// *UnavailableError (the call had no effect) or *OutcomeUnknownError (a write
// may have taken effect).
type Store interface {
	// Get returns the entry or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix in key order, and the store
	// revision at which the list was read.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// CompareAndSwap writes value where the key's revision equals expected.
	// Expected zero means that the key must be absent. It returns the new
	// revision or a *ConflictError with the current entry.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error)
	// Delete removes the key where its revision equals expected.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch waits up to wait for changes below prefix after the revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]domain.VM, error)
}

// Clock tells the time. Durations are measured on the monotonic reading.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
