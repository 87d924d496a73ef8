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
	// resolveTimeout bounds one attempt to settle an edit of unknown outcome.
	resolveTimeout = 2 * time.Second
	// resolveSpacing keeps these attempts to one a second while the store is down.
	resolveSpacing = time.Second
)

// flight holds the edits whose writes may still be accepted by the store.
type flight struct {
	mu      sync.Mutex
	running int
	// unresolved maps the ID of an edit whose time is over to the revision
	// that its write expected.
	unresolved map[string]int64
	lastTry    time.Time
}

func (f *flight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
}

func (f *flight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// leaveUnresolved ends the edit's run but keeps it in flight.
func (f *flight) leaveUnresolved(editID string, expected int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if f.unresolved == nil {
		f.unresolved = make(map[string]int64)
	}
	f.unresolved[editID] = expected
}

func (f *flight) active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running > 0 || len(f.unresolved) > 0
}

// due returns the unresolved edits, at most once a second.
func (f *flight) due(now time.Time) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unresolved) == 0 || now.Sub(f.lastTry) < resolveSpacing {
		return nil
	}
	f.lastTry = now
	return maps.Clone(f.unresolved)
}

func (f *flight) settle(editID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unresolved, editID)
}

// resolve settles edits that were reported as unknown. Once the key has left
// the revision that the lost write expected, that write can't take effect any
// more. Where the key has not, a version without a change is written: the
// edit itself is not repeated, since the operator may have gone on.
func (s *Sync) resolve(ctx context.Context) {
	due := s.flight.due(s.clock.Now())
	if len(due) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for id, expected := range due {
		if !s.settled(call, id, expected) {
			return
		}
		s.flight.settle(id)
		s.announce()
		s.log.Info("an edit of unknown outcome is settled", zap.String("edit", id))
	}
}

func (s *Sync) settled(ctx context.Context, id string, expected int64) bool {
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
	// After a conflict the next attempt reads what was accepted.
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		_, _, err = s.read(ctx, &conflict.Current)
	}
	return err == nil
}
