// Package metrics holds the counters, gauges and timers of a process. Their dotted names are stable
// and listed in docs/operators.md.
package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"auburnpier/internal/refusal"
)

// RetryReason is the stable name of a cause of retries. Each has its own counter, "retry." followed
// by the name.
type RetryReason string

// Retry reasons.
const (
	RetryConnectRefused    RetryReason = "connect_refused"
	RetryNotRunResponse    RetryReason = "not_run_answer"
	RetryIdempotentUnknown RetryReason = "idempotent_unknown"
	RetryStoreConflict     RetryReason = "store_conflict"
	RetryStoreUnknown      RetryReason = "store_outcome_unknown"
	RetryStoreUnavailable  RetryReason = "store_unavailable"
	RetryWorkerCall        RetryReason = "worker_call"
	RetryTaskFailed        RetryReason = "task_failed"
	RetryTaskLost          RetryReason = "task_lost"
	RetryTaskNotStarted    RetryReason = "task_not_started"
	RetryPartitionMoved    RetryReason = "partition_moved"
	RetryPeerUnreachable   RetryReason = "peer_unreachable"
)

// RetryReasons returns all retry reasons. New creates a counter for each, so that counters that are
// still zero are exported too.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectRefused, RetryNotRunResponse, RetryIdempotentUnknown, RetryStoreConflict, RetryStoreUnknown,
		RetryStoreUnavailable, RetryWorkerCall, RetryTaskFailed, RetryTaskLost, RetryTaskNotStarted,
		RetryPartitionMoved, RetryPeerUnreachable,
	}
}

// Registry holds the metrics of one process.
type Registry struct {
	r        gometrics.Registry
	refusals map[refusal.Reason]gometrics.Counter
	retries  map[RetryReason]gometrics.Counter
}

// New returns a registry with a counter for each refusal reason and each retry reason.
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

// CountRefusal increments the counter of the refusal reason.
func (m *Registry) CountRefusal(reason refusal.Reason) {
	if c, ok := m.refusals[reason]; ok {
		c.Inc(1)
		return
	}
	m.Counter("refusal." + string(reason)).Inc(1)
}

// CountRetry increments the counter of the retry reason.
func (m *Registry) CountRetry(reason RetryReason) {
	if c, ok := m.retries[reason]; ok {
		c.Inc(1)
		return
	}
	m.Counter("retry." + string(reason)).Inc(1)
}

// Counter returns the counter with the given name and creates it if needed.
func (m *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.r)
}

// Gauge returns the gauge with the given name and creates it if needed.
func (m *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, m.r)
}

// Timer returns the timer with the given name and creates it if needed.
func (m *Registry) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, m.r)
}

// Underlying returns the go-metrics registry, from which metrics are exported.
func (m *Registry) Underlying() gometrics.Registry { return m.r }
