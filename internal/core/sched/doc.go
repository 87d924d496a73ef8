// Package sched is the state machine of one partition of the task plane. It
// owns jobs, tasks, attempts, worker leases and fault containment, and decides
// every start, stop and retry.
//
// The machine performs no I/O, starts no goroutines and uses neither a clock nor
// randomness. The caller passes events to Step and collects records and messages
// with Ready:
//
//   - Durable state (jobs, tasks, attempts, estimates, worker health) changes
//     only through records. Step applies a record at once and returns it with the
//     next Ready; a successor applies the same records in the same order.
//   - Volatile state (leases, the platform's VM list, reports, teams, allotments)
//     is rebuilt from events after a takeover.
//
// Ready returns a message that depends on a record only after Step received the
// Durable event of its batch. A Machine is not safe for concurrent use.
package sched
