// Package metrics holds the counters and timers of a process. Names are dotted
// and stable; docs/operators.md lists them.
package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"auburnpier/internal/refusal"
)

// RetryReason is the stable name of a retry. Each reason has its own counter.
type RetryReason string

// Reasons of retries.
const (
	RetryConnectRefused  RetryReason = "connect_refused"
	RetryNotRunAnswer    RetryReason = "not_run_answer"
	RetryIdempotent      RetryReason = "idempotent_unknown"
	RetryStoreConflict   RetryReason = "store_conflict"
	RetryStoreUnknown    RetryReason = "store_outcome_unknown"
	RetryStoreDown       RetryReason = "store_unavailable"
	RetryWorkerCall      RetryReason = "worker_call"
	RetryTaskFailed      RetryReason = "task_failed"
	RetryTaskLost        RetryReason = "task_lost"
	RetryTaskNotStarted  RetryReason = "task_not_started"
	RetryPartitionMoved  RetryReason = "partition_moved"
	RetryPeerUnreachable RetryReason = "peer_unreachable"
)

// RetryReasons lists every retry reason, so that each has a counter from the start.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectRefused, RetryNotRunAnswer, RetryIdempotent, RetryStoreConflict, RetryStoreUnknown,
		RetryStoreDown, RetryWorkerCall, RetryTaskFailed, RetryTaskLost, RetryTaskNotStarted,
		RetryPartitionMoved, RetryPeerUnreachable,
	}
}

// Registry holds the metrics of one process.
type Registry struct {
	r        gometrics.Registry
	refusals map[refusal.Reason]gometrics.Counter
	retries  map[RetryReason]gometrics.Counter
}

// New returns a registry that has a counter for each refusal and retry reason.
func New() *Registry {
	m := &Registry{
		r:        gometrics.NewRegistry(),
		refusals: make(map[refusal.Reason]gometrics.Counter),
		retries:  make(map[RetryReason]gometrics.Counter),
	}
	for _, reason := range refusal.Reasons() {
		m.refusals[reason] = m.Counter("refusal." + string(reason))
	}
	for _, reason := range RetryReasons() {
		m.retries[reason] = m.Counter("retry." + string(reason))
	}
	return m
}

// Refused counts one refusal.
func (m *Registry) Refused(reason refusal.Reason) {
	if c, ok := m.refusals[reason]; ok {
		c.Inc(1)
		return
	}
	m.Counter("refusal." + string(reason)).Inc(1)
}

// Retried counts one retry.
func (m *Registry) Retried(reason RetryReason) {
	if c, ok := m.retries[reason]; ok {
		c.Inc(1)
		return
	}
	m.Counter("retry." + string(reason)).Inc(1)
}

// Counter returns the counter of that name.
func (m *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.r)
}

// Gauge returns the gauge of that name.
func (m *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, m.r)
}

// Timer returns the timer of that name.
func (m *Registry) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, m.r)
}

// Underlying returns the go-metrics registry, for export.
func (m *Registry) Underlying() gometrics.Registry { return m.r }
