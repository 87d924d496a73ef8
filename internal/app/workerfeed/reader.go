// Package workerfeed follows the registry in which workers list themselves.
// Most of its entries are heartbeats. An owner with few workers reads them
// itself; for a large fleet another instance does so and passes on what changed.
package workerfeed

import (
	"context"
	"time"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/port"
)

// Figures of reading.
const (
	// watchWait is how long a watch of the registry waits. The store may cut a
	// waiting watch without a word, so it bounds how long changes go unseen.
	watchWait = 1500 * time.Millisecond
	// BatchInterval collects entries, which change with each heartbeat. It is a fifth of
	// the shortest time in which a draining worker may still get work.
	BatchInterval = 800 * time.Millisecond
	// RetryDelay follows a call without an answer.
	RetryDelay = 150 * time.Millisecond
)

// Reader reads the changes of the registry at a bounded rate. It is used by one goroutine.
type Reader struct {
	registry  port.WorkerChanges
	restUntil time.Time
}

// NewReader returns a reader of registry.
func NewReader(registry port.WorkerChanges) *Reader { return &Reader{registry: registry} }

// Next waits for changes after the revision. It pauses first where the last
// answer brought all there was, or none came.
func (r *Reader) Next(ctx context.Context, after int64) (port.RegistryChanges, error) {
	if rest := time.Until(r.restUntil); rest > 0 {
		ctxtime.Sleep(ctx, rest)
	}
	got, err := r.registry.Changes(ctx, after, watchWait)
	switch {
	case err != nil:
		r.restUntil = time.Now().Add(RetryDelay)
	case len(got.Updated)+len(got.Removed) > 0 && !got.More:
		r.restUntil = time.Now().Add(BatchInterval)
	}
	return got, err
}
