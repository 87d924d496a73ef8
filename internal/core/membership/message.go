package membership

import "auburnpier/internal/domain"

// Kind names the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindPing asks for an acknowledgement.
	KindPing Kind = iota + 1
	// KindAck answers a ping with the same Seq.
	KindAck
	// KindBarred answers a ping of a barred incarnation. It is no
	// acknowledgement; it tells that the answering instance lives.
	KindBarred
	// KindPingRequest asks to ping Target.
	KindPingRequest
	// KindRelayedAck tells that Target answered a requested ping.
	KindRelayedAck
	// KindNack tells that Target did not yet answer a requested ping.
	KindNack
	// KindGossip carries updates only.
	KindGossip
	// KindPull asks for the whole member list.
	KindPull
	// KindState carries a part of the member list.
	KindState
)

// Update is a statement about a member.
type Update struct {
	// Record is whole if Full is set. Otherwise only ID and Incarnation are set.
	Record     Record
	Full       bool
	State      State
	Refutation uint32
	// Accuser is the instance whose pings had no answer, for StateSuspect and StateDead.
	Accuser domain.InstanceID
	Barred  bool
}

// Message is the content of one datagram.
type Message struct {
	Kind Kind
	// Seq matches answers to questions of the same sender.
	Seq  uint32
	From domain.InstanceID
	// To is the intended receiver. It is empty where only an address is known.
	To domain.InstanceID
	// Target is the member that a relay pings.
	Target domain.InstanceID
	// Last marks the last part of a member list.
	Last    bool
	Digest  Digest
	Updates []Update
}

// Datagram is a message on its way to an address.
type Datagram struct {
	To      string
	Message Message
}

// Output is what a step produced.
type Output struct {
	Datagrams []Datagram
	Changes   []Change
}

// Estimates of encoded sizes in bytes. They are upper bounds: integers count
// with their longest encoding. The contract test of the datagram adapter
// compares them with the encoder.
const (
	integerBytes  = 9
	fieldBytes    = 2
	headerBytes   = 40
	digestBytes   = 90
	partitionCost = 2*fieldBytes + integerBytes + 3
	queueCost     = 2*fieldBytes + 5 + 3
	updateBytes   = 60
	// MaxNameBytes bounds IDs and addresses in datagrams.
	MaxNameBytes = 64
	// slotBytes bounds the part of a digest that lists free slots.
	slotBytes = 260
	// partitionBytes bounds the part of a digest and of a record that lists partitions.
	partitionBytes = 200
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
		size += partitionCost + len(p.ID)
	}
	return size
}

func slotsSize(slots []QueueSlots) int {
	size := 0
	for _, s := range slots {
		size += queueCost + len(s.Queue)
	}
	return size
}

func (u *Update) size() int {
	size := updateBytes + len(u.Record.ID) + len(u.Accuser)
	if !u.Full {
		return size
	}
	r := &u.Record
	size += len(r.Address) + len(r.RequestAddress)
	size += len(r.Location.Region) + len(r.Location.Zone) + len(r.Location.Rack)
	return size + 5*fieldBytes + partitionsSize(r.Partitions)
}

// boundPartitions returns the leading partitions that a record may list.
func boundPartitions(partitions []OwnedPartition) []OwnedPartition {
	for i := range partitions {
		if i == MaxPartitions || partitionsSize(partitions[:i+1]) > partitionBytes {
			return partitions[:i]
		}
	}
	return partitions
}

// boundSlots returns the leading queues that a digest may list.
func boundSlots(slots []QueueSlots) []QueueSlots {
	for i := range slots {
		if i == MaxQueues || slotsSize(slots[:i+1]) > slotBytes {
			return slots[:i]
		}
	}
	return slots
}
