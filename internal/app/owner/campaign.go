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

// Figures of the campaign for the cell.
const (
	// claimWatchWait is how long a watch of the claim waits, for the same reason as the registry's.
	claimWatchWait = 2 * time.Second
	// claimRetry is the pause after a store call without an answer.
	claimRetry = 200 * time.Millisecond
	// claimJitter spreads the claims of instances that see the cell free at once.
	claimJitter = 60 * time.Millisecond
	// resignTimeout bounds the end of a reign at a shutdown.
	resignTimeout = 1500 * time.Millisecond
)

// Seat is who owns the cell, as far as this instance knows.
type Seat struct {
	// Claim is nil where no owner is known.
	Claim *Claim
	// Local is set where this instance owns the cell.
	Local *Cell
}

// Campaign follows the claim and takes the cell when it is free, until ctx
// ends. Config returns the present configuration or nil; publish is told each
// change of the seat.
func (o *Owner) Campaign(ctx context.Context, config func() *port.CellConfig, publish func(Seat)) {
	for ctx.Err() == nil {
		current, revision, after, err := FindClaim(ctx, o.store)
		if err != nil {
			ctxtime.Sleep(ctx, claimRetry)
			continue
		}
		if current != nil && !sameVM(current, o.options.Instance, o.options.Address) {
			publish(Seat{Claim: current})
			if !o.awaitChange(ctx, current, after) {
				continue
			}
			revision = 0
		}
		// The cell is free, or its claim is that of a process of this address that has ended.
		publish(Seat{})
		delay := o.options.ClaimDelay()
		if ctxtime.Sleep(ctx, delay+rand.N(claimJitter)); delay > 0 && o.claimedByOther(ctx, revision) {
			continue
		}
		o.tryReign(ctx, revision, config, publish)
	}
}

// claimedByOther reports whether the claim has changed during the delay. The
// check costs a read and saves those of a claim that fails.
func (o *Owner) claimedByOther(ctx context.Context, revision int64) bool {
	_, now, _, err := FindClaim(ctx, o.store)
	return err == nil && now != revision
}

// awaitChange returns once the claim may have changed, and reports whether it
// is known to have ended. The claim's condition still finds one made since, so
// it need not be listed first.
func (o *Owner) awaitChange(ctx context.Context, current *Claim, after int64) (ended bool) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go guard.Keep(watching, o.log, o.metrics, "owner_gone", func() { o.endClaimsOfGone(watching, current) })
	for ctx.Err() == nil {
		change, revision, err := watchClaim(ctx, o.store, after, claimWatchWait)
		if err != nil {
			ctxtime.Sleep(ctx, claimRetry)
			continue
		}
		if change != claimKept {
			return change == claimEnded
		}
		after = revision
	}
	return false
}

// tryReign claims the cell and runs it until the reign ends.
func (o *Owner) tryReign(ctx context.Context, former int64, config func() *port.CellConfig, publish func(Seat)) {
	r, err := o.claim(ctx, former)
	if err != nil {
		if !errors.Is(err, errNotClaimed) {
			o.log.Warn("cell not claimed", zap.Error(err))
			ctxtime.Sleep(ctx, claimRetry)
		}
		return
	}
	o.log.Info("reign begins", zap.Int64("epoch", r.epoch))
	// The reign outlives ctx by the time that it takes to resign.
	cell := o.newCell(context.WithoutCancel(ctx), r, config())
	defer o.endClaim(r)
	// The claim is kept from here on: a slow store may take longer than the claim
	// lives to list the jobs of a large fleet.
	go cell.keepClaim()
	// Calls that come meanwhile wait for the recovery.
	claim := o.claimOf(r)
	publish(Seat{Claim: &claim, Local: cell})
	defer publish(Seat{})
	if err := cell.recoverUntil(ctx); err != nil {
		o.log.Warn("cell not recovered", zap.Error(err))
		cell.end("not recovered")
		close(cell.ended)
		return
	}
	stop := context.AfterFunc(ctx, func() {
		cell.Resign()
		time.AfterFunc(resignTimeout, func() { cell.end("resigning took too long") })
	})
	defer stop()
	cell.configure(config())
	cell.run()
}

// endClaim frees the cell at once, so that another instance need not wait for the claim to expire.
func (o *Owner) endClaim(r *reign) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := o.store.RevokeLease(ctx, r.lease); err != nil {
		o.log.Info("claim not ended, it expires by itself", zap.Int64("epoch", r.epoch), zap.Error(err))
	}
}
