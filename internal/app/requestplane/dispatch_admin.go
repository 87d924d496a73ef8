package requestplane

import (
	"slices"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
)

// Usage is what the plane uses of the amounts that its instance holds.
type Usage struct {
	// Slots counts the slots in use of each server, those held for callers that are gone included.
	Slots map[domain.BackendID]int
	// Teams counts the requests in flight of each team.
	Teams map[domain.TeamID]int64
	// Waiting counts the requests that wait for a slot.
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

// free returns the slots that a request of the queue could take now.
func (d *dispatcher) free(queue domain.QueueID) int {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.slots.Authority() || d.fair.Waiting(queue) > 0 {
		return 0
	}
	return d.table.Free(queue, d.held, now)
}

// holds reports whether this instance holds any slot that serves the queue.
func (d *dispatcher) holds(queue domain.QueueID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.table.Servers() {
		if slices.Contains(s.Info.Queues, queue) && d.slots.Held(s.Info.ID) > 0 {
			return true
		}
	}
	return false
}

// prune closes connections that were idle for too long, and those to servers
// of which this instance holds no slot anymore.
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
		p.trim(keep[i])
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
		p.trim(0)
	}
}

// request counts an accepted request for the queue's retry budget.
func (d *dispatcher) request(queue domain.QueueID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(queue).Request()
}

// mayRetry takes one retry from the queue's budget.
func (d *dispatcher) mayRetry(queue domain.QueueID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(queue).Take(d.clock.Now())
}

func (d *dispatcher) budget(queue domain.QueueID) *route.RetryBudget {
	b := d.budgets[queue]
	if b == nil {
		b = route.NewRetryBudget(d.clock.Now())
		d.budgets[queue] = b
	}
	return b
}
