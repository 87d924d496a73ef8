package allot

import (
	"maps"
	"slices"
)

// Join registers an instance as a holder. It returns false if the holder is already
// registered.
func (d Document) Join(holder, region string) (Document, bool) {
	if _, ok := d.Holders[holder]; ok {
		return d, false
	}
	next := d.Clone()
	next.Holders[holder] = Holder{Region: region}
	return next, true
}

// SetEpoch records the epoch of a partition's new owner, which takes over the
// partition's amounts. It returns an EpochError unless the epoch is higher than the
// recorded one.
func (d Document) SetEpoch(partition string, epoch uint64) (Document, error) {
	if current := d.Holders[partition].Epoch; epoch <= current {
		return d, &EpochError{Holder: partition, Epoch: epoch, Current: current}
	}
	next := d.Clone()
	next.Holders[partition] = Holder{Epoch: epoch}
	return next, nil
}

// Authorize returns an error if the holder must not change its amounts any more.
func (d Document) Authorize(holder string, epoch uint64) error {
	h, ok := d.Holders[holder]
	if !ok || h.Revoked {
		return &RevokedError{Holder: holder}
	}
	if h.Epoch != epoch {
		return &EpochError{Holder: holder, Epoch: epoch, Current: h.Epoch}
	}
	return nil
}

// Revoke marks the holder as revoked. Its amounts still count towards the limits. It
// returns false if the holder is not registered or already revoked.
func (d Document) Revoke(holder string) (Document, bool) {
	h, ok := d.Holders[holder]
	if !ok || h.Revoked {
		return d, false
	}
	next := d.Clone()
	h.Revoked = true
	next.Holders[holder] = h
	return next, true
}

// Reclaim removes a revoked holder. Its amounts become part of the remainder.
// The caller must have proof that the holder has stopped using them, as section 5.4 of
// the design page requires. It returns false if the holder is not revoked.
func (d Document) Reclaim(holder string) (Document, bool) {
	if !d.Holders[holder].Revoked {
		return d, false
	}
	return d.drop(holder), true
}

// Leave removes a holder that has stopped using its amounts. It returns false if the
// holder is not registered or is revoked.
func (d Document) Leave(holder string) (Document, bool) {
	if h, ok := d.Holders[holder]; !ok || h.Revoked {
		return d, false
	}
	return d.drop(holder), true
}

func (d Document) drop(holder string) Document {
	next := d.Clone()
	delete(next.Holders, holder)
	for name, it := range next.Items {
		delete(it.Held, holder)
		delete(it.Demand, holder)
		it.normalize()
		next.Items[name] = it
	}
	return next
}

// RevokedHolders returns the names of the revoked holders in sorted order.
func (d Document) RevokedHolders() []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(d.Holders)) {
		if d.Holders[name].Revoked {
			list = append(list, name)
		}
	}
	return list
}

// Held returns the holder's amount of the item. A revoked holder has none.
func (d Document) Held(item, holder string) Vector {
	if d.Holders[holder].Revoked {
		return Vector{}
	}
	return d.Items[item].Held[holder]
}
