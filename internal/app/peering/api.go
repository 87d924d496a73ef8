// Package peering keeps the list of instances and carries the calls between
// them. The other parts use it through the interfaces of this file.
package peering

import (
	"context"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Members is the member list.
type Members interface {
	// Self returns the record of this instance.
	Self() membership.Member
	// List returns all known members but this instance, in the order of their IDs.
	List() []membership.Member
	// Get returns the member of that ID. It finds this instance as well.
	Get(id domain.InstanceID) (membership.Member, bool)
	// Region returns the live members of a region, this instance included, in
	// the order of their IDs.
	Region(region domain.RegionID) []membership.Member
	// Owner returns the live member with the highest epoch for the partition.
	Owner(partition domain.PartitionID) (membership.Member, domain.Epoch, bool)
	// Subscribe returns a channel of changes. A change that finds the channel
	// full is dropped and counted; the subscriber then reads the list again
	// when it sees the next change. Cancel releases the channel.
	Subscribe(name string, capacity int) (changes <-chan membership.Change, cancel func())
}

// Clients gives access to the gRPC calls of other instances.
type Clients interface {
	// Peer returns the calls of a member. It finds no member that left or
	// provably ended. The calls of this instance run without a connection.
	Peer(id domain.InstanceID) (port.Peer, bool)
}

// SelfState takes what this instance states about itself in its datagrams.
type SelfState interface {
	// SetConfigVersion states the version in force.
	SetConfigVersion(version uint64)
	// SetEditInFlight states whether an edit may have reached the store
	// without its outcome being known. It holds for each ping that arrives
	// after the call returned. The version of an accepted edit is set before
	// the edit is declared over.
	SetEditInFlight(inFlight bool)
	// StoreConfirmed states that a store call that began at the time showed the version.
	StoreConfirmed(version uint64, began time.Time)
	// SetConfirmsAuthority states whether acknowledgements of this instance count for
	// the authority of its region. It is set after this instance was
	// registered in the store, then read all revocations and barred their
	// incarnations; it is not set at the start.
	SetConfirmsAuthority(vouches bool)
	// SetSlots states the free slots. Queues beyond membership.MaxQueues are left out.
	SetSlots(slots []membership.QueueSlots)
	// SetDraining states that this instance is about to leave.
	SetDraining(draining bool)
	// SetPartitions states the partitions that this instance owns.
	SetPartitions(partitions []membership.OwnedPartition)
}

// Confirmation tells that at the time no version newer than Version was accepted.
type Confirmation = membership.Confirmation

// Freshness gives the confirmations that peers contribute to section 5.3 of
// the design.
type Freshness interface {
	// RelayedConfirmation returns the latest store confirmation that a peer relayed for
	// the version, or the zero value.
	RelayedConfirmation(version uint64) Confirmation
	// PeersConfirmation returns the latest time that all known instances confirmed
	// the version, or the zero value.
	PeersConfirmation(version uint64) Confirmation
	// NewestVersion returns the highest version heard of and a member that has
	// applied it. The holder is empty if no other live member has.
	NewestVersion() (version uint64, holder domain.InstanceID)
	// StoreOutage reports whether neither this instance nor a member that
	// answered it has a recent store confirmation. All known instances are
	// pinged then, which PeersConfirmation needs.
	StoreOutage() bool
	// StoreConfirmedAt returns the time of the latest store confirmation that
	// this instance has or that a member relayed. It is zero if there is none.
	StoreConfirmedAt() time.Time
	// Joined reports whether the member list was received from a peer, or
	// there is none to ask.
	Joined() bool
}

// Authority gives the times that section 5.4 of the design bounds to 6 s.
type Authority interface {
	// LastRegionAck returns the sending time of the latest ping that a member of
	// this region acknowledged. It is zero if there is none.
	LastRegionAck() time.Time
	// SuppressPingAcks stops this instance from acknowledging pings of the incarnation.
	SuppressPingAcks(ctx context.Context, instance domain.InstanceID, incarnation uint64) error
	// AddFromRegistry adds an instance of the registry in the store to the member list.
	AddFromRegistry(ctx context.Context, record membership.Record) error
	// MarkProvenDead notes a proof that the incarnation ended.
	MarkProvenDead(ctx context.Context, instance domain.InstanceID, incarnation uint64) error
	// ObserveVMs takes the platform's list and notes members whose VMs were dropped from it.
	ObserveVMs(ctx context.Context, vms []domain.VM) error
	// SelfAcksSuppressed reports whether a peer refused a ping because this incarnation is barred.
	SelfAcksSuppressed() bool
	// Superseded reports whether another process uses the ID of this instance
	// or this incarnation was declared dead with proof. The process should
	// end: no peer acknowledges its pings any more.
	Superseded() bool
	// SuppressPingAcksInRegion asks all other members of the region for a bar. It
	// returns the members that neither barred nor are left or proven dead.
	SuppressPingAcksInRegion(ctx context.Context, instance domain.InstanceID, incarnation uint64) (missing []domain.InstanceID)
}

// ConfigSource answers a peer's fetch of the configuration document.
type ConfigSource interface {
	FetchConfig(ctx context.Context, newerThan uint64) (port.PeerConfig, error)
}

// JobHandler answers job calls for partitions that this instance owns.
type JobHandler interface {
	Forward(ctx context.Context, call port.ForwardedCall) ([]byte, error)
}

// StepDownHandler answers the successor of a partition.
type StepDownHandler interface {
	StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.StepDownReply, error)
}

// AllotmentHandler gives up allotments of this instance.
type AllotmentHandler interface {
	RequestAllotment(ctx context.Context, request port.AllotmentRequest) (port.AllotmentGrant, error)
}

// LeaseReceiver takes the lease IDs for which this instance is the deputy.
type LeaseReceiver interface {
	ShareLeases(ctx context.Context, leases port.SharedLeases) error
}

// StatusSource returns what this instance reports about itself, for JSON.
type StatusSource interface {
	PeerStatus(ctx context.Context) (any, error)
}

// Handlers answer the calls of peers. A call whose handler is nil is refused as not ready.
type Handlers struct {
	Config     ConfigSource
	Jobs       JobHandler
	StepDown   StepDownHandler
	Allotments AllotmentHandler
	Leases     LeaseReceiver
	Status     StatusSource
}
