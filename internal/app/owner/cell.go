package owner

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"auburnpier/internal/app/workerrelay"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
)

// Cell is one term of ownership: the state machine and the goroutines that serve it.
type Cell struct {
	*Owner
	term    *term
	machine *jobs.Machine
	events  chan func()
	// orderSlots limits the calls that this instance itself has in flight.
	orderSlots chan struct{}
	// localRelay sends orders directly from this instance.
	localRelay port.OrderRelay
	cancel     context.CancelFunc
	ctx        context.Context
	// recovered is closed once the state of the cell is loaded.
	recovered chan struct{}
	// ended is closed once the event loop has answered all pending calls.
	ended chan struct{}

	// responseTimes estimates how long workers take to answer.
	responseTimes responseTimes
	// hedging decides when a write to the store is sent again.
	hedging hedging

	// confirmedUntilMS is the steady time until which the claim is guaranteed to hold.
	confirmedUntilMS atomic.Int64

	// registryRelay reads the registry for the owner; nil if the owner reads it itself.
	registryRelay atomic.Pointer[registryRelay]

	// The remaining fields are used only by the event loop.
	config         *port.CellConfig
	pendingSubmits map[domain.JobID][]func(port.SubmitReply, error)
	pendingCancels map[domain.JobID][]func(port.CancelReply, error)
	polls          map[domain.WorkerID]*pollState
	fences         fences
	instances      liveInstances
	// approversVersion is the version of the instance list that the machine has been given.
	approversVersion int64
	pollGroups       pollGroups
	assignedMS       int64
	vmCheck          vmCheck
	// maintenance is nil if the platform requests no maintenance.
	maintenance *maintenance
	// registryPausedUntil is the time before which an instance is not used to read the registry.
	registryPausedUntil map[port.InstanceInfo]int64
	chains              []*writeChain
	writesInFlight      int
	lastWriteMS         int64
	// storeRespondedMS is when a write was last answered, or when none was in flight.
	storeRespondedMS int64
	// storeRejecting is set while the last write was abandoned because it had no effect.
	storeRejecting bool
	ackedEnds      map[domain.WorkerID]int64
	// unackedSinceMS is when the first run end that is not yet acknowledged was reported.
	unackedSinceMS map[domain.WorkerID]int64
	gauges         gauges
	learned        learnedWrites
	processedEnds  map[domain.WorkerID]int64
	// lastReconcile is when the last reconcile pass ran.
	lastReconcile time.Time
	// resigning is set while the instance hands the cell over.
	resigning bool
	// previews limits the rate of previews.
	previews *rate.Limiter
}

// errTermEnded is returned for calls that the term ended before answering.
var errTermEnded = errors.New("the owner's term ended before the call was answered")

func (o *Owner) newCell(parent context.Context, t *term, config *port.CellConfig) *Cell {
	ctx, cancel := context.WithCancel(parent)
	mc := o.options.Jobs
	mc.Epoch = t.epoch
	now := o.nowMS()
	localRelay := workerrelay.New(o.workers, o.log, o.metrics)
	localRelay.NowMS = o.nowMS
	c := &Cell{
		Owner: o, term: t, machine: jobs.New(mc, now, time.Now().UnixMilli()),
		events: make(chan func(), eventQueueSize), orderSlots: make(chan struct{}, maxDirectCalls), ctx: ctx, cancel: cancel,
		recovered: make(chan struct{}), ended: make(chan struct{}),
		previews:            rate.NewLimiter(previewsPerSecond, previewBurst),
		localRelay:          localRelay,
		config:              config,
		pendingSubmits:      make(map[domain.JobID][]func(port.SubmitReply, error)),
		pendingCancels:      make(map[domain.JobID][]func(port.CancelReply, error)),
		polls:               make(map[domain.WorkerID]*pollState),
		fences:              fences{epoch: t.epoch, raised: make(map[domain.WorkerID]int64)},
		ackedEnds:           make(map[domain.WorkerID]int64),
		unackedSinceMS:      make(map[domain.WorkerID]int64),
		gauges:              gauges{names: make(map[string]bool), metrics: o.metrics},
		processedEnds:       make(map[domain.WorkerID]int64),
		registryPausedUntil: make(map[port.InstanceInfo]int64),
		pollGroups: pollGroups{directLimit: o.options.MaxDirectWorkers, byHost: make(map[port.InstanceInfo]*pollGroup),
			byZone: make(map[domain.ZoneID][]*pollGroup)},
	}
	c.confirmedUntilMS.Store(t.claimedMS + t.ttl.Milliseconds())
	for i := range writeChains {
		c.chains = append(c.chains, &writeChain{key: chainKey(i), revision: t.chainRevisions[i]})
	}
	return c
}

// post queues an event for the loop. It returns false once the term has ended.
func (c *Cell) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// endTerm ends the term.
func (c *Cell) endTerm(why string) {
	if c.ctx.Err() == nil {
		c.log.Info("reign ends", zap.Int64("epoch", c.term.epoch), zap.String("reason", why))
	}
	c.cancel()
}

// endIfFenced ends the term if the platform rejected a call because of a later owner's fence.
func (c *Cell) endIfFenced(err error) bool {
	var fenced *port.FencedError
	if !errors.As(err, &fenced) {
		return false
	}
	c.endTerm(err.Error())
	return true
}

// mayCallWorkers reports whether the owner may still send requests to workers.
func (c *Cell) mayCallWorkers(nowMS int64) bool {
	return nowMS < c.confirmedUntilMS.Load()+c.options.UnconfirmedGrace.Milliseconds()
}

// claimConfirmed reports whether the claim is guaranteed to hold.
func (c *Cell) claimConfirmed() bool { return c.nowMS() < c.confirmedUntilMS.Load() }

