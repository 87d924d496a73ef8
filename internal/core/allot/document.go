// Package allot divides limits into integer amounts, each held by a holder:
// an instance, or a partition with its epoch. It does no I/O. One document contains
// the amounts of one kind, and each operation returns a new document that the caller
// writes by compare-and-swap.
//
// The invariant of a document is that the amounts of an item add up to at most
// its limit plus what is owed, that is, what holders still have above a lowered limit.
package allot

import (
	"fmt"
	"maps"
	"slices"
)

// Document contains the amounts of one kind: requests of teams, task resources of teams, or
// slots of the backend servers of a region.
type Document struct {
	// Config is the version of the configuration from which the limits were last set.
	Config  uint64            `json:"config"`
	Items   map[string]Item   `json:"items"`
	Holders map[string]Holder `json:"holders"`
}

// Item is a team or a backend server.
type Item struct {
	Limit Vector `json:"limit"`
	// Owed is what the holders together have above the limit after it was lowered.
	// While it is not zero, no holder's amount grows.
	Owed Vector            `json:"owed,omitzero"`
	Held map[string]Vector `json:"held,omitempty"`
	// Demand is what each holder last asked for, including its present amount.
	Demand map[string]Vector `json:"demand,omitempty"`
}

// Holder is a registered instance or partition, which may hold amounts.
type Holder struct {
	// Region is set for instances. Only an instance of the same region reclaims a holder.
	Region string `json:"region,omitempty"`
	// Epoch is set for partitions. It is the epoch of the present owner.
	Epoch uint64 `json:"epoch,omitempty"`
	// Revoked is set once the holder must not use its amounts any more. They still
	// count towards the limit until they are reclaimed.
	Revoked bool `json:"revoked,omitempty"`
}

// RevokedError reports that the holder was revoked or is not registered.
type RevokedError struct{ Holder string }

func (e *RevokedError) Error() string {
	return fmt.Sprintf("holder %s is revoked or not registered; join again as a new holder", e.Holder)
}

// EpochError reports that another owner has taken over the partition's amounts.
type EpochError struct {
	Holder  string
	Epoch   uint64
	Current uint64
}

func (e *EpochError) Error() string {
	return fmt.Sprintf("the amounts of partition %s belong to epoch %d, not %d; stop using them", e.Holder, e.Current, e.Epoch)
}

// New returns an empty document.
func New() Document {
	return Document{Items: make(map[string]Item), Holders: make(map[string]Holder)}
}

// Clone returns a copy that shares no memory with d.
func (d Document) Clone() Document {
	c := Document{Config: d.Config, Items: make(map[string]Item, len(d.Items)), Holders: maps.Clone(d.Holders)}
	if c.Holders == nil {
		c.Holders = make(map[string]Holder)
	}
	for name, it := range d.Items {
		c.Items[name] = it.clone()
	}
	return c
}

func (it Item) clone() Item {
	it.Held = maps.Clone(it.Held)
	it.Demand = maps.Clone(it.Demand)
	if it.Held == nil {
		it.Held = make(map[string]Vector)
	}
	if it.Demand == nil {
		it.Demand = make(map[string]Vector)
	}
	return it
}

// TotalHeld returns the sum of the amounts of all holders.
func (it Item) TotalHeld() Vector {
	var sum Vector
	for _, v := range it.Held {
		sum = sum.Add(v)
	}
	return sum
}

// Remainder returns the part of the limit that is not held.
func (it Item) Remainder() Vector { return it.Limit.Sub(it.TotalHeld()).Positive() }

// normalize recomputes Owed and deletes zero entries.
func (it *Item) normalize() {
	it.Owed = it.TotalHeld().Sub(it.Limit).Positive()
	for h, v := range it.Held {
		if v.IsZero() {
			delete(it.Held, h)
		}
	}
	for h, v := range it.Demand {
		if v.IsZero() {
			delete(it.Demand, h)
		}
	}
}

// Validate returns an error if the document violates its invariant.
func (d Document) Validate() error {
	for name, it := range d.Items {
		sum := it.TotalHeld()
		if !sum.AtMost(it.Limit.Add(it.Owed)) {
			return fmt.Errorf("the amounts of %s add up to %v, above the limit %v and the owed %v", name, sum, it.Limit, it.Owed)
		}
		for h, v := range it.Held {
			if v != v.Positive() {
				return fmt.Errorf("holder %s has a negative amount of %s: %v", h, name, v)
			}
			if _, ok := d.Holders[h]; !ok {
				return fmt.Errorf("holder %s of %s is not registered", h, name)
			}
		}
	}
	return nil
}

// holderNames returns the keys of a map in sorted order, so that every instance
// divides an item in the same way.
func holderNames(m map[string]Vector) []string { return slices.Sorted(maps.Keys(m)) }
