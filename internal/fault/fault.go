// Package fault describes wrong fields of settings, tables and requests, so
// that a report can name all of them at once with the way to mend each.
package fault

import (
	"fmt"
	"strings"
)

// FieldError is one wrong field.
type FieldError struct {
	// Path names the field, such as "listen.api".
	Path string `json:"path"`
	// Given is the value found, as JSON.
	Given string `json:"given"`
	// Allowed says which values are allowed.
	Allowed string `json:"allowed"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// Error returns the fault on one line.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: given %s, allowed %s; %s", f.Path, f.Given, f.Allowed, f.Remedy)
}

// List collects faults.
type List []FieldError

// Add appends one fault.
func (l *List) Add(path, given, allowed, remedy string) {
	*l = append(*l, FieldError{Path: path, Given: given, Allowed: allowed, Remedy: remedy})
}

// CheckRange appends a fault where value is not between low and high.
func (l *List) CheckRange(path string, value, low, high int64) {
	if value < low || value > high {
		l.Add(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high), "set a value in that range")
	}
}

// String returns one line for each fault.
func (l List) String() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}
