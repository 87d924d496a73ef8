package sched

import (
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// Machine is the state machine of one partition.
type Machine struct {
	cfg   Config
	index placement.Index
	queue policy.Queue
}

// New returns an empty machine that owns index and queue, which must be empty.
func New(cfg Config, index placement.Index, queue policy.Queue) *Machine {
	return &Machine{cfg: cfg, index: index, queue: queue}
}

// Step handles one event.
func (m *Machine) Step(ev Event) Result { return Result{} }

// Ready returns what is to be done since the last call.
func (m *Machine) Ready() Ready { return Ready{} }

// Apply applies a record read back from the journal. It is used only before the first Step.
func (m *Machine) Apply(r Record) error { return nil }

// Snapshot returns the durable state, which includes every record that Ready
// handed out. It fails while records wait for Ready. The caller stores it
// under the group of the last batch, after that group is durable.
func (m *Machine) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the durable state of an empty machine. Records of later groups are applied after it.
func (m *Machine) Restore(data []byte) error { return nil }

// Status returns the state of a job without its history.
func (m *Machine) Status(id domain.JobID) (domain.JobStatus, bool) { return domain.JobStatus{}, false }

// Explain returns the state of a job with its history and why it waits.
func (m *Machine) Explain(id domain.JobID) (domain.JobStatus, bool) { return domain.JobStatus{}, false }

// Stats returns counts for operators and metrics.
func (m *Machine) Stats() Stats { return Stats{} }

// Worker returns what the machine knows of a worker.
func (m *Machine) Worker(id domain.WorkerID) (WorkerStatus, bool) { return WorkerStatus{}, false }
