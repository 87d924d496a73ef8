// Package peering maintains the list of instances and makes the calls between
// them. Other packages use it through the interfaces in this file.
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
	// Self returns this instance.
	Self() membership.Member
	// List returns all known members except this instance, sorted by ID.
	List() []membership.Member
	// Get returns the member with the ID, which may be this instance.
	Get(id domain.InstanceID) (membership.Member, bool)
	// Region returns the live members of a region, including this instance, sorted by ID.
	Region(region domain.RegionID) []membership.Member
	// Owner returns the live member with the highest epoch for the partition.
	Owner(partition domain.PartitionID) (membership.Member, domain.Epoch, bool)
	// DrainingKnown reports whether this instance is about to leave and each live member of its
	// region has acknowledged a datagram that says so.
	DrainingKnown() bool
	// Subscribe returns a channel of changes. A change is dropped and counted if the
	// channel is full, so a subscriber has to read the list again on each change.
	// Cancel releases the channel.
	Subscribe(name string, capacity int) (changes <-chan membership.Change, cancel func())
}

// Clients provides clients for the gRPC calls of other instances.
type Clients interface {
	// Peer returns a client for a member, or false if the member is unknown, left or
	// is proven dead. Calls to this instance need no connection.
	Peer(id domain.InstanceID) (port.Peer, bool)
}

// SelfState sets the state of this instance that its datagrams carry.
type SelfState interface {
	// SetConfigVersion sets the configuration version in force.
	SetConfigVersion(version uint64)
	// SetEditInFlight sets whether an edit whose outcome is unknown may have reached
	// the store. It applies to each ping that arrives after the call has returned.
	// The version of an accepted edit must be set before inFlight is cleared.
	SetEditInFlight(inFlight bool)
	// StoreConfirmed records that a store call that began at the given time returned the version.
	StoreConfirmed(version uint64, began time.Time)
	// SetConfirmsAuthority sets whether acknowledgements of this instance count for the
	// authority of its region. It is initially false and is set once this instance
	// has registered in the store, then read all revocations and suppressed the
	// acknowledgements of the revoked incarnations.
	SetConfirmsAuthority(confirmsAuthority bool)
	// SetSlots sets the free slots. Queues beyond membership.MaxQueues are omitted.
	SetSlots(slots []membership.QueueSlots)
	// SetDraining sets whether this instance is about to leave.
	SetDraining(draining bool)
	// SetPartitions sets the partitions that this instance owns.
	SetPartitions(partitions []membership.OwnedPartition)
}

// Confirmation states that at time At no version newer than Version had been accepted.
type Confirmation = membership.Confirmation

// Freshness provides the confirmations from peers that show how fresh the
// configuration is (section 5.3 of the design).
type Freshness interface {
	// RelayedConfirmation returns the latest store confirmation that a peer relayed for
	// the version, or the zero value.
	RelayedConfirmation(version uint64) Confirmation
	// PeersConfirmation returns the latest time for which all known instances confirm the
	// version, or the zero value.
	PeersConfirmation(version uint64) Confirmation
	// NewestVersion returns the highest known version and a member that has
	// applied it. The holder is empty if no other live member has.
	NewestVersion() (version uint64, holder domain.InstanceID)
	// StoreOutage reports whether neither this instance nor any member that
	// acknowledged its pings has a recent store confirmation. While it is true, all
	// known instances are pinged, which PeersConfirmation depends on.
	StoreOutage() bool
	// StoreConfirmedAt returns the time of the latest store confirmation of this
	// instance or relayed by a member, or zero.
	StoreConfirmedAt() time.Time
	// Joined reports whether joining has ended: the member list was received from a
	// peer, there is no other seed, or no seed responded in time.
	Joined() bool
}

// Authority provides the acknowledgement times that authority depends on (at most
// 6 s old, section 5.4 of the design) and the means to revoke it.
type Authority interface {
	// LastRegionAck returns the time at which the latest ping was sent that was
	// acknowledged by a member of this region whose ConfirmsAuthority is set, or zero.
	LastRegionAck() time.Time
	// SuppressPingAcks stops this instance from acknowledging pings of the incarnation.
	SuppressPingAcks(ctx context.Context, instance domain.InstanceID, incarnation uint64) error
	// AddFromRegistry adds an instance from the registry in the store to the member list.
	AddFromRegistry(ctx context.Context, record membership.Record) error
	// MarkProvenDead records a proof that the incarnation has terminated.
	MarkProvenDead(ctx context.Context, instance domain.InstanceID, incarnation uint64) error
	// ObserveVMs processes a read of the platform's VM list and marks members as proven
	// dead whose VMs are no longer listed.
	ObserveVMs(ctx context.Context, vms []domain.VM) error
	// SelfAcksSuppressed reports whether pings of this incarnation are no longer acknowledged.
	SelfAcksSuppressed() bool
	// Superseded reports whether another process uses the ID of this instance or
	// this incarnation was declared proven dead. The process should exit, because no
	// peer acknowledges its pings any more.
	Superseded() bool
	// SuppressPingAcksInRegion has all other members of the region stop acknowledging pings of
	// the incarnation. It returns the members that have not confirmed this and are
	// not known to have left or terminated.
	SuppressPingAcksInRegion(ctx context.Context, instance domain.InstanceID, incarnation uint64) (missing []domain.InstanceID)
}

// ConfigSource serves the configuration document to peers.
type ConfigSource interface {
	FetchConfig(ctx context.Context, newerThan uint64) (port.PeerConfig, error)
}

// JobHandler serves job calls for partitions that this instance owns.
type JobHandler interface {
	Forward(ctx context.Context, call port.ForwardedCall) ([]byte, error)
}

// StepDownHandler stops partitions of this instance that a new owner has taken over.
type StepDownHandler interface {
	StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.StepDownReply, error)
}

// AllotmentHandler releases allotments of this instance to others.
type AllotmentHandler interface {
	RequestAllotment(ctx context.Context, request port.AllotmentRequest) (port.AllotmentGrant, error)
}

// LeaseReceiver receives the leases for which this instance is the deputy.
type LeaseReceiver interface {
	ShareLeases(ctx context.Context, leases port.SharedLeases) error
}

// StatusSource returns the status of this instance in a form that encodes as JSON.
type StatusSource interface {
	PeerStatus(ctx context.Context) (any, error)
}

// Handlers serve the calls of peers. A call whose handler is nil is refused as not ready.
type Handlers struct {
	Config     ConfigSource
	Jobs       JobHandler
	StepDown   StepDownHandler
	Allotments AllotmentHandler
	Leases     LeaseReceiver
	Status     StatusSource
}
