package allotment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// round reads and writes the document if a change is due.
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
	l.observe() // counts every start that was decided on the higher amounts
	proposal, expected, ok := l.prepare()
	if !ok {
		return
	}
	l.write(ctx, proposal, expected)
}

// observe takes the use of the instance's units. The plane reads the allowances
// at each start, so it can act on the present ones only.
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

// due reports whether a plan on the document as it is known would change it.
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

// keepAll drops the transfers that are no longer wanted.
func (l *Ledger) keepAll() {
	for _, lo := range l.locals {
		for _, u := range lo.items {
			u.planned = u.held
		}
	}
	l.refresh()
}

// fetch reads the document. A round that is about to write reads first: with 8
// instances writing once a second, a document known from the watch is out of
// date too often for a compare-and-swap.
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
	if e.Revision == l.revision { // a lower revision is a stale answer
		l.shown(begun)
	}
	l.refresh()
	return nil
}

// lower lowers the amounts that are about to be given in memory. It comes
// before the write, so that the giver and the receiver never both use them.
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

// prepare returns the document to write. What a user may still start on an
// earlier allowance counts as used. A planner of partitions first has to report
// that it has seen the lower amount, so its transfer is written in a later round.
func (l *Ledger) prepare() (allot.Document, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	proposal, changed := l.propose(true)
	// A write of unknown outcome is overtaken by another one, if need be by one
	// that changes nothing.
	changed = changed || len(l.pending) > 0
	if !changed || l.clock.Now().Sub(l.lastWrite) < round {
		return allot.Document{}, 0, false
	}
	l.lastWrite = l.clock.Now()
	return proposal, l.revision, true
}

// rejoin gives a holder that was revoked or reclaimed a new name. What it has
// in use goes along and is claimed anew.
func (l *Ledger) rejoin() {
	for _, lo := range l.locals {
		h, ok := l.doc.Holders[lo.holder]
		if lo.base != "" && lo.joined && (!ok || h.Revoked) {
			l.metrics.Counter("allotment.rejoined").Inc(1)
			lo.rename()
		}
	}
}

// propose plans for the local holders. The caller holds the lock.
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

// write does one compare-and-swap and records what it means for the amounts.
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
		// The watch has already brought a later revision.
	case errors.As(err, &conflict):
		l.metrics.CountRetry(metrics.RetryStoreConflict)
		l.take(conflict.Current)
	case errors.As(err, &unknown):
		// Until the key leaves this revision, the write may take effect, so the
		// holders use only what they have both with and without it.
		l.metrics.CountRetry(metrics.RetryStoreUnknown)
		if l.revision == expected {
			l.pending = append(l.pending, proposal)
		}
	default:
		l.metrics.CountRetry(metrics.RetryStoreUnavailable)
	}
}
