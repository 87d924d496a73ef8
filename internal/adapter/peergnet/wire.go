package peergnet

import (
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// The wire types define the integer keys of the CBOR maps. The key of a removed field must not be reused.
type (
	wireMessage struct {
		Kind    uint8        `cbor:"1,keyasint"`
		Seq     uint32       `cbor:"2,keyasint,omitempty"`
		From    string       `cbor:"3,keyasint"`
		To      string       `cbor:"4,keyasint,omitempty"`
		Target  string       `cbor:"5,keyasint,omitempty"`
		Last    bool         `cbor:"6,keyasint,omitempty"`
		Digest  wireDigest   `cbor:"7,keyasint"`
		Updates []wireUpdate `cbor:"8,keyasint,omitempty"`
	}

	wireDigest struct {
		Incarnation   uint64 `cbor:"1,keyasint"`
		Sequence      uint64 `cbor:"2,keyasint"`
		Refutation    uint32 `cbor:"3,keyasint,omitempty"`
		Revision      uint32 `cbor:"4,keyasint,omitempty"`
		ConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
		KnownVersion  uint64 `cbor:"6,keyasint,omitempty"`
		StoreVersion  uint64 `cbor:"7,keyasint,omitempty"`
		// StoreAge is the age of the store confirmation in milliseconds, rounded up, plus one. Zero
		// means that there is none.
		StoreAge          uint32          `cbor:"8,keyasint,omitempty"`
		EditInFlight      bool            `cbor:"9,keyasint,omitempty"`
		ConfirmsAuthority bool            `cbor:"10,keyasint,omitempty"`
		Draining          bool            `cbor:"11,keyasint,omitempty"`
		Slots             []wireSlots     `cbor:"12,keyasint,omitempty"`
		Partitions        []wirePartition `cbor:"13,keyasint,omitempty"`
		KnownHash         uint32          `cbor:"14,keyasint"`
		ViewHash          uint32          `cbor:"15,keyasint"`
	}

	wireSlots struct {
		Queue string `cbor:"1,keyasint"`
		Free  uint32 `cbor:"2,keyasint,omitempty"`
	}

	wirePartition struct {
		ID    string `cbor:"1,keyasint"`
		Epoch uint64 `cbor:"2,keyasint,omitempty"`
	}

	wireUpdate struct {
		ID             string      `cbor:"1,keyasint"`
		Incarnation    uint64      `cbor:"2,keyasint"`
		State          uint8       `cbor:"3,keyasint,omitempty"`
		Refutation     uint32      `cbor:"4,keyasint,omitempty"`
		Reporter       string      `cbor:"5,keyasint,omitempty"`
		AcksSuppressed bool        `cbor:"6,keyasint,omitempty"`
		Record         *wireRecord `cbor:"7,keyasint,omitempty"`
	}

	wireRecord struct {
		Address        string          `cbor:"1,keyasint"`
		RequestAddress string          `cbor:"2,keyasint,omitempty"`
		Location       domain.Location `cbor:"3,keyasint"`
		Revision       uint32          `cbor:"4,keyasint,omitempty"`
		Draining       bool            `cbor:"5,keyasint,omitempty"`
		Partitions     []wirePartition `cbor:"6,keyasint,omitempty"`
	}
)

func toWire(m *membership.Message) wireMessage {
	w := wireMessage{
		Kind:   uint8(m.Kind),
		Seq:    m.Seq,
		From:   string(m.From),
		To:     string(m.To),
		Target: string(m.Target),
		Last:   m.Last,
		Digest: digestToWire(&m.Digest),
	}
	for i := range m.Updates {
		w.Updates = append(w.Updates, updateToWire(&m.Updates[i]))
	}
	return w
}

func digestToWire(d *membership.Digest) wireDigest {
	w := wireDigest{
		Incarnation:       d.Incarnation,
		Sequence:          d.Sequence,
		Refutation:        d.Refutation,
		Revision:          d.Revision,
		ConfigVersion:     d.ConfigVersion,
		KnownVersion:      d.KnownVersion,
		StoreVersion:      d.StoreVersion,
		StoreAge:          ageToWire(d.StoreAge),
		EditInFlight:      d.EditInFlight,
		ConfirmsAuthority: d.ConfirmsAuthority,
		Draining:          d.Draining,
		Partitions:        partitionsToWire(d.Partitions),
		KnownHash:         d.KnownHash,
		ViewHash:          d.ViewHash,
	}
	for _, s := range d.Slots {
		w.Slots = append(w.Slots, wireSlots{Queue: string(s.Queue), Free: s.Free})
	}
	return w
}

// maxAgeMS is the largest age that StoreAge can carry. An older confirmation is sent as none.
const maxAgeMS = 1<<32 - 2

// ageToWire rounds up, so that no confirmation appears more recent than it is.
func ageToWire(age time.Duration) uint32 {
	if age < 0 {
		return 0
	}
	ms := (age + time.Millisecond - 1).Milliseconds()
	if ms > maxAgeMS {
		return 0
	}
	return uint32(ms) + 1
}

func ageFromWire(w uint32) time.Duration {
	if w == 0 {
		return membership.NoStoreAge
	}
	return time.Duration(w-1) * time.Millisecond
}

func partitionsToWire(partitions []membership.OwnedPartition) []wirePartition {
	var w []wirePartition
	for _, p := range partitions {
		w = append(w, wirePartition{ID: string(p.ID), Epoch: uint64(p.Epoch)})
	}
	return w
}

func updateToWire(u *membership.Update) wireUpdate {
	w := wireUpdate{
		ID:             string(u.Record.ID),
		Incarnation:    u.Record.Incarnation,
		State:          uint8(u.State),
		Refutation:     u.Refutation,
		Reporter:       string(u.Reporter),
		AcksSuppressed: u.AcksSuppressed,
	}
	if u.Full {
		w.Record = &wireRecord{
			Address:        u.Record.Address,
			RequestAddress: u.Record.RequestAddress,
			Location:       u.Record.Location,
			Revision:       u.Record.Revision,
			Draining:       u.Record.Draining,
			Partitions:     partitionsToWire(u.Record.Partitions),
		}
	}
	return w
}

func (w *wireMessage) toMessage() *membership.Message {
	m := &membership.Message{
		Kind:   membership.Kind(w.Kind),
		Seq:    w.Seq,
		From:   domain.InstanceID(w.From),
		To:     domain.InstanceID(w.To),
		Target: domain.InstanceID(w.Target),
		Last:   w.Last,
		Digest: w.Digest.toDigest(),
	}
	for i := range w.Updates {
		m.Updates = append(m.Updates, w.Updates[i].toUpdate())
	}
	return m
}

func (w *wireDigest) toDigest() membership.Digest {
	d := membership.Digest{
		Incarnation:       w.Incarnation,
		Sequence:          w.Sequence,
		Refutation:        w.Refutation,
		Revision:          w.Revision,
		ConfigVersion:     w.ConfigVersion,
		KnownVersion:      w.KnownVersion,
		StoreVersion:      w.StoreVersion,
		StoreAge:          ageFromWire(w.StoreAge),
		EditInFlight:      w.EditInFlight,
		ConfirmsAuthority: w.ConfirmsAuthority,
		Draining:          w.Draining,
		Partitions:        partitionsFromWire(w.Partitions),
		KnownHash:         w.KnownHash,
		ViewHash:          w.ViewHash,
	}
	for _, s := range w.Slots {
		d.Slots = append(d.Slots, membership.QueueSlots{Queue: domain.QueueID(s.Queue), Free: s.Free})
	}
	return d
}

func partitionsFromWire(w []wirePartition) []membership.OwnedPartition {
	var partitions []membership.OwnedPartition
	for _, p := range w {
		partitions = append(partitions, membership.OwnedPartition{
			ID:    domain.PartitionID(p.ID),
			Epoch: domain.Epoch(p.Epoch),
		})
	}
	return partitions
}

func (w *wireUpdate) toUpdate() membership.Update {
	u := membership.Update{
		Record:         membership.Record{ID: domain.InstanceID(w.ID), Incarnation: w.Incarnation},
		State:          membership.State(w.State),
		Refutation:     w.Refutation,
		Reporter:       domain.InstanceID(w.Reporter),
		AcksSuppressed: w.AcksSuppressed,
	}
	if r := w.Record; r != nil {
		u.Full = true
		u.Record.Address = r.Address
		u.Record.RequestAddress = r.RequestAddress
		u.Record.Location = r.Location
		u.Record.Revision = r.Revision
		u.Record.Draining = r.Draining
		u.Record.Partitions = partitionsFromWire(r.Partitions)
	}
	return u
}
