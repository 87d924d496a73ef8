package requestplane

import (
	"slices"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
)

// Usage is how much the plane uses of the slots and team limits that its instance holds.
type Usage struct {
	// Slots counts the slots in use of each server, including those still held after
	// their caller disconnected.
	Slots map[domain.BackendID]int
	// Teams counts the requests in flight of each team.
	Teams map[domain.TeamID]int64
	// Waiting counts the requests waiting for a slot.
	Waiting int
}

func (d *dispatcher) usage() Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Usage{
		Slots:   make(map[domain.BackendID]int),
		Teams:   make(map[domain.TeamID]int64),
		Waiting: d.fair.Len(),
	}
	for s := range d.pools {
		if s.InUse > 0 {
			u.Slots[s.Info.ID] += s.InUse
		}
	}
	d.fair.EachRunning(func(team domain.TeamID, running int) { u.Teams[team] = int64(running) })
	return u
}

// freeSlots returns the number of slots that requests of the queue could take now.
func (d *dispatcher) freeSlots(queue domain.QueueID) int {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.slots.Authority() || d.fair.Waiting(queue) > 0 {
		return 0
	}
	return d.table.FreeSlots(queue, d.heldSlots, now)
}

// holdsSlots reports whether this instance holds a slot of any server of the queue. The mutex must be held.
func (d *dispatcher) holdsSlots(queue domain.QueueID) bool {
	for _, s := range d.table.Servers() {
		if slices.Contains(s.Info.Queues, queue) && d.slots.Held(s.Info.ID) > 0 {
			return true
		}
	}
	return false
}

// prune closes connections that exceeded the idle timeout, and idle connections
// beyond the free slots that this instance holds of the server.
func (d *dispatcher) prune(now time.Time) {
	d.mu.Lock()
	pools := make([]*pool, 0, len(d.pools))
	keep := make([]int, 0, len(d.pools))
	for s, p := range d.pools {
		pools = append(pools, p)
		keep = append(keep, max(d.slots.Held(s.Info.ID)-s.InUse, 0))
	}
	d.mu.Unlock()
	for i, p := range pools {
		p.prune(now)
		p.trimIdle(keep[i])
	}
}

func (d *dispatcher) closeIdle() {
	d.mu.Lock()
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.trimIdle(0)
	}
}

// countRequest adds an accepted countRequest to the queue's retry budget.
func (d *dispatcher) countRequest(queue domain.QueueID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(queue).AddRequest()
}

// takeRetry takes one retry from the queue's budget and reports whether there was one.
func (d *dispatcher) takeRetry(queue domain.QueueID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(queue).TakeRetry(d.clock.Now())
}

func (d *dispatcher) budget(queue domain.QueueID) *route.RetryBudget {
	b := d.budgets[queue]
	if b == nil {
		b = route.NewRetryBudget(d.clock.Now())
		d.budgets[queue] = b
	}
	return b
}
