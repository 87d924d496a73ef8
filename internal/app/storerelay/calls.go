package storerelay

import (
	"context"
	"time"

	"auburnpier/internal/port"
)

// leaseStoreFunc is a port.LeaseStore that passes every call, with its name for
// the metrics, to a function that chooses the stores to make it on. The values
// that a method returns are those of the last store called.
type leaseStoreFunc func(ctx context.Context, op string, call func(port.LeaseStore) error) error

// Get implements port.LeaseStore.
func (f leaseStoreFunc) Get(ctx context.Context, key string) (entry port.Entry, err error) {
	err = f(ctx, "get", func(s port.LeaseStore) (err error) { entry, err = s.Get(ctx, key); return })
	return entry, err
}

// List implements port.LeaseStore.
func (f leaseStoreFunc) List(ctx context.Context, prefix string) (entries []port.Entry, revision int64, err error) {
	err = f(ctx, "list", func(s port.LeaseStore) (err error) { entries, revision, err = s.List(ctx, prefix); return })
	return entries, revision, err
}

// ListPage implements port.LeaseStore.
func (f leaseStoreFunc) ListPage(ctx context.Context, prefix, after string) (page port.Page, err error) {
	err = f(ctx, "list", func(s port.LeaseStore) (err error) { page, err = s.ListPage(ctx, prefix, after); return })
	return page, err
}

// Watch implements port.LeaseStore.
func (f leaseStoreFunc) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (result port.WatchResult, err error) {
	err = f(ctx, "watch", func(s port.LeaseStore) (err error) { result, err = s.Watch(ctx, prefix, after, wait); return })
	return result, err
}

// Commit implements port.LeaseStore.
func (f leaseStoreFunc) Commit(ctx context.Context, txn port.Txn) (revision int64, err error) {
	err = f(ctx, "commit", func(s port.LeaseStore) (err error) { revision, err = s.Commit(ctx, txn); return })
	return revision, err
}

// GrantLease implements port.LeaseStore.
func (f leaseStoreFunc) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
	err = f(ctx, "grant_lease", func(s port.LeaseStore) (err error) { lease, granted, err = s.GrantLease(ctx, ttl); return })
	return lease, granted, err
}

// RenewLease implements port.LeaseStore.
func (f leaseStoreFunc) RenewLease(ctx context.Context, lease int64) error {
	return f(ctx, "keep_lease", func(s port.LeaseStore) error { return s.RenewLease(ctx, lease) })
}

// RevokeLease implements port.LeaseStore.
func (f leaseStoreFunc) RevokeLease(ctx context.Context, lease int64) error {
	return f(ctx, "end_lease", func(s port.LeaseStore) error { return s.RevokeLease(ctx, lease) })
}
