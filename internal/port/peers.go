package port

import (
	"context"
	"fmt"
	"time"

	"auburnpier/internal/domain"
)

// PeerOperation is a kind of job call that instances forward to a partition owner.
type PeerOperation string

// Forwarded operations.
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
	// Team is the team that the sending instance derived from the caller's key.
	Team domain.TeamID
	// Operator reports whether the key may act on jobs of all teams.
	Operator bool
	Job      domain.JobID
	// Payload is the JSON encoding of a JobSpec for PeerSubmit, and absent for other operations.
	Payload []byte
}

// PeerConfig is a peer's response to a request for the configuration document.
type PeerConfig struct {
	// Version is the version that the peer has applied.
	Version uint64
	// Document is the JSON of the document. It is nil if the peer has no newer
	// version than the one in the request.
	Document []byte
}

// StepDownReply is a former owner's response to its successor.
type StepDownReply struct {
	// Acknowledged reports whether the peer will renew no more leases below the epoch.
	Acknowledged bool
	// SinceLastRenewalMS is the time since the peer last sent a renewal, negative if it sent none.
	SinceLastRenewalMS int64
}

// AllotmentKind identifies a store document that divides a total between its holders.
type AllotmentKind string

// Allotment kinds.
const (
	AllotTeamRequests AllotmentKind = "team_requests"
	AllotBackendSlots AllotmentKind = "backend_slots"
	AllotTeamTasks    AllotmentKind = "team_tasks"
)

// AllotmentRequest asks a holder to transfer part of its allotment.
type AllotmentRequest struct {
	Kind AllotmentKind
	// Subject is a team or a backend server.
	Subject string
	// Holder is the instance or the partition that requests the amount.
	Holder string
	Wanted int64
}

// AllotmentGrant is the amount that a holder transferred. The receiver must not
// use it before it has read the store at Revision or later.
type AllotmentGrant struct {
	Given    int64
	Revision int64
}

// SharedLease identifies a worker lease that a deputy may renew.
type SharedLease struct {
	Worker  domain.WorkerID
	Address string
	Lease   domain.LeaseID
	// Age is the time between the arrival of the response to the acquisition and
	// the sending of the list, by the owner's clock. It is sent in whole
	// milliseconds, rounded down.
	Age time.Duration
}

// SharedLeases is the list of leases that an owner sends to its deputy.
type SharedLeases struct {
	From      domain.InstanceID
	Partition domain.PartitionID
	Epoch     domain.Epoch
	// Sequence increases with each list of the epoch. A list with a lower sequence
	// than one received before is refused.
	Sequence uint64
	Leases   []SharedLease
	// Chunk is the index, from zero, of this part of a list that is split into
	// Chunks messages.
	Chunk, Chunks int
}

// Peer calls another instance. A call without a response returns a
// *PeerUnreachableError; a call that the peer refuses returns a *refusal.Refusal.
type Peer interface {
	// FetchConfig returns the configuration document if it is newer than the version.
	FetchConfig(ctx context.Context, newerThan uint64) (PeerConfig, error)
	// Forward returns the JSON of the owner's response.
	Forward(ctx context.Context, call ForwardedCall) ([]byte, error)
	// StepDown asks a former owner to stop renewing leases below the epoch.
	StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (StepDownReply, error)
	// RequestAllotment asks a holder to transfer part of its allotment.
	RequestAllotment(ctx context.Context, request AllotmentRequest) (AllotmentGrant, error)
	// SuppressPingAcks asks a peer not to acknowledge pings of the incarnation. It
	// returns nil only if the peer has begun to do so.
	SuppressPingAcks(ctx context.Context, from, instance domain.InstanceID, incarnation uint64) error
	// Status returns the JSON of what the peer reports about itself.
	Status(ctx context.Context) ([]byte, error)
	// ShareLeases sends the leases of a partition to its deputy.
	ShareLeases(ctx context.Context, leases SharedLeases) error
}

// PeerDialer dials other instances by the address of their gRPC listener.
type PeerDialer interface {
	Peer(address string) Peer
}

// PeerUnreachableError reports that a call to a peer got no response.
type PeerUnreachableError struct {
	Address string
	Call    string
	// NotSent reports whether no byte of the call was written to a connection.
	NotSent bool
	Err     error
}

func (e *PeerUnreachableError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("peer call %s to %s was not sent; retry it or call another instance: %v", e.Call, e.Address, e.Err)
	}
	return fmt.Sprintf("peer call %s to %s got no response and may have taken effect; look up its outcome before repeating it: %v",
		e.Call, e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *PeerUnreachableError) Unwrap() error { return e.Err }
