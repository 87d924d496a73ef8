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

// Parameters of detecting that the owner's process has terminated.
const (
	// requiredRefusals is how many consecutive probes must find no process, so that no term is
	// ended because of a single answer.
	requiredRefusals = 2
	probePause       = 40 * time.Millisecond
	probeTimeout     = 300 * time.Millisecond
	// reprobePause is the least time between two checks, so that many failing calls do not load the
	// owner.
	reprobePause = 250 * time.Millisecond
	// releaseJitter spreads instances that detect the termination at the same time: the first one
	// releases the claim and the others see it.
	releaseJitter = 50 * time.Millisecond
)

// ReportUnreachable reports that calls to the instance at address fail. If that instance holds the
// claim, it is probed, and its claim is released if its process has provably terminated.
func (o *Owner) ReportUnreachable(address string) {
	select {
	case o.unreachable <- address:
	default:
	}
}

// releaseClaimOnTermination releases the claim once its process has provably terminated, so that
// the cell need not wait for the claim to expire. A process that is unresponsive, suspended or
// partitioned keeps its claim until it expires.
func (o *Owner) releaseClaimOnTermination(ctx context.Context, c *Claim) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-o.unreachable:
			if address != c.Address || c.Lease == 0 {
				continue
			}
			if !o.processTerminated(ctx, address) {
				ctxtime.Sleep(ctx, reprobePause)
				continue
			}
		}
		if !ctxtime.Sleep(ctx, rand.N(releaseJitter)) {
			return
		}
		o.log.Info("process of the owner has terminated; releasing its claim", zap.String("owner", string(c.Instance)), zap.Int64("epoch", c.Epoch))
		o.metrics.Counter("owner.gone").Inc(1)
		if err := o.store.RevokeLease(ctx, c.Lease); err != nil && ctx.Err() == nil {
			o.log.Info("failed to release the claim of a terminated process", zap.Error(err))
		}
	}
}

// processTerminated reports whether no process serves the address any more.
func (o *Owner) processTerminated(ctx context.Context, address string) bool {
	if o.probe == nil {
		return false
	}
	for n := range requiredRefusals {
		if n > 0 && !ctxtime.Sleep(ctx, probePause) {
			return false
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := o.probe(probeCtx, address)
		cancel()
		var terminated *port.ProcessTerminatedError
		if !errors.As(err, &terminated) {
			return false
		}
	}
	return true
}
