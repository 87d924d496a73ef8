package allot

import (
	"maps"
	"slices"
)

// Use is what a holder has running of an item and what it asks for.
type Use struct {
	// InUse is running now, or planned. The holder never gives it away.
	InUse Vector
	// Demand is what the holder can use, InUse included.
	Demand Vector
	// Floor is claimed from the remainder while the item is not contended, so
	// that the first piece of work need not wait for a store write.
	Floor Vector
}

// Own is one holder on whose behalf a plan is made.
type Own struct {
	Holder string
	Epoch  uint64
	Uses   map[string]Use
}

// Limits are the limits of the items that an instance knows.
type Limits struct {
	// Config is the configuration version that the limits come from. The
	// limits of a newer configuration replace all others.
	Config uint64
	// Listed tells that the limits come from a lagging list in place of the
	// configuration, as those of backend servers do. They have no version: an
	// item appears with its first holder and goes with its last one.
	Listed bool
	Items  map[string]Vector
}

// Plan returns the document that a holder's instance would write: new limits,
// demands, amounts given to others, and claims of the remainder. It returns
// false where nothing would change. It lowers only the amounts of the given
// holders, never below what they have in use.
func Plan(d Document, limits Limits, owns []Own) (Document, bool) {
	next := d.Clone()
	changed := !limits.Listed && next.setLimits(limits)
	for _, own := range owns {
		if d.Authorize(own.Holder, own.Epoch) != nil {
			continue
		}
		changed = limits.Listed && next.setListed(limits, own) || changed
		for _, name := range next.itemNames() {
			if _, listed := limits.Items[name]; limits.Listed && !listed {
				changed = next.returnUnlisted(name, own) || changed
				continue
			}
			changed = next.planItem(name, own) || changed
		}
	}
	return next, changed
}

func (d Document) itemNames() []string { return slices.Sorted(maps.Keys(d.Items)) }

// setLimits takes the limits of a newer configuration. An item without a limit
// goes to zero and is removed once no holder has any of it.
func (d *Document) setLimits(limits Limits) bool {
	changed := false
	if limits.Config > d.Config {
		d.Config = limits.Config
		changed = true
		for name, limit := range limits.Items {
			d.setLimit(name, limit)
		}
	}
	if limits.Config < d.Config {
		return false
	}
	for name, it := range d.Items {
		if _, ok := limits.Items[name]; ok {
			continue
		}
		changed = d.retire(name, it) || changed
	}
	return changed
}

func (d *Document) setLimit(name string, limit Vector) {
	it := d.Items[name].clone()
	it.Limit = limit
	it.settle()
	d.Items[name] = it
}

func (d *Document) retire(name string, it Item) bool {
	if len(it.Held) == 0 {
		delete(d.Items, name)
		return true
	}
	if it.Limit.IsZero() {
		return false
	}
	d.setLimit(name, Vector{})
	return true
}

// setListed adds the items that a holder asks for, sets the limit of those
// that it has, and drops those that no one has.
func (d *Document) setListed(limits Limits, own Own) bool {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(limits.Items)) {
		it, present := d.Items[name]
		asked := !own.Uses[name].Demand.IsZero()
		if present && (it.Limit == limits.Items[name] || it.Held[own.Holder].IsZero()) {
			continue
		}
		if present || asked {
			d.setLimit(name, limits.Items[name])
			changed = true
		}
	}
	for name, it := range d.Items {
		if _, ok := limits.Items[name]; !ok && len(it.Held) == 0 {
			delete(d.Items, name)
			changed = true
		}
	}
	return changed
}

// returnUnlisted returns what the holder does not use of an item that is not
// listed any more, so that the item can go.
func (d *Document) returnUnlisted(name string, own Own) bool {
	it := d.Items[name]
	inUse := own.Uses[name].InUse
	if it.Held[own.Holder].AtMost(inUse) {
		return false
	}
	it.Held[own.Holder] = it.Held[own.Holder].Min(inUse)
	delete(it.Demand, own.Holder)
	it.settle()
	d.Items[name] = it
	return true
}

