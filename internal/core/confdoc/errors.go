package confdoc

import (
	"fmt"
	"strings"

	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
)

// Fault is an invalid field of a document or edit.
type Fault = fault.FieldError

// InvalidError lists every fault of a rejected document or edit.
type InvalidError struct{ Faults []Fault }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return fmt.Sprintf("the table has wrong fields (%d): %s", len(e.Faults), strings.Join(lines, "\n"))
}

// ConflictError reports that the row was changed after the operator read it. It holds the current row
// in the field for its kind, or in none if the row does not exist.
type ConflictError struct {
	// Path identifies the row, such as "teams/marine"; for an import it is "document".
	Path string `json:"path"`
	// Based is the revision on which the edit was based.
	Based uint64 `json:"based"`
	// Current is the revision of the current row, or zero if it does not exist.
	Current uint64 `json:"current"`
	// Version is the version of the document that was compared.
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

// TooLargeError reports that the encoded document exceeds the store's size limit.
type TooLargeError struct {
	Bytes int
	Max   int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration takes %d bytes and the store holds at most %d; withdraw unused keys or delete unused teams",
		e.Bytes, e.Max)
}

// DecodeError reports that a document or edit is not valid JSON of the expected structure.
type DecodeError struct {
	What string
	Err  error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("the %s can't be read, correct the JSON: %v", e.What, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }
