// Package membership is a SWIM-style failure detector and gossip protocol for
// the instances of a cell. It does no I/O: datagrams and ticks go in, datagrams
// and changes come out. Random choices are seeded, so that a run can be replayed.
package membership

import (
	"time"

	"auburnpier/internal/domain"
)

// State is the state of a member as this instance knows it.
type State uint8

// States of a member, in the order in which they override each other within
// one incarnation and refutation.
const (
	StateAlive State = iota
	// StateSuspect means that pings were not acknowledged; the member may still refute the suspicion.
	StateSuspect
	// StateDead means that the suspicion was not refuted in time. The process may still run.
	StateDead
	// StateLeft means that the member announced its exit.
	StateLeft
	// StateProvenDead means that the process is proven to have terminated.
	StateProvenDead
)

var stateNames = [...]string{"alive", "suspect", "dead", "left", "proven_dead"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Departed reports whether the process is no longer a member: it left or is proven to have terminated.
func (s State) Departed() bool { return s == StateLeft || s == StateProvenDead }

// Bounds of the fields of a digest, which keep a datagram within its size.
const (
	// MaxQueues bounds the queues whose free slots a digest lists.
	MaxQueues = 12
	// MaxPartitions bounds the partitions that a record lists.
	MaxPartitions = 8
)

// NoStoreAge is the StoreAge of an instance without a store confirmation.
const NoStoreAge = time.Duration(-1)

// OwnedPartition is a partition that an instance claims to own.
type OwnedPartition struct {
	ID    domain.PartitionID
	Epoch domain.Epoch
}

// QueueSlots is the number of requests of a queue that an instance could start immediately.
type QueueSlots struct {
	Queue domain.QueueID
	Free  uint32
}

// Record describes an instance as published by itself. Records of one
// incarnation are ordered by Revision.
type Record struct {
	ID domain.InstanceID
	// Incarnation identifies one process. A later process has a higher one.
	Incarnation uint64
	// Address is the host:port of the datagram socket and of the gRPC listener.
	Address string
	// RequestAddress is the host:port of the listener for client requests.
	RequestAddress string
	Location       domain.Location
	// Revision grows with each change of the fields below.
	Revision   uint32
	Draining   bool
	Partitions []OwnedPartition
}

// Digest is the sender's state at the time of a datagram. Each datagram carries one.
type Digest struct {
	Incarnation uint64
	// Sequence grows with each datagram of the incarnation and orders them.
	Sequence   uint64
	Refutation uint32
	// Revision is that of the sender's record.
	Revision uint32
	// ConfigVersion is the configuration version that the sender has applied.
	ConfigVersion uint64
	// KnownVersion is the highest configuration version known to the sender.
	KnownVersion uint64
	// StoreVersion is the configuration version in the sender's latest store confirmation.
	StoreVersion uint64
	// StoreAge is the age of that confirmation, or NoStoreAge.
	StoreAge time.Duration
	// EditInFlight reports whether the sender may have written a newer version.
	EditInFlight bool
	// ConfirmsAuthority reports whether the sender's acknowledgements count for the
	// authority of the instances of its region (section 5.4 of the design).
	ConfirmsAuthority bool
	Draining          bool
	Slots             []QueueSlots
	Partitions        []OwnedPartition
	// KnownHash covers the members that are neither left nor proven dead.
	KnownHash uint32
	// ViewHash covers the states and revisions of all members.
	ViewHash uint32
}

// Member is one instance as seen by this instance.
type Member struct {
	Record
	State      State
	Refutation uint32
	// AcksSuppressed reports whether pings of this incarnation are not acknowledged.
	AcksSuppressed bool `json:"Barred"`
	// ConfigVersion, KnownVersion and Slots are taken from the latest datagram.
	ConfigVersion uint64
	KnownVersion  uint64
	Slots         []QueueSlots
	// EditInFlight is taken from the latest datagram.
	EditInFlight bool
	// HeardAt is the time at which the latest datagram was received, or zero.
	HeardAt time.Time
	// AckedPingAt is the time at which the latest acknowledged ping was sent.
	AckedPingAt time.Time
}
