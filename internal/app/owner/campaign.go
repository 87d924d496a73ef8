package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
)

// Intervals and timeouts of campaigning for the cell.
const (
	// claimWatchWait is how long a watch of the claim waits. The store may drop a waiting watch
	// silently, so it bounds how long a change goes unseen.
	claimWatchWait = 2 * time.Second
	// claimRetryPause is the pause after a store call that failed.
	claimRetryPause = 200 * time.Millisecond
	// claimJitter spreads the attempts of instances that see the cell become free at the same time.
	claimJitter = 60 * time.Millisecond
	// resignTimeout bounds how long a term may last after a shutdown was requested.
	resignTimeout = 1500 * time.Millisecond
)

// Ownership describes who owns the cell, as far as this instance knows.
type Ownership struct {
	// Claim is nil if no owner is known.
	Claim *Claim
	// Local is set if this instance owns the cell.
	Local *Cell
}

// Campaign watches the claim and takes over the cell whenever it is free, until ctx ends. config
// returns the current configuration or nil; publish is called with each change of ownership.
func (o *Owner) Campaign(ctx context.Context, config func() *port.CellConfig, publish func(Ownership)) {
	for ctx.Err() == nil {
		current, revision, after, err := FindClaim(ctx, o.store)
		if err != nil {
			ctxtime.Sleep(ctx, claimRetryPause)
			continue
		}
		if current != nil && !sameInstance(current, o.options.Instance, o.options.Address) {
			publish(Ownership{Claim: current})
			if !o.awaitClaimChange(ctx, current, after) {
				continue
			}
			revision = 0
		}
		// The cell is free, or its claim was made by a former process of this instance.
		publish(Ownership{})
		delay := o.options.ClaimDelay()
		if ctxtime.Sleep(ctx, delay+rand.N(claimJitter)); delay > 0 && o.claimedByOther(ctx, revision) {
			continue
		}
		o.claimAndServe(ctx, revision, config, publish)
	}
}

// claimedByOther reports whether the claim has changed during the delay. The check costs one read
// and avoids the calls of an attempt that would fail.
func (o *Owner) claimedByOther(ctx context.Context, revision int64) bool {
	_, now, _, err := FindClaim(ctx, o.store)
	return err == nil && now != revision
}

// awaitClaimChange returns once the claim may have changed, and reports whether it is known to have
// ended. In that case the caller need not list the claim again: its transaction is conditional on
// there being none.
func (o *Owner) awaitClaimChange(ctx context.Context, current *Claim, after int64) (ended bool) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go guard.RunWithRestart(watching, o.log, o.metrics, "owner_gone", func() { o.releaseClaimOnTermination(watching, current) })
	for ctx.Err() == nil {
		change, revision, err := watchClaim(ctx, o.store, after, claimWatchWait)
		if err != nil {
			ctxtime.Sleep(ctx, claimRetryPause)
			continue
		}
		if change != claimUnchanged {
			return change == claimEnded
		}
		after = revision
	}
	return false
}

// claimAndServe acquires the claim and runs the cell until the term ends.
func (o *Owner) claimAndServe(ctx context.Context, prevRevision int64, config func() *port.CellConfig, publish func(Ownership)) {
	t, err := o.acquireClaim(ctx, prevRevision)
	if err != nil {
		if !errors.Is(err, errClaimTaken) {
			o.log.Warn("failed to claim the cell", zap.Error(err))
			ctxtime.Sleep(ctx, claimRetryPause)
		}
		return
	}
	o.log.Info("reign begins", zap.Int64("epoch", t.epoch))
	// The term outlives ctx by the time that it takes to resign.
	cell := o.newCell(context.WithoutCancel(ctx), t, config())
	defer o.releaseClaim(t)
	// Renewal starts before recovery: with a slow store, listing the jobs of a large fleet may take
	// longer than the claim's time to live.
	go cell.renewClaim()
	// Calls that arrive before recovery is complete wait for it.
	claim := o.claimOf(t)
	publish(Ownership{Claim: &claim, Local: cell})
	defer publish(Ownership{})
	if err := cell.loadStateUntil(ctx); err != nil {
		o.log.Warn("failed to recover the state of the cell", zap.Error(err))
		cell.endTerm("recovery failed")
		close(cell.ended)
		return
	}
	stop := context.AfterFunc(ctx, func() {
		cell.Resign()
		time.AfterFunc(resignTimeout, func() { cell.endTerm("resigning took too long") })
	})
	defer stop()
	cell.configure(config())
	cell.run()
}

// releaseClaim frees the cell immediately, so that its successor need not wait for the claim to
// expire.
func (o *Owner) releaseClaim(t *term) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := o.store.RevokeLease(ctx, t.lease); err != nil {
		o.log.Info("failed to release the claim; it will expire", zap.Int64("epoch", t.epoch), zap.Error(err))
	}
}
