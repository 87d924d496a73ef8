package confsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

const (
	// editTimeout limits one edit including all retries and reads.
	editTimeout = 6 * time.Second

	editBackoffMin = 20 * time.Millisecond
	editBackoffMax = time.Second
)

// OutcomeUnknownError reports that an edit may have been accepted or may still be. It can be retried
// with the same ID.
type OutcomeUnknownError struct {
	EditID string
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown; repeat it with the same edit ID to learn it: %v", e.EditID, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotAcceptedError reports that an edit was not accepted because the store could not be reached.
type NotAcceptedError struct {
	EditID string
	Err    error
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("edit %s was not accepted because the store is unavailable, repeat it later: %v", e.EditID, e.Err)
}

func (e *NotAcceptedError) Unwrap() error { return e.Err }

// Apply writes the edit to the store. It returns *confdoc.InvalidError,
// *confdoc.ConflictError with the current row, *confdoc.TooLargeError,
// *NotAcceptedError or *OutcomeUnknownError. Once the edit has started, cancelling ctx does not stop
// it, because its outcome would be lost.
func (s *Sync) Apply(ctx context.Context, e confdoc.Edit) (confdoc.EditResult, error) {
	select {
	case s.editSemaphore <- struct{}{}:
	case <-ctx.Done():
		return confdoc.EditResult{}, &NotAcceptedError{EditID: e.ID, Err: ctx.Err()}
	}
	defer func() { <-s.editSemaphore }()
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer cancel()
	w := editWrite{sync: s, edit: e}
	return w.run(call)
}

// editWrite is one run of an edit, from its first read to its final outcome.
type editWrite struct {
	sync *Sync
	edit confdoc.Edit
	// pending is the revision that a write of unknown outcome expects. That write can take effect only
	// while the key is at this revision.
	pending    int64
	hasPending bool
	// responseLost is set once the response to a write of this run was responseLost.
	responseLost bool
	attempts     int
}

func (w *editWrite) run(ctx context.Context) (confdoc.EditResult, error) {
	w.sync.inFlight.begin()
	w.sync.announce()
	defer w.sync.announce()
	var entry *port.Entry // the current entry, if the last attempt failed with a conflict
	for {
		applied, current, err := w.attempt(ctx, entry)
		if err == nil {
			w.sync.inFlight.end()
			return applied, nil
		}
		if !retryable(err) && !w.hasPending {
			w.sync.inFlight.end()
			return confdoc.EditResult{}, err
		}
		if !retryable(err) {
			return confdoc.EditResult{}, w.giveUp(err)
		}
		entry = current
		if !w.waitBeforeRetry(ctx) {
			return confdoc.EditResult{}, w.giveUp(err)
		}
	}
}

// giveUp returns the error of an edit that timed out or cannot be retried. If the outcome of a write is
// unknown, the edit stays in flight until resolve settles it.
func (w *editWrite) giveUp(err error) error {
	if !w.hasPending {
		w.sync.inFlight.end()
		return &NotAcceptedError{EditID: w.edit.ID, Err: err}
	}
	w.sync.metrics.Counter("confsync.edit_outcome_unknown").Inc(1)
	w.sync.inFlight.leaveUnresolved(w.edit.ID, w.pending)
	return &OutcomeUnknownError{EditID: w.edit.ID, Err: err}
}

func (w *editWrite) waitBeforeRetry(ctx context.Context) bool {
	backoff := min(editBackoffMin<<min(w.attempts, 8), editBackoffMax)
	w.attempts++
	return ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
}

// attempt reads the document, applies the edit and writes the result once. On a write conflict it also
// returns the current entry.
func (w *editWrite) attempt(ctx context.Context, known *port.Entry) (confdoc.EditResult, *port.Entry, error) {
	s := w.sync
	begun := s.clock.Now()
	entry, doc, err := s.read(ctx, known)
	if err != nil {
		return confdoc.EditResult{}, nil, err
	}
	if entry.Revision != w.pending {
		w.hasPending = false
	}
	next, applied, err := confdoc.Apply(doc, w.edit)
	if applied.Repeated && w.responseLost {
		applied.Repeated = false // an earlier attempt of this run wrote the edit
		return applied, nil, nil
	}
	if err != nil || applied.Repeated {
		return applied, nil, err
	}
	value, err := confdoc.Encode(next)
	if err != nil {
		return confdoc.EditResult{}, nil, err
	}
	_, err = s.store.CompareAndSwap(ctx, ConfigKey, entry.Revision, value)
	if err == nil {
		s.adopt(next)
		s.freshness.confirmByStore(next.Version, begun)
		return applied, nil, nil
	}
	current := w.recordWriteError(entry.Revision, err)
	return confdoc.EditResult{}, current, err
}

// recordWriteError updates the state of the run after a failed write. On a conflict it returns the
// current entry.
func (w *editWrite) recordWriteError(expected int64, err error) *port.Entry {
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		w.sync.metrics.CountRetry(metrics.RetryStoreConflict)
		return &conflict.Current
	case errors.As(err, &unknown):
		w.sync.metrics.CountRetry(metrics.RetryStoreUnknown)
		w.pending = expected
		w.hasPending = true
		w.responseLost = true
	default:
		w.sync.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
	return nil
}

// staleReadError reports that the store returned a lower version than one known to exist.
type staleReadError struct{ shown, known uint64 }

func (e *staleReadError) Error() string {
	return fmt.Sprintf("the store showed configuration version %d although version %d exists, read it again", e.shown, e.known)
}

// read returns the stored document and puts it in force if it is newer. If have is set, it is used
// instead of a read from the store.
func (s *Sync) read(ctx context.Context, have *port.Entry) (port.Entry, domain.ConfigDocument, error) {
	entry, err := s.get(ctx, have)
	if err != nil {
		return port.Entry{}, domain.ConfigDocument{}, err
	}
	doc := confdoc.Clone(domain.ConfigDocument{})
	if entry.Revision != 0 {
		if doc, err = confdoc.Decode(entry.Value); err != nil {
			return port.Entry{}, doc, errors.Wrap(err, "the configuration document in the store can't be read")
		}
	}
	if known := s.freshness.knownVersion(); doc.Version < known {
		return port.Entry{}, doc, &staleReadError{shown: doc.Version, known: known}
	}
	s.adopt(doc)
	return entry, doc, nil
}

// get returns the entry of the document, or the zero entry if the key does not exist.
func (s *Sync) get(ctx context.Context, have *port.Entry) (port.Entry, error) {
	if have != nil {
		return *have, nil
	}
	entry, err := s.store.Get(ctx, ConfigKey)
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return port.Entry{}, nil
	}
	return entry, err
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	var down *port.UnavailableError
	var stale *staleReadError
	return errors.As(err, &conflict) || errors.As(err, &unknown) || errors.As(err, &down) || errors.As(err, &stale)
}
