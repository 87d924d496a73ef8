package confdoc

import (
	"fmt"
	"strings"

	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
)

// Fault is one thing that is wrong with a table.
type Fault = fault.FieldError

// InvalidError lists every fault of a refused table or edit.
type InvalidError struct{ Faults []Fault }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return fmt.Sprintf("the table has wrong fields (%d): %s", len(e.Faults), strings.Join(lines, "\n"))
}

// ConflictError tells that the row changed after the operator saw it. Exactly
// the row of the edit's kind is set; none is set where the row is absent.
type ConflictError struct {
	// Path names the row, such as "teams/marine", or "document" for an import.
	Path string `json:"path"`
	// Based is the revision that the edit named.
	Based uint64 `json:"based"`
	// Current is the revision of the current row. Zero means that it is absent.
	Current uint64 `json:"current"`
	// Version is the version of the document that holds the current row.
	Version uint64 `json:"version"`

	Team       *domain.TeamRow       `json:"team,omitempty"`
	Key        *domain.KeyRow        `json:"key,omitempty"`
	Queue      *domain.QueueRow      `json:"queue,omitempty"`
	Partitions []domain.PartitionRow `json:"partitions,omitempty"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d and the edit was based on revision %d; look at the current row and repeat the edit from there",
		e.Path, e.Current, e.Based)
}

// TooLargeError tells that the encoded document exceeds the store's bound.
type TooLargeError struct {
	Bytes int
	Max   int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration takes %d bytes and the store holds at most %d; withdraw unused keys or delete unused teams",
		e.Bytes, e.Max)
}

// DecodeError tells that a document or edit is not strict JSON of the expected form.
type DecodeError struct {
	What string
	Err  error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("the %s can't be read, correct the JSON: %v", e.What, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
