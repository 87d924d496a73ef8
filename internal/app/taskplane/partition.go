package taskplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/app/journal"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
)

// Partition runs one partition until it is stopped or superseded by a new owner.
type Partition struct {
	id      domain.PartitionID
	o       Options
	log     *zap.Logger
	machine *sched.Machine
	epoch   domain.Epoch

	inbox   chan command
	batches chan batch
	done    chan struct{}
	stop    context.CancelCauseFunc

	// The fields below are used only by the state machine's goroutine.
	workers           map[domain.WorkerID]*workerLoop
	loops             sync.WaitGroup // goroutines of workers, including removed ones
	lastBatch         uint64
	durable           uint64
	oldestPendingAt   time.Time // when the oldest batch that is not durable was produced
	confirmations     []confirmation
	draining          bool                               // the partition is being handed over
	ticks             int                                // number of ticks since the start
	publishedStats    sched.Stats                        // counters already added to the metrics
	allotmentRequests map[domain.TeamID]domain.Resources // latest allotment request of each team
	waiters           map[domain.JobID]map[chan struct{}]struct{}

	// The journal's goroutine sets these and signals wake. It never waits for the
	// state machine's goroutine, which may itself be blocked on a full batches channel.
	durableTo         atomic.Uint64
	snapshotRequested atomic.Bool
	wake              chan struct{}

	held heldLeases

	mu  sync.Mutex
	err error
}

// command runs on the state machine's goroutine.
type command func()

// confirmation receives a reply when its batch is durable.
type confirmation struct {
	batch uint64
	reply chan<- error
}

// errStopped is the cause if the partition is handed over.
var errStopped = errors.New("partition is handed over")

// open takes over the partition and starts its goroutines, which end when run
// ends, when Stop is called, or when another instance takes over the partition.
// It also returns the owner of the previous epoch.
func open(takeover, run context.Context, o Options, id domain.PartitionID) (*Partition, domain.InstanceID, error) {
	log, recovery, err := journal.TakeOver(takeover, journal.Options{
		Store: o.Store, Partition: id, Owner: o.Instance, NewID: o.NewID, Metrics: o.Metrics,
	})
	if err != nil {
		return nil, "", err
	}
	p := newPartition(o, id, log.Epoch())
	if err := p.restore(recovery); err != nil {
		return nil, "", err
	}
	p.log.Info("partition taken over",
		zap.Uint64("epoch", uint64(p.epoch)),
		zap.Int("replayed_groups", len(recovery.Groups)),
		zap.Int("snapshot_bytes", len(recovery.Snapshot)),
		zap.String("previous_owner", string(recovery.Previous)))
	p.start(run, log, recovery)
	return p, recovery.Previous, nil
}

func newPartition(o Options, id domain.PartitionID, epoch domain.Epoch) *Partition {
	cfg := sched.DefaultConfig()
	cfg.Partition = id
	cfg.LeaseTTL = leaseTTL
	cfg.ListLag = o.ListLag
	if o.MaxHeld > 0 {
		cfg.MaxHeld = o.MaxHeld
	}
	index := placement.NewIndex(placement.Options{Packing: o.Weights.Packing})
	queue := policy.NewQueue(policy.Options{Weights: o.Weights, ReservationDelay: o.ReservationDelay})
	return &Partition{
		id:                id,
		o:                 o,
		log:               o.Log.With(zap.String("partition", string(id))),
		machine:           sched.New(cfg, index, queue),
		epoch:             epoch,
		inbox:             make(chan command, inboxLength),
		batches:           make(chan batch, batchQueueLength),
		done:              make(chan struct{}),
		workers:           make(map[domain.WorkerID]*workerLoop),
		waiters:           make(map[domain.JobID]map[chan struct{}]struct{}),
		wake:              make(chan struct{}, 1),
		allotmentRequests: make(map[domain.TeamID]domain.Resources),
	}
}

func (p *Partition) restore(r journal.Recovery) error {
	if r.Snapshot != nil {
		if err := p.machine.Restore(r.Snapshot); err != nil {
			return errors.Wrapf(err, "restore snapshot of partition %s", p.id)
		}
	}
	for _, g := range r.Groups {
		for _, raw := range g.Records {
			record, err := sched.DecodeRecord(raw)
			if err != nil {
				return errors.Wrapf(err, "partition %s, group %d", p.id, g.Number)
			}
			if err := p.machine.Apply(record); err != nil {
				return errors.Wrapf(err, "partition %s, group %d", p.id, g.Number)
			}
		}
	}
	return nil
}

