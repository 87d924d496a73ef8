package sched

import (
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// StartCall starts attempts on one worker under one lease.
type StartCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Requests []port.StartRequest
}

// AttemptCall stops or checkpoints attempts on one worker.
type AttemptCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// ThrottleCall caps the processor time of one attempt.
type ThrottleCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempt  domain.AttemptID
	CPUMilli int64
}

// Acknowledgement lists durable ends to pass with the worker's next renewal.
// A worker that reports an end again is acknowledged again.
type Acknowledgement struct {
	Worker   domain.WorkerID
	Attempts []domain.AttemptID
}

// Wish is the allotment that the partition could use for a team now. It is at
// least what the team runs here, so lowering to it stops nothing.
type Wish struct {
	Team   domain.TeamID
	Amount domain.Resources
}

// Ready is what the caller has to do next. All messages may be sent at once:
// those that wait for a batch are held back until its Durable event.
type Ready struct {
	// Batch numbers Records, from 1 in each process. It is zero where there are none.
	Batch   uint64
	Records []Record
	// Starts hold attempts whose intents are durable.
	Starts      []StartCall
	Stops       []AttemptCall
	Checkpoints []AttemptCall
	Throttles   []ThrottleCall
	Acknowledge []Acknowledgement
	// Acquire lists workers whose lease is to be acquired, again where one is held:
	// a new lease proves that starts under the old one never happen.
	Acquire []domain.WorkerID
	// Renew lists workers to renew now instead of at the next interval, to see ends soon.
	Renew []domain.WorkerID
	// Forgotten lists workers whose lease loops can end.
	Forgotten []domain.WorkerID
	Wishes    []Wish
}
