// Package sharedwatch follows a prefix of the store with one long poll at a
// time and hands each change to its subscribers. The configuration and the
// allotments share one watch, so an instance costs one waiting call.
package sharedwatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Prefix is the part of the store that every instance follows.
const Prefix = "shared/"

const (
	// pollWait is the length of a long poll. With 8 instances it costs 4 reads
	// a second at rest.
	pollWait = 2 * time.Second
	// callMargin is added to the wait for the deadline of a poll. A poll that
	// hangs is given up early enough that a second one can still confirm the
	// configuration within its 8 s.
	callMargin = time.Second
	// minSpacing bounds the polls while keys change all the time, as
	// allotments do under load, to 2 a second for each instance.
	minSpacing = 500 * time.Millisecond

	backoffMin = 100 * time.Millisecond
	backoffMax = 1600 * time.Millisecond
)

// errStale tells that the store answered from before an earlier answer.
var errStale = errors.New("the store answered from before an earlier answer")

// Update is one answer of the store. Every change up to Revision has been
// handed over when the update returns.
type Update struct {
	// RequestedAt is when the call began. The answer shows the store at or after it.
	RequestedAt time.Time
	// Events are the changes since the last update, in the order of revisions.
	Events []port.Event
	// Revision is the store revision that the answer reached.
	Revision int64
}

// Latest returns the last change of the key. Documents are written whole, so the
// changes before it need not be decoded.
func (u Update) Latest(key string) (port.Event, bool) {
	for i := len(u.Events) - 1; i >= 0; i-- {
		if u.Events[i].Entry.Key == key {
			return u.Events[i], true
		}
	}
	return port.Event{}, false
}

// Subscriber receives updates in order, from one goroutine. It must not block.
type Subscriber func(Update)

// Watcher follows the prefix. Subscribe before Run.
type Watcher struct {
	store       port.Store
	clock       port.Clock
	metrics     *metrics.Registry
	prefix      string
	subscribers []Subscriber

	// The fields below belong to the goroutine of Run.
	revision int64            // reached by the last answer
	listed   bool             // whether the prefix was listed since the last gap
	known    map[string]int64 // revision of each present key
	failures int              // failed calls in a row

	reachable atomic.Bool
}

// New returns a watcher of the prefix.
func New(store port.Store, clock port.Clock, m *metrics.Registry, prefix string) *Watcher {
	return &Watcher{store: store, clock: clock, metrics: m, prefix: prefix, known: make(map[string]int64)}
}

// Subscribe adds a subscriber. It must be called before Run.
func (w *Watcher) Subscribe(s Subscriber) { w.subscribers = append(w.subscribers, s) }

// Reachable reports whether the last call was answered.
func (w *Watcher) Reachable() bool { return w.reachable.Load() }

// Run follows the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := w.clock.Now()
		err := w.step(ctx, began)
		w.reachable.Store(err == nil)
		pause := w.pause(err, began)
		if pause > 0 {
			ctxtime.Sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

// pause returns how long to wait before the next call.
func (w *Watcher) pause(err error, began time.Time) time.Duration {
	if err == nil {
		w.failures = 0
		return minSpacing - w.clock.Now().Sub(began)
	}
	if errors.Is(err, errStale) {
		w.metrics.Counter("sharedwatch.stale_answer").Inc(1)
	} else {
		w.metrics.Retried(metrics.RetryStoreDown)
	}
	backoff := min(backoffMin<<min(w.failures, 8), backoffMax)
	w.failures++
	return backoff/2 + rand.N(backoff/2)
}

func (w *Watcher) step(ctx context.Context, began time.Time) error {
	if !w.listed {
		return w.list(ctx, began)
	}
	return w.poll(ctx, began)
}

// poll does one long poll. After a failure the wait is zero, so that the next
// answer comes at once.
func (w *Watcher) poll(ctx context.Context, began time.Time) error {
	wait := pollWait
	if w.failures > 0 {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	result, err := w.store.Watch(call, w.prefix, w.revision, wait)
	if err != nil {
		return err
	}
	if result.Revision < w.revision {
		return errStale
	}
	if result.Gap {
		w.metrics.Counter("sharedwatch.gap").Inc(1)
		w.listed = false
		return w.list(ctx, w.clock.Now())
	}
	w.deliver(began, w.fresh(result.Events), result.Revision)
	return nil
}

// list reads the whole prefix and delivers what differs from the known keys.
func (w *Watcher) list(ctx context.Context, began time.Time) error {
	call, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	entries, revision, err := w.store.List(call, w.prefix)
	if err != nil {
		return err
	}
	if revision < w.revision {
		return errStale
	}
	w.listed = true
	w.deliver(began, w.difference(entries, revision), revision)
	return nil
}

// fresh drops events that were delivered before.
func (w *Watcher) fresh(events []port.Event) []port.Event {
	kept := events[:0:0]
	for _, ev := range events {
		if ev.Entry.Revision > w.revision {
			kept = append(kept, ev)
		}
	}
	return kept
}

// difference returns the events that lead from the known keys to the entries.
func (w *Watcher) difference(entries []port.Entry, revision int64) []port.Event {
	var events []port.Event
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if e.Revision > w.known[e.Key] {
			events = append(events, port.Event{Entry: e})
		}
	}
	for key := range w.known {
		if !present[key] {
			events = append(events, port.Event{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return events
}

func (w *Watcher) deliver(began time.Time, events []port.Event, revision int64) {
	for _, ev := range events {
		if ev.Deleted {
			delete(w.known, ev.Entry.Key)
			continue
		}
		w.known[ev.Entry.Key] = ev.Entry.Revision
	}
	w.revision = revision
	for _, s := range w.subscribers {
		s(Update{RequestedAt: began, Events: events, Revision: revision})
	}
}
