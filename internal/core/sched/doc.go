// Package sched is the state machine of one partition of the task plane. It
// owns jobs, tasks, attempts, worker leases and fault containment, and decides
// every start, stop and retry.
//
// The machine has no I/O, goroutine, clock or randomness. The caller passes
// events to Step and collects records and messages with Ready:
//
//   - Durable state (jobs, tasks, attempts, estimates, worker health) changes
//     only by records. Step applies a record at once and hands it out with the
//     next Ready; a successor applies the same records in the same order.
//   - Volatile state (leases, the platform's list, reports, teams, allotments)
//     is rebuilt from events after a takeover.
//
// A message that depends on a record leaves Ready only after Step received the
// Durable event of its batch. A Machine is not safe for concurrent use.
package sched
