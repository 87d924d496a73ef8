package allotment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

const team = "marine"

// cell is a set of instances of one region that share a store. Instance i accesses the
// store through faults[i].
type cell struct {
	base   *store.Store
	faults []*store.Faulty
	nodes  []*node

	mu           sync.Mutex
	limits       allot.Limits
	disconnected map[[2]int]bool
	dead         map[int]bool
	// confirmAll injects a fault: peers acknowledge pings of holders for which they should
	// suppress acknowledgements.
	confirmAll bool
}

type node struct {
	*Ledger
	cell        *cell
	index       int
	name        string
	ackFilter   *PingAckFilter
	watch       *sharedwatch.Watcher
	plane       fakePlane
	confirmedAt time.Time
}

// fakePlane starts and ends requests of one team as the request plane does: it reads
// the allowance at each start while it holds its own lock.
type fakePlane struct {
	teams   TeamRequests
	mu      sync.Mutex
	running int64
}

// Acquire starts a request if the team is below its limit on this instance.
func (p *fakePlane) Acquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.teams.MaxInFlight(team) {
		return false
	}
	p.running++
	return true
}

func (p *fakePlane) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *fakePlane) usage() map[string]UnitUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]UnitUse{team: {InUse: p.running}}
}

func newCell(n int, limit int64, wrapStore func(port.Store) port.Store) *cell {
	c := &cell{base: store.New(), disconnected: make(map[[2]int]bool), dead: make(map[int]bool)}
	c.setLimit(1, limit)
	for i := range n {
		f := store.NewFaulty(c.base)
		var s port.Store = f
		if wrapStore != nil {
			s = wrapStore(s)
		}
		nd := &node{cell: c, index: i, name: fmt.Sprintf("i%d/1", i)}
		w := sharedwatch.New(s, port.SystemClock{}, metrics.New(), sharedwatch.Prefix)
		nd.Ledger = New(Config{
			Key: TeamsKey, Region: "lulea", Store: s, Watch: w, Clock: port.SystemClock{},
			Metrics: metrics.New(), Limits: c.limit, ByPeak: true, Usage: nd.plane.usage, LastConfirmed: nd.lastConfirmation,
		})
		nd.plane.teams = TeamRequests{nd.Ledger}
		nd.JoinInstance(nd.name)
		nd.ackFilter = NewPingAckFilter(nd.Ledger)
		c.faults = append(c.faults, f)
		c.nodes = append(c.nodes, nd)
		nd.watch = w
	}
	return c
}

// newTaskCell returns a cell whose ledgers manage task resources of partitions.
func newTaskCell(n int, cpu int64) *cell {
	c := newCell(n, 0, nil)
	c.limits.Items[team] = allot.Vector{cpu, 4 * cpu}
	for _, nd := range c.nodes {
		nd.key = TasksKey
		nd.byPeak = false
		nd.usage = nil
		nd.localHolders = make(map[string]*localHolder)
	}
	return c
}

func (c *cell) limit() allot.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

func (c *cell) setLimit(config uint64, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = allot.Limits{Config: config, Items: map[string]allot.Vector{team: allot.Units(limit)}}
}

func (c *cell) start(ctx context.Context) {
	for _, n := range c.nodes {
		go func() { _ = n.watch.Run(ctx) }()
		go func() { _ = n.Run(ctx) }()
		go n.ping(ctx)
	}
}

func (c *cell) reaches(a, b int) bool {
	return !c.disconnected[[2]int{a, b}] && !c.disconnected[[2]int{b, a}] && !c.dead[a] && !c.dead[b]
}

// isolate disconnects the instance from the store and from all other instances.
func (c *cell) isolate(i int) {
	c.faults[i].Inject(store.Fault{Action: store.Refuse})
	c.mu.Lock()
	defer c.mu.Unlock()
	for j := range c.nodes {
		c.disconnected[[2]int{i, j}] = true
	}
}

func (n *node) lastConfirmation() time.Time {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.confirmedAt
}

// ping simulates the membership: every 500 ms, each reachable instance that confirms this
// instance's authority acknowledges a ping.
func (n *node) ping(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		for _, o := range n.cell.nodes {
			n.cell.mu.Lock()
			contact := o != n && n.cell.reaches(n.index, o.index)
			n.cell.mu.Unlock()
			if contact && (n.cell.confirmAll || o.ackFilter.ConfirmsAuthority(n.holder())) {
				n.cell.mu.Lock()
				n.confirmedAt = sent
				n.cell.mu.Unlock()
			}
		}
		ctxtime.Sleep(ctx, 500*time.Millisecond)
	}
}

func (n *node) holder() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if lo := n.instance(); lo != nil {
		return lo.holder
	}
	return ""
}

var errUnreachable = errors.New("instance is unreachable")

// Others implements Peers.
func (n *node) Others(context.Context) ([]domain.InstanceID, error) {
	var list []domain.InstanceID
	for _, o := range n.cell.nodes {
		if o != n {
			list = append(list, domain.InstanceID(o.name))
		}
	}
	return list, nil
}

// ProvenDead implements Peers.
func (n *node) ProvenDead(id domain.InstanceID) bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	for _, o := range n.cell.nodes {
		if o.name == string(id) {
			return n.cell.dead[o.index]
		}
	}
	return false
}

// SuppressPingAcks implements Peers.
func (n *node) SuppressPingAcks(_ context.Context, at domain.InstanceID, holder string) error {
	for _, o := range n.cell.nodes {
		if o.name != string(at) {
			continue
		}
		n.cell.mu.Lock()
		contact := n.cell.reaches(n.index, o.index)
		n.cell.mu.Unlock()
		if contact {
			o.ackFilter.Suppress(holder)
			return nil
		}
	}
	return errUnreachable
}

func stored(t testing.TB, c *cell) allot.Document {
	t.Helper()
	e, err := c.base.Get(context.Background(), TeamsKey)
	if err != nil {
		t.Fatal(err)
	}
	d, err := allot.Decode(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// amount returns how many units may be in use on the node, even while none may start.
func (n *node) amount() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instance().item(team).allowance.Amount[0]
}

// acquireUpTo acquires up to the given number of units on a node and returns how many it
// got.
func acquireUpTo(n *node, units int) int {
	for i := range units {
		if !n.plane.Acquire() {
			return i
		}
	}
	return units
}
