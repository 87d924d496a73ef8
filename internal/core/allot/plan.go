package allot

import (
	"maps"
	"slices"
)

// ItemUsage is how much of an item a holder uses and how much it asks for.
type ItemUsage struct {
	// InUse is what is running now or about to start. It is never taken from the holder.
	InUse Vector
	// Demand is what the holder could use, including InUse.
	Demand Vector
	// Floor is the minimum amount claimed from the remainder while the item is not
	// contended, so that the first request or task need not wait for a store write.
	Floor Vector
}

// HolderUsage is a holder on whose behalf a plan is made.
type HolderUsage struct {
	Holder string
	Epoch  uint64
	Items  map[string]ItemUsage
}

// Limits are the limits of the items as an instance knows them.
type Limits struct {
	// Config is the version of the configuration that the limits come from. The
	// limits of a newer configuration replace all others.
	Config uint64
	// FromList is set if the limits come from a list that may be outdated rather than
	// from the configuration, as those of backend servers do. They have no version: an
	// item is added with its first holder and removed with its last one.
	FromList bool
	Items    map[string]Vector
}

// Plan returns the document that the instance of the given holders should write: new
// limits, demands, amounts given to others, and claims of the remainder. It returns
// false if nothing changes. It lowers only the amounts of the given holders, and never
// below what they have in use.
func Plan(d Document, limits Limits, owns []HolderUsage) (Document, bool) {
	next := d.Clone()
	changed := !limits.FromList && next.setLimits(limits)
	for _, own := range owns {
		if d.Authorize(own.Holder, own.Epoch) != nil {
			continue
		}
		changed = limits.FromList && next.setListed(limits, own) || changed
		for _, name := range next.itemNames() {
			if _, listed := limits.Items[name]; limits.FromList && !listed {
				changed = next.returnUnlisted(name, own) || changed
				continue
			}
			changed = next.planItem(name, own) || changed
		}
	}
	return next, changed
}

func (d Document) itemNames() []string { return slices.Sorted(maps.Keys(d.Items)) }

// setLimits applies the limits of a newer configuration. The limit of an item that the
// configuration no longer has becomes zero, and the item is removed once nothing of it
// is held.
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
		changed = d.retireItem(name, it) || changed
	}
	return changed
}

func (d *Document) setLimit(name string, limit Vector) {
	it := d.Items[name].clone()
	it.Limit = limit
	it.normalize()
	d.Items[name] = it
}

func (d *Document) retireItem(name string, it Item) bool {
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

// setListed applies listed limits: it adds the items that the holder asks for, updates the
// limits of those that it holds, and removes unlisted items of which nothing is held.
func (d *Document) setListed(limits Limits, own HolderUsage) bool {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(limits.Items)) {
		it, present := d.Items[name]
		asked := !own.Items[name].Demand.IsZero()
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
// listed any more, so that the item can be removed.
func (d *Document) returnUnlisted(name string, own HolderUsage) bool {
	it := d.Items[name]
	inUse := own.Items[name].InUse
	if it.Held[own.Holder].AtMost(inUse) {
		return false
	}
	it.Held[own.Holder] = it.Held[own.Holder].Min(inUse)
	delete(it.Demand, own.Holder)
	it.normalize()
	d.Items[name] = it
	return true
}

// planItem plans one item for one holder.
func (d *Document) planItem(name string, own HolderUsage) bool {
	it := d.Items[name]
	use := own.Items[name]
	changed := it.recordDemand(own.Holder, use.Demand)
	entitled := d.entitled(it)
	if !it.Owed.IsZero() {
		changed = it.returnOwed(own.Holder, use.InUse) || changed
	} else {
		changed = d.transfer(&it, own.Holder, use.InUse, entitled) || changed
		changed = it.claim(own.Holder, entitled[own.Holder].Max(it.uncontendedFloor(use.Floor))) || changed
	}
	if !changed {
		return false
	}
	it.normalize()
	d.Items[name] = it
	return true
}

// entitled divides the part of the limit that revoked holders do not hold among the
// others.
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
	return Entitlements(limit.Positive(), demand)
}

// recordDemand records the holder's demand. A rise is recorded if the holder needs more
// than it has. A fall by a quarter or more is recorded if the item is contended, because
// an overstated demand would keep amounts from others. Smaller changes are
// not worth a store write each.
func (it *Item) recordDemand(holder string, demand Vector) bool {
	recorded := it.Demand[holder]
	held := it.Held[holder]
	rises, falls := false, false
	for c := range components {
		rises = rises || demand[c] > recorded[c] && demand[c] > held[c]
		falls = falls || demand[c]*4 <= recorded[c]*3 && recorded[c] > 0
	}
	if !rises && (!falls || !it.Contended()) {
		return false
	}
	it.Demand[holder] = demand
	return true
}

// uncontendedFloor returns the uncontendedFloor, or zero if the item is contended.
func (it Item) uncontendedFloor(floor Vector) Vector {
	if it.Contended() {
		return Vector{}
	}
	return floor
}

// returnOwed lowers the holder's amount by what it does not use, up to what is owed.
func (it *Item) returnOwed(holder string, inUse Vector) bool {
	spare := it.Held[holder].Sub(inUse).Positive().Min(it.Owed)
	if spare.IsZero() {
		return false
	}
	it.Held[holder] = it.Held[holder].Sub(spare)
	it.Owed = it.Owed.Sub(spare)
	return true
}

// transfer moves what the holder has above both its use and its entitlement to holders
// that are entitled to more than they have. It moves nothing that they can claim from
// the remainder.
func (d *Document) transfer(it *Item, holder string, inUse Vector, entitled map[string]Vector) bool {
	held := it.Held[holder]
	spare := held.Sub(inUse.Max(entitled[holder])).Positive()
	claimable := it.Remainder()
	changed := false
	for _, to := range holderNames(entitled) {
		if h, ok := d.Holders[to]; !ok || h.Revoked || to == holder {
			continue
		}
		want := entitled[to].Sub(it.Held[to]).Positive()
		covered := want.Min(claimable)
		claimable = claimable.Sub(covered)
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

// claim raises the holder's amount towards the target, as far as the remainder allows.
func (it *Item) claim(holder string, target Vector) bool {
	amount := target.Sub(it.Held[holder]).Positive().Min(it.Remainder())
	if amount.IsZero() {
		return false
	}
	it.Held[holder] = it.Held[holder].Add(amount)
	return true
}

// Allowance is how much of an item a holder may use.
type Allowance struct {
	// Amount bounds what may be running. Anything above it is to be stopped.
	Amount Vector
	// Frozen is set if nothing new may start, because the holders together
	// have more than a lowered limit.
	Frozen bool
}

// AllowanceOf returns the holder's allowance. limit is the limit of the
// configuration in force, which may be lower than that of a document that has
// not been updated yet. While the holders have more than the limit, nothing new may
// start. If stop is set, each holder is also limited to its part of the limit. Until
// then, holders return what they do not use, which may be enough.
func (d Document) AllowanceOf(item, holder string, limit Vector, stop bool) Allowance {
	held := d.Held(item, holder)
	it := d.Items[item]
	effective := it.Limit.Min(limit)
	if it.TotalHeld().AtMost(effective) {
		return Allowance{Amount: held}
	}
	if !stop {
		return Allowance{Amount: held, Frozen: true}
	}
	return Allowance{Amount: held.Min(Entitlements(effective, it.Held)[holder]), Frozen: true}
}
