// Package storerelay reaches the platform's store through another instance
// while this one is turned away or cut off from it. A call is relayed once at
// most, and only by an instance that reaches the store itself.
package storerelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

const (
	// directRetryMS is how long after a failure calls go through others first.
	directRetryMS = 1000
	// maxPeers bounds the instances that are asked for one call.
	maxPeers = 2
)

// Store is a port.LeaseStore that falls back on other instances.
type Store struct {
	direct port.LeaseStore
	// peers returns the stores of other instances.
	peers   func() []port.LeaseStore
	metrics *metrics.Registry
	// failedMS is when a direct call last failed, zero after a success.
	failedMS atomic.Int64
	// probeMS is when a direct call was last tried in spite of failures.
	probeMS atomic.Int64
}

// New returns a store over direct and the peers.
func New(direct port.LeaseStore, peers func() []port.LeaseStore, m *metrics.Registry) *Store {
	return &Store{direct: direct, peers: peers, metrics: m}
}

// Direct returns what this instance serves to others: calls that are not relayed again.
func (s *Store) Direct() port.LeaseStore { return directOnly{s} }

// healthy reports whether the last direct call succeeded, or none failed lately.
func (s *Store) healthy() bool {
	failed := s.failedMS.Load()
	return failed == 0 || steady.NowMS()-failed > directRetryMS
}

// probeDue reports whether this call should try the direct way in spite of failures.
func (s *Store) probeDue() bool {
	now, last := steady.NowMS(), s.probeMS.Load()
	return now-last > directRetryMS && s.probeMS.CompareAndSwap(last, now)
}

func (s *Store) note(err error) {
	var unavailable *port.UnavailableError
	var unknown *port.OutcomeUnknownError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		s.failedMS.Store(steady.NowMS())
		return
	}
	s.failedMS.Store(0)
}

func isUnavailable(err error) bool {
	var unavailable *port.UnavailableError
	return errors.As(err, &unavailable)
}

// run times a call.
func run[T any](ctx context.Context, s *Store, op string, call func(port.LeaseStore) (T, error)) (T, error) {
	begun := time.Now()
	result, err := route(ctx, s, call)
	s.metrics.Timer("store." + op + "." + outcome(err)).UpdateSince(begun)
	return result, err
}

// outcome names the result of a call for the metrics.
func outcome(err error) string {
	var unavailable *port.UnavailableError
	var unknown *port.OutcomeUnknownError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "refused"
}

// route makes a call directly and, where that had no effect, through others.
func route[T any](ctx context.Context, s *Store, call func(port.LeaseStore) (T, error)) (T, error) {
	var result T
	var err error = &port.UnavailableError{Op: "call", Err: errDirectFailed}
	if s.healthy() || s.probeDue() {
		result, err = call(s.direct)
		if ctx.Err() == nil {
			s.note(err)
		}
		if !isUnavailable(err) || ctx.Err() != nil {
			return result, err
		}
	}
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, p := range peers[:min(len(peers), maxPeers)] {
		relayed, relayErr := call(p)
		if !isUnavailable(relayErr) {
			s.metrics.Counter("store.relayed").Inc(1)
			return relayed, relayErr
		}
		if ctx.Err() != nil {
			break
		}
	}
	return result, err
}

var errDirectFailed = errors.New("the store did not answer this instance within the last second")

// Get implements port.LeaseStore.
func (s *Store) Get(ctx context.Context, key string) (port.Entry, error) {
	return run(ctx, s, "get", func(d port.LeaseStore) (port.Entry, error) { return d.Get(ctx, key) })
}

type listing struct {
	entries  []port.Entry
	revision int64
}

// List implements port.LeaseStore.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	l, err := run(ctx, s, "list", func(d port.LeaseStore) (listing, error) {
		entries, revision, err := d.List(ctx, prefix)
		return listing{entries, revision}, err
	})
	return l.entries, l.revision, err
}

// Watch implements port.LeaseStore.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	return run(ctx, s, "watch", func(d port.LeaseStore) (port.WatchResult, error) { return d.Watch(ctx, prefix, after, wait) })
}

// Commit implements port.LeaseStore.
func (s *Store) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	return run(ctx, s, "commit", func(d port.LeaseStore) (int64, error) { return d.Commit(ctx, txn) })
}

type grant struct {
	lease int64
	ttl   time.Duration
}

// GrantLease implements port.LeaseStore.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	g, err := run(ctx, s, "grant_lease", func(d port.LeaseStore) (grant, error) {
		lease, granted, err := d.GrantLease(ctx, ttl)
		return grant{lease, granted}, err
	})
	return g.lease, g.ttl, err
}

// KeepLease implements port.LeaseStore.
func (s *Store) KeepLease(ctx context.Context, lease int64) error {
	_, err := run(ctx, s, "keep_lease", func(d port.LeaseStore) (struct{}, error) { return struct{}{}, d.KeepLease(ctx, lease) })
	return err
}

// EndLease implements port.LeaseStore.
func (s *Store) EndLease(ctx context.Context, lease int64) error {
	_, err := run(ctx, s, "end_lease", func(d port.LeaseStore) (struct{}, error) { return struct{}{}, d.EndLease(ctx, lease) })
	return err
}
