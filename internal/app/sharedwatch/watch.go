// Package sharedwatch watches a prefix of the store with one long poll at a time
// and delivers each change to its subscribers. The configuration and the
// allotments share one watch, so that each instance has only one pending call.
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

// Prefix is the key prefix that every instance watches.
const Prefix = "shared/"

const (
	// pollWait is the length of a long poll. With 8 instances and no changes it
	// causes 4 reads per second.
	pollWait = 2 * time.Second
	// responseMargin is the time for the response that a poll's deadline allows in
	// addition to its wait. It is short enough that after a poll that hangs, a second
	// one can still confirm the configuration within 8 s.
	responseMargin = time.Second
	// minPollInterval limits each instance to 2 polls per second while keys change
	// continuously, as allotments do under load.
	minPollInterval = 500 * time.Millisecond

	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// errStaleResponse reports that a response is older than a previous one.
var errStaleResponse = errors.New("store response has a lower revision than an earlier response")

// Update is one response of the store. With it, subscribers have received every
// change up to Revision.
type Update struct {
	// RequestedAt is when the call start. The response shows the store at or after it.
	RequestedAt time.Time
	// Events are the changes since the last update, in the order of revisions.
	Events []port.Event
	// Revision is the store revision of the response.
	Revision int64
}

// Latest returns the latest change of the key. Documents are written as a whole,
// so earlier changes need not be decoded.
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

// Watcher watches a prefix of the store. Subscribe must be called before Run.
type Watcher struct {
	store       port.Store
	clock       port.Clock
	metrics     *metrics.Registry
	prefix      string
	subscribers []Subscriber

	// The fields below are used only by the goroutine of Run.
	revision     int64            // revision of the last response
	listed       bool             // whether the prefix was listed since the last gap
	keyRevisions map[string]int64 // revision of each existing key
	failures     int              // consecutive failed calls

	reachable atomic.Bool
}

// New returns a watcher of the prefix.
func New(store port.Store, clock port.Clock, m *metrics.Registry, prefix string) *Watcher {
	return &Watcher{store: store, clock: clock, metrics: m, prefix: prefix, keyRevisions: make(map[string]int64)}
}

// Subscribe adds a subscriber. It must be called before Run.
func (w *Watcher) Subscribe(s Subscriber) { w.subscribers = append(w.subscribers, s) }

// Reachable reports whether the last call succeeded.
func (w *Watcher) Reachable() bool { return w.reachable.Load() }

// Run watches the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start := w.clock.Now()
		err := w.listOrPoll(ctx, start)
		w.reachable.Store(err == nil)
		delay := w.nextDelay(err, start)
		if delay > 0 {
			ctxtime.Sleep(ctx, delay)
		}
	}
	return ctx.Err()
}

// nextDelay returns how long to wait before the next call.
func (w *Watcher) nextDelay(err error, start time.Time) time.Duration {
	if err == nil {
		w.failures = 0
		return minPollInterval - w.clock.Now().Sub(start)
	}
	if errors.Is(err, errStaleResponse) {
		w.metrics.Counter("sharedwatch.stale_answer").Inc(1)
	} else {
		w.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
	backoff := min(minBackoff<<min(w.failures, 8), maxBackoff)
	w.failures++
	return backoff/2 + rand.N(backoff/2)
}

func (w *Watcher) listOrPoll(ctx context.Context, start time.Time) error {
	if !w.listed {
		return w.list(ctx, start)
	}
	return w.poll(ctx, start)
}

// poll does one long poll. After a failure it does not wait for changes, so that
// the next response arrives immediately.
func (w *Watcher) poll(ctx context.Context, start time.Time) error {
	wait := pollWait
	if w.failures > 0 {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	result, err := w.store.Watch(call, w.prefix, w.revision, wait)
	if err != nil {
		return err
	}
	if result.Revision < w.revision {
		return errStaleResponse
	}
	if result.Gap {
		w.metrics.Counter("sharedwatch.gap").Inc(1)
		w.listed = false
		return w.list(ctx, w.clock.Now())
	}
	w.deliver(start, w.newEvents(result.Events), result.Revision)
	return nil
}

// list lists the prefix and delivers the differences from the last known entries.
func (w *Watcher) list(ctx context.Context, start time.Time) error {
	call, cancel := context.WithTimeout(ctx, pollWait+responseMargin)
	defer cancel()
	entries, revision, err := w.store.List(call, w.prefix)
	if err != nil {
		return err
	}
	if revision < w.revision {
		return errStaleResponse
	}
	w.listed = true
	w.deliver(start, w.diff(entries, revision), revision)
	return nil
}

// newEvents returns the events that have not been delivered before.
func (w *Watcher) newEvents(events []port.Event) []port.Event {
	undelivered := events[:0:0]
	for _, ev := range events {
		if ev.Entry.Revision > w.revision {
			undelivered = append(undelivered, ev)
		}
	}
	return undelivered
}

// diff returns the events that turn the last known entries into the listed ones.
func (w *Watcher) diff(entries []port.Entry, revision int64) []port.Event {
	var events []port.Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if e.Revision > w.keyRevisions[e.Key] {
			events = append(events, port.Event{Entry: e})
		}
	}
	for key := range w.keyRevisions {
		if !listed[key] {
			events = append(events, port.Event{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return events
}

func (w *Watcher) deliver(start time.Time, events []port.Event, revision int64) {
	for _, ev := range events {
		if ev.Deleted {
			delete(w.keyRevisions, ev.Entry.Key)
			continue
		}
		w.keyRevisions[ev.Entry.Key] = ev.Entry.Revision
	}
	w.revision = revision
	for _, s := range w.subscribers {
		s(Update{RequestedAt: start, Events: events, Revision: revision})
	}
}
