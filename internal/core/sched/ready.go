package sched

import (
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// StartCall is a call that starts attempts on one worker under one lease.
type StartCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Requests []port.StartRequest
}

// AttemptCall is a call that stops or checkpoints attempts on one worker.
type AttemptCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempts []domain.AttemptID
}

// ThrottleCall is a call that caps the processor time of one attempt.
type ThrottleCall struct {
	Worker   domain.WorkerID
	Lease    domain.LeaseID
	Attempt  domain.AttemptID
	CPUMilli int64
}

// Acknowledgement lists durable ends to send with the worker's next renewal. An
// end that the worker reports again is acknowledged again.
type Acknowledgement struct {
	Worker   domain.WorkerID
	Attempts []domain.AttemptID
}

// AllotmentRequest is the allotment that the partition could currently use for a team. It is at
// least what the team runs here, so lowering the allotment to it stops no work.
type AllotmentRequest struct {
	Team   domain.TeamID
	Amount domain.Resources
}

// Ready holds the records to store and the messages to send. All messages may be sent
// immediately: those that depend on a batch are returned only after its Durable event.
type Ready struct {
	// Batch is the number of the batch of Records, counted from 1 in each process. It is
	// zero if there are no records.
	Batch   uint64
	Records []Record
	// Starts contains only attempts whose intents are durable.
	Starts      []StartCall
	Stops       []AttemptCall
	Checkpoints []AttemptCall
	Throttles   []ThrottleCall
	Acknowledge []Acknowledgement
	// Acquire lists workers whose lease is to be acquired, even if one is already held:
	// a new lease proves that pending starts under the old one will not take effect.
	Acquire []domain.WorkerID
	// Renew lists workers whose lease is to be renewed now rather than at the next
	// interval, so that ends are reported soon.
	Renew []domain.WorkerID
	// RemovedWorkers lists workers that were removed; their lease loops can stop.
	RemovedWorkers    []domain.WorkerID
	AllotmentRequests []AllotmentRequest
}
