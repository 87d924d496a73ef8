package owner

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/workerrelay"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// Cell is one reign: the machine and the goroutines that serve it.
type Cell struct {
	*Owner
	reign   *reign
	machine *jobs.Machine
	events  chan func()
	// orders bounds the orders that are under way from here.
	orders chan struct{}
	// own sends orders from here.
	own    port.OrderRelay
	cancel context.CancelFunc
	ctx    context.Context
	// recovered is closed once the state of the cell is loaded.
	recovered chan struct{}
	// ended is closed once the loop has answered everything that waits.
	ended chan struct{}

	// answers tells how long workers take to answer.
	answers answerTimes

	// confirmedMS is the steady time up to which the claim certainly holds.
	confirmedMS atomic.Int64

	// registryRelay reads the registry for the owner, nil where it reads itself.
	registryRelay atomic.Pointer[registryRelay]

	// The rest is used by the loop only.
	config     *port.CellConfig
	submitters map[domain.JobID][]func(port.SubmitReply, error)
	cancellers map[domain.JobID][]func(port.CancelReply, error)
	looks      map[domain.WorkerID]*look
	relays     relays
	// approversVersion is the version of the relays that the machine knows.
	approversVersion int64
	groups           lookGroups
	arrangedMS       int64
	// maintenance is nil where the platform asks for none.
	maintenance *maintenance
	// registryPaused is the time before which an instance does not read the registry.
	registryPaused map[port.InstanceInfo]int64
	lanes          []*lane
	writing        int
	lastWrite      int64
	// storeHeardMS is when a write was answered last, or none was under way.
	storeHeardMS int64
	// storeRefuses tells that the last write was given up because it had no effect.
	storeRefuses bool
	acked        map[domain.WorkerID]int64
	// endSeenMS is when the first end that is not acknowledged was listed.
	endSeenMS map[domain.WorkerID]int64
	gauges    gauges
	processed map[domain.WorkerID]int64
	// settled is when decisions were made last.
	settled time.Time
	// resigning tells that the instance hands the cell over.
	resigning bool
}

// errCellClosed tells that the reign has ended.
var errCellClosed = errors.New("the reign has ended")

func (o *Owner) newCell(parent context.Context, r *reign, config *port.CellConfig) *Cell {
	ctx, cancel := context.WithCancel(parent)
	mc := o.options.Machine
	mc.Epoch = r.epoch
	now := steady.NowMS()
	c := &Cell{
		Owner: o, reign: r, machine: jobs.New(mc, now, time.Now().UnixMilli()),
		events: make(chan func(), eventRing), orders: make(chan struct{}, maxOrders), ctx: ctx, cancel: cancel,
		recovered: make(chan struct{}), ended: make(chan struct{}),
		own:            workerrelay.New(o.workers, o.log, o.metrics),
		config:         config,
		submitters:     make(map[domain.JobID][]func(port.SubmitReply, error)),
		cancellers:     make(map[domain.JobID][]func(port.CancelReply, error)),
		looks:          make(map[domain.WorkerID]*look),
		acked:          make(map[domain.WorkerID]int64),
		endSeenMS:      make(map[domain.WorkerID]int64),
		gauges:         gauges{names: make(map[string]bool), metrics: o.metrics},
		processed:      make(map[domain.WorkerID]int64),
		registryPaused: make(map[port.InstanceInfo]int64),
		groups: lookGroups{most: o.options.DirectWorkers, byHost: make(map[port.InstanceInfo]*lookGroup),
			byZone: make(map[domain.ZoneID][]*lookGroup)},
	}
	c.confirmedMS.Store(r.claimedMS + r.ttl.Milliseconds())
	for i := range writeLanes {
		c.lanes = append(c.lanes, &lane{key: laneKey(i), revision: r.laneRevisions[i]})
	}
	return c
}

// post hands an event to the loop. It reports false once the reign has ended.
func (c *Cell) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// end ends the reign.
func (c *Cell) end(why string) {
	if c.ctx.Err() == nil {
		c.log.Info("reign ends", zap.Int64("epoch", c.reign.epoch), zap.String("reason", why))
	}
	c.cancel()
}

// endIfFenced ends the reign where an order met a later owner's fence.
func (c *Cell) endIfFenced(err error) bool {
	var fenced *port.FencedError
	if !errors.As(err, &fenced) {
		return false
	}
	c.end(err.Error())
	return true
}

// mayOrder reports whether the owner may still speak to workers.
func (c *Cell) mayOrder(nowMS int64) bool {
	return nowMS < c.confirmedMS.Load()+c.options.UnconfirmedTTL.Milliseconds()
}

// confirmed reports whether the claim certainly holds.
func (c *Cell) confirmed() bool { return steady.NowMS() < c.confirmedMS.Load() }

