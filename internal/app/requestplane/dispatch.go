package requestplane

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// dispatcher assigns slots of backend servers to requests. One mutex guards the whole
// routing state: a decision takes about a microsecond, less than a round trip to
// another goroutine.
type dispatcher struct {
	clock           port.Clock
	slots           Slots
	teams           TeamLimits
	peers           Peers // nil if there are no other instances
	metrics         *metrics.Registry
	maxWaitingBytes int64

	mu      sync.Mutex
	table   *route.Table
	fair    *route.FairQueue
	budgets map[domain.QueueID]*route.RetryBudget
	pools   map[*route.Server]*pool
}

// ticket is one attempt of a request: its place in the queue, then its slot.
type ticket struct {
	item    route.Item
	ready   chan struct{} // capacity 1; created when the request is queued
	server  *route.Server
	pool    *pool
	refusal *refusal.Refusal
	started time.Time
	// mayForward is when the request may be sent to another instance instead.
	// peer is set once an instance with a free slot has been found.
	mayForward forwarding
	peer       *Peer
}

// forwarding is when a request may be sent to another instance.
type forwarding uint8

const (
	forwardNever forwarding = iota
	forwardAlways
	// forwardWithoutSlots means while this instance holds no slot of the queue. Its slots may be given
	// away while the request waits.
	forwardWithoutSlots
)

func newDispatcher(o *Options) *dispatcher {
	return &dispatcher{
		clock:           o.Clock,
		slots:           o.Slots,
		teams:           o.Teams,
		peers:           o.Peers,
		metrics:         o.Metrics,
		maxWaitingBytes: o.MaxWaitingBytes,
		table:           route.NewTable(o.Location),
		fair:            route.NewFairQueue(),
		budgets:         make(map[domain.QueueID]*route.RetryBudget),
		pools:           make(map[*route.Server]*pool),
	}
}

// heldSlots returns how many slots of the server this instance holds.
func (d *dispatcher) heldSlots(id domain.BackendID) int {
	return d.slots.Held(id)
}

// tryAcquire takes a free slot without waiting. It returns a refusal if no server serves
// the queue.
func (d *dispatcher) tryAcquire(t *ticket) (granted bool, ref *refusal.Refusal) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tryAcquireLocked(t, now)
}

func (d *dispatcher) tryAcquireLocked(t *ticket, now time.Time) (bool, *refusal.Refusal) {
	if !d.table.Serves(t.item.Queue) {
		return false, refuseNoServer(t.item.Queue)
	}
	if d.mustWait(&t.item) != "" {
		return false, nil
	}
	server := d.table.Choose(t.item.Queue, d.heldSlots, t.item.Avoid, now)
	if server == nil {
		return false, nil
	}
	d.grant(t, server, now)
	return true, nil
}

// mustWait returns why a request cannot take a free slot now, or an empty text if it can.
func (d *dispatcher) mustWait(it *route.Item) string {
	switch {
	case d.fair.Waiting(it.Queue) > 0:
		return "other requests of the queue wait, and the teams' shares decide which is next"
	case !d.slots.Authority():
		return "the instance cannot confirm now that it may use its slots"
	case !d.belowTeamLimit(it):
		return "the team has as many requests in flight as this instance may have of it"
	}
	return ""
}

// wait queues the ticket until it has a slot or a peer, is refused or ctx is done. If
// it returns the error of ctx, the ticket holds no slot and no place in the queue.
func (d *dispatcher) wait(ctx context.Context, t *ticket, bounds route.QueueLimits) (*refusal.Refusal, error) {
	queued, ref := d.enqueue(t, bounds)
	if ref != nil || !queued {
		return ref, nil
	}
	select {
	case <-t.ready:
		return t.refusal, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.item.Queued() {
		d.fair.Remove(&t.item)
	} else if t.server != nil {
		d.releaseLocked(t, route.Abandoned, 0, d.clock.Now())
	}
	return nil, ctx.Err()
}

// enqueue adds the ticket to the queue. It reports false if the ticket got
// its slot at once.
func (d *dispatcher) enqueue(t *ticket, bounds route.QueueLimits) (queued bool, ref *refusal.Refusal) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	granted, ref := d.tryAcquireLocked(t, now)
	if granted || ref != nil {
		return false, ref
	}
	t.ready = make(chan struct{}, 1)
	t.item.Data = t
	evicted, ok := d.fair.Push(&t.item, bounds)
	for _, it := range evicted {
		d.refuseWaiting(it, refuseQueueFull(it.Queue))
	}
	if !ok {
		return false, refuseQueueFull(t.item.Queue)
	}
	// tryAcquire never overtakes waiting requests, but those may be unable to run
	// because their team is at its limit, so the fair order has to be evaluated.
	d.dispatchWaiting(now)
	return true, nil
}

