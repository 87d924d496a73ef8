package peergnet

import (
	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/membership"
)

func (w *wireMessage) validate() error {
	if w.Kind < uint8(membership.KindPing) || w.Kind > uint8(membership.KindState) {
		return errors.Newf("kind %d is unknown", w.Kind)
	}
	if w.From == "" {
		return errors.New("the sender is missing")
	}
	if err := shortNames(w.From, w.To, w.Target); err != nil {
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
	if w.Incarnation == 0 || w.Count == 0 {
		return errors.New("the incarnation or the count of the sender is missing")
	}
	if len(w.Slots) > membership.MaxQueues {
		return errors.Newf("%d queues are listed", len(w.Slots))
	}
	for _, s := range w.Slots {
		if err := shortNames(s.Queue); err != nil {
			return err
		}
	}
	return validatePartitions(w.Partitions)
}

func validatePartitions(partitions []wirePartition) error {
	if len(partitions) > membership.MaxPartitions {
		return errors.Newf("%d partitions are listed", len(partitions))
	}
	for _, p := range partitions {
		if err := shortNames(p.ID); err != nil {
			return err
		}
	}
	return nil
}

func (w *wireUpdate) validate() error {
	if w.ID == "" || w.Incarnation == 0 {
		return errors.New("the ID or the incarnation of an update is missing")
	}
	if w.State > uint8(membership.StateProvenDead) {
		return errors.Newf("state %d is unknown", w.State)
	}
	if err := shortNames(w.ID, w.Accuser); err != nil {
		return err
	}
	if w.Record == nil {
		return nil
	}
	r := w.Record
	if r.Address == "" {
		return errors.New("the address of a record is missing")
	}
	l := r.Location
	if err := shortNames(r.Address, r.RequestAddress, string(l.Region), string(l.Zone), string(l.Rack)); err != nil {
		return err
	}
	return validatePartitions(r.Partitions)
}

func shortNames(names ...string) error {
	for _, name := range names {
		if len(name) > membership.MaxNameBytes {
			return errors.Newf("a name has %d bytes, at most %d are allowed", len(name), membership.MaxNameBytes)
		}
	}
	return nil
}
