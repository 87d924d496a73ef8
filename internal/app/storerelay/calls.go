package storerelay

import (
	"context"
	"time"

	"auburnpier/internal/port"
)

// calls is a port.LeaseStore whose calls, named for the metrics, are made by
// the function on the store that it chooses. What a call returns beside its
// error is that of the last store asked.
type calls func(ctx context.Context, op string, call func(port.LeaseStore) error) error

// Get implements port.LeaseStore.
func (c calls) Get(ctx context.Context, key string) (entry port.Entry, err error) {
	err = c(ctx, "get", func(s port.LeaseStore) (err error) { entry, err = s.Get(ctx, key); return })
	return entry, err
}

// List implements port.LeaseStore.
func (c calls) List(ctx context.Context, prefix string) (entries []port.Entry, revision int64, err error) {
	err = c(ctx, "list", func(s port.LeaseStore) (err error) { entries, revision, err = s.List(ctx, prefix); return })
	return entries, revision, err
}

// Watch implements port.LeaseStore.
func (c calls) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (result port.WatchResult, err error) {
	err = c(ctx, "watch", func(s port.LeaseStore) (err error) { result, err = s.Watch(ctx, prefix, after, wait); return })
	return result, err
}

// Commit implements port.LeaseStore.
func (c calls) Commit(ctx context.Context, txn port.Txn) (revision int64, err error) {
	err = c(ctx, "commit", func(s port.LeaseStore) (err error) { revision, err = s.Commit(ctx, txn); return })
	return revision, err
}

// GrantLease implements port.LeaseStore.
func (c calls) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
	err = c(ctx, "grant_lease", func(s port.LeaseStore) (err error) { lease, granted, err = s.GrantLease(ctx, ttl); return })
	return lease, granted, err
}

// RenewLease implements port.LeaseStore.
func (c calls) RenewLease(ctx context.Context, lease int64) error {
	return c(ctx, "keep_lease", func(s port.LeaseStore) error { return s.RenewLease(ctx, lease) })
}

// RevokeLease implements port.LeaseStore.
func (c calls) RevokeLease(ctx context.Context, lease int64) error {
	return c(ctx, "end_lease", func(s port.LeaseStore) error { return s.RevokeLease(ctx, lease) })
}
