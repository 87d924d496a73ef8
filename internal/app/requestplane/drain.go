package requestplane

import (
	"context"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
)

// Drain refuses new requests and returns when the accepted ones are finished
// and no slot is held for a caller that is gone. Where the context ends first
// it returns an error that tells what is left.
func (p *Plane) Drain(ctx context.Context) error {
	p.draining.Store(true)
	for {
		if p.inFlight.Load() == 0 && p.holding.Load() == 0 {
			p.disp.closeIdle()
			p.peerPools.closeIdle()
			return nil
		}
		select {
		case <-p.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(),
				"drain ended with %d requests in flight and %d slots held; raise the shutdown bound in the settings",
				p.inFlight.Load(), p.holding.Load())
		}
	}
}

// Usage returns what is in use now. After an amount was lowered, the holder
// gives up no more than what Usage leaves.
func (p *Plane) Usage() Usage { return p.disp.usage() }

// FreeSlots returns the slots that a request of the queue could take now, for
// the load that instances tell each other.
func (p *Plane) FreeSlots(queue domain.QueueID) int { return p.disp.free(queue) }
