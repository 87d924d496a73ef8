package membership

import "auburnpier/internal/domain"

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindPing requests an acknowledgement.
	KindPing Kind = iota + 1
	// KindAck acknowledges the ping with the same Seq.
	KindAck
	// KindAckSuppressed is the response to a ping of an incarnation whose pings are not
	// acknowledged. It only shows that the responding instance is alive.
	KindAckSuppressed
	// KindPingRequest asks the receiver to ping Target.
	KindPingRequest
	// KindRelayedAck reports that Target acknowledged a requested ping.
	KindRelayedAck
	// KindNack reports that Target has not yet acknowledged a requested ping.
	KindNack
	// KindGossip carries only updates.
	KindGossip
	// KindPull requests the whole member list.
	KindPull
	// KindState carries a part of the member list.
	KindState
)

// Update is the state of a member as reported by some instance.
type Update struct {
	// Record is complete if Full is set. Otherwise only ID and Incarnation are set.
	Record     Record
	Full       bool
	State      State
	Refutation uint32
	// Reporter is the instance whose pings were not acknowledged, for StateSuspect and StateDead.
	Reporter       domain.InstanceID
	AcksSuppressed bool
}

// Message is the content of one datagram.
type Message struct {
	Kind Kind
	// Seq matches a response to the request of the same sender.
	Seq  uint32
	From domain.InstanceID
	// To is the intended receiver. It is empty if only its address is known.
	To domain.InstanceID
	// Target is the member that a relay pings.
	Target domain.InstanceID
	// Last marks the last part of a member list.
	Last    bool
	Digest  Digest
	Updates []Update
}

// Datagram is a message to be sent to an address.
type Datagram struct {
	To      string
	Message Message
}

// Output holds the datagrams to send and the changes that a call produced.
type Output struct {
	Datagrams []Datagram
	Changes   []Change
}

// Estimates of encoded sizes in bytes. They are upper bounds: integers are
// assumed to take their longest encoding. The contract test of the datagram
// adapter checks them against the encoder.
const (
	integerBytes        = 9
	fieldBytes          = 2
	headerBytes         = 40
	digestBytes         = 90
	partitionEntryBytes = 2*fieldBytes + integerBytes + 3
	slotEntryBytes      = 2*fieldBytes + 5 + 3
	updateBytes         = 60
	// MaxNameBytes bounds the length of IDs and addresses in datagrams.
	MaxNameBytes = 64
	// maxSlotListBytes bounds the list of free slots in a digest.
	maxSlotListBytes = 260
	// maxPartitionListBytes bounds the list of partitions in a digest or a record.
	maxPartitionListBytes = 200
)

func (m *Message) size() int {
	size := headerBytes + len(m.From) + len(m.To) + len(m.Target) + m.Digest.size()
	for i := range m.Updates {
		size += m.Updates[i].size()
	}
	return size
}

func (d *Digest) size() int {
	return digestBytes + partitionsSize(d.Partitions) + slotsSize(d.Slots)
}

func partitionsSize(partitions []OwnedPartition) int {
	size := 0
	for _, p := range partitions {
		size += partitionEntryBytes + len(p.ID)
	}
	return size
}

func slotsSize(slots []QueueSlots) int {
	size := 0
	for _, s := range slots {
		size += slotEntryBytes + len(s.Queue)
	}
	return size
}

func (u *Update) size() int {
	size := updateBytes + len(u.Record.ID) + len(u.Reporter)
	if !u.Full {
		return size
	}
	r := &u.Record
	size += len(r.Address) + len(r.RequestAddress)
	size += len(r.Location.Region) + len(r.Location.Zone) + len(r.Location.Rack)
	return size + 5*fieldBytes + partitionsSize(r.Partitions)
}

// limitPartitions returns the leading partitions that fit into a record.
func limitPartitions(partitions []OwnedPartition) []OwnedPartition {
	for i := range partitions {
		if i == MaxPartitions || partitionsSize(partitions[:i+1]) > maxPartitionListBytes {
			return partitions[:i]
		}
	}
	return partitions
}

// limitSlots returns the leading queues that fit into a digest.
func limitSlots(slots []QueueSlots) []QueueSlots {
	for i := range slots {
		if i == MaxQueues || slotsSize(slots[:i+1]) > maxSlotListBytes {
			return slots[:i]
		}
	}
	return slots
}
