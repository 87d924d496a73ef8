// Package deputy keeps the worker leases of a dead partition owner alive while
// the store is unreachable, so that running tasks survive the loss of the owner
// (section 4.2 of docs/design.md). Sharer is the owner's side: it sends the
// lease IDs to the deputy. Deputy is the receiving side: it renews them. It
// starts nothing and acknowledges no end of an attempt.
package deputy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

const (
	// tickInterval bounds how long a deputy takes to see that it is needed.
	tickInterval = time.Second
	// renewInterval leaves two tries before a lease of 30 s lapses.
	renewInterval = 10 * time.Second
	// retryDelay is the wait after a renewal that got no answer.
	retryDelay = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 3 * time.Second
	// parallelCalls bounds the renewals under way at once. It exceeds the workers
	// of an availability zone (190), so that the timeouts of one that is cut off
	// do not delay the other renewals by more than one call.
	parallelCalls = 256
	// confirmationBound is the same as that of an owner, see section 4.2 of docs/design.md.
	confirmationBound = 75 * time.Minute
)

// Cluster is what a deputy knows of the other instances and of the store.
type Cluster interface {
	// Incarnation returns the process that the member list has under the ID, or zero.
	Incarnation(id domain.InstanceID) uint64
	// Ended reports whether the process is dead in the member list, left,
	// provably ended, or was replaced by a later one.
	Ended(id domain.InstanceID, incarnation uint64) bool
	// Epoch returns the highest epoch that a live member states for the
	// partition, or zero.
	Epoch(partition domain.PartitionID) domain.Epoch
	// StoreOutage reports whether the store is unreachable from here and from
	// the peers that this instance hears.
	StoreOutage() bool
	// StoreConfirmedAt returns the time of the latest store confirmation, or zero.
	StoreConfirmedAt() time.Time
}

// Options are what a deputy needs from its surroundings.
type Options struct {
	Cluster Cluster
	Workers port.WorkerDialer
	Clock   port.Clock
	Log     *zap.Logger
	Metrics *metrics.Registry
}

// Deputy renews the leases that were shared with this instance. It is safe for
// concurrent use.
type Deputy struct {
	o Options

	mu         sync.Mutex
	partitions map[domain.PartitionID]*partition
	stopped    map[domain.PartitionID][]*partition // whose last calls a deposition waits for
	floors     map[domain.PartitionID]domain.Epoch // leases of lower epochs are never renewed
	renewed    map[domain.PartitionID]time.Time    // when the last renewal was sent
}

// partition is the list of one owner under one epoch.
type partition struct {
	id          domain.PartitionID
	owner       domain.InstanceID
	incarnation uint64
	epoch       domain.Epoch
	leases      map[domain.LeaseID]*lease
	sequence    uint64             // of the latest list that began to arrive
	parts       []port.SharedLease // of that list, while it is not complete
	next        int                // the part that is expected
	stopped     bool
	ctx         context.Context // ends when the partition is stopped
	cancel      context.CancelFunc
	calls       sync.WaitGroup
}

type lease struct {
	worker  domain.WorkerID
	address string
	id      domain.LeaseID
	base    time.Time // the acquisition by this instance's clock, or later
	due     time.Time
	refused bool
}

// New returns a deputy that has no leases yet.
func New(o Options) *Deputy {
	return &Deputy{
		o:          o,
		partitions: make(map[domain.PartitionID]*partition),
		stopped:    make(map[domain.PartitionID][]*partition),
		floors:     make(map[domain.PartitionID]domain.Epoch),
		renewed:    make(map[domain.PartitionID]time.Time),
	}
}

// Run renews leases where it is needed until ctx ends.
func (d *Deputy) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Tick(ctx)
		}
	}
}

// ShareLeases takes the list of an owner, which replaces its last one. When it
// returns, leases that are not on the list are renewed no more. The list of a
// deposed owner is refused.
func (d *Deputy) ShareLeases(_ context.Context, list port.SharedLeases) error {
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.partitions[list.Partition]
	if list.Epoch < d.floors[list.Partition] || p != nil && list.Epoch < p.epoch {
		return refusal.New(http.StatusConflict, refusal.PartitionUnavailable,
			fmt.Sprintf("epoch %d of partition %s was superseded", list.Epoch, list.Partition),
			"give the partition up, another instance owns it")
	}
	if p == nil || list.Epoch > p.epoch {
		d.stop(p)
		p = &partition{id: list.Partition, owner: list.From, epoch: list.Epoch}
		p.ctx, p.cancel = context.WithCancel(context.Background())
		d.partitions[list.Partition] = p
	}
	if list.Sequence > p.sequence && list.Chunk == 0 {
		p.sequence, p.parts, p.next = list.Sequence, nil, 0
	}
	// A list that is delivered late must not bring withdrawn leases back.
	if list.Sequence != p.sequence || list.Chunk != p.next {
		return refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			fmt.Sprintf("part %d of lease list %d came in place of part %d of list %d",
				list.Chunk, list.Sequence, p.next, p.sequence),
			"send the present list with a higher sequence number")
	}
	p.next++
	p.parts = append(p.parts, list.Leases...)
	if p.next >= list.Chunks {
		p.incarnation = d.o.Cluster.Incarnation(p.owner)
		p.replace(now)
	}
	return nil
}

