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
	if !l.due() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.fetch(ctx); err != nil {
		l.metrics.CountRetry(metrics.RetryStoreUnavailable)
		return
	}
	l.lower()
	l.observe() // includes every start that was decided on the higher amounts
	proposal, expected, ok := l.prepare()
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
		lo.usage(item)
	}
	for item, u := range lo.items {
		use := uses[item]
		u.inUse = allot.Units(use.InUse)
		if l.byPeak {
			u.asked = allot.Units(use.InUse + use.Waiting)
		}
		u.exposed = u.allowance.Amount
	}
}

// due reports whether a plan based on the last known document would change it.
func (l *Ledger) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.locals) == 0 || !l.seen {
		return false
	}
	l.rejoin()
	l.age()
	l.refresh()
	if len(l.pending) > 0 {
		return true
	}
	_, changed := l.propose(false)
	if !changed {
		l.keepAll()
	}
	return changed
}

// keepAll cancels planned transfers that are no longer needed.
func (l *Ledger) keepAll() {
	for _, lo := range l.locals {
		for _, u := range lo.items {
			u.planned = u.held
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
	l.take(e)
	if e.Revision == l.revision { // a lower revision is a stale response
		l.shown(begun)
	}
	l.refresh()
	return nil
}

// lower reduces the allowances in memory by the amounts that are about to be
// transferred. It runs before the write, so that the giver and the receiver never both
// use an amount.
func (l *Ledger) lower() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejoin()
	wanted, _ := l.propose(false)
	for _, lo := range l.locals {
		for item, u := range lo.items {
			u.planned = u.held.Min(wanted.Held(item, lo.holder))
		}
	}
	l.refresh()
}

// prepare returns the document to write and the revision that it replaces, or false if
// no write is due. What a plane may still start on an earlier allowance counts as in use.
// The task plane has to report first that it has read the lowered allowance, so its
// transfer is written in a later round.
func (l *Ledger) prepare() (allot.Document, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proposal, changed := l.propose(true)
	// A write of unknown outcome is superseded by another write, if necessary by one
	// that changes nothing.
	changed = changed || len(l.pending) > 0
	if !changed || l.clock.Now().Sub(l.lastWrite) < round {
		return allot.Document{}, 0, false
	}
	l.lastWrite = l.clock.Now()
	return proposal, l.revision, true
}

// rejoin gives a new name to an instance whose holder was revoked or reclaimed. What it
// has in use moves to the new holder and is claimed again.
func (l *Ledger) rejoin() {
	for _, lo := range l.locals {
		h, ok := l.doc.Holders[lo.holder]
		if lo.base != "" && lo.joined && (!ok || h.Revoked) {
			l.metrics.Counter("allotment.rejoined").Inc(1)
			lo.rename()
		}
	}
}

// propose plans the next document for the local holders and reports whether it differs.
// The caller holds the lock.
func (l *Ledger) propose(exposed bool) (allot.Document, bool) {
	doc, changed := l.doc, false
	var owns []allot.HolderUsage
	for _, name := range l.names() {
		lo := l.locals[name]
		if lo.base != "" {
			var joined bool
			doc, joined = doc.Join(lo.holder, l.region)
			changed = changed || joined
		}
		owns = append(owns, lo.own(l, exposed))
	}
	next, planned := allot.Plan(doc, l.limits(), owns)
	return next, changed || planned
}

// write makes one compare-and-swap and applies its outcome to the amounts.
func (l *Ledger) write(ctx context.Context, proposal allot.Document, expected int64) {
	value, err := allot.Encode(proposal)
	if err != nil {
		l.log.Error(err.Error())
		return
	}
	began := l.clock.Now()
	revision, err := l.store.CompareAndSwap(ctx, l.key, expected, value)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(proposal, expected, revision, began, err)
	l.refresh()
}

func (l *Ledger) settle(proposal allot.Document, expected, revision int64, began time.Time, err error) {
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	switch {
	case err == nil && revision > l.revision:
		l.adopt(proposal, revision)
		l.read = later(l.read, began)
	case err == nil:
		// The watch has already delivered a later revision.
	case errors.As(err, &conflict):
		l.metrics.CountRetry(metrics.RetryStoreConflict)
		l.take(conflict.Current)
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
