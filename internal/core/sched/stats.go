package sched

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// Stats contains the partition's current counts and its counters since the process started.
type Stats struct {
	JobsQueued, JobsRunning, JobsEnded int
	TasksWaiting, TasksActive          int
	// Workers counts all known workers; the other counts are subsets of it.
	Workers, WorkersLeased, WorkersUnreachable, WorkersQuarantined, WorkersLeaving int
	Capacity, Reserved                                                             domain.Resources
	// Starts, Preemptions, MemoryStops, Throttles and RackFailures count decisions since the
	// process started.
	Starts, Preemptions, MemoryStops, Throttles, RackFailures uint64
	Retries                                                   map[metrics.RetryReason]uint64
	// Teams is sorted by ID.
	Teams []TeamStats
}

// TeamStats is the usage of one team in the partition.
type TeamStats struct {
	Team             domain.TeamID
	Running          domain.Resources
	Allotment, Limit domain.Resources
	WaitingTasks     int
}

// WorkerStatus is the state of one worker as the machine knows it.
type WorkerStatus struct {
	ID       domain.WorkerID
	Address  string
	Location domain.Location
	Capacity domain.Resources
	Reserved domain.Resources
	Lease    domain.LeaseID
	BootID   string
	// Listed reports whether the last read of the platform's list contained the worker.
	Listed, Leaving, Unreachable, Quarantined bool
	Attempts                                  int
	// LeaseExpiresAt is when an unreachable worker's lease counts as expired if no further
	// renewal is sent. It is zero if no bound is known.
	LeaseExpiresAt time.Time
}