// replace takes over the complete list.
func (p *partition) replace(now time.Time) {
	leases := make(map[domain.LeaseID]*lease, len(p.parts))
	for _, shared := range p.parts {
		l := &lease{worker: shared.Worker, address: shared.Address, id: shared.Lease}
		if known, ok := p.leases[shared.Lease]; ok {
			l.due, l.refused = known.due, known.refused
		}
		// The ages were taken before the list was sent, so the base is never too early.
		l.base = now.Add(-max(0, shared.Age))
		leases[l.id] = l
	}
	p.leases, p.parts = leases, nil
}

// Depose stops the renewals of the partition under epochs below the given one
// for good. It returns when none is under way any more, with the time at which
// the last one was sent, or zero where there was none.
func (d *Deputy) Depose(id domain.PartitionID, epoch domain.Epoch) time.Time {
	d.mu.Lock()
	d.raise(id, epoch)
	// It may have been stopped before, by news of a higher epoch.
	stopped := slices.Clone(d.stopped[id])
	d.mu.Unlock()
	for _, p := range stopped {
		p.calls.Wait()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped[id] = slices.DeleteFunc(d.stopped[id], func(p *partition) bool { return slices.Contains(stopped, p) })
	return d.renewed[id]
}

// raise forbids renewals below the epoch and stops the partition where it has a
// lower one. It is called with the lock held.
func (d *Deputy) raise(id domain.PartitionID, epoch domain.Epoch) {
	d.floors[id] = max(d.floors[id], epoch)
	if p := d.partitions[id]; p != nil && p.epoch < epoch {
		d.stop(p)
	}
}

// stop is called with the lock held.
func (d *Deputy) stop(p *partition) {
	if p == nil {
		return
	}
	p.stopped = true
	p.cancel()
	d.stopped[p.id] = append(d.stopped[p.id], p)
	if d.partitions[p.id] == p {
		delete(d.partitions, p.id)
	}
}

// Tick renews the leases that are due, and returns when all calls have ended.
func (d *Deputy) Tick(ctx context.Context) {
	d.mu.Lock()
	due := make(map[*partition][]*lease, len(d.partitions))
	now := d.o.Clock.Now()
	for _, p := range d.partitions {
		if !d.needed(p, now) {
			continue
		}
		for _, l := range p.leases {
			if !l.refused && !l.due.After(now) {
				due[p] = append(due[p], l)
			}
		}
	}
	d.mu.Unlock()
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelCalls)
	for p, leases := range due {
		for _, l := range leases {
			slots <- struct{}{}
			group.Go(func() {
				d.renew(ctx, p, l.id)
				<-slots
			})
		}
	}
	group.Wait()
}

// needed reports whether the leases of the partition are to be renewed now. It
// stops the partition for good after news of a higher epoch, and where the last
// store confirmation is older than the bound. It is called with the lock held.
func (d *Deputy) needed(p *partition, now time.Time) bool {
	c := d.o.Cluster
	if epoch := c.Epoch(p.id); epoch > p.epoch {
		d.raise(p.id, epoch)
		return false
	}
	if !c.StoreOutage() || !c.Ended(p.owner, p.incarnation) {
		return false
	}
	if confirmed := c.StoreConfirmedAt(); confirmed.IsZero() || now.Sub(confirmed) > confirmationBound {
		d.o.Log.Warn("the store was not confirmed for too long, the leases of a dead owner are given up",
			zap.String("partition", string(p.id)), zap.Duration("bound", confirmationBound))
		d.stop(p)
		return false
	}
	return true
}

func (d *Deputy) renew(ctx context.Context, p *partition, id domain.LeaseID) {
	l, sentAt, ok := d.begin(p, id)
	if !ok {
		return
	}
	defer p.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	_, err := d.o.Workers.Worker(l.address).RenewLease(ctx, port.RenewRequest{
		Lease:   l.id,
		Elapsed: sentAt.Sub(l.base),
	})
	d.finish(p, l, sentAt, err)
}

// begin notes that a renewal is sent, unless it is not allowed any more. Each
// call that it allows ends with p.calls.Done.
func (d *Deputy) begin(p *partition, id domain.LeaseID) (lease, time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	l, ok := p.leases[id]
	if !ok || p.stopped || !d.needed(p, now) {
		return lease{}, time.Time{}, false
	}
	p.calls.Add(1)
	d.renewed[p.id] = now
	return *l, now, true
}

func (d *Deputy) finish(p *partition, sent lease, sentAt time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := p.leases[sent.id]
	if !ok {
		return
	}
	var refused *port.LeaseRefusedError
	switch {
	case err == nil:
		d.o.Metrics.Counter("deputy.renewals").Inc(1)
		l.due = sentAt.Add(renewInterval)
	case !errors.As(err, &refused):
		d.o.Metrics.Retried(metrics.RetryWorkerCall)
		l.due = d.o.Clock.Now().Add(retryDelay)
	default:
		l.refused = true
		d.o.Log.Warn("a worker refused the lease of a dead owner, it is renewed no more",
			zap.String("partition", string(p.id)), zap.String("worker", string(l.worker)),
			zap.Uint64("epoch", uint64(refused.Current)))
		if refused.Current > p.epoch {
			d.raise(p.id, refused.Current)
		}
	}
}
