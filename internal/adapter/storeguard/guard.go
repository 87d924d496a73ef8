// Package storeguard wraps the platform's store. It sets a timeout for each call, limits the rate
// of reads and writes, retries calls that had no effect, and counts calls by operation and failures
// and retries by reason.
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

// Defaults of Config. The cell's budget is 60 writes/s and 400 reads/s; on average, each of 8
// instances may use an eighth of it. Bursts of one second's budget are allowed.
const (
	DefaultTimeout        = 1500 * time.Millisecond
	DefaultMaxAttempts    = 3
	DefaultReadsPerSecond = 50
	// DefaultWritesPerSecond is more than an eighth of the cell's budget, because one instance may
	// own several partitions while others own none.
	DefaultWritesPerSecond = 20

	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// ErrOverBudget is the cause of a *port.UnavailableError if the call was not sent because this
// instance has used up its call rate.
var ErrOverBudget = errors.New("the instance is over its budget of store calls")

// Config holds the limits on calls. Zero fields take the defaults.
type Config struct {
	// Timeout limits one attempt of a call, including the wait for the rate limiter. For a watch,
	// its wait is added.
	Timeout time.Duration
	// MaxAttempts is the maximum number of attempts, the first included, for a call that had no effect.
	MaxAttempts     int
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Guard is a port.Store that applies the limits of Config to the calls of another port.Store.
type Guard struct {
	store   port.Store
	metrics *metrics.Registry
	config  Config
	reads   *rate.Limiter
	writes  *rate.Limiter
}

var _ port.Store = (*Guard)(nil)

// New returns a Guard that sends its calls to the store.
func New(store port.Store, m *metrics.Registry, c Config) *Guard {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = DefaultMaxAttempts
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

// burst returns the burst size of a rate limiter: the calls of one second, but at least one.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// Get implements port.Store.
func (g *Guard) Get(ctx context.Context, key string) (port.Entry, error) {
	return callWithRetry(ctx, g, callSpec{op: "get", budget: g.reads, maxAttempts: g.config.MaxAttempts},
		func(ctx context.Context) (port.Entry, error) { return g.store.Get(ctx, key) })
}

type listResult struct {
	entries  []port.Entry
	revision int64
}

// List implements port.Store.
func (g *Guard) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	l, err := callWithRetry(ctx, g, callSpec{op: "list", budget: g.reads, maxAttempts: g.config.MaxAttempts},
		func(ctx context.Context) (l listResult, err error) {
			l.entries, l.revision, err = g.store.List(ctx, prefix)
			return l, err
		})
	return l.entries, l.revision, err
}

// CompareAndSwap implements port.Store.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	return callWithRetry(ctx, g, callSpec{op: "cas", budget: g.writes, maxAttempts: g.config.MaxAttempts},
		func(ctx context.Context) (int64, error) { return g.store.CompareAndSwap(ctx, key, expected, value) })
}

// Delete implements port.Store.
func (g *Guard) Delete(ctx context.Context, key string, expected int64) error {
	_, err := callWithRetry(ctx, g, callSpec{op: "delete", budget: g.writes, maxAttempts: g.config.MaxAttempts},
		func(ctx context.Context) (struct{}, error) { return struct{}{}, g.store.Delete(ctx, key, expected) })
	return err
}

// Watch implements port.Store. It makes a single attempt: the caller measures the age of its
// configuration from the start of the call, and chooses the wait itself.
func (g *Guard) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	return callWithRetry(ctx, g, callSpec{op: "watch", budget: g.reads, maxAttempts: 1, extraTimeout: wait},
		func(ctx context.Context) (port.WatchResult, error) { return g.store.Watch(ctx, prefix, after, wait) })
}

// callSpec describes an operation of the store and the limits on its calls.
type callSpec struct {
	op           string
	budget       *rate.Limiter
	maxAttempts  int
	extraTimeout time.Duration // added to the timeout
}

// callWithRetry runs the call and retries it with backoff as long as the failure proves that it had
// no effect. A call whose outcome is unknown is not retried.
func callWithRetry[T any](ctx context.Context, g *Guard, s callSpec, call func(context.Context) (T, error)) (T, error) {
	for attempt := 1; ; attempt++ {
		result, err := callOnce(ctx, g, s, call)
		if err == nil {
			return result, nil
		}
		var unavailable *port.UnavailableError
		retry := errors.As(err, &unavailable) && !errors.Is(err, ErrOverBudget) && attempt < s.maxAttempts
		if !retry || !sleepBackoff(ctx, attempt) {
			return result, err
		}
		g.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
}

func callOnce[T any](ctx context.Context, g *Guard, s callSpec, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout+s.extraTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return zero, &port.UnavailableError{Op: s.op, Err: err}
	}
	if err := s.budget.Wait(ctx); err != nil {
		g.metrics.Counter("store.over_budget").Inc(1)
		return zero, &port.UnavailableError{Op: s.op, Err: errors.CombineErrors(ErrOverBudget, err)}
	}
	g.metrics.Counter("store.calls." + s.op).Inc(1)
	result, err := call(ctx)
	g.countFailure(err)
	return result, err
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

// sleepBackoff waits before the next attempt, with jitter. It returns false if ctx ends first.
func sleepBackoff(ctx context.Context, attempt int) bool {
	backoff := min(minBackoff<<min(attempt-1, 8), maxBackoff)
	return ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
}