// release gives the slot back and records how the request ended.
func (d *dispatcher) release(t *ticket, outcome route.Outcome, latency time.Duration) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked(t, outcome, latency, now)
}

func (d *dispatcher) releaseLocked(t *ticket, outcome route.Outcome, latency time.Duration, now time.Time) {
	d.table.ReleaseSlot(t.server)
	d.fair.Finish(t.item.Team, now.Sub(t.started))
	if why := d.table.Report(t.server, t.item.Queue, outcome, latency, now); why != "" {
		d.metrics.Counter("requestplane.ejected." + string(why)).Inc(1)
	}
	t.server = nil
	if d.fair.Len() > 0 {
		d.dispatchWaiting(now)
	}
}

// report records the outcome of a request for the server's health without giving the
// slot back.
func (d *dispatcher) report(t *ticket, outcome route.Outcome, latency time.Duration) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if why := d.table.Report(t.server, t.item.Queue, outcome, latency, now); why != "" {
		d.metrics.Counter("requestplane.ejected." + string(why)).Inc(1)
	}
}

// dispatchWaiting assigns free slots to waiting requests in fair order.
func (d *dispatcher) dispatchWaiting(now time.Time) {
	if !d.slots.Authority() {
		return
	}
	for d.fair.Len() > 0 {
		var chosen *route.Server
		var chosenFor *route.Item
		it := d.fair.Next(func(it *route.Item) bool {
			if !d.belowTeamLimit(it) {
				return false
			}
			s := d.table.Choose(it.Queue, d.heldSlots, it.Avoid, now)
			if s != nil {
				chosen, chosenFor = s, it
			}
			return s != nil
		})
		if it == nil {
			return
		}
		if chosenFor != it {
			chosen = d.table.Choose(it.Queue, d.heldSlots, it.Avoid, now)
		}
		d.fair.Remove(it)
		t := it.Data.(*ticket)
		d.grant(t, chosen, now)
		t.ready <- struct{}{}
	}
}

func (d *dispatcher) belowTeamLimit(it *route.Item) bool {
	return int64(d.fair.Running(it.Team)) < d.teams.MaxInFlight(it.Team)
}

func (d *dispatcher) grant(t *ticket, s *route.Server, now time.Time) {
	d.table.AcquireSlot(s)
	d.fair.Start(t.item.Team, t.item.Share)
	t.server = s
	t.pool = d.pools[s]
	t.started = now
}

func (d *dispatcher) refuseWaiting(it *route.Item, ref *refusal.Refusal) {
	t := it.Data.(*ticket)
	t.refusal = ref
	t.ready <- struct{}{}
}

// tick refuses the requests whose deadline passed while they waited, and assigns
// slots that became free without a request ending (newly held slots, raised team
// limits, ended ejections).
func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fair.Len() == 0 {
		return
	}
	for _, it := range d.fair.Expired(now) {
		d.refuseWaiting(it, refuseDeadlineWaiting())
	}
	d.dispatchWaiting(now)
	if d.peers != nil {
		d.forwardWaiting()
	}
}

// forwardWaiting assigns waiting requests, in fair order, to other instances that
// reported free slots. For an instance that holds no slot at all this is the only way
// to serve them.
func (d *dispatcher) forwardWaiting() {
	exhausted := make(map[domain.QueueID]bool)
	for d.fair.Len() > 0 {
		it := d.fair.Next(func(it *route.Item) bool {
			if exhausted[it.Queue] {
				return false
			}
			may := it.Data.(*ticket).mayForward
			return may == forwardAlways || may == forwardWithoutSlots && !d.holdsSlots(it.Queue)
		})
		if it == nil {
			return
		}
		peer, ok := d.peers.AcquireSlot(it.Queue)
		if !ok {
			exhausted[it.Queue] = true
			continue
		}
		d.fair.Remove(it)
		t := it.Data.(*ticket)
		t.peer = &peer
		t.ready <- struct{}{}
	}
}

// updateServers replaces the list of servers. Connections to removed servers are
// closed as soon as they are idle.
func (d *dispatcher) updateServers(list []route.ServerInfo) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Update(list)
	for _, s := range d.table.Servers() {
		if d.pools[s] == nil {
			bound := s.Info.MaxConnections
			if bound == 0 {
				bound = DefaultMaxConnections
			}
			d.pools[s] = newPool(s.Info.Address, nil, bound)
		}
	}
	for s, p := range d.pools {
		if s.Removed() {
			p.closeIdle()
			delete(d.pools, s)
		}
	}
	d.dispatchWaiting(now)
}
