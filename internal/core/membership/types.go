// Package membership detects which instances are alive and spreads changes of
// their state. It is pure: datagrams and ticks go in, datagrams and changes
// come out. Its randomness is seeded, so that a run can be replayed.
package membership

import (
	"time"

	"auburnpier/internal/domain"
)

// State is what an instance believes of a member.
type State uint8

// States of a member, in the order in which they override each other within
// one incarnation and refutation.
const (
	StateAlive State = iota
	// StateSuspect tells that pings have no answer; the member may still refute.
	StateSuspect
	// StateDead tells that the suspicion was not refuted. It is no proof of death.
	StateDead
	// StateLeft tells that the member announced its exit.
	StateLeft
	// StateProven tells that the process provably ended.
	StateProven
)

var stateNames = [...]string{"alive", "suspect", "dead", "left", "proven_dead"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Gone reports whether the process takes no further part: it left or provably ended.
func (s State) Gone() bool { return s == StateLeft || s == StateProven }

// Bounds of the fields of a digest, which keep a datagram within its size.
const (
	// MaxQueues bounds the queues whose free slots a digest lists.
	MaxQueues = 12
	// MaxPartitions bounds the partitions that a record lists.
	MaxPartitions = 8
)

// NoStoreAge tells that an instance has no store confirmation.
const NoStoreAge = time.Duration(-1)

// OwnedPartition is a partition that an instance claims to own.
type OwnedPartition struct {
	ID    domain.PartitionID
	Epoch domain.Epoch
}

// QueueSlots tells how many requests of a queue an instance could start at once.
type QueueSlots struct {
	Queue domain.QueueID
	Free  uint32
}

// Record is what an instance states about itself. Records of one incarnation
// are ordered by Revision.
type Record struct {
	ID domain.InstanceID
	// Incarnation names one process. A later process has a higher one.
	Incarnation uint64
	// Address is the host:port of the datagram socket and of the gRPC listener.
	Address string
	// RequestAddress is the host:port at which callers' requests are accepted.
	RequestAddress string
	Location       domain.Location
	// Revision grows with each change of the fields below.
	Revision   uint32
	Draining   bool
	Partitions []OwnedPartition
}

// Digest is what each datagram states about its sender at that moment.
type Digest struct {
	Incarnation uint64
	// Count grows with each datagram of the incarnation and orders them.
	Count      uint64
	Refutation uint32
	// Revision is that of the sender's record.
	Revision uint32
	// ConfigVersion is the version that the sender has applied.
	ConfigVersion uint64
	// KnownVersion is the highest version that the sender heard of.
	KnownVersion uint64
	// StoreVersion is the version that the last store confirmation showed.
	StoreVersion uint64
	// StoreAge is the age of that confirmation, or NoStoreAge.
	StoreAge time.Duration
	// EditInFlight tells that the sender may have written a newer version.
	EditInFlight bool
	// Vouches tells that the sender's acknowledgements count for the
	// authority of section 5.4 of the design.
	Vouches    bool
	Draining   bool
	Slots      []QueueSlots
	Partitions []OwnedPartition
	// KnownHash covers the members that are neither left nor proven dead.
	KnownHash uint32
	// ViewHash covers the states and revisions of all members.
	ViewHash uint32
}

// Member is one instance as seen from here.
type Member struct {
	Record
	State      State
	Refutation uint32
	// Barred tells that pings of this incarnation are not acknowledged.
	Barred bool
	// ConfigVersion, KnownVersion and Slots are those of the latest datagram.
	ConfigVersion uint64
	KnownVersion  uint64
	Slots         []QueueSlots
	// EditInFlight is that of the latest datagram.
	EditInFlight bool
	// HeardAt is the receipt of the latest datagram. It is zero if none came.
	HeardAt time.Time
	// AckedPingAt is the sending of the latest ping that was acknowledged.
	AckedPingAt time.Time
}
