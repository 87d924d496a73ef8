// Package fault describes invalid fields of settings, tables and requests, so
// that a report can list all of them at once and say how to correct each.
package fault

import (
	"fmt"
	"strings"
)

// FieldError describes one invalid field.
type FieldError struct {
	// Path is the path of the field, such as "listen.api".
	Path string `json:"path"`
	// Given is the value found, as JSON.
	Given string `json:"given"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
	// Remedy is how to correct the field.
	Remedy string `json:"remedy"`
}

// Error returns the error as one line.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: given %s, allowed %s; %s", f.Path, f.Given, f.Allowed, f.Remedy)
}

// List is a list of field errors.
type List []FieldError

// Add appends a field error.
func (l *List) Add(path, given, allowed, remedy string) {
	*l = append(*l, FieldError{Path: path, Given: given, Allowed: allowed, Remedy: remedy})
}

// CheckRange appends a field error if value is not between low and high, inclusive.
func (l *List) CheckRange(path string, value, low, high int64) {
	if value < low || value > high {
		l.Add(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high), "set a value in that range")
	}
}

// String returns one line for each field error.
func (l List) String() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}
