package port

import (
	"context"
	"fmt"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// SubmitRequest submits a validated job to the owner.
type SubmitRequest struct {
	Job   domain.JobID  `cbor:"1,keyasint"`
	Queue jobs.Queue    `cbor:"2,keyasint"`
	Team  domain.TeamID `cbor:"3,keyasint"`
	Spec  jobs.Spec     `cbor:"4,keyasint"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	// Accepted reports whether the job is stored.
	Accepted bool `cbor:"1,keyasint"`
	// OutcomeUnknown is set if the job may or may not have been stored.
	OutcomeUnknown bool `cbor:"2,keyasint"`
	// Reason is why the job was refused. A refused job has not run and never will.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
}

// JobRequest identifies a job and the team that asks for it.
type JobRequest struct {
	Job  domain.JobID  `cbor:"1,keyasint"`
	Team domain.TeamID `cbor:"2,keyasint"`
	// OpenQueue is the queue of the call if that accepts calls without a key, and else empty. Such a call
	// sees the jobs of all teams in that queue.
	OpenQueue domain.QueueID `cbor:"3,keyasint,omitempty"`
}

// Sees reports whether the caller may see and cancel a job of the team in the queue.
func (r JobRequest) Sees(team domain.TeamID, queue domain.QueueID) bool {
	return team == r.Team || r.OpenQueue != "" && queue == r.OpenQueue
}

// CancelReply answers a request to cancel a job.
type CancelReply struct {
	// Found reports whether the team has such a job.
	Found bool `cbor:"1,keyasint"`
	// Done reports whether the job has ended and its final state is stored.
	Done bool `cbor:"2,keyasint"`
}

// StateReply answers a request for the state of a job.
type StateReply struct {
	Found bool       `cbor:"1,keyasint"`
	State jobs.State `cbor:"2,keyasint"`
}

// InstanceInfo describes an instance to the owner.
type InstanceInfo struct {
	Instance domain.InstanceID `cbor:"1,keyasint"`
	Address  string            `cbor:"2,keyasint"`
	// CPUMilli is the processor time of the instance's VM in thousandths of a core.
	CPUMilli int64 `cbor:"3,keyasint"`
	// Zone is the availability zone of the VM.
	Zone domain.ZoneID `cbor:"4,keyasint"`
	// MemoryMB is the memory of the VM. It is zero from versions that do not tell it.
	MemoryMB int64 `cbor:"5,keyasint,omitempty"`
}

// AnnounceRequest tells the owner that an instance is alive.
type AnnounceRequest struct {
	Instance InstanceInfo `cbor:"1,keyasint"`
	// KnownVersion is the version of the caller's list of instances.
	KnownVersion int64 `cbor:"2,keyasint"`
}

// AnnounceReply answers an AnnounceRequest.
type AnnounceReply struct {
	// Version is the version of the owner's list of instances. Instances is the
	// list, sent only if the caller has another version.
	Version   int64          `cbor:"1,keyasint"`
	Instances []InstanceInfo `cbor:"2,keyasint,omitempty"`
	// NextAnnounceMS is the time until the next announcement is due.
	NextAnnounceMS int64 `cbor:"3,keyasint"`
}

// OwnerService is the API of the owner of the cell for other instances. Calls
// fail with a *NotOwnerError or an *OwnerUnreachableError.
type OwnerService interface {
	Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error)
	Cancel(ctx context.Context, r JobRequest) (CancelReply, error)
	State(ctx context.Context, r JobRequest) (StateReply, error)
	// WaitingJobs returns the number of accepted jobs of the queue without a started task.
	WaitingJobs(ctx context.Context, queue domain.QueueID) (int, error)
	// Announce tells the owner that the instance is alive, and returns the list of instances.
	Announce(ctx context.Context, r AnnounceRequest) (AnnounceReply, error)
	// Preview tells where a validated job would go if it were submitted now, and changes nothing. It fails with an *UnsupportedCallError if
	// the owner's version cannot do this.
	Preview(ctx context.Context, r PreviewRequest) (PreviewReply, error)
	// Explain returns the details of a job of any team.
	Explain(ctx context.Context, job domain.JobID) (ExplainReply, error)
	Overview(ctx context.Context) (CellOverview, error)
}

// PreviewRequest asks where a validated job would go.
type PreviewRequest struct {
	Queue jobs.Queue    `cbor:"1,keyasint"`
	Team  domain.TeamID `cbor:"2,keyasint"`
	Spec  jobs.Spec     `cbor:"3,keyasint"`
}

// PreviewReply answers a PreviewRequest.
type PreviewReply struct {
	Preview jobs.Preview `cbor:"1,keyasint"`
	// Busy is set if the owner makes no more previews now. RetryAfterMS is when to ask again.
	Busy         bool  `cbor:"2,keyasint,omitempty"`
	RetryAfterMS int64 `cbor:"3,keyasint,omitempty"`
}

// ExplainReply holds the owner's view of a job.
type ExplainReply struct {
	// Found reports whether the owner has such a job.
	Found bool `cbor:"Known"`
	Job   jobs.JobView
}

// CellOverview is the owner's view of the cell.
type CellOverview struct {
	Owner domain.InstanceID `json:"owner"`
	Epoch int64             `json:"epoch"`
	// TermMS is how long the instance has owned the cell.
	TermMS int64 `json:"reign_ms"`
	// ClaimRemainingMS is the minimum time for which the claim is still valid. It is
	// negative if the store did not confirm the last renewal in time.
	ClaimRemainingMS int64  `json:"claim_left_ms"`
	ConfigVersion    uint64 `json:"config_version"`
	// RegistryRelay is the instance that watches the worker registry for the owner.
	// It is empty if the owner watches the registry itself.
	RegistryRelay domain.InstanceID `json:"registry_relay,omitempty"`
	Instances     []KnownInstance   `json:"instances"`
	jobs.Overview
}

// KnownInstance is an instance that has announced itself to the owner.
type KnownInstance struct {
	Instance domain.InstanceID `json:"instance"`
	Zone     domain.ZoneID     `json:"zone"`
	// AnnouncementAgeMS is the time since its last announcement.
	AnnouncementAgeMS int64 `json:"heard_ms"`
}

// InstanceStatus is an instance's view of itself and of the cell, with the
// overview of the owner that it knows.
type InstanceStatus struct {
	Instance domain.InstanceID `json:"instance"`
	Region   domain.RegionID   `json:"region"`
	Zone     domain.ZoneID     `json:"zone"`
	Ready    bool              `json:"ready"`
	Draining bool              `json:"draining"`
	// ConfigVersion is the configuration in force at the instance, and ConfigAgeMS
	// the time since it was confirmed to be the newest.
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"`
	// Owner, OwnerAddress and Epoch are taken from the claim that the instance last read.
	Owner        domain.InstanceID `json:"owner,omitempty"`
	OwnerAddress string            `json:"owner_address,omitempty"`
	Epoch        int64             `json:"epoch,omitempty"`
	// Cell is the owner's response. It is absent if the owner did not respond;
	// CellError then says why.
	Cell      *CellOverview `json:"cell,omitempty"`
	CellError string        `json:"cell_error,omitempty"`
}

// ErrorResponse is the body of a failed operator request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// NotOwnerError reports that the instance does not own the cell. The call had no effect.
type NotOwnerError struct{ Instance domain.InstanceID }

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("instance %s does not own the cell; call the current owner", e.Instance)
}

// UnsupportedCallError reports that the version of an instance does not know a call. The call had no effect.
type UnsupportedCallError struct{ Address, Call string }

func (e *UnsupportedCallError) Error() string {
	return fmt.Sprintf("the version of the instance at %s does not know the call %s; upgrade it", e.Address, e.Call)
}

// ProcessTerminatedError reports proof that the process of an instance has terminated.
type ProcessTerminatedError struct {
	Address string
	Err     error
}

func (e *ProcessTerminatedError) Error() string {
	return fmt.Sprintf("the process at %s has terminated; its claim can be released: %v", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *ProcessTerminatedError) Unwrap() error { return e.Err }

// OwnerUnreachableError reports that the owner did not respond.
type OwnerUnreachableError struct {
	Address string
	// NotSent reports whether the call was never sent and so had no effect.
	NotSent bool
	Err     error
}

func (e *OwnerUnreachableError) Error() string {
	return fmt.Sprintf("owner at %s did not respond; retry once another instance owns the cell: %v", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *OwnerUnreachableError) Unwrap() error { return e.Err }
