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

// dispatcher hands slots to requests. One mutex guards the whole routing
// state: a decision takes about a microsecond, less than handing it to
// another goroutine and back would cost.
type dispatcher struct {
	clock    port.Clock
	slots    Slots
	teams    TeamLimits
	peers    Peers // nil where there are no other instances
	metrics  *metrics.Registry
	maxBytes int64

	mu      sync.Mutex
	table   *route.Table
	fair    *route.FairQueue
	budgets map[domain.QueueID]*route.RetryBudget
	pools   map[*route.Server]*pool
}

// ticket is one request's place in the queue and then its slot.
type ticket struct {
	item    route.Item
	ready   chan struct{} // capacity 1; created when the request waits
	server  *route.Server
	pool    *pool
	refused *refusal.Refusal
	started time.Time
	// mayForward tells that the request may be sent to another instance
	// instead; peer is then the instance with a free slot.
	mayForward bool
	peer       *Peer
}

func newDispatcher(o *Options) *dispatcher {
	return &dispatcher{
		clock:    o.Clock,
		slots:    o.Slots,
		teams:    o.Teams,
		peers:    o.Peers,
		metrics:  o.Metrics,
		maxBytes: o.MaxWaitingBytes,
		table:    route.NewTable(o.Location),
		fair:     route.NewFairQueue(),
		budgets:  make(map[domain.QueueID]*route.RetryBudget),
		pools:    make(map[*route.Server]*pool),
	}
}

// held returns the slots that may be used now.
func (d *dispatcher) held(id domain.BackendID) int {
	return d.slots.Held(id)
}

// tryNow takes a free slot without waiting. It refuses where no server serves the queue.
func (d *dispatcher) tryNow(t *ticket) (granted bool, ref *refusal.Refusal) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tryNowLocked(t, now)
}

func (d *dispatcher) tryNowLocked(t *ticket, now time.Time) (bool, *refusal.Refusal) {
	if !d.table.Serves(t.item.Queue) {
		return false, refuseNoServer(t.item.Queue)
	}
	if d.fair.Waiting(t.item.Queue) > 0 || !d.slots.Authority() || !d.teamHasRoom(&t.item) {
		return false, nil
	}
	server := d.table.Choose(t.item.Queue, d.held, t.item.Avoid, now)
	if server == nil {
		return false, nil
	}
	d.grant(t, server, now)
	return true, nil
}

// wait queues the ticket until it has a slot, is refused or the context ends.
// After an error of the context the ticket holds nothing.
func (d *dispatcher) wait(ctx context.Context, t *ticket, bounds route.Bounds) (*refusal.Refusal, error) {
	queued, ref := d.enqueue(t, bounds)
	if ref != nil || !queued {
		return ref, nil
	}
	select {
	case <-t.ready:
		return t.refused, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.item.Queued() {
		d.fair.Remove(&t.item)
	} else if t.server != nil {
		d.endLocked(t, route.Abandoned, 0, d.clock.Now())
	}
	return nil, ctx.Err()
}

// enqueue adds the ticket to the queue. It reports false where the ticket got
// its slot at once.
func (d *dispatcher) enqueue(t *ticket, bounds route.Bounds) (queued bool, ref *refusal.Refusal) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	granted, ref := d.tryNowLocked(t, now)
	if granted || ref != nil {
		return false, ref
	}
	t.ready = make(chan struct{}, 1)
	t.item.Owner = t
	evicted, ok := d.fair.Push(&t.item, bounds)
	for _, it := range evicted {
		d.refuseWaiting(it, refuseQueueFull(it.Queue))
	}
	if !ok {
		return false, refuseQueueFull(t.item.Queue)
	}
	// A waiting request of another team may keep this one from the fast path
	// without being able to run itself.
	d.pump(now)
	return true, nil
}

// end gives the slot back and reports how the request ended.
func (d *dispatcher) end(t *ticket, outcome route.Outcome, latency time.Duration) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endLocked(t, outcome, latency, now)
}

