package allotment

import (
	"fmt"

	"auburnpier/internal/core/allot"
)

// itemState is the state of one item at one local holder.
type itemState struct {
	inUse allot.Vector
	// reportedDemand is the demand that the plane reported, including inUse.
	reportedDemand allot.Vector
	// allowanceRead is set when the plane reads the allowance, which it does to start work.
	// Each round clears it.
	allowanceRead bool
	// peak is the recent peak of use. It decays slowly, so that a pause between
	// requests does not cause amounts to be transferred away.
	peak int64
	// held is the holder's amount in the document.
	held allot.Vector
	// kept is the part of held that remains after the planned transfer.
	kept allot.Vector
	// allowance is the amount that may currently be in use.
	allowance allot.Allowance
	// maxUsable is the largest allowance that the plane may still act on. A plane that
	// plans ahead may act on any allowance since the one that it last acknowledged.
	maxUsable allot.Vector
}

// setHeld sets the amount from a new document. A received amount is added to kept; a
// planned transfer continues.
func (u *itemState) setHeld(held allot.Vector) {
	received := held.Sub(u.held).Positive()
	u.kept = u.kept.Add(received).Min(held)
	u.held = held
}

// localHolder is a holder that this instance acts for: the instance itself or a partition.
type localHolder struct {
	holder string
	epoch  uint64
	// base is the name of the instance, or empty for a partition. A revoked instance
	// joins again under a new holder name.
	base       string
	rejoins    int
	joined     bool // whether the holder has appeared in the document
	generation uint64
	items      map[string]*itemState
}

func (lo *localHolder) item(item string) *itemState {
	u, ok := lo.items[item]
	if !ok {
		u = &itemState{}
		lo.items[item] = u
	}
	return u
}

// nextHolderName sets the next holder name of the instance and clears its amounts.
func (lo *localHolder) nextHolderName() {
	lo.rejoins++
	lo.holder = fmt.Sprintf("%s.%d", lo.base, lo.rejoins)
	lo.joined = false
	for _, u := range lo.items {
		u.held = allot.Vector{}
		u.kept = allot.Vector{}
	}
}

// holderUsage returns the holder's usage for a plan. If includeUsable is set,
// what the plane may still start counts as in use.
func (lo *localHolder) holderUsage(l *Ledger, includeUsable bool) allot.HolderUsage {
	own := allot.HolderUsage{Holder: lo.holder, Epoch: lo.epoch, Items: make(map[string]allot.ItemUsage, len(lo.items))}
	for item, u := range lo.items {
		use := allot.ItemUsage{InUse: u.inUse, Demand: l.demand(u), Floor: l.floor(item)}
		if includeUsable {
			use.InUse = use.InUse.Max(u.maxUsable)
		}
		own.Items[item] = use
	}
	return own
}

// peakHeadroomDivisor is the divisor of the recent peak that gives the additional headroom: a
// quarter of the peak.
const peakHeadroomDivisor = 4

// demand returns the reported demand, or the recent peak plus headroom where units are
// acquired one at a time (ByPeak).
func (l *Ledger) demand(u *itemState) allot.Vector {
	if !l.byPeak {
		return u.reportedDemand.Max(u.inUse)
	}
	if u.peak == 0 {
		return u.inUse
	}
	return allot.Units(u.peak + u.peak/peakHeadroomDivisor + 1).Max(u.inUse)
}

// decayPeaks decays the peaks by one round. A peak falls by an eighth per round, or by half
// while the item is contended, so that amounts reach the busy holders within seconds.
func (l *Ledger) decayPeaks() {
	for _, lo := range l.localHolders {
		for item, u := range lo.items {
			kept := u.peak * 7 / 8
			if l.doc.Items[item].Contended() {
				kept = u.peak / 2
			}
			u.peak = max(l.estimateNeed(item, u), kept)
			u.allowanceRead = false
		}
	}
}

// estimateNeed estimates the units that the holder could use now. If the amount of waiting work
// is unknown, a holder that uses its whole allowance and tried to start more needs twice
// its use, and at least an even share of the limit, so that a newly busy instance
// catches up.
func (l *Ledger) estimateNeed(item string, u *itemState) int64 {
	need := max(u.inUse[0], u.reportedDemand[0])
	if !u.allowanceRead || need > u.inUse[0] || u.inUse[0] < u.allowance.Amount[0] {
		return need
	}
	even := l.doc.Items[item].Limit[0] / int64(max(len(l.doc.Holders), 1))
	return max(2*u.inUse[0], even, 1)
}

// floor returns the amount that each holder of an item keeps in reserve while the item
// is not contended. The floors of all holders add up to a quarter of the limit.
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
