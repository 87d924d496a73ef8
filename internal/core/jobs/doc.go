// Package jobs decides about jobs of several steps on workers that run tasks
// under leases: admission, order, approvals, placement, repeats, and recovery
// from what the workers report. It has no I/O, goroutine or clock: its inputs
// are calls with the time, its outputs are collected by Drain.
//
// Times named NowMS are milliseconds of a steady clock that also counts
// suspension. Times named UnixMS are milliseconds since 1970.
package jobs
