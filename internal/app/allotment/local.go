package allotment

import (
	"fmt"

	"auburnpier/internal/core/allot"
)

// usage is one item at one local holder.
type usage struct {
	inUse allot.Vector
	// asked is the demand that the user stated, inUse included.
	asked allot.Vector
	// wanted tells that the plane looked at the allowance since the last round,
	// which it does to start work.
	wanted bool
	// peak follows the use down slowly, so that a pause between requests does
	// not give amounts away.
	peak int64
	// held is the amount in the document.
	held allot.Vector
	// planned is the part of it that the holder keeps in the transfer being made.
	planned allot.Vector
	// allowance is what may run now.
	allowance allot.Allowance
	// exposed is the most that the user may still act on. A user that plans
	// ahead may act on any allowance since the one that it last acknowledged.
	exposed allot.Vector
}

// hold takes the amount of a new document. An amount received adds to what is
// kept; a transfer being made goes on.
func (u *usage) hold(held allot.Vector) {
	received := held.Sub(u.held).Positive()
	u.planned = u.planned.Add(received).Min(held)
	u.held = held
}

// local is one holder of this instance.
type local struct {
	holder string
	epoch  uint64
	// base names the instance. A revoked holder joins again under a new name.
	base       string
	rejoins    int
	joined     bool // whether the document has shown the holder
	generation uint64
	items      map[string]*usage
}

func (lo *local) usage(item string) *usage {
	u, ok := lo.items[item]
	if !ok {
		u = &usage{}
		lo.items[item] = u
	}
	return u
}

// rename gives the holder the next name of its instance.
func (lo *local) rename() {
	lo.rejoins++
	lo.holder = fmt.Sprintf("%s.%d", lo.base, lo.rejoins)
	lo.joined = false
	for _, u := range lo.items {
		u.held = allot.Vector{}
		u.planned = allot.Vector{}
	}
}

// own returns the holder for a plan. With exposed set, what the user may still
// start counts as used.
func (lo *local) own(l *Ledger, exposed bool) allot.HolderUsage {
	own := allot.HolderUsage{Holder: lo.holder, Epoch: lo.epoch, Items: make(map[string]allot.ItemUsage, len(lo.items))}
	for item, u := range lo.items {
		use := allot.ItemUsage{InUse: u.inUse, Demand: l.demand(u), Floor: l.floor(item)}
		if exposed {
			use.InUse = use.InUse.Max(u.exposed)
		}
		own.Items[item] = use
	}
	return own
}

// headroomPart is the part of the recent peak that is asked for on top of it.
const headroomPart = 4

// demand returns what the user asks for, with headroom over the recent peak
// where it acquires one by one.
func (l *Ledger) demand(u *usage) allot.Vector {
	if !l.byPeak {
		return u.asked.Max(u.inUse)
	}
	if u.peak == 0 {
		return u.inUse
	}
	return allot.Units(u.peak + u.peak/headroomPart + 1).Max(u.inUse)
}

// age moves the peaks on by one round. A peak falls by an eighth each round, or
// by half while holders compete, so that amounts reach the busy ones in seconds.
func (l *Ledger) age() {
	for _, lo := range l.locals {
		for item, u := range lo.items {
			kept := u.peak * 7 / 8
			if l.doc.Items[item].Contended() {
				kept = u.peak / 2
			}
			u.peak = max(l.need(item, u), kept)
			u.wanted = false
		}
	}
}

// need returns the units that the user could use now. Where it does not say
// how much waits, a holder that uses all it has and tried to start more asks
// for the double, and for no less than an even part, so that a newly busy
// instance catches up.
func (l *Ledger) need(item string, u *usage) int64 {
	need := max(u.inUse[0], u.asked[0])
	if !u.wanted || need > u.inUse[0] || u.inUse[0] < u.allowance.Amount[0] {
		return need
	}
	even := l.doc.Items[item].Limit[0] / int64(max(len(l.doc.Holders), 1))
	return max(2*u.inUse[0], even, 1)
}

// floor returns the amount that each holder of an item keeps at hand while the
// item is not contended: a quarter of the limit over all holders together.
func (l *Ledger) floor(item string) allot.Vector {
	if !l.byPeak {
		return allot.Vector{}
	}
	holders := int64(max(len(l.doc.Holders), 1))
	limit := l.doc.Items[item].Limit[0]
	if limit < 2*holders {
		return allot.Vector{}
	}
	return allot.Units(max(limit/(4*holders), 1))
}
