// Package port declares the interfaces between the core and external systems:
// the platform's store, its VM list, the workers, other instances and the
// clock. Adapters implement them; tests use stand-ins instead of the platform.
package port

import (
	"context"
	"time"

	"auburnpier/internal/domain"
)

// Entry is a key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last write to the key. It is never zero.
	Revision int64
}

// Event is one change to a key as reported by a watch. Deleted entries have a nil Value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchResult is the response to one long poll.
type WatchResult struct {
	Events []Event
	// Revision is the store revision up to which Events is complete.
	Revision int64
	// Transfer is how long the response took to arrive once it had begun.
	Transfer time.Duration
	// Gap reports whether changes after the requested revision have been compacted.
	// The caller then lists the prefix and watches again from the revision of the list.
	Gap bool
}

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Store is the platform's key-value store. Methods fail with one of the typed
// errors of this package: *NotFoundError, *ConflictError, *UnavailableError (the
// call had no effect) or *OutcomeUnknownError (a write may have taken effect).
type Store interface {
	// Get returns the entry or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix in key order, and the store revision
	// at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// CompareAndSwap writes value if the key is at revision expected; zero requires
	// the key to be absent. It returns the new revision, or a *ConflictError with
	// the current entry.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error)
	// Delete removes the key if it is at revision expected.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch waits up to wait for changes under prefix after the revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
}

// VMList is the platform's list of running and leaving VMs. It lags behind reality.
type VMList interface {
	List(ctx context.Context) ([]domain.VM, error)
}

// Clock returns the current time. Durations are measured on the monotonic clock reading.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
