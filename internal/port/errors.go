package port

import (
	"errors"
	"fmt"
)

// NotFoundError tells that the store has no such key.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store has no key %q", e.Key)
}

// ConflictError tells that a compare-and-swap found another revision. It had no effect.
type ConflictError struct {
	Key      string
	Expected int64
	// Current is the entry found. Its Revision is zero where the key is absent.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q is at revision %d, not %d; read it again before writing",
		e.Key, e.Current.Revision, e.Expected)
}

// UnavailableError tells that the call had no effect.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s had no effect because the store is unavailable, retry later: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// HadNoEffect reports whether the error proves that a call of the store changed nothing.
func HadNoEffect(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}

// OutcomeUnknownError tells that a write may or may not have taken effect.
type OutcomeUnknownError struct {
	Op  string
	Key string
	Err error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of store %s on %q is unknown, read the key back: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
