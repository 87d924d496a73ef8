// Package jobs schedules multi-step jobs on workers that run tasks under leases. It covers
// admission, ordering, approvals, placement, retries, and recovery from worker reports. It
// performs no I/O and has no goroutines or clock of its own: callers pass in events with the
// time, and collect the resulting orders with TakeOutput.
//
// Times named nowMS are milliseconds of a monotonic clock that also runs while the machine is
// suspended. Times named unixMS are milliseconds since 1970.
package jobs
