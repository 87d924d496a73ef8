// Package route decides which backend server runs a request, in which order
// waiting requests run, and whether a failed request may be tried again. It does
// no I/O, starts no goroutines and reads no clock: callers pass in the time and report
// outcomes. Its types are not safe for concurrent use.
package route