func (p *Partition) start(parent context.Context, log *journal.Log, r journal.Recovery) {
	ctx, cancel := context.WithCancelCause(parent)
	p.stop = cancel
	// The state machine needs the time before any other event: an end that is
	// recorded at time zero would count as long past, and its job would be deleted.
	p.tick()
	if r.Previous == "" {
		// No former owner exists whose leases could still be renewed.
		p.machine.Step(sched.FormerOwnerStopped{At: p.o.Clock.Now()})
	}
	var group sync.WaitGroup
	group.Go(func() { p.runJournal(ctx, log) })
	group.Go(func() { p.runMachine(ctx) })
	group.Go(func() { p.runClock(ctx) })
	group.Go(func() { p.runAllotments(ctx) })
	go func() {
		group.Wait()
		p.loops.Wait()
		close(p.done)
	}()
}

// runMachine runs commands one at a time until ctx ends.
func (p *Partition) runMachine(ctx context.Context) {
	defer close(p.batches)
	defer p.stopWorkers()
	for {
		select {
		case <-ctx.Done():
			p.failConfirmations()
			return
		case c := <-p.inbox:
			c()
			p.dispatch(ctx)
		case <-p.wake:
			p.markDurable(p.durableTo.Load())
			p.dispatch(ctx)
		}
	}
}

// signal wakes the state machine's goroutine after durableTo or snapshotRequested changed.
func (p *Partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runClock sends a tick per interval. A tick is skipped if the inbox is full.
func (p *Partition) runClock(ctx context.Context) {
	ctxtime.Every(ctx, tickInterval, func() {
		select {
		case p.inbox <- p.tick:
		default:
			p.o.Metrics.Counter("taskplane.ticks_skipped").Inc(1)
		}
	})
}

func (p *Partition) tick() {
	p.machine.Step(sched.Tick{Now: p.o.Clock.Now()})
	p.ticks++
	if p.ticks%notifyTicks == 0 {
		p.notifyEnded()
	}
	if p.ticks%publishTicks == 0 {
		p.publish()
	}
}

// post sends an event to the state machine. It blocks if the inbox is full, which
// slows down the calls of a worker loop.
func (p *Partition) post(ctx context.Context, ev sched.Event) {
	select {
	case <-ctx.Done():
	case p.inbox <- func() { p.machine.Step(ev) }:
	}
}

// do runs f on the state machine's goroutine and waits for it.
func (p *Partition) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.done:
		return p.cause()
	case p.inbox <- func() { f(); close(ran) }:
	}
	select {
	case <-ran:
		return nil
	case <-p.done:
		return p.cause()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop hands over the partition: it refuses new work, makes the last records
// durable and stops the goroutines. Worker leases remain until the new owner
// supersedes them or they expire.
func (p *Partition) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), drainGrace)
	defer cancel()
	settled := make(chan error, 1)
	_ = p.do(ctx, func() {
		p.draining = true
		p.replyWhenDurable(p.lastBatch, settled)
	})
	select {
	case <-settled:
	case <-ctx.Done():
	case <-p.done:
	}
	p.stop(errStopped)
	<-p.done
}

// Done is closed when the partition's goroutines have ended.
func (p *Partition) Done() <-chan struct{} { return p.done }

// ID returns the partition's name.
func (p *Partition) ID() domain.PartitionID { return p.id }

// Epoch returns the epoch under which this instance owns the partition.
func (p *Partition) Epoch() domain.Epoch { return p.epoch }

func (p *Partition) fail(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
	p.stop(err)
}

func (p *Partition) cause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	return errStopped
}

// setInputs passes the teams to the state machine.
func (p *Partition) setInputs(in Inputs) {
	p.postNow(sched.TeamsChanged{Teams: in.Teams})
}

// setWorkers passes one read of the platform's VM list to the state machine.
func (p *Partition) setWorkers(vms []domain.VM) {
	p.postNow(sched.WorkersListed{VMs: vms})
}

func (p *Partition) postNow(ev sched.Event) {
	select {
	case <-p.done:
	case p.inbox <- func() { p.machine.Step(ev) }:
	}
}
