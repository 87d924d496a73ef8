package store

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"auburnpier/internal/port"
)

// Kind is a kind of call.
type Kind string

// Kinds of calls.
const (
	Get            Kind = "get"
	List           Kind = "list"
	CompareAndSwap Kind = "cas"
	Delete         Kind = "delete"
	Watch          Kind = "watch"
)

func (k Kind) writes() bool { return k == CompareAndSwap || k == Delete }

// Action is what a fault does to a call.
type Action int

// Actions of faults.
const (
	// Refuse answers that the call had no effect.
	Refuse Action = iota + 1
	// Hang gives no answer until the caller gives up, and has no effect.
	Hang
	// LoseAnswer lets the call take effect and loses the answer.
	LoseAnswer
	// LoseRequest has no effect, which the caller can't know.
	LoseRequest
	// Late loses the answer at once and lets a write take effect after Delay.
	Late
	// Slow answers after Delay.
	Slow
	// Stale answers reads from the entries at the time of the injection.
	Stale
	// Gap answers a watch with a gap.
	Gap
)

// Fault is applied to the calls that it matches.
type Fault struct {
	Action Action
	// Kinds are the kinds of calls. None means all.
	Kinds []Kind
	// Key is a prefix of the key or of the prefix of the call.
	Key string
	// Times is how many calls are hit. Zero means all until Clear.
	Times int
	Delay time.Duration

	past *Store
}

func (f *Fault) matches(kind Kind, key string) bool {
	if !strings.HasPrefix(key, f.Key) {
		return false
	}
	if f.Action == Stale && kind.writes() || f.Action == Gap && kind != Watch {
		return false
	}
	for _, k := range f.Kinds {
		if k == kind {
			return true
		}
	}
	return len(f.Kinds) == 0
}

// ErrInjected is the cause of every injected error.
var ErrInjected = errors.New("injected fault")

// Faulty is a port.Store with injected faults and call counters. It works in
// process and behind storehttp.Handler.
type Faulty struct {
	base *Store

	mu     sync.Mutex
	faults []*Fault
	calls  map[Kind]int64
}

var _ port.Store = (*Faulty)(nil)

// NewFaulty returns a store over base without faults.
func NewFaulty(base *Store) *Faulty {
	return &Faulty{base: base, calls: make(map[Kind]int64)}
}

// Inject adds a fault. The first one that matches a call is applied.
func (f *Faulty) Inject(fault Fault) {
	if fault.Action == Stale {
		fault.past = f.base.Copy()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, &fault)
}

// Clear removes all faults.
func (f *Faulty) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = nil
}

// Calls returns the calls of the kind so far. A waiting watch counts as one.
func (f *Faulty) Calls(kind Kind) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// TotalCalls returns the reads and the writes so far.
func (f *Faulty) TotalCalls() (reads, writes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, n := range f.calls {
		if kind.writes() {
			writes += n
			continue
		}
		reads += n
	}
	return reads, writes
}

// take counts the call and returns a copy of the fault that hits it.
func (f *Faulty) take(kind Kind, key string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
	for i, fault := range f.faults {
		if !fault.matches(kind, key) {
			continue
		}
		hit := *fault
		if fault.Times > 0 {
			fault.Times--
			if fault.Times == 0 {
				f.faults = append(f.faults[:i:i], f.faults[i+1:]...)
			}
		}
		return hit, true
	}
	return Fault{}, false
}

// call runs one call under the fault that hits it, if any. The function
// receives the store to use.
func call[T any](ctx context.Context, f *Faulty, kind Kind, key string, run func(context.Context, *Store) (T, error)) (T, error) {
	fault, hit := f.take(kind, key)
	if !hit {
		return run(ctx, f.base)
	}
	return hitCall(ctx, f.base, fault, kind, key, run)
}

func hitCall[T any](ctx context.Context, base *Store, fault Fault, kind Kind, key string, run func(context.Context, *Store) (T, error)) (T, error) {
	var none T
	switch fault.Action {
	case Refuse:
		return none, &port.UnavailableError{Op: string(kind), Err: ErrInjected}
	case Hang:
		<-ctx.Done()
		return none, lost(kind, key, ctx.Err())
	case LoseAnswer:
		_, _ = run(ctx, base)
		return none, lost(kind, key, ErrInjected)
	case LoseRequest:
		return none, lost(kind, key, ErrInjected)
	case Late:
		if kind.writes() {
			time.AfterFunc(fault.Delay, func() { _, _ = run(context.WithoutCancel(ctx), base) })
		}
		return none, lost(kind, key, ErrInjected)
	case Slow:
		return slowCall(ctx, base, fault.Delay, kind, key, run)
	case Stale:
		return run(ctx, fault.past)
	default:
		return run(ctx, base)
	}
}

// slowCall answers after the delay. A write takes effect then, also where the
// caller has given up.
func slowCall[T any](ctx context.Context, base *Store, delay time.Duration, kind Kind, key string, run func(context.Context, *Store) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	done := make(chan answer, 1)
	effect := ctx
	if kind.writes() {
		effect = context.WithoutCancel(ctx)
	}
	time.AfterFunc(delay, func() {
		value, err := run(effect, base)
		done <- answer{value, err}
	})
	select {
	case a := <-done:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, lost(kind, key, ctx.Err())
	}
}

func lost(kind Kind, key string, err error) error {
	if kind.writes() {
		return &port.OutcomeUnknownError{Op: string(kind), Key: key, Err: err}
	}
	return &port.UnavailableError{Op: string(kind), Err: err}
}

// Get implements port.Store.
func (f *Faulty) Get(ctx context.Context, key string) (port.Entry, error) {
	return call(ctx, f, Get, key, func(ctx context.Context, s *Store) (port.Entry, error) {
		return s.Get(ctx, key)
	})
}

type listing struct {
	entries  []port.Entry
	revision int64
}

// List implements port.Store.
func (f *Faulty) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	l, err := call(ctx, f, List, prefix, func(ctx context.Context, s *Store) (l listing, err error) {
		l.entries, l.revision, err = s.List(ctx, prefix)
		return l, err
	})
	return l.entries, l.revision, err
}

// CompareAndSwap implements port.Store.
func (f *Faulty) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	return call(ctx, f, CompareAndSwap, key, func(ctx context.Context, s *Store) (int64, error) {
		return s.CompareAndSwap(ctx, key, expected, value)
	})
}

// Delete implements port.Store.
func (f *Faulty) Delete(ctx context.Context, key string, expected int64) error {
	_, err := call(ctx, f, Delete, key, func(ctx context.Context, s *Store) (struct{}, error) {
		return struct{}{}, s.Delete(ctx, key, expected)
	})
	return err
}

// Watch implements port.Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	run := func(ctx context.Context, s *Store) (port.WatchResult, error) {
		return s.Watch(ctx, prefix, after, wait)
	}
	fault, hit := f.take(Watch, prefix)
	if !hit {
		return run(ctx, f.base)
	}
	if fault.Action == Gap {
		return port.WatchResult{Revision: f.base.current(), Gap: true}, nil
	}
	return hitCall(ctx, f.base, fault, Watch, prefix, run)
}
