package allotment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// round reads and rewrites the document if a change is due.
func (l *Ledger) round(ctx context.Context) {
	l.observe()
	if !l.isChangeDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := l.fetch(ctx); err != nil {
		l.metrics.CountRetry(metrics.RetryStoreUnavailable)
		return
	}
	l.lowerAllowances()
	l.observe() // includes every start that was decided on the higher amounts
	proposal, expected, ok := l.prepareWrite()
	if !ok {
		return
	}
	l.write(ctx, proposal, expected)
}

// observe updates the instance's use. The plane reads the allowance at each start, so
// it can act only on the current ones.
func (l *Ledger) observe() {
	if l.usage == nil {
		return
	}
	uses := l.usage()
	l.mu.Lock()
	defer l.mu.Unlock()
	lo := l.instance()
	if lo == nil {
		return
	}
	for item := range uses {
		lo.item(item)
	}
	for item, u := range lo.items {
		use := uses[item]
		u.inUse = allot.Units(use.InUse)
		if l.byPeak {
			u.reportedDemand = allot.Units(use.InUse + use.Waiting)
		}
		u.maxUsable = u.allowance.Amount
	}
}

// isChangeDue reports whether a plan based on the last known document would change it.
func (l *Ledger) isChangeDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.localHolders) == 0 || !l.loaded {
		return false
	}
	l.rejoin()
	l.decayPeaks()
	l.refresh()
	if len(l.pending) > 0 {
		return true
	}
	_, changed := l.propose(false)
	if !changed {
		l.cancelTransfers()
	}
	return changed
}

// cancelTransfers cancels planned transfers that are no longer needed.
func (l *Ledger) cancelTransfers() {
	for _, lo := range l.localHolders {
		for _, u := range lo.items {
			u.kept = u.held
		}
	}
	l.refresh()
}

// fetch reads the document from the store. A round that is about to write reads it
// first: with 8 instances writing once a second, the document known from the watch is
// too often out of date for a compare-and-swap to succeed.
func (l *Ledger) fetch(ctx context.Context) error {
	begun := l.clock.Now()
	e, err := l.store.Get(ctx, l.key)
	var missing *port.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyEntry(e)
	if e.Revision == l.revision { // a lower revision is a stale response
		l.recordRead(begun)
	}
	l.refresh()
	return nil
}

// lowerAllowances reduces the allowances in memory by the amounts that are about to be
// transferred. It runs before the write, so that the giver and the receiver never both
// use an amount.
func (l *Ledger) lowerAllowances() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejoin()
	proposal, _ := l.propose(false)
	for _, lo := range l.localHolders {
		for item, u := range lo.items {
			u.kept = u.held.Min(proposal.Held(item, lo.holder))
		}
	}
	l.refresh()
}

// prepareWrite returns the document to write and the revision that it replaces, or false if
// no write is due. What a plane may still start on an earlier allowance counts as in use.
// The task plane has to report first that it has read the lowered allowance, so its
// transfer is written in a later round.
func (l *Ledger) prepareWrite() (allot.Document, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proposal, changed := l.propose(true)
	// A write of unknown outcome is superseded by another write, if necessary by one
	// that changes nothing.
	changed = changed || len(l.pending) > 0
	if !changed || l.clock.Now().Sub(l.lastWrite) < roundInterval {
		return allot.Document{}, 0, false
	}
	l.lastWrite = l.clock.Now()
	return proposal, l.revision, true
}

// rejoin gives a new name to an instance whose holder was revoked or reclaimed. What it
// has in use moves to the new holder and is claimed again.
func (l *Ledger) rejoin() {
	for _, lo := range l.localHolders {
		h, ok := l.doc.Holders[lo.holder]
		if lo.base != "" && lo.joined && (!ok || h.Revoked) {
			l.metrics.Counter("allotment.rejoined").Inc(1)
			lo.nextHolderName()
		}
	}
}

// propose plans the next document for the local holders and reports whether it differs.
// The caller holds the lock.
func (l *Ledger) propose(includeUsable bool) (allot.Document, bool) {
	doc, changed := l.doc, false
	var usages []allot.HolderUsage
	for _, name := range l.localHolderNames() {
		lo := l.localHolders[name]
		if lo.base != "" {
			var joined bool
			doc, joined = doc.Join(lo.holder, l.region)
			changed = changed || joined
		}
		usages = append(usages, lo.holderUsage(l, includeUsable))
	}
	next, planned := allot.Plan(doc, l.limits(), usages)
	return next, changed || planned
}

// write writes the proposal and applies the outcome to the amounts.
func (l *Ledger) write(ctx context.Context, proposal allot.Document, expected int64) {
	value, err := allot.Encode(proposal)
	if err != nil {
		l.log.Error(err.Error())
		return
	}
	_ = l.swap(ctx, proposal, value, expected)
}

// swap makes one compare-and-swap of a document and its encoding, and applies its outcome to the amounts.
func (l *Ledger) swap(ctx context.Context, next allot.Document, value []byte, expected int64) error {
	began := l.clock.Now()
	revision, err := l.store.CompareAndSwap(ctx, l.key, expected, value)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyWriteOutcome(next, expected, revision, began, err)
	l.refresh()
	return err
}

func (l *Ledger) applyWriteOutcome(proposal allot.Document, expected, revision int64, began time.Time, err error) {
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	switch {
	case err == nil && revision > l.revision:
		l.setDocument(proposal, revision)
		l.lastRead = later(l.lastRead, began)
	case err == nil:
		// The watch has already delivered a later revision.
	case errors.As(err, &conflict):
		l.metrics.CountRetry(metrics.RetryStoreConflict)
		l.applyEntry(conflict.Current)
	case errors.As(err, &unknown):
		// The write may still take effect until the key has another revision, so the
		// holders use only what they hold both with and without it.
		l.metrics.CountRetry(metrics.RetryStoreUnknown)
		if l.revision == expected {
			l.pending = append(l.pending, proposal)
		}
	default:
		l.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
}
