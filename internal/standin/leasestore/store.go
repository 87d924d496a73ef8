// Package leasestore is a small stand-in of the platform's store with leases,
// transactions and watches, and with fault injection.
package leasestore

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"auburnpier/internal/port"
)

// Fault makes calls fail. The zero value is no fault.
type Fault uint8

// Faults of the store.
const (
	None Fault = iota
	// Down answers every call with an error that had no effect.
	Down
	// AnswerLost does writes and loses their answers.
	AnswerLost
	// Slow answers writes after SlowBy.
	Slow
	// Late loses the answers of writes and does them after LateBy, where their conditions still hold.
	Late
)

// LateBy is how late a write is done under the fault Late.
const LateBy = 150 * time.Millisecond

// SlowBy is how long a write takes under the fault Slow.
const SlowBy = 60 * time.Millisecond

// Store is the stand-in.
type Store struct {
	mu       sync.Mutex
	entries  map[string]item
	history  []port.Event
	dropped  int64
	revision int64
	leases   map[int64]lease
	nextID   int64
	fault    Fault
	changed  chan struct{}
	writes   int
}

type item struct {
	port.Entry
	lease int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: make(map[string]item), leases: make(map[int64]lease), revision: 100, changed: make(chan struct{})}
}

// SetFault sets the fault in force.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
}

// Put writes a key as another writer would.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	s.set(port.Put{Key: key, Value: value})
	s.wake()
}

// Delete removes a key as another writer would.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	s.remove(key)
	s.wake()
}

// Writes returns the number of transactions that took effect.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

var errDown = errors.New("the stand-in is down")

func (s *Store) down(op string) error {
	if s.fault == Down {
		return &port.UnavailableError{Op: op, Err: errDown}
	}
	return nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) set(p port.Put) {
	e := port.Entry{Key: p.Key, Value: append([]byte{}, p.Value...), Revision: s.revision}
	s.entries[p.Key] = item{e, p.Lease}
	s.log(port.Event{Entry: e})
}

// maxHistory is how many events are kept for watches.
const maxHistory = 20_000

// log adds an event to the history, and drops the older half of a full one.
func (s *Store) log(e port.Event) {
	if len(s.history) == maxHistory {
		s.dropped = s.history[maxHistory/2-1].Entry.Revision
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.history = append(s.history, e)
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.log(port.Event{Entry: port.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.entries {
		if i.lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

// Get implements port.LeaseStore.
func (s *Store) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down("get"); err != nil {
		return port.Entry{}, err
	}
	s.expire()
	i, ok := s.entries[key]
	if !ok {
		return port.Entry{}, &port.NotFoundError{Key: key}
	}
	return i.Entry, nil
}

// List implements port.LeaseStore.
func (s *Store) List(_ context.Context, prefix string) ([]port.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down("list"); err != nil {
		return nil, 0, err
	}
	s.expire()
	var list []port.Entry
	for key, i := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, i.Entry)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	return list, s.revision, nil
}

// Sizes of a page of a list.
const (
	MaxPageEntries = 500
	MaxPageBytes   = 1 << 20
)

// ListPage implements port.LeaseStore.
func (s *Store) ListPage(ctx context.Context, prefix, after string) (port.Page, error) {
	list, revision, err := s.List(ctx, prefix)
	if err != nil {
		return port.Page{}, err
	}
	page := port.Page{Revision: revision}
	bytes := 0
	for _, e := range list {
		if after != "" && e.Key <= after {
			continue
		}
		if bytes += len(e.Value); len(page.Entries) > 0 && (len(page.Entries) == MaxPageEntries || bytes > MaxPageBytes) {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, e)
	}
	return page, nil
}

// watchPoll bounds how late the end of a lease is seen by a watch.
const watchPoll = 20 * time.Millisecond

// Watch implements port.LeaseStore.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		if err := s.down("watch"); err != nil {
			s.mu.Unlock()
			return port.WatchResult{}, err
		}
		s.expire()
		if after < s.dropped {
			s.mu.Unlock()
			return port.WatchResult{Gap: true}, nil
		}
		r := port.WatchResult{Revision: s.revision}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Entry.Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Entry.Key, prefix) {
				r.Events = append(r.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(r.Events) > 0 || time.Now().After(deadline) {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return port.WatchResult{}, &port.UnavailableError{Op: "watch", Err: ctx.Err()}
		case <-changed:
		case <-time.After(watchPoll):
		}
	}
}

// Commit implements port.LeaseStore.
func (s *Store) Commit(_ context.Context, txn port.Txn) (int64, error) {
	s.mu.Lock()
	if s.fault == Slow {
		s.mu.Unlock()
		time.Sleep(SlowBy)
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if err := s.down("commit"); err != nil {
		return 0, err
	}
	lost := &port.OutcomeUnknownError{Op: "commit", Err: errors.New("the stand-in loses the answer")}
	switch s.fault {
	case Late:
		time.AfterFunc(LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// A condition that no longer holds leaves the write undone.
			_, _ = s.apply(txn)
		})
		return 0, lost
	case AnswerLost:
		if _, err := s.apply(txn); err != nil {
			return 0, err
		}
		return 0, lost
	}
	return s.apply(txn)
}

func (s *Store) apply(txn port.Txn) (int64, error) {
	s.expire()
	conflict := &port.TxnConflictError{}
	holds := true
	for _, c := range txn.If {
		i, ok := s.entries[c.Key]
		if ok {
			conflict.Current = append(conflict.Current, i.Entry)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, &port.NotFoundError{Key: "lease"}
		}
	}
	s.revision++
	s.writes++
	for _, p := range txn.Puts {
		s.set(p)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.wake()
	return s.revision, nil
}

// GrantLease implements port.LeaseStore.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (int64, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down("grant"); err != nil {
		return 0, 0, err
	}
	s.nextID++
	s.leases[s.nextID] = lease{ttl, time.Now().Add(ttl)}
	return s.nextID, ttl, nil
}

// RenewLease implements port.LeaseStore.
func (s *Store) RenewLease(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down("keep"); err != nil {
		return err
	}
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return &port.NotFoundError{Key: "lease"}
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// RevokeLease implements port.LeaseStore.
func (s *Store) RevokeLease(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.down("end"); err != nil {
		return err
	}
	if _, ok := s.leases[id]; ok {
		s.endLease(id)
	}
	return nil
}