// planItem plans one item for one holder.
func (d *Document) planItem(name string, own Own) bool {
	it := d.Items[name]
	use := own.Uses[name]
	changed := it.publish(own.Holder, use.Demand)
	entitled := d.entitled(it)
	if !it.Owed.IsZero() {
		changed = it.payOwed(own.Holder, use.InUse) || changed
	} else {
		changed = d.give(&it, own.Holder, use.InUse, entitled) || changed
		changed = it.claim(own.Holder, entitled[own.Holder].Max(it.floor(use.Floor))) || changed
	}
	if !changed {
		return false
	}
	it.settle()
	d.Items[name] = it
	return true
}

// entitled divides what revoked holders do not have.
func (d *Document) entitled(it Item) map[string]Vector {
	limit := it.Limit
	demand := make(map[string]Vector, len(it.Demand))
	for h, v := range it.Demand {
		if !d.Holders[h].Revoked {
			demand[h] = v
		}
	}
	for h, v := range it.Held {
		if d.Holders[h].Revoked {
			limit = limit.Sub(v)
		}
	}
	return Entitled(limit.Positive(), demand)
}

// publish records the demand. A rise is recorded where the holder needs more
// than it has. A fall by a quarter or more is recorded where others compete,
// because an overstated demand would keep amounts from them. Smaller changes
// would cost a store write each and move little.
func (it *Item) publish(holder string, demand Vector) bool {
	published := it.Demand[holder]
	held := it.Held[holder]
	rises, falls := false, false
	for c := range dims {
		rises = rises || demand[c] > published[c] && demand[c] > held[c]
		falls = falls || demand[c]*4 <= published[c]*3 && published[c] > 0
	}
	if !rises && (!falls || !it.Contended()) {
		return false
	}
	it.Demand[holder] = demand
	return true
}

// floor returns the floor where the item is not contended.
func (it Item) floor(floor Vector) Vector {
	if it.Contended() {
		return Vector{}
	}
	return floor
}

// payOwed lowers the holder's amount by what it has above its use, as far as
// something is owed.
func (it *Item) payOwed(holder string, inUse Vector) bool {
	spare := it.Held[holder].Sub(inUse).Positive().Min(it.Owed)
	if spare.IsZero() {
		return false
	}
	it.Held[holder] = it.Held[holder].Sub(spare)
	it.Owed = it.Owed.Sub(spare)
	return true
}

// give moves what the holder has above its use and its part to holders that
// are entitled to more than they have. What the remainder can cover is left
// for them to claim.
func (d *Document) give(it *Item, holder string, inUse Vector, entitled map[string]Vector) bool {
	held := it.Held[holder]
	spare := held.Sub(inUse.Max(entitled[holder])).Positive()
	cover := it.Remainder()
	changed := false
	for _, to := range holderNames(entitled) {
		if h, ok := d.Holders[to]; !ok || h.Revoked || to == holder {
			continue
		}
		want := entitled[to].Sub(it.Held[to]).Positive()
		covered := want.Min(cover)
		cover = cover.Sub(covered)
		amount := want.Sub(covered).Min(spare)
		if amount.IsZero() {
			continue
		}
		spare = spare.Sub(amount)
		it.Held[holder] = it.Held[holder].Sub(amount)
		it.Held[to] = it.Held[to].Add(amount)
		changed = true
	}
	return changed
}

// claim takes from the remainder up to the target.
func (it *Item) claim(holder string, target Vector) bool {
	amount := target.Sub(it.Held[holder]).Positive().Min(it.Remainder())
	if amount.IsZero() {
		return false
	}
	it.Held[holder] = it.Held[holder].Add(amount)
	return true
}

// Allowance is what a holder may have running of an item.
type Allowance struct {
	// Amount bounds what may run. Work above it is to be stopped.
	Amount Vector
	// Frozen tells that no new work may start, because the holders together
	// have more than a lowered limit.
	Frozen bool
}

// AllowanceOf returns the holder's allowance. limit is the limit of the
// configuration in force, which may be lower than that of a document that has
// not been rewritten yet. While the holders have more than the limit, nothing
// starts. Once stop is set, each is also held to its part of the limit; before
// that, holders first return what they do not use, which may be enough.
func (d Document) AllowanceOf(item, holder string, limit Vector, stop bool) Allowance {
	held := d.Held(item, holder)
	it := d.Items[item]
	effective := it.Limit.Min(limit)
	if it.Sum().AtMost(effective) {
		return Allowance{Amount: held}
	}
	if !stop {
		return Allowance{Amount: held, Frozen: true}
	}
	return Allowance{Amount: held.Min(Entitled(effective, it.Held)[holder]), Frozen: true}
}
