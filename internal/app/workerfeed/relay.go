package workerfeed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

const (
	// idleTimeoutMS is how long a relay continues reading without a request.
	idleTimeoutMS = 10_000
	// maxReadAgeMS is the age of the store's last response above which the relay
	// fails requests. It exceeds one batch interval plus a watch without changes.
	maxReadAgeMS = 2500
	// maxResumePoints bounds the revisions from which an owner can continue. With
	// 3,000 workers they cover a minute.
	maxResumePoints = 256
	// maxRemovedWorkers bounds the removed workers that a change log holds.
	maxRemovedWorkers = 4096
)

// StaleError reports that the relay has no recent response of the store.
type StaleError struct{ AgeMS int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("relay last read the registry %d ms ago; read the registry from the store", e.AgeMS)
}

// Relay reads the registry as long as it receives requests, and responds with the
// workers that changed. It starts at the revision of the first request and never
// lists the registry.
type Relay struct {
	ctx      context.Context
	registry port.WorkerChanges
	metrics  *metrics.Registry
	// NowMS is a clock that keeps counting while the VM is suspended. Tests with virtual time replace it.
	NowMS func() int64

	mu      sync.Mutex
	current *changeLog
}

// changeLog holds the latest change of each worker that a relay has read since one revision.
type changeLog struct {
	cancel context.CancelFunc
	// resumePoints holds the revision of the first request and the revisions of
	// the store's responses, in ascending order.
	resumePoints []int64
	workers      map[domain.WorkerID]workerChange
	removedCount int
	// lastRequestMS is the time of the last request, lastReadMS that of the
	// store's last response.
	lastRequestMS, lastReadMS int64
	// gap is set once the store has compacted changes that the relay has not read.
	gap bool
	// updated is closed and replaced after each response of the store.
	updated chan struct{}
}

// workerChange is the latest change of a worker.
type workerChange struct {
	info     jobs.WorkerInfo
	removed  bool
	revision int64
}

// NewRelay returns a relay of registry that stops reading when ctx ends.
func NewRelay(ctx context.Context, registry port.WorkerChanges, m *metrics.Registry) *Relay {
	return &Relay{ctx: ctx, registry: registry, metrics: m, NowMS: steady.NowMS}
}

// Changes implements port.WorkerChanges. Heartbeats do not count as changes,
// except for the first one that the relay reads of each worker. It returns a
// *StaleError if the store does not respond to the relay.
func (r *Relay) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for timedOut := false; ; {
		r.mu.Lock()
		l := r.logFrom(after)
		l.lastRequestMS = r.NowMS()
		changes, ageMS, updated := l.since(after), l.lastRequestMS-l.lastReadMS, l.updated
		r.mu.Unlock()
		switch {
		case changes.Gap || len(changes.Updated)+len(changes.Removed) > 0:
			return changes, nil
		case ageMS > maxReadAgeMS:
			return port.RegistryChanges{}, &StaleError{ageMS}
		case timedOut:
			return changes, nil
		}
		stale := time.NewTimer(time.Duration(maxReadAgeMS-ageMS+1) * time.Millisecond)
		select {
		case <-updated:
		case <-stale.C:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			stale.Stop()
			return port.RegistryChanges{}, ctx.Err()
		}
		stale.Stop()
	}
}

// logFrom returns the current change log if the revision is one of its resume
// points, else a new log. Other revisions must not be resumed: within one response
// of the store a worker may have changed and changed back, which are two changes
// to an owner that knows the state in between.
func (r *Relay) logFrom(after int64) *changeLog {
	if r.current != nil {
		if _, ok := slices.BinarySearch(r.current.resumePoints, after); ok {
			return r.current
		}
	}
	if r.current != nil {
		r.current.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	now := r.NowMS()
	l := &changeLog{cancel: cancel, resumePoints: []int64{after}, workers: make(map[domain.WorkerID]workerChange),
		lastRequestMS: now, lastReadMS: now, updated: make(chan struct{})}
	r.current = l
	r.metrics.Counter("registry.relay.begun").Inc(1)
	go r.follow(ctx, l)
	return l
}

// follow reads until the change log is replaced, has a gap or is no longer requested.
func (r *Relay) follow(ctx context.Context, l *changeLog) {
	defer l.cancel()
	reader := NewReader(r.registry)
	for revision := l.resumePoints[0]; ctx.Err() == nil; {
		changes, err := reader.Next(ctx, revision)
		r.metrics.Counter("registry.entries").Inc(int64(len(changes.Updated) + len(changes.Removed)))
		if !r.record(l, changes, err) {
			return
		}
		if err == nil {
			revision = changes.Revision
		}
	}
}

// record adds the result of a read to the change log. It reports whether to continue reading.
func (r *Relay) record(l *changeLog, changes port.RegistryChanges, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == l && (r.NowMS()-l.lastRequestMS > idleTimeoutMS || l.removedCount > maxRemovedWorkers) {
		r.current = nil
	}
	if r.current != l {
		return false
	}
	if err != nil {
		r.metrics.Counter("registry.relay.unanswered").Inc(1)
		return true
	}
	l.lastReadMS = r.NowMS()
	if changes.Gap {
		l.gap, l.workers = true, nil
	} else {
		l.apply(changes)
	}
	close(l.updated)
	l.updated = make(chan struct{})
	return !l.gap
}

func (l *changeLog) revision() int64 { return l.resumePoints[len(l.resumePoints)-1] }

func (l *changeLog) apply(changes port.RegistryChanges) {
	if changes.Revision > l.revision() {
		l.resumePoints = append(l.resumePoints, changes.Revision)
		l.resumePoints = l.resumePoints[max(0, len(l.resumePoints)-maxResumePoints):]
	}
	for _, id := range changes.Removed {
		if before, ok := l.workers[id]; !ok || !before.removed {
			l.workers[id] = workerChange{removed: true, revision: changes.Revision}
			l.removedCount++
		}
	}
	for _, w := range changes.Updated {
		before, ok := l.workers[w.ID]
		if ok && !before.removed && before.info.SameDescription(w) {
			continue
		}
		if before.removed {
			l.removedCount--
		}
		l.workers[w.ID] = workerChange{info: w, revision: changes.Revision}
	}
}

// since returns the changes after a revision that the log covers.
func (l *changeLog) since(after int64) port.RegistryChanges {
	if l.gap {
		return port.RegistryChanges{Gap: true}
	}
	changes := port.RegistryChanges{Revision: l.revision()}
	for id, c := range l.workers {
		switch {
		case c.revision <= after:
		case c.removed:
			changes.Removed = append(changes.Removed, id)
		default:
			changes.Updated = append(changes.Updated, c.info)
		}
	}
	return changes
}
