package port

import (
	"context"
	"fmt"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// SubmitCall hands a validated job to the owner.
type SubmitCall struct {
	Job   domain.JobID  `cbor:"1,keyasint"`
	Queue jobs.Queue    `cbor:"2,keyasint"`
	Team  domain.TeamID `cbor:"3,keyasint"`
	Spec  jobs.Spec     `cbor:"4,keyasint"`
}

// SubmitReply answers a SubmitCall.
type SubmitReply struct {
	// Accepted jobs are stored.
	Accepted bool `cbor:"1,keyasint"`
	// Unknown tells that the job may or may not have been stored.
	Unknown bool `cbor:"2,keyasint"`
	// Reason names a refusal; the job has not run and never will.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
}

// JobCall names a job of a team.
type JobCall struct {
	Job  domain.JobID  `cbor:"1,keyasint"`
	Team domain.TeamID `cbor:"2,keyasint"`
}

// CancelReply answers a cancellation.
type CancelReply struct {
	// Known tells that the team has such a job.
	Known bool `cbor:"1,keyasint"`
	// Done tells that the job has ended and the end is stored.
	Done bool `cbor:"2,keyasint"`
}

// StateReply answers a question for a job's state.
type StateReply struct {
	Known bool       `cbor:"1,keyasint"`
	State jobs.State `cbor:"2,keyasint"`
}

// Hello introduces an instance to the owner.
type Hello struct {
	Instance domain.InstanceID `cbor:"1,keyasint"`
	Address  string            `cbor:"2,keyasint"`
	// CPUMilli is the processor time of the instance's VM in thousandths of a core.
	CPUMilli int64 `cbor:"3,keyasint"`
	// Zone is the availability zone of the VM.
	Zone domain.ZoneID `cbor:"4,keyasint"`
}

// HelloCall greets the owner.
type HelloCall struct {
	Hello Hello `cbor:"1,keyasint"`
	// KnownVersion is the version of the list of instances that the caller has.
	KnownVersion int64 `cbor:"2,keyasint"`
}

// HelloReply answers a HelloCall.
type HelloReply struct {
	// Version is that of the owner's list of instances. Instances holds the list
	// where the caller has another version.
	Version   int64   `cbor:"1,keyasint"`
	Instances []Hello `cbor:"2,keyasint,omitempty"`
	// AgainMS is when to greet again.
	AgainMS int64 `cbor:"3,keyasint"`
}

// OwnerCalls is what an instance asks of the owner of the cell. Calls return a
// *NotOwnerError or an *OwnerUnreachableError.
type OwnerCalls interface {
	Submit(ctx context.Context, c SubmitCall) (SubmitReply, error)
	Cancel(ctx context.Context, c JobCall) (CancelReply, error)
	State(ctx context.Context, c JobCall) (StateReply, error)
	Waiting(ctx context.Context, queue domain.QueueID) (int, error)
	// Hello tells the owner that the instance is there, and returns the others.
	Hello(ctx context.Context, h HelloCall) (HelloReply, error)
}

// NotOwnerError tells that the instance does not own the cell. The call had no effect.
type NotOwnerError struct{ Instance domain.InstanceID }

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("instance %s does not own the cell; ask the present owner", e.Instance)
}

// OwnerUnreachableError tells that the owner did not answer.
type OwnerUnreachableError struct {
	Address string
	// NotSent tells that the call had no effect.
	NotSent bool
	Err     error
}

func (e *OwnerUnreachableError) Error() string {
	return fmt.Sprintf("owner at %s did not answer; retry once another instance owns the cell: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *OwnerUnreachableError) Unwrap() error { return e.Err }
