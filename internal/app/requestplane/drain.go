package requestplane

import (
	"context"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
)

// Drain refuses new requests and returns when the accepted ones have finished
// and no slot is held after its caller disconnected. If ctx is done first, it
// returns an error that states what is left.
func (p *Plane) Drain(ctx context.Context) error {
	p.draining.Store(true)
	for {
		if p.inFlight.Load() == 0 && p.heldSlots.Load() == 0 {
			p.disp.closeIdle()
			p.peerPools.closeIdle()
			return nil
		}
		select {
		case <-p.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(),
				"drain ended with %d requests in flight and %d slots held; raise the shutdown bound in the settings",
				p.inFlight.Load(), p.heldSlots.Load())
		}
	}
}

// Usage returns what is in use now. After an amount was lowered, the instance
// returns only what Usage does not count.
func (p *Plane) Usage() Usage { return p.disp.usage() }

// FreeSlots returns the number of slots that requests of the queue could take now, for
// the load reports that instances exchange.
func (p *Plane) FreeSlots(queue domain.QueueID) int { return p.disp.freeSlots(queue) }
