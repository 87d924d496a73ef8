// Package invariant checks the promises of the task plane. One Checker follows
// a partition over restarts of its owner: after every step it is given a view
// of the state machine and, in tests with worker fakes, what really runs.
package invariant

import "auburnpier/internal/domain"

// View is the state of a partition as its owner sees it.
type View struct {
	Workers  []Worker
	Attempts []Attempt
	Teams    []Team
	Jobs     []Job
}

// Worker is a worker with its reservations.
type Worker struct {
	ID domain.WorkerID
	// Capacity is what may be reserved.
	Capacity domain.Resources
	// Free is the room that the placement index still offers. It is unset where Indexed is not.
	Free    domain.Resources
	Indexed bool
	// Orphans is reserved for attempts that run although they have ended here.
	Orphans domain.Resources
}

// Attempt is an attempt without proof of its end.
type Attempt struct {
	ID          domain.AttemptID
	Job         domain.JobID
	Team        domain.TeamID
	Task        int
	Worker      domain.WorkerID
	Reservation domain.Resources
	// Ending tells that the worker was or will be asked to end it.
	Ending bool
}

// Team is a team with its limit in the partition.
type Team struct {
	ID      domain.TeamID
	Limit   domain.Resources
	Running domain.Resources
	// Known tells that limits have been told since the owner started.
	Known bool
}

// Job is an accepted job.
type Job struct {
	ID         domain.JobID
	State      domain.JobState
	Idempotent bool
	Tasks      int
	// Waiting, Active and Done count tasks.
	Waiting, Active, Done int
}

// Running is an attempt that a worker really runs.
type Running struct {
	Attempt  domain.AttemptID
	Job      domain.JobID
	Task     int
	Worker   domain.WorkerID
	Size     domain.Resources
	Capacity domain.Resources
}