func (d *dispatcher) endLocked(t *ticket, outcome route.Outcome, latency time.Duration, now time.Time) {
	d.table.End(t.server)
	d.fair.Finish(t.item.Team, now.Sub(t.started))
	if why := d.table.Report(t.server, t.item.Queue, outcome, latency, now); why != "" {
		d.metrics.Counter("requestplane.ejected." + string(why)).Inc(1)
	}
	t.server = nil
	if d.fair.Len() > 0 {
		d.pump(now)
	}
}

// report records the condition of a server without giving the slot back.
func (d *dispatcher) report(t *ticket, outcome route.Outcome, latency time.Duration) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if why := d.table.Report(t.server, t.item.Queue, outcome, latency, now); why != "" {
		d.metrics.Counter("requestplane.ejected." + string(why)).Inc(1)
	}
}

// pump hands free slots to waiting requests in fair order.
func (d *dispatcher) pump(now time.Time) {
	if !d.slots.Authority() {
		return
	}
	for d.fair.Len() > 0 {
		var chosen *route.Server
		var chosenFor *route.Item
		it := d.fair.Next(func(it *route.Item) bool {
			if !d.teamHasRoom(it) {
				return false
			}
			s := d.table.Choose(it.Queue, d.held, it.Avoid, now)
			if s != nil {
				chosen, chosenFor = s, it
			}
			return s != nil
		})
		if it == nil {
			return
		}
		if chosenFor != it {
			chosen = d.table.Choose(it.Queue, d.held, it.Avoid, now)
		}
		d.fair.Remove(it)
		t := it.Owner.(*ticket)
		d.grant(t, chosen, now)
		t.ready <- struct{}{}
	}
}

func (d *dispatcher) teamHasRoom(it *route.Item) bool {
	return int64(d.fair.Running(it.Team)) < d.teams.Allowed(it.Team)
}

func (d *dispatcher) grant(t *ticket, s *route.Server, now time.Time) {
	d.table.Begin(s)
	d.fair.Start(t.item.Team, t.item.Share)
	t.server = s
	t.pool = d.pools[s]
	t.started = now
}

func (d *dispatcher) refuseWaiting(it *route.Item, ref *refusal.Refusal) {
	t := it.Owner.(*ticket)
	t.refused = ref
	t.ready <- struct{}{}
}

// tick refuses the requests whose deadline passed while they waited, and hands
// out slots that became free without a request ending.
func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fair.Len() == 0 {
		return
	}
	for _, it := range d.fair.Expired(now) {
		d.refuseWaiting(it, refuseDeadlineWaiting())
	}
	d.pump(now)
	if d.peers != nil {
		d.forwardWaiting()
	}
}

// forwardWaiting hands waiting requests, in fair order, to instances that
// reported free slots. An instance that holds no slot at all depends on it.
func (d *dispatcher) forwardWaiting() {
	exhausted := make(map[domain.QueueID]bool)
	for d.fair.Len() > 0 {
		it := d.fair.Next(func(it *route.Item) bool {
			return it.Owner.(*ticket).mayForward && !exhausted[it.Queue]
		})
		if it == nil {
			return
		}
		peer, ok := d.peers.Take(it.Queue)
		if !ok {
			exhausted[it.Queue] = true
			continue
		}
		d.fair.Remove(it)
		t := it.Owner.(*ticket)
		t.peer = &peer
		t.ready <- struct{}{}
	}
}

// update replaces the list of servers. The connections to servers that are
// gone are closed as soon as they are idle.
func (d *dispatcher) update(list []route.ServerInfo) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Update(list)
	for _, s := range d.table.Servers() {
		if d.pools[s] == nil {
			bound := s.Info.MaxConnections
			if bound == 0 {
				bound = DefaultConnections
			}
			d.pools[s] = newPool(s.Info.Address, bound)
		}
	}
	for s, p := range d.pools {
		if s.Gone() {
			p.closeIdle()
			delete(d.pools, s)
		}
	}
	d.pump(now)
}
