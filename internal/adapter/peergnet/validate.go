package peergnet

import (
	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/membership"
)

func (w *wireMessage) validate() error {
	if w.Kind < uint8(membership.KindPing) || w.Kind > uint8(membership.KindState) {
		return errors.Newf("unknown message kind %d", w.Kind)
	}
	if w.From == "" {
		return errors.New("message has no sender")
	}
	if err := validateNames(w.From, w.To, w.Target); err != nil {
		return err
	}
	if err := w.Digest.validate(); err != nil {
		return err
	}
	for i := range w.Updates {
		if err := w.Updates[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (w *wireDigest) validate() error {
	if w.Incarnation == 0 || w.Sequence == 0 {
		return errors.New("digest has no incarnation or no sequence number")
	}
	if len(w.Slots) > membership.MaxQueues {
		return errors.Newf("digest lists %d queues, more than allowed", len(w.Slots))
	}
	for _, s := range w.Slots {
		if err := validateNames(s.Queue); err != nil {
			return err
		}
	}
	return validatePartitions(w.Partitions)
}

func validatePartitions(partitions []wirePartition) error {
	if len(partitions) > membership.MaxPartitions {
		return errors.Newf("message lists %d partitions of an instance, more than allowed", len(partitions))
	}
	for _, p := range partitions {
		if err := validateNames(p.ID); err != nil {
			return err
		}
	}
	return nil
}

func (w *wireUpdate) validate() error {
	if w.ID == "" || w.Incarnation == 0 {
		return errors.New("update has no ID or no incarnation")
	}
	if w.State > uint8(membership.StateProvenDead) {
		return errors.Newf("unknown member state %d", w.State)
	}
	if err := validateNames(w.ID, w.Reporter); err != nil {
		return err
	}
	if w.Record == nil {
		return nil
	}
	r := w.Record
	if r.Address == "" {
		return errors.New("record has no address")
	}
	l := r.Location
	if err := validateNames(r.Address, r.RequestAddress, string(l.Region), string(l.Zone), string(l.Rack)); err != nil {
		return err
	}
	return validatePartitions(r.Partitions)
}

func validateNames(names ...string) error {
	for _, name := range names {
		if len(name) > membership.MaxNameBytes {
			return errors.Newf("a name has %d bytes, at most %d are allowed", len(name), membership.MaxNameBytes)
		}
	}
	return nil
}
