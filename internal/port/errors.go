package port

import (
	"errors"
	"fmt"
)

// NotFoundError reports that the store has no such key.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %q not found in the store", e.Key)
}

// ConflictError reports that a compare-and-swap found the key at another
// revision. Nothing was written.
type ConflictError struct {
	Key      string
	Expected int64
	// Current is the entry found. Its Revision is zero if the key is absent.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q is at revision %d, expected %d; read it again before writing",
		e.Key, e.Current.Revision, e.Expected)
}

// UnavailableError reports that the store did not serve a call and that the call had no effect.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable: %s had no effect, retry later: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// IncompleteResponseError reports that a response broke off before its end.
type IncompleteResponseError struct {
	// Received is the number of bytes of the body that arrived, and Expected the number announced, or
	// -1 if the sender announced none.
	Received, Expected int64
	Err                error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("response broke off after %d of %d bytes, send the call again: %v", e.Received, e.Expected, e.Err)
}

// Unwrap returns the underlying error.
func (e *IncompleteResponseError) Unwrap() error { return e.Err }

// HadNoEffect reports whether the error proves that a store call had no effect.
func HadNoEffect(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}

// OutcomeUnknownError reports that a write may or may not have taken effect.
type OutcomeUnknownError struct {
	Op  string
	Key string
	Err error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of store %s on key %q is unknown, read the key back: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the underlying error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