// keepClaim renews the claim until the reign ends.
func (c *Cell) keepClaim() {
	c.keep(c.ctx, c.reign, c.confirmUntil, func() { c.end("claim expired") })
}

// confirmUntil notes that the claim certainly holds until then. Answers of
// renewals may overtake each other.
func (c *Cell) confirmUntil(untilMS int64) {
	for {
		known := c.confirmedMS.Load()
		if untilMS <= known || c.confirmedMS.CompareAndSwap(known, untilMS) {
			return
		}
	}
}

// run serves the cell until the reign ends.
func (c *Cell) run() {
	defer close(c.ended)
	defer c.gauges.drop()
	c.configure(c.config)
	close(c.recovered)
	go c.followRegistry()
	if c.maintenance != nil {
		go c.followWaves()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// settle is due after events, at most once in settleInterval.
	due := time.NewTimer(settleInterval)
	defer due.Stop()
	waiting := true
	for {
		select {
		case <-c.ctx.Done():
			c.failWaiters()
			return
		case event := <-c.events:
			c.advance()
			c.handle(event)
			c.drainEvents()
			if !waiting {
				waiting = true
				due.Reset(max(0, settleInterval-time.Since(c.settled)))
			}
			continue
		case <-due.C:
			waiting = false
			c.advance()
		case tick := <-ticker.C:
			c.metrics.Timer("owner.loop_lag").UpdateSince(tick)
			c.advance()
			c.measure(steady.NowMS())
		}
		if c.ctx.Err() != nil {
			continue
		}
		c.guarded("decisions", c.settle)
		c.settled = time.Now()
		if c.resigning && c.writing == 0 && !c.machine.HasChanges() {
			c.end("resigned")
		}
	}
}

// guarded runs a part of the reign and ends the reign where it panics: what the
// machine holds may be half changed, and a successor reads what is stored.
func (c *Cell) guarded(duty string, f func()) {
	if err := guard.Run(c.log, c.metrics, "owner_"+duty, f); err != nil {
		c.end(err.Error())
	}
}

// Resign stores what is confirmed and ends the reign. New submissions are sent elsewhere.
func (c *Cell) Resign() {
	c.post(func() { c.resigning = true })
}

// handle runs an event unless the reign has ended: a submission that begins
// then could not be stored, and its caller would learn nothing. Each event has
// its own time, since an answer that counts from before it came proves too much.
func (c *Cell) handle(event func()) {
	if c.ctx.Err() == nil {
		c.machine.SetTime(steady.NowMS(), time.Now().UnixMilli())
		c.guarded("event", event)
	}
}

// maxEventsPerPass bounds the events between two placement passes.
const maxEventsPerPass = 512

func (c *Cell) drainEvents() {
	for range maxEventsPerPass {
		select {
		case event := <-c.events:
			c.handle(event)
		default:
			return
		}
	}
}

func (c *Cell) advance() {
	c.machine.Advance(steady.NowMS(), time.Now().UnixMilli())
}

// settle turns what the machine decided into calls.
func (c *Cell) settle() {
	now := steady.NowMS()
	// An owner that resigns only stores what it knows; the rest is its successor's.
	if c.mayOrder(now) && !c.resigning {
		c.planMaintenance(now)
		c.shareApprovers(now)
		begun := time.Now()
		c.machine.Schedule()
		c.metrics.Timer("owner.decision").UpdateSince(begun)
		c.dispatch(c.machine.Drain(), now)
		c.sendGroupOrders(now)
		c.sendLooks(now)
	}
	c.write(now)
}

func (c *Cell) configure(config *port.CellConfig) {
	if config == nil {
		return
	}
	c.config = config
	queues := make([]jobs.Queue, 0, len(config.Routes))
	for _, r := range config.Routes {
		queues = append(queues, r.Queue)
	}
	teams := make([]jobs.Team, 0, len(config.Teams))
	for _, t := range config.Teams {
		teams = append(teams, t.Team)
	}
	c.machine.Configure(queues, teams)
}

// Configure takes a newer configuration.
func (c *Cell) Configure(config *port.CellConfig) {
	c.post(func() { c.configure(config) })
}

// dispatch sends the orders of a pass.
func (c *Cell) dispatch(out jobs.Output, now int64) {
	c.logNotes(out.Notes)
	for _, ms := range out.FirstStartMS {
		c.metrics.Timer("job.first_start").Update(time.Duration(ms) * time.Millisecond)
	}
	for reason, ms := range out.WaitedMS {
		c.metrics.Counter("wait_ms." + strings.ReplaceAll(reason, " ", "_")).Inc(ms)
	}
	c.sendOrders(out, now)
	for _, r := range out.Approvals {
		c.askApproval(r)
	}
	for _, id := range out.Forgotten {
		delete(c.looks, id)
		delete(c.acked, id)
		delete(c.processed, id)
		delete(c.endSeenMS, id)
	}
}
