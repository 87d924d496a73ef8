package storerelay

import (
	"context"
	"time"

	"auburnpier/internal/port"
)

// directOnly refuses calls of others at once while the direct way fails, so
// that an outage of the store is not multiplied by relays.
type directOnly struct{ s *Store }

func guarded[T any](ctx context.Context, s *Store, call func(port.LeaseStore) (T, error)) (T, error) {
	if !s.healthy() {
		var none T
		return none, &port.UnavailableError{Op: "relay", Err: errDirectFailed}
	}
	result, err := call(s.direct)
	if ctx.Err() == nil {
		s.note(err)
	}
	return result, err
}

func (d directOnly) Get(ctx context.Context, key string) (port.Entry, error) {
	return guarded(ctx, d.s, func(s port.LeaseStore) (port.Entry, error) { return s.Get(ctx, key) })
}

func (d directOnly) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	l, err := guarded(ctx, d.s, func(s port.LeaseStore) (listing, error) {
		entries, revision, err := s.List(ctx, prefix)
		return listing{entries, revision}, err
	})
	return l.entries, l.revision, err
}

func (d directOnly) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	return guarded(ctx, d.s, func(s port.LeaseStore) (port.WatchResult, error) { return s.Watch(ctx, prefix, after, wait) })
}

func (d directOnly) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	return guarded(ctx, d.s, func(s port.LeaseStore) (int64, error) { return s.Commit(ctx, txn) })
}

func (d directOnly) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	g, err := guarded(ctx, d.s, func(s port.LeaseStore) (grant, error) {
		lease, granted, err := s.GrantLease(ctx, ttl)
		return grant{lease, granted}, err
	})
	return g.lease, g.ttl, err
}

func (d directOnly) KeepLease(ctx context.Context, lease int64) error {
	_, err := guarded(ctx, d.s, func(s port.LeaseStore) (struct{}, error) { return struct{}{}, s.KeepLease(ctx, lease) })
	return err
}

func (d directOnly) EndLease(ctx context.Context, lease int64) error {
	_, err := guarded(ctx, d.s, func(s port.LeaseStore) (struct{}, error) { return struct{}{}, s.EndLease(ctx, lease) })
	return err
}
