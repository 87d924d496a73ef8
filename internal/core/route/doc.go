// Package route decides which backend server runs a request, in which order
// waiting requests run, and whether a failed request may be tried again. It
// has no I/O, goroutine or clock: callers pass the time and report outcomes.
// Nothing here is safe for concurrent use.
package route
