package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/port"
)

// Figures of proving that the owner's process has ended.
const (
	// probesOfGone is how many probes in a row must find no process, so that none
	// of a reign depends on one answer.
	probesOfGone = 2
	probePause   = 40 * time.Millisecond
	probeTime    = 300 * time.Millisecond
	// probeAgain is the least time between two proofs, so that many broken calls
	// are no load on the owner.
	probeAgain = 250 * time.Millisecond
	// goneJitter spreads the instances that notice at once: the first one ends the
	// claim and the others see it.
	goneJitter = 50 * time.Millisecond
)

// Suspect tells that calls to the instance at address fail. Where it holds the
// claim, it is asked, and its claim is ended if its process has certainly ended.
func (o *Owner) Suspect(address string) {
	select {
	case o.suspected <- address:
	default:
	}
}

// endClaimsOfGone ends the claim once its process is proven gone, so that
// nobody waits for the claim to expire. A process that is silent, frozen or cut
// off keeps its claim until then.
func (o *Owner) endClaimsOfGone(ctx context.Context, c *Claim) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-o.suspected:
			if address != c.Address || c.Lease == 0 {
				continue
			}
			if !o.processGone(ctx, address) {
				ctxtime.Sleep(ctx, probeAgain)
				continue
			}
		}
		if !ctxtime.Sleep(ctx, rand.N(goneJitter)) {
			return
		}
		o.log.Info("owner's process is gone", zap.String("owner", string(c.Instance)), zap.Int64("epoch", c.Epoch))
		o.metrics.Counter("owner.gone").Inc(1)
		if err := o.store.RevokeLease(ctx, c.Lease); err != nil && ctx.Err() == nil {
			o.log.Info("claim of a process that is gone was not ended", zap.Error(err))
		}
	}
}

// processGone reports whether no process serves the address any more.
func (o *Owner) processGone(ctx context.Context, address string) bool {
	if o.probe == nil {
		return false
	}
	for n := range probesOfGone {
		if n > 0 && !ctxtime.Sleep(ctx, probePause) {
			return false
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTime)
		err := o.probe(probeCtx, address)
		cancel()
		var gone *port.ProcessTerminatedError
		if !errors.As(err, &gone) {
			return false
		}
	}
	return true
}
