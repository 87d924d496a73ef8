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

// Figures of a relay.
const (
	// idleAfterMS is how long a relay reads on without being asked.
	idleAfterMS = 10_000
	// staleAfterMS is the age of the last answer of the store above which the relay
	// gives none. It is above a pause and a watch that ends without a change.
	staleAfterMS = 2500
	// maxEnds bounds the revisions at which an owner may continue. At 3,000
	// workers they cover a minute.
	maxEnds = 256
	// maxGone bounds the workers that are remembered as removed.
	maxGone = 4096
)

// StaleError tells that the relay itself has no recent answer of the store.
type StaleError struct{ AgeMS int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("the registry was read %d ms ago; read it at the store", e.AgeMS)
}

// Relay reads the registry while it is asked, and answers with the workers that
// changed. It starts at the revision of the first question and needs no list.
type Relay struct {
	ctx      context.Context
	registry port.WorkerChanges
	metrics  *metrics.Registry
	// nowMS is a clock that also counts while the VM is suspended.
	nowMS func() int64

	mu      sync.Mutex
	current *reading
}

// reading is what a relay has read since one revision.
type reading struct {
	cancel context.CancelFunc
	// ends holds the revision of the first question and those at which answers
	// of the store ended, the newest last.
	ends    []int64
	workers map[domain.WorkerID]known
	gone    int
	// askedMS and readMS are when the reading was asked for last, and when the
	// store answered it last.
	askedMS, readMS int64
	// gap tells that the store has dropped changes.
	gap bool
	// news is closed and replaced when there is something to answer.
	news chan struct{}
}

// known is the last change of a worker.
type known struct {
	info     jobs.WorkerInfo
	removed  bool
	revision int64
}

// NewRelay returns a relay of registry that reads nothing more once ctx ends.
func NewRelay(ctx context.Context, registry port.WorkerChanges, m *metrics.Registry) *Relay {
	return &Relay{ctx: ctx, registry: registry, metrics: m, nowMS: steady.NowMS}
}

// Changes implements port.WorkerChanges. Heartbeats are no changes, except the
// first of a worker that the relay sees. It returns a *StaleError where the
// store does not answer the relay.
func (r *Relay) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for over := false; ; {
		r.mu.Lock()
		g := r.readingFrom(after)
		g.askedMS = r.nowMS()
		got, ageMS, news := g.since(after), g.askedMS-g.readMS, g.news
		r.mu.Unlock()
		switch {
		case got.Gap || len(got.Updated)+len(got.Removed) > 0:
			return got, nil
		case ageMS > staleAfterMS:
			return port.RegistryChanges{}, &StaleError{ageMS}
		case over:
			return got, nil
		}
		stale := time.NewTimer(time.Duration(staleAfterMS-ageMS+1) * time.Millisecond)
		select {
		case <-news:
		case <-stale.C:
		case <-end.C:
			over = true
		case <-ctx.Done():
			stale.Stop()
			return port.RegistryChanges{}, ctx.Err()
		}
		stale.Stop()
	}
}

// readingFrom returns the present reading where one of its answers ended at the
// revision, else a new one. Within an answer a worker may have changed and
// changed back; for an owner that knows a state between, both are changes.
func (r *Relay) readingFrom(after int64) *reading {
	if r.current != nil {
		if _, ok := slices.BinarySearch(r.current.ends, after); ok {
			return r.current
		}
	}
	if r.current != nil {
		r.current.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	now := r.nowMS()
	g := &reading{cancel: cancel, ends: []int64{after}, workers: make(map[domain.WorkerID]known),
		askedMS: now, readMS: now, news: make(chan struct{})}
	r.current = g
	r.metrics.Counter("registry.relay.begun").Inc(1)
	go r.follow(ctx, g)
	return g
}

// follow reads until the reading is replaced, misses changes or is not asked any more.
func (r *Relay) follow(ctx context.Context, g *reading) {
	defer g.cancel()
	reader := NewReader(r.registry)
	for revision := g.ends[0]; ctx.Err() == nil; {
		got, err := reader.Next(ctx, revision)
		r.metrics.Counter("registry.entries").Inc(int64(len(got.Updated) + len(got.Removed)))
		if !r.note(g, got, err) {
			return
		}
		if err == nil {
			revision = got.Revision
		}
	}
}

// note takes an answer of the store. It reports whether the reading goes on.
func (r *Relay) note(g *reading, got port.RegistryChanges, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == g && (r.nowMS()-g.askedMS > idleAfterMS || g.gone > maxGone) {
		r.current = nil
	}
	if r.current != g {
		return false
	}
	if err != nil {
		r.metrics.Counter("registry.relay.unanswered").Inc(1)
		return true
	}
	g.readMS = r.nowMS()
	if got.Gap {
		g.gap, g.workers = true, nil
	} else {
		g.apply(got)
	}
	close(g.news)
	g.news = make(chan struct{})
	return !g.gap
}

func (g *reading) revision() int64 { return g.ends[len(g.ends)-1] }

func (g *reading) apply(got port.RegistryChanges) {
	if got.Revision > g.revision() {
		g.ends = append(g.ends, got.Revision)
		g.ends = g.ends[max(0, len(g.ends)-maxEnds):]
	}
	for _, id := range got.Removed {
		if before, ok := g.workers[id]; !ok || !before.removed {
			g.workers[id] = known{removed: true, revision: got.Revision}
			g.gone++
		}
	}
	for _, w := range got.Updated {
		before, ok := g.workers[w.ID]
		if ok && !before.removed && before.info.Same(w) {
			continue
		}
		if before.removed {
			g.gone--
		}
		g.workers[w.ID] = known{info: w, revision: got.Revision}
	}
}

// since returns the changes after a revision that the reading covers.
func (g *reading) since(after int64) port.RegistryChanges {
	if g.gap {
		return port.RegistryChanges{Gap: true}
	}
	got := port.RegistryChanges{Revision: g.revision()}
	for id, k := range g.workers {
		switch {
		case k.revision <= after:
		case k.removed:
			got.Removed = append(got.Removed, id)
		default:
			got.Updated = append(got.Updated, k.info)
		}
	}
	return got
}
