// Package storeguard is the call layer around the platform's store: a deadline
// for each call, a budget of calls a second, repetition of calls that had no
// effect, and a counter for each kind of call and retry reason.
package storeguard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Defaults of Config. One instance of 8 may use an eighth of the cell's budget
// of 60 writes/s and 400 reads/s on average; bursts of one second are allowed.
const (
	DefaultDeadline       = 1500 * time.Millisecond
	DefaultAttempts       = 3
	DefaultReadsPerSecond = 50
	// DefaultWritesPerSecond leaves room for one instance that owns several
	// partitions while others own none.
	DefaultWritesPerSecond = 20

	backoffMin = 25 * time.Millisecond
	backoffMax = 400 * time.Millisecond
)

// ErrBudget is the cause of an *port.UnavailableError where the calls of this
// instance are over their budget.
var ErrBudget = errors.New("the instance is over its budget of store calls")

// Config holds the bounds. Zero fields take the defaults.
type Config struct {
	// Deadline bounds one call. The wait of a watch is added to it.
	Deadline time.Duration
	// Attempts is how often a call that had no effect is tried in all.
	Attempts        int
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Guard is a port.Store around another one.
type Guard struct {
	store   port.Store
	metrics *metrics.Registry
	config  Config
	reads   *rate.Limiter
	writes  *rate.Limiter
}

var _ port.Store = (*Guard)(nil)

// New returns a guard around the store.
func New(store port.Store, m *metrics.Registry, c Config) *Guard {
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.Attempts == 0 {
		c.Attempts = DefaultAttempts
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	return &Guard{
		store: store, metrics: m, config: c,
		reads:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), burst(c.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(c.WritesPerSecond), burst(c.WritesPerSecond)),
	}
}

// burst is the budget of one second.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// Get implements port.Store.
func (g *Guard) Get(ctx context.Context, key string) (port.Entry, error) {
	return guarded(ctx, g, spec{kind: "get", budget: g.reads, attempts: g.config.Attempts},
		func(ctx context.Context) (port.Entry, error) { return g.store.Get(ctx, key) })
}

type listing struct {
	entries  []port.Entry
	revision int64
}

// List implements port.Store.
func (g *Guard) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	l, err := guarded(ctx, g, spec{kind: "list", budget: g.reads, attempts: g.config.Attempts},
		func(ctx context.Context) (l listing, err error) {
			l.entries, l.revision, err = g.store.List(ctx, prefix)
			return l, err
		})
	return l.entries, l.revision, err
}

// CompareAndSwap implements port.Store.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	return guarded(ctx, g, spec{kind: "cas", budget: g.writes, attempts: g.config.Attempts},
		func(ctx context.Context) (int64, error) { return g.store.CompareAndSwap(ctx, key, expected, value) })
}

// Delete implements port.Store.
func (g *Guard) Delete(ctx context.Context, key string, expected int64) error {
	_, err := guarded(ctx, g, spec{kind: "delete", budget: g.writes, attempts: g.config.Attempts},
		func(ctx context.Context) (struct{}, error) { return struct{}{}, g.store.Delete(ctx, key, expected) })
	return err
}

// Watch implements port.Store. It is tried once: the caller measures the age
// of its configuration from the beginning of the call and decides on the wait.
func (g *Guard) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	return guarded(ctx, g, spec{kind: "watch", budget: g.reads, attempts: 1, extra: wait},
		func(ctx context.Context) (port.WatchResult, error) { return g.store.Watch(ctx, prefix, after, wait) })
}

// spec describes one kind of call.
type spec struct {
	kind     string
	budget   *rate.Limiter
	attempts int
	extra    time.Duration // added to the deadline
}

// guarded runs the call and repeats it while it provably had no effect. A call
// of unknown outcome is never repeated here.
func guarded[T any](ctx context.Context, g *Guard, s spec, call func(context.Context) (T, error)) (T, error) {
	for attempt := 1; ; attempt++ {
		answer, err := once(ctx, g, s, call)
		if err == nil {
			return answer, nil
		}
		var unavailable *port.UnavailableError
		again := errors.As(err, &unavailable) && !errors.Is(err, ErrBudget) && attempt < s.attempts
		if !again || !pause(ctx, attempt) {
			return answer, err
		}
		g.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
}

func once[T any](ctx context.Context, g *Guard, s spec, call func(context.Context) (T, error)) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, g.config.Deadline+s.extra)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return none, &port.UnavailableError{Op: s.kind, Err: err}
	}
	if err := s.budget.Wait(ctx); err != nil {
		g.metrics.Counter("store.over_budget").Inc(1)
		return none, &port.UnavailableError{Op: s.kind, Err: errors.CombineErrors(ErrBudget, err)}
	}
	g.metrics.Counter("store.calls." + s.kind).Inc(1)
	answer, err := call(ctx)
	g.countFailure(err)
	return answer, err
}

func (g *Guard) countFailure(err error) {
	var unavailable *port.UnavailableError
	var unknown *port.OutcomeUnknownError
	var conflict *port.ConflictError
	switch {
	case errors.As(err, &unavailable):
		g.metrics.Counter("store.failed.unavailable").Inc(1)
	case errors.As(err, &unknown):
		g.metrics.Counter("store.failed.outcome_unknown").Inc(1)
	case errors.As(err, &conflict):
		g.metrics.Counter("store.failed.conflict").Inc(1)
	}
}

// pause waits before the next attempt. It returns false when ctx ends first.
func pause(ctx context.Context, attempt int) bool {
	backoff := min(backoffMin<<min(attempt-1, 8), backoffMax)
	return ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
}
