package port

import (
	"context"
	"fmt"
	"time"

	"auburnpier/internal/domain"
)

// PeerOperation names a job call that is forwarded to a partition owner.
type PeerOperation string

// Operations that are forwarded.
const (
	PeerSubmit  PeerOperation = "submit"
	PeerStatus  PeerOperation = "status"
	PeerCancel  PeerOperation = "cancel"
	PeerExplain PeerOperation = "explain"
)

// ForwardedCall is a job call on its way to the owner of a partition.
type ForwardedCall struct {
	From      domain.InstanceID
	Partition domain.PartitionID
	Operation PeerOperation
	// Team is derived from the caller's key by the sending instance.
	Team domain.TeamID
	// Operator tells that the key may act on jobs of every team.
	Operator bool
	Job      domain.JobID
	// Payload is the JSON of a domain type: a JobSpec for a submission, absent otherwise.
	Payload []byte
}

// PeerConfig is a peer's answer about the configuration document.
type PeerConfig struct {
	// Version is the version that the peer has applied.
	Version uint64
	// Document is the JSON of the document. It is nil if it is not newer than asked for.
	Document []byte
}

// StepDownReply is a former owner's answer to its successor.
type StepDownReply struct {
	// Acknowledged tells that the peer renews no lease below the epoch from now on.
	Acknowledged bool
	// SinceLastRenewalMS is the age of the last renewal that the peer sent, negative if it sent none.
	SinceLastRenewalMS int64
}

// AllotmentKind names one of the store documents that divide a total.
type AllotmentKind string

// Kinds of allotments.
const (
	AllotTeamRequests AllotmentKind = "team_requests"
	AllotBackendSlots AllotmentKind = "backend_slots"
	AllotTeamTasks    AllotmentKind = "team_tasks"
)

// AllotmentRequest asks a holder to give up part of its allotment.
type AllotmentRequest struct {
	Kind AllotmentKind
	// Subject is a team or a backend server.
	Subject string
	// Holder is the instance or the partition that wants the amount.
	Holder string
	Wanted int64
}

// AllotmentGrant tells what a holder gave. The receiver uses the amount only
// after it has read the store at Revision or later.
type AllotmentGrant struct {
	Given    int64
	Revision int64
}

// SharedLease names one worker lease, so that a deputy can renew it.
type SharedLease struct {
	Worker  domain.WorkerID
	Address string
	Lease   domain.LeaseID
	// Age is the time since the answer to the acquisition arrived, by the
	// owner's clock at the sending of the list. It is carried in whole
	// milliseconds, rounded down.
	Age time.Duration
}

// SharedLeases is the list that an owner sends to its deputy.
type SharedLeases struct {
	From      domain.InstanceID
	Partition domain.PartitionID
	Epoch     domain.Epoch
	// Sequence grows with each list of the epoch. A list with a lower one than
	// that of an earlier list is refused.
	Sequence uint64
	Leases   []SharedLease
	// Chunk and Chunks number the parts of a list that exceeds one message.
	// Chunk counts from zero.
	Chunk, Chunks int
}

// Peer calls one other instance. A call that got no answer returns a
// *PeerUnreachableError; a refusal by the peer returns a *refusal.Refusal.
type Peer interface {
	// FetchConfig returns the configuration document if it is newer than the version.
	FetchConfig(ctx context.Context, newerThan uint64) (PeerConfig, error)
	// Forward returns the JSON of the owner's answer.
	Forward(ctx context.Context, call ForwardedCall) ([]byte, error)
	// StepDown asks a former owner to stop renewing leases below the epoch.
	StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (StepDownReply, error)
	// RequestAllotment asks a holder to give.
	RequestAllotment(ctx context.Context, request AllotmentRequest) (AllotmentGrant, error)
	// SuppressPingAcks asks a peer not to acknowledge pings of the incarnation. It returns
	// nil only if the bar is in force.
	SuppressPingAcks(ctx context.Context, from, instance domain.InstanceID, incarnation uint64) error
	// Status returns the JSON of what the peer reports about itself.
	Status(ctx context.Context) ([]byte, error)
	// ShareLeases hands the lease IDs of a partition to its deputy.
	ShareLeases(ctx context.Context, leases SharedLeases) error
}

// PeerDialer dials other instances by the address of their gRPC listener.
type PeerDialer interface {
	Peer(address string) Peer
}

// PeerUnreachableError tells that a call to a peer has no answer.
type PeerUnreachableError struct {
	Address string
	Call    string
	// NotSent tells that no byte of the call was handed to a connection.
	NotSent bool
	Err     error
}

func (e *PeerUnreachableError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("peer call %s to %s was not sent, retry it or choose another instance: %v", e.Call, e.Address, e.Err)
	}
	return fmt.Sprintf("peer call %s to %s has no answer and may have taken effect, look up its outcome before repeating it: %v",
		e.Call, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Err }
