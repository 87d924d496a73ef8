// Package store is a small in-memory stand-in of the platform's key-value
// service with compare-and-swap, revisions and watches. It implements
// port.Store directly and serves the same calls over HTTP (see Handler).
package store

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"auburnpier/internal/port"
)

// maxHistory bounds the changes kept for watches. A watch from before the
// oldest one is answered with a gap.
const maxHistory = 4096

// Store holds the entries. The zero value is not usable; call New.
type Store struct {
	mu       sync.Mutex
	entries  map[string]port.Entry
	history  []port.Event
	oldest   int64 // revision before the first change in history
	revision int64
	changed  chan struct{} // closed and replaced at each change
}

var _ port.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{entries: make(map[string]port.Entry), changed: make(chan struct{})}
}

// Copy returns a store that holds the present entries and history.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{
		entries:  maps.Clone(s.entries),
		history:  slices.Clone(s.history),
		oldest:   s.oldest,
		revision: s.revision,
		changed:  make(chan struct{}),
	}
}

// Compact drops the history, so that every watch from an earlier revision is
// answered with a gap.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
}

func (s *Store) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements port.Store.
func (s *Store) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return port.Entry{}, &port.NotFoundError{Key: key}
	}
	return e, nil
}

// List implements port.Store.
func (s *Store) List(_ context.Context, prefix string) ([]port.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []port.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.revision, nil
}

// CompareAndSwap implements port.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, expected int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key]
	if current.Revision != expected {
		return 0, &port.ConflictError{Key: key, Expected: expected, Current: current}
	}
	s.revision++
	e := port.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.entries[key] = e
	s.record(port.Event{Entry: e})
	return e.Revision, nil
}

// Delete implements port.Store.
func (s *Store) Delete(_ context.Context, key string, expected int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key]
	if current.Revision != expected || expected == 0 {
		return &port.ConflictError{Key: key, Expected: expected, Current: current}
	}
	s.revision++
	delete(s.entries, key)
	s.record(port.Event{Entry: port.Entry{Key: key, Revision: s.revision}, Deleted: true})
	return nil
}

// Watch implements port.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed := s.changesAfter(prefix, after)
		if result.Gap || len(result.Events) > 0 {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return port.WatchResult{}, &port.UnavailableError{Op: "watch", Err: ctx.Err()}
		case <-timer.C:
			return result, nil
		case <-changed:
		}
	}
}

func (s *Store) changesAfter(prefix string, after int64) (port.WatchResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := port.WatchResult{Revision: s.revision}
	if after < s.oldest {
		result.Gap = true
		return result, s.changed
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Entry.Revision > after })
	for _, ev := range s.history[start:] {
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			result.Events = append(result.Events, ev)
		}
	}
	return result, s.changed
}

func (s *Store) record(ev port.Event) {
	s.history = append(s.history, ev)
	if len(s.history) > maxHistory {
		drop := len(s.history) - maxHistory
		s.oldest = s.history[drop-1].Entry.Revision
		s.history = append([]port.Event(nil), s.history[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
