package confsync

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/port"
)

const (
	// resolveTimeout limits one attempt to resolve the edits of unknown outcome.
	resolveTimeout = 2 * time.Second
	// minResolveInterval is the minimum interval between these attempts while the store is down.
	minResolveInterval = time.Second
)

// editsInFlight tracks the edits in editsInFlight: those whose writes the store may still accept.
type editsInFlight struct {
	mu      sync.Mutex
	running int
	// unresolved maps the ID of an edit that ended with an unknown outcome to the revision that its
	// write expects.
	unresolved  map[string]int64
	lastAttempt time.Time
}

func (f *editsInFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
}

func (f *editsInFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// leaveUnresolved ends the run of an edit but keeps the edit in flight.
func (f *editsInFlight) leaveUnresolved(editID string, expected int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if f.unresolved == nil {
		f.unresolved = make(map[string]int64)
	}
	f.unresolved[editID] = expected
}

func (f *editsInFlight) active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running > 0 || len(f.unresolved) > 0
}

// dueForResolve returns the unresolved edits, or nil if the last attempt was less than
// minResolveInterval ago.
func (f *editsInFlight) dueForResolve(now time.Time) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unresolved) == 0 || now.Sub(f.lastAttempt) < minResolveInterval {
		return nil
	}
	f.lastAttempt = now
	return maps.Clone(f.unresolved)
}

func (f *editsInFlight) markResolved(editID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unresolved, editID)
}

// resolve settles edits of unknown outcome. Once the key is no longer at the revision that the lost
// write expects, that write can't take effect. If the key is still at that revision, resolve writes a
// new version without a change. It does not retry the edit itself, because the operator may have made
// other changes since.
func (s *Sync) resolve(ctx context.Context) {
	due := s.inFlight.dueForResolve(s.clock.Now())
	if len(due) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for id, expected := range due {
		if !s.tryResolve(call, id, expected) {
			return
		}
		s.inFlight.markResolved(id)
		s.announce()
		s.log.Info("edit of unknown outcome resolved", zap.String("edit", id))
	}
}

func (s *Sync) tryResolve(ctx context.Context, id string, expected int64) bool {
	entry, doc, err := s.read(ctx, nil)
	if err != nil {
		return false
	}
	if entry.Revision != expected {
		return true
	}
	next := confdoc.BumpVersion(doc, "settle-"+id)
	value, err := confdoc.Encode(next)
	if err != nil {
		return false
	}
	_, err = s.store.CompareAndSwap(ctx, ConfigKey, expected, value)
	if err == nil {
		s.adopt(next)
		return true
	}
	// A conflict shows that the key changed, so the pending write can no longer take effect.
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		_, _, err = s.read(ctx, &conflict.Current)
	}
	return err == nil
}