// renewClaim renews the claim until the term ends.
func (c *Cell) renewClaim() {
	c.renewPeriodically(c.ctx, c.term, c.extendConfirmed, func() { c.endTerm("claim expired") })
}

// extendConfirmed records that the claim holds until the given time. Answers to renewals may arrive
// out of order, so the time never moves back.
func (c *Cell) extendConfirmed(untilMS int64) {
	for {
		known := c.confirmedUntilMS.Load()
		if untilMS <= known || c.confirmedUntilMS.CompareAndSwap(known, untilMS) {
			return
		}
	}
}

// run serves the cell until the term ends.
func (c *Cell) run() {
	defer close(c.ended)
	defer c.gauges.unregister()
	c.configure(c.config)
	close(c.recovered)
	go c.watchRegistry()
	if c.maintenance != nil {
		go c.watchWaves()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// A reconcile pass is due after events, at most once per reconcileInterval.
	reconcileTimer := time.NewTimer(reconcileInterval)
	defer reconcileTimer.Stop()
	armed := true
	for {
		select {
		case <-c.ctx.Done():
			c.failPending()
			return
		case event := <-c.events:
			c.advance()
			c.runEvent(event)
			c.drainEvents()
			if !armed {
				armed = true
				reconcileTimer.Reset(max(0, reconcileInterval-time.Since(c.lastReconcile)))
			}
			continue
		case <-reconcileTimer.C:
			armed = false
			c.advance()
		case tick := <-ticker.C:
			c.metrics.Timer("owner.loop_lag").UpdateSince(tick)
			c.advance()
			c.updateGauges(c.nowMS())
		}
		if c.ctx.Err() != nil {
			continue
		}
		c.guarded("decisions", c.reconcile)
		c.lastReconcile = time.Now()
		if c.resigning && c.writesInFlight == 0 && !c.machine.HasChanges() {
			c.endTerm("resigned")
		}
	}
}

// guarded runs f and ends the term if it panics: the machine's state may be partly updated, and a
// successor starts from what is stored.
func (c *Cell) guarded(duty string, f func()) {
	if err := guard.Run(c.log, c.metrics, "owner_"+duty, f); err != nil {
		c.endTerm(err.Error())
	}
}

// Resign stores what has been confirmed and then ends the term. New submissions are turned away.
func (c *Cell) Resign() {
	c.post(func() { c.resigning = true })
}

// runEvent runs an event unless the term has ended: a submission handled after that could not be
// stored, and its caller would get no answer. The clock is set for each event, because an answer
// that is dated earlier than its arrival would prove too much about a worker.
func (c *Cell) runEvent(event func()) {
	if c.ctx.Err() == nil {
		c.machine.SetTime(c.nowMS(), time.Now().UnixMilli())
		c.guarded("event", event)
	}
}

// maxEventsPerPass bounds the events handled between two reconcile passes.
const maxEventsPerPass = 512

func (c *Cell) drainEvents() {
	for range maxEventsPerPass {
		select {
		case event := <-c.events:
			c.runEvent(event)
		default:
			return
		}
	}
}

func (c *Cell) advance() {
	// A renewal that was answered proves that the claim was held when it was sent.
	c.machine.SetClaimHeld(c.confirmedUntilMS.Load() - c.term.ttl.Milliseconds())
	c.machine.Advance(c.nowMS(), time.Now().UnixMilli())
}

// reconcile runs a scheduling pass and sends the resulting calls.
func (c *Cell) reconcile() {
	now := c.nowMS()
	// While resigning, the owner only stores what it knows; everything else is left to its
	// successor.
	if c.mayCallWorkers(now) && !c.resigning {
		c.planMaintenance(now)
		c.checkVMs(now)
		c.updateApprovers(now)
		c.machine.PauseStarts(c.options.MaxConfigAge > 0 && c.options.ConfigAge() > c.options.MaxConfigAge)
		start := time.Now()
		c.machine.Schedule()
		c.metrics.Timer("owner.decision").UpdateSince(start)
		c.dispatch(c.machine.TakeOutput(), now)
		c.sendGroupOrders(now)
		c.sendPolls(now)
	}
	c.startWrites(now)
	c.startLearnedWrite(now)
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
	c.machine.EvacuateZones(config.EvacuatedZones)
}

// Configure applies a newer configuration.
func (c *Cell) Configure(config *port.CellConfig) {
	c.post(func() { c.configure(config) })
}

// dispatch sends the orders and requests of a scheduling pass.
func (c *Cell) dispatch(output jobs.Output, now int64) {
	c.logDecisions(output.Decisions)
	for _, ms := range output.TimeToFirstStartMS {
		c.metrics.Timer("job.first_start").Update(time.Duration(ms) * time.Millisecond)
	}
	for reason, ms := range output.WaitedMS {
		c.metrics.Counter("wait_ms." + strings.ReplaceAll(reason, " ", "_")).Inc(ms)
	}
	// The counters exist only once they count, because the setting is off on most cells.
	if output.MovedBack > 0 {
		c.metrics.Counter("shares.moved_back").Inc(output.MovedBack)
	}
	if output.Places > 0 {
		c.metrics.Counter("shares.places").Inc(output.Places)
	}
	c.sendOrders(output, now)
	for _, r := range output.Approvals {
		c.requestApproval(r)
	}
	c.loadParked(output.Loads)
	for _, id := range output.RemovedWorkers {
		// The ID may register again, with orders of before still on their way.
		c.raiseFence(id)
		delete(c.polls, id)
		delete(c.ackedEnds, id)
		delete(c.processedEnds, id)
		delete(c.unackedSinceMS, id)
	}
}
