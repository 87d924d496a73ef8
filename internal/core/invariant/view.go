// Package invariant checks the invariants of the task plane in tests. One Checker follows a
// partition across restarts of its owner: after each step it gets a view of the state machine and,
// in tests with fake workers, the attempts that are actually running.
package invariant

import "auburnpier/internal/domain"

// View is the state of a partition as its owner knows it.
type View struct {
	Workers  []Worker
	Attempts []Attempt
	Teams    []Team
	Jobs     []Job
}

// Worker is a worker and its resources.
type Worker struct {
	ID domain.WorkerID
	// Capacity is the maximum that may be reserved.
	Capacity domain.Resources
	// Free is the free capacity according to the placement index. It is valid only if Indexed is set.
	Free    domain.Resources
	Indexed bool
	// Orphans is the capacity reserved for attempts that the worker still runs although the state
	// machine has recorded their end.
	Orphans domain.Resources
}

// Attempt is an attempt whose end hasn't been proven.
type Attempt struct {
	ID          domain.AttemptID
	Job         domain.JobID
	Team        domain.TeamID
	Task        int
	Worker      domain.WorkerID
	Reservation domain.Resources
	// Ending reports whether the worker has been or will be asked to stop the attempt.
	Ending bool
}

// Team is a team and its limit in the partition.
type Team struct {
	ID      domain.TeamID
	Limit   domain.Resources
	Running domain.Resources
	// LimitKnown reports whether the owner has received limits since it started.
	LimitKnown bool
}

// Job is an accepted job.
type Job struct {
	ID         domain.JobID
	State      domain.JobState
	Idempotent bool
	Tasks      int
	// Waiting, Active and Done are numbers of tasks.
	Waiting, Active, Done int
}

// Running is an attempt that a worker is actually running.
type Running struct {
	Attempt  domain.AttemptID
	Job      domain.JobID
	Task     int
	Worker   domain.WorkerID
	Size     domain.Resources
	Capacity domain.Resources
}
