package port

import (
	"context"
	"fmt"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// SubmitRequest hands a validated job to the owner.
type SubmitRequest struct {
	Job   domain.JobID  `cbor:"1,keyasint"`
	Queue jobs.Queue    `cbor:"2,keyasint"`
	Team  domain.TeamID `cbor:"3,keyasint"`
	Spec  jobs.Spec     `cbor:"4,keyasint"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	// Accepted jobs are stored.
	Accepted bool `cbor:"1,keyasint"`
	// Unknown tells that the job may or may not have been stored.
	Unknown bool `cbor:"2,keyasint"`
	// Reason names a refusal; the job has not run and never will.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
}

// JobRequest names a job of a team.
type JobRequest struct {
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

// InstanceInfo introduces an instance to the owner.
type InstanceInfo struct {
	Instance domain.InstanceID `cbor:"1,keyasint"`
	Address  string            `cbor:"2,keyasint"`
	// CPUMilli is the processor time of the instance's VM in thousandths of a core.
	CPUMilli int64 `cbor:"3,keyasint"`
	// Zone is the availability zone of the VM.
	Zone domain.ZoneID `cbor:"4,keyasint"`
}

// AnnounceRequest greets the owner.
type AnnounceRequest struct {
	Hello InstanceInfo `cbor:"1,keyasint"`
	// KnownVersion is the version of the list of instances that the caller has.
	KnownVersion int64 `cbor:"2,keyasint"`
}

// AnnounceReply answers an AnnounceRequest.
type AnnounceReply struct {
	// Version is that of the owner's list of instances. Instances holds the list
	// where the caller has another version.
	Version   int64          `cbor:"1,keyasint"`
	Instances []InstanceInfo `cbor:"2,keyasint,omitempty"`
	// NextAnnounceMS is when to greet again.
	NextAnnounceMS int64 `cbor:"3,keyasint"`
}

// OwnerService is what an instance asks of the owner of the cell. Calls return a
// *NotOwnerError or an *OwnerUnreachableError.
type OwnerService interface {
	Submit(ctx context.Context, c SubmitRequest) (SubmitReply, error)
	Cancel(ctx context.Context, c JobRequest) (CancelReply, error)
	State(ctx context.Context, c JobRequest) (StateReply, error)
	Waiting(ctx context.Context, queue domain.QueueID) (int, error)
	// Announce tells the owner that the instance is there, and returns the others.
	Announce(ctx context.Context, h AnnounceRequest) (AnnounceReply, error)
	// Explain shows a job of any team.
	Explain(ctx context.Context, job domain.JobID) (ExplainReply, error)
	Overview(ctx context.Context) (CellOverview, error)
}

// ExplainReply is what the owner knows of a job.
type ExplainReply struct {
	Known bool
	Job   jobs.JobView
}

// CellOverview is what the owner of the cell believes.
type CellOverview struct {
	Owner domain.InstanceID `json:"owner"`
	Epoch int64             `json:"epoch"`
	// TermMS is how long it has owned the cell.
	TermMS int64 `json:"reign_ms"`
	// ClaimRemainingMS is how long the claim certainly holds, negative where the store did not confirm it in time.
	ClaimRemainingMS int64  `json:"claim_left_ms"`
	ConfigVersion    uint64 `json:"config_version"`
	// RegistryRelay reads the registry of workers for the owner, empty where it reads itself.
	RegistryRelay domain.InstanceID `json:"registry_relay,omitempty"`
	Instances     []KnownInstance   `json:"instances"`
	jobs.Overview
}

// KnownInstance is an instance that has greeted the owner.
type KnownInstance struct {
	Instance domain.InstanceID `json:"instance"`
	Zone     domain.ZoneID     `json:"zone"`
	// AnnouncementAgeMS is the age of its last greeting.
	AnnouncementAgeMS int64 `json:"heard_ms"`
}

// InstanceStatus is what an instance believes, and what the owner that it knows does.
type InstanceStatus struct {
	Instance domain.InstanceID `json:"instance"`
	Region   domain.RegionID   `json:"region"`
	Zone     domain.ZoneID     `json:"zone"`
	Ready    bool              `json:"ready"`
	Draining bool              `json:"draining"`
	// ConfigVersion is in force here, and ConfigAgeMS the time since that was proven.
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"`
	// Owner and Epoch are those of the claim that the instance knows.
	Owner        domain.InstanceID `json:"owner,omitempty"`
	OwnerAddress string            `json:"owner_address,omitempty"`
	Epoch        int64             `json:"epoch,omitempty"`
	// Cell is the owner's own answer, absent where it gave none for the reason in CellError.
	Cell      *CellOverview `json:"cell,omitempty"`
	CellError string        `json:"cell_error,omitempty"`
}

// ErrorResponse is the body of a question without an answer.
type ErrorResponse struct {
	Error string `json:"error"`
}

// NotOwnerError tells that the instance does not own the cell. The call had no effect.
type NotOwnerError struct{ Instance domain.InstanceID }

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("instance %s does not own the cell; ask the present owner", e.Instance)
}

// ProcessTerminatedError tells that the process of an instance has certainly ended.
type ProcessTerminatedError struct {
	Address string
	Err     error
}

func (e *ProcessTerminatedError) Error() string {
	return fmt.Sprintf("no process serves %s any more; its claim may be ended: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ProcessTerminatedError) Unwrap() error { return e.Err }

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
