package owner

import (
	"go.uber.org/zap"

	"auburnpier/internal/domain"
)

// fences numbers the calls to workers. Each call carries the epoch of the term, raised by one for each restart of the
// worker that this owner has learned of, and for calls without an answer. A worker does nothing for a lower number than it
// has seen, so once the present incarnation has carried out a call, none that was sent before the last raise takes effect
// there any more, however late it arrives.
type fences struct {
	epoch  int64
	raised map[domain.WorkerID]int64
}

// maxFenceRaises bounds how far the fences of a term exceed its epoch. The stored sequence covers them, so that the
// epochs of later owners of any version are higher.
const maxFenceRaises = 255

// maxEarlyRaises bounds the raises for calls without an answer. The others are left to restarts.
const maxEarlyRaises = 191

// of returns the fence of calls to the worker.
func (f *fences) of(id domain.WorkerID) int64 { return f.epoch + f.raised[id] }

// raise raises the fence of calls to the worker, and reports whether the bound permits it.
func (f *fences) raise(id domain.WorkerID) bool {
	if f.raised[id] >= maxFenceRaises {
		return false
	}
	f.raised[id]++
	return true
}

// raiseFence raises the fence of calls to a worker that has another incarnation, or may have one later, and reports whether
// it did. Beyond the bound, only stop orders keep the incarnation from carrying out orders to the former one.
func (c *Cell) raiseFence(id domain.WorkerID) bool {
	if !c.fences.raise(id) {
		c.metrics.Counter("worker.fence.exhausted").Inc(1)
		c.log.Warn("worker has restarted too often to raise its fence in this term", zap.String("worker", string(id)), zap.Int("most", maxFenceRaises))
		return false
	}
	c.metrics.Counter("worker.fence.raised").Inc(1)
	return true
}

// noteUnanswered raises the fence of calls to a worker that has left one unanswered, so that the next call which it carries
// out makes it refuse that one, also in an incarnation that the owner does not know yet. It raises no further until the worker has
// confirmed the fence.
func (c *Cell) noteUnanswered(id domain.WorkerID) {
	if p, ok := c.polls[id]; ok && p.confirmedFence == c.fences.of(id) && c.fences.raised[id] < maxEarlyRaises {
		c.raiseFence(id)
	}
}

// handleFenced handles the refusal of a call with the given fence. It reports whether the fence was raised after the
// call was sent. Any other refusal shows a later owner, and ends the term.
func (c *Cell) handleFenced(id domain.WorkerID, fence int64) (outdated bool) {
	if fence < c.fences.of(id) {
		c.metrics.Counter("worker.fence.outdated").Inc(1)
		return true
	}
	c.endTerm("worker " + string(id) + " has seen the fence of a later owner")
	return false
}

// confirmFence records that a poll with the given fence was answered by the worker's present incarnation.
func (c *Cell) confirmFence(p *pollState, fence int64) {
	if fence <= p.confirmedFence {
		return
	}
	p.confirmedFence = fence
	if fence == c.fences.of(p.id) && fence > c.fences.epoch {
		c.machine.FenceConfirmed(p.id)
	}
}
