// Package workerfeed watches the registry in which workers register themselves.
// Most registry updates are heartbeats. With few workers the owner reads them
// itself; for a large fleet another instance does and forwards only the changes.
package workerfeed

import (
	"context"
	"time"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/port"
)

const (
	// watchWait is how long a watch of the registry waits for changes. The store
	// may drop a pending watch silently, so this bounds how long changes go unnoticed.
	watchWait = 1500 * time.Millisecond
	// BatchInterval is the delay between reads in which updates accumulate, since
	// entries change with each heartbeat. It is a fifth of the shortest time in
	// which a draining worker may still be given work.
	BatchInterval = 800 * time.Millisecond
	// RetryDelay is the delay after a failed read.
	RetryDelay = 150 * time.Millisecond
)

// Reader reads registry changes at a bounded rate. It is not safe for concurrent use.
type Reader struct {
	registry port.WorkerChanges
	// notBefore is the earliest time of the next read.
	notBefore time.Time
}

// NewReader returns a reader of registry.
func NewReader(registry port.WorkerChanges) *Reader { return &Reader{registry: registry} }

// Next waits for changes after the revision. It first delays the read if the
// last one returned all available changes or failed.
func (r *Reader) Next(ctx context.Context, after int64) (port.RegistryChanges, error) {
	if delay := time.Until(r.notBefore); delay > 0 {
		ctxtime.Sleep(ctx, delay)
	}
	changes, err := r.registry.Changes(ctx, after, watchWait)
	switch {
	case err != nil:
		r.notBefore = time.Now().Add(RetryDelay)
	case len(changes.Updated)+len(changes.Removed) > 0 && !changes.More:
		r.notBefore = time.Now().Add(BatchInterval)
	}
	return changes, err
}
