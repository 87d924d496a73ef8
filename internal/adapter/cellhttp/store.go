package cellhttp

import (
	"context"
	"errors"
	"time"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/port"
)

// storeOp names a method of the store.
type storeOp string

const (
	opGet         storeOp = "get"
	opList        storeOp = "list"
	opWatch       storeOp = "watch"
	opCommit      storeOp = "commit"
	opGrantLease  storeOp = "grant"
	opRenewLease  storeOp = "keep"
	opRevokeLease storeOp = "end"
)

// storeCall is a store call that an instance makes on behalf of another.
type storeCall struct {
	Op    storeOp       `cbor:"1,keyasint"`
	Key   string        `cbor:"2,keyasint,omitempty"`
	After int64         `cbor:"3,keyasint,omitempty"`
	Wait  time.Duration `cbor:"4,keyasint,omitempty"`
	Txn   port.Txn      `cbor:"5,keyasint,omitempty"`
	Lease int64         `cbor:"6,keyasint,omitempty"`
	// Paged asks for the page of a list that follows AfterKey. Versions that do not know it return the whole list.
	Paged    bool   `cbor:"7,keyasint,omitempty"`
	AfterKey string `cbor:"8,keyasint,omitempty"`
}

// storeFailure names the type of a store error.
type storeFailure string

const (
	failNone        storeFailure = ""
	failNotFound    storeFailure = "not_found"
	failConflict    storeFailure = "conflict"
	failUnavailable storeFailure = "unavailable"
	failUnknown     storeFailure = "unknown"
)

type storeReply struct {
	Entries  []port.Entry     `cbor:"1,keyasint,omitempty"`
	Revision int64            `cbor:"2,keyasint,omitempty"`
	Watch    port.WatchResult `cbor:"3,keyasint,omitempty"`
	Lease    int64            `cbor:"4,keyasint,omitempty"`
	TTL      time.Duration    `cbor:"5,keyasint,omitempty"`
	Failure  storeFailure     `cbor:"6,keyasint,omitempty"`
	Detail   string           `cbor:"7,keyasint,omitempty"`
	More     bool             `cbor:"8,keyasint,omitempty"`
}

// serveStore makes a store call on behalf of another instance.
func serveStore(ctx context.Context, s port.LeaseStore, c storeCall) (storeReply, error) {
	var r storeReply
	var err error
	switch c.Op {
	case opGet:
		var e port.Entry
		e, err = s.Get(ctx, c.Key)
		r.Entries = []port.Entry{e}
	case opList:
		if !c.Paged {
			r.Entries, r.Revision, err = s.List(ctx, c.Key)
			break
		}
		var page port.Page
		page, err = s.ListPage(ctx, c.Key, c.AfterKey)
		r.Entries, r.Revision, r.More = page.Entries, page.Revision, page.More
	case opWatch:
		r.Watch, err = s.Watch(ctx, c.Key, c.After, c.Wait)
	case opCommit:
		r.Revision, err = s.Commit(ctx, c.Txn)
	case opGrantLease:
		r.Lease, r.TTL, err = s.GrantLease(ctx, c.Wait)
	case opRenewLease:
		err = s.RenewLease(ctx, c.Lease)
	case opRevokeLease:
		err = s.RevokeLease(ctx, c.Lease)
	default:
		err = &port.UnavailableError{Op: string(c.Op), Err: errors.New("unknown call")}
	}
	r.setError(err)
	return r, nil
}

func (r *storeReply) setError(err error) {
	if err == nil {
		return
	}
	r.Detail = err.Error()
	var missing *port.NotFoundError
	var conflict *port.TxnConflictError
	var unavailable *port.UnavailableError
	switch {
	case errors.As(err, &missing):
		r.Failure = failNotFound
	case errors.As(err, &conflict):
		r.Failure, r.Entries = failConflict, conflict.Current
	case errors.As(err, &unavailable):
		r.Failure = failUnavailable
	default:
		r.Failure = failUnknown
	}
}

// relayStore is a port.LeaseStore that relays its calls through another instance.
type relayStore struct{ peer *peer }

// relayTimeout bounds the time until the response to a relayed call begins, in addition to the call's
// wait, and then each pause of its transfer.
const relayTimeout = 1500 * time.Millisecond

func (s *relayStore) call(ctx context.Context, c storeCall) (storeReply, error) {
	callCtx, cancel := ctxtime.WithStallTimeout(ctx, relayTimeout+c.Wait, relayTimeout)
	defer cancel()
	r, err := call[storeReply](callCtx, s.peer, pathStore, c)
	if err != nil {
		var unreachable *port.OwnerUnreachableError
		if c.Op == opCommit && !(errors.As(err, &unreachable) && unreachable.NotSent) {
			return r, &port.OutcomeUnknownError{Op: string(c.Op), Err: err}
		}
		return r, &port.UnavailableError{Op: string(c.Op), Err: err}
	}
	detail := errors.New(r.Detail)
	switch r.Failure {
	case failNotFound:
		return r, &port.NotFoundError{Key: c.Key}
	case failConflict:
		return r, &port.TxnConflictError{Current: r.Entries}
	case failUnavailable:
		return r, &port.UnavailableError{Op: string(c.Op), Err: detail}
	case failUnknown:
		return r, &port.OutcomeUnknownError{Op: string(c.Op), Key: c.Key, Err: detail}
	}
	return r, nil
}

// Get implements port.LeaseStore.
func (s *relayStore) Get(ctx context.Context, key string) (port.Entry, error) {
	r, err := s.call(ctx, storeCall{Op: opGet, Key: key})
	if err != nil || len(r.Entries) == 0 {
		return port.Entry{}, err
	}
	return r.Entries[0], nil
}

// List implements port.LeaseStore.
func (s *relayStore) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	r, err := s.call(ctx, storeCall{Op: opList, Key: prefix})
	return r.Entries, r.Revision, err
}

// ListPage implements port.LeaseStore.
func (s *relayStore) ListPage(ctx context.Context, prefix, after string) (port.Page, error) {
	r, err := s.call(ctx, storeCall{Op: opList, Key: prefix, Paged: true, AfterKey: after})
	return port.Page{Entries: r.Entries, Revision: r.Revision, More: r.More}, err
}

// Watch implements port.LeaseStore.
func (s *relayStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	r, err := s.call(ctx, storeCall{Op: opWatch, Key: prefix, After: after, Wait: wait})
	return r.Watch, err
}

// Commit implements port.LeaseStore.
func (s *relayStore) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	r, err := s.call(ctx, storeCall{Op: opCommit, Txn: txn})
	return r.Revision, err
}

// GrantLease implements port.LeaseStore.
func (s *relayStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	r, err := s.call(ctx, storeCall{Op: opGrantLease, Wait: ttl})
	return r.Lease, r.TTL, err
}

// RenewLease implements port.LeaseStore.
func (s *relayStore) RenewLease(ctx context.Context, lease int64) error {
	_, err := s.call(ctx, storeCall{Op: opRenewLease, Lease: lease})
	return err
}

// RevokeLease implements port.LeaseStore.
func (s *relayStore) RevokeLease(ctx context.Context, lease int64) error {
	_, err := s.call(ctx, storeCall{Op: opRevokeLease, Lease: lease})
	return err
}
