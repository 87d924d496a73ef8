package sched

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// Stats counts what the partition holds and did since the process started.
type Stats struct {
	JobsQueued, JobsRunning, JobsEnded int
	TasksWaiting, TasksActive          int
	// Workers counts all known workers; the others are parts of it.
	Workers, WorkersLeased, WorkersUnreachable, WorkersQuarantined, WorkersLeaving int
	Capacity, Reserved                                                             domain.Resources
	// Starts, Preemptions and MemoryStops count decisions.
	Starts, Preemptions, MemoryStops, Throttles, RackFailures uint64
	Retries                                                   map[metrics.RetryReason]uint64
	// Teams is sorted by ID.
	Teams []TeamStats
}

// TeamStats tells what one team runs in the partition.
type TeamStats struct {
	Team             domain.TeamID
	Running          domain.Resources
	Allotment, Limit domain.Resources
	WaitingTasks     int
}

// WorkerStatus tells what the machine knows of one worker.
type WorkerStatus struct {
	ID       domain.WorkerID
	Address  string
	Location domain.Location
	Capacity domain.Resources
	Reserved domain.Resources
	Lease    domain.LeaseID
	BootID   string
	// Listed tells that the last read of the platform's list had the worker.
	Listed, Leaving, Unreachable, Quarantined bool
	Attempts                                  int
	// LapsesAt is when an unreachable worker's lease counts as lapsed if no
	// further renewal is sent. It is zero where no bound is known.
	LapsesAt time.Time
}
