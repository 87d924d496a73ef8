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
	"auburnpier/internal/domain"
)

// Partition runs one owned partition until it is stopped or deposed.
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

	// The fields below belong to the machine's goroutine.
	workers    map[domain.WorkerID]*workerLoop
	loops      sync.WaitGroup // goroutines of workers, forgotten ones included
	lastBatch  uint64
	durable    uint64
	oldest     time.Time // when the oldest batch that is not durable was handed out
	confirming []confirmation
	draining   bool                               // the partition is being handed over
	ticks      int                                // since the start
	published  sched.Stats                        // what the metrics include
	wishes     map[domain.TeamID]domain.Resources // the last allotment request of each team
	notified   map[domain.JobID]map[chan struct{}]struct{}

	// The journal's goroutine sets these and signals wake. It never waits for
	// the machine's goroutine, which may itself wait for room in batches.
	durableTo      atomic.Uint64
	snapshotWanted atomic.Bool
	wake           chan struct{}

	held heldLeases

	mu  sync.Mutex
	err error
}

// command is run by the machine's goroutine.
type command func()

// confirmation is answered when its batch is durable.
type confirmation struct {
	batch uint64
	reply chan<- error
}

// errStopped is the cause of a hand-over.
var errStopped = errors.New("partition is handed over")

// open takes the partition over and starts its goroutines, which end when run
// ends, when Stop is called, or when another instance takes the partition
// over. It returns the owner of the epoch before too.
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
		id:       id,
		o:        o,
		log:      o.Log.With(zap.String("partition", string(id))),
		machine:  sched.New(cfg, index, queue),
		epoch:    epoch,
		inbox:    make(chan command, inboxLength),
		batches:  make(chan batch, batchQueueLength),
		done:     make(chan struct{}),
		workers:  make(map[domain.WorkerID]*workerLoop),
		notified: make(map[domain.JobID]map[chan struct{}]struct{}),
		wake:     make(chan struct{}, 1),
		wishes:   make(map[domain.TeamID]domain.Resources),
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
	// The machine needs the time before any other event: an end that is
	// recorded at time zero counts as long past and its job is forgotten.
	p.tick()
	if r.Previous == "" {
		// There was no owner whose leases another process could renew.
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

// runMachine handles commands one at a time until ctx ends.
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
			p.becameDurable(p.durableTo.Load())
			p.dispatch(ctx)
		}
	}
}

// signal wakes the machine's goroutine after durableTo or snapshotWanted changed.
func (p *Partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runClock sends a tick at each interval. A tick is skipped where the inbox is full.
func (p *Partition) runClock(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			select {
			case p.inbox <- p.tick:
			default:
				p.o.Metrics.Counter("taskplane.ticks_skipped").Inc(1)
			}
		}
	}
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

// post hands an event of a worker loop to the machine. It waits where the
// inbox is full, which slows that worker's calls down.
func (p *Partition) post(ctx context.Context, ev sched.Event) {
	select {
	case <-ctx.Done():
	case p.inbox <- func() { p.machine.Step(ev) }:
	}
}

// do runs f on the machine's goroutine and waits for it.
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

// Stop hands the partition over: new work is refused, the last records are
// made durable and the goroutines end. Leases of workers stay until a
// successor supersedes them or they lapse.
func (p *Partition) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), drainGrace)
	defer cancel()
	settled := make(chan error, 1)
	_ = p.do(ctx, func() {
		p.draining = true
		p.confirm(p.lastBatch, settled)
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

// Epoch returns the epoch of this owner.
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

// setInputs passes the teams to the machine.
func (p *Partition) setInputs(in Inputs) {
	p.postNow(sched.TeamsChanged{Teams: in.Teams})
}

// setWorkers passes one read of the platform's list to the machine.
func (p *Partition) setWorkers(vms []domain.VM) {
	p.postNow(sched.WorkersListed{VMs: vms})
}

func (p *Partition) postNow(ev sched.Event) {
	select {
	case <-p.done:
	case p.inbox <- func() { p.machine.Step(ev) }:
	}
}
