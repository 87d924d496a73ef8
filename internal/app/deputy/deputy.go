// Package deputy renews the worker leases of a failed partition owner while the
// store is unreachable, so that running tasks survive the loss of the owner
// (section 4.2 of docs/design.md). Sharer runs at the owner and sends the lease
// IDs to the deputy instance. Deputy runs at the receiving instance and renews
// them. It neither starts attempts nor acknowledges their ends.
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

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

const (
	// tickInterval is the interval of ticks, and so the maximum delay before a
	// deputy detects that it is needed.
	tickInterval = time.Second
	// renewInterval allows two attempts before a lease of 30 s expires.
	renewInterval = 10 * time.Second
	// retryDelay is the delay after a renewal that failed without a refusal.
	retryDelay = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 3 * time.Second
	// maxParallelCalls bounds the concurrent renewals. It exceeds the number of
	// workers in an availability zone (190), so that the timeouts of a
	// disconnected zone delay other renewals by at most one call.
	maxParallelCalls = 256
	// maxConfirmationAge is the age of the last store confirmation beyond which
	// leases are abandoned. Owners use the same value, see section 4.2 of docs/design.md.
	maxConfirmationAge = 75 * time.Minute
)

// Cluster is a deputy's view of the other instances and of the store.
type Cluster interface {
	// Incarnation returns the incarnation that the member list has for the instance, or zero.
	Incarnation(id domain.InstanceID) uint64
	// Ended reports whether the process is listed as dead, has left, is proven
	// to have terminated, or was replaced by a later incarnation.
	Ended(id domain.InstanceID, incarnation uint64) bool
	// Epoch returns the highest epoch that a live member advertises for the
	// partition, or zero.
	Epoch(partition domain.PartitionID) domain.Epoch
	// StoreOutage reports whether the store is unreachable both from this
	// instance and from the peers that it can reach.
	StoreOutage() bool
	// StoreConfirmedAt returns the time of the latest store confirmation, or zero.
	StoreConfirmedAt() time.Time
}

// Options are the dependencies of a Deputy.
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
	stopped    map[domain.PartitionID][]*partition // with calls in flight that Depose waits for
	minEpochs  map[domain.PartitionID]domain.Epoch // leases of lower epochs are never renewed
	renewed    map[domain.PartitionID]time.Time    // send time of the latest renewal
}

// partition holds the leases that one owner shared under one epoch.
type partition struct {
	id          domain.PartitionID
	owner       domain.InstanceID
	incarnation uint64
	epoch       domain.Epoch
	leases      map[domain.LeaseID]*lease
	sequence    uint64             // of the latest list of which a chunk arrived
	pending     []port.SharedLease // leases of that list until it is complete
	nextChunk   int                // index of the expected chunk
	stopped     bool
	ctx         context.Context // cancelled when the partition is stopped
	cancel      context.CancelFunc
	calls       sync.WaitGroup
}

type lease struct {
	worker     domain.WorkerID
	address    string
	id         domain.LeaseID
	acquiredBy time.Time // upper bound of the acquisition time, by this instance's clock
	due        time.Time // of the next renewal
	refused    bool
}

// New returns a deputy without leases.
func New(o Options) *Deputy {
	return &Deputy{
		o:          o,
		partitions: make(map[domain.PartitionID]*partition),
		stopped:    make(map[domain.PartitionID][]*partition),
		minEpochs:  make(map[domain.PartitionID]domain.Epoch),
		renewed:    make(map[domain.PartitionID]time.Time),
	}
}

// Run calls Tick every tickInterval until ctx ends.
func (d *Deputy) Run(ctx context.Context) {
	ctxtime.Every(ctx, tickInterval, func() { d.Tick(ctx) })
}

// ShareLeases receives one chunk of an owner's list of leases. The complete list
// replaces the previous one: once it returns for the last chunk, leases that are
// not on the list are no longer renewed. Lists of superseded epochs are refused.
func (d *Deputy) ShareLeases(_ context.Context, list port.SharedLeases) error {
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.partitions[list.Partition]
	if list.Epoch < d.minEpochs[list.Partition] || p != nil && list.Epoch < p.epoch {
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
		p.sequence, p.pending, p.nextChunk = list.Sequence, nil, 0
	}
	// A delayed list must not restore leases that a later list removed.
	if list.Sequence != p.sequence || list.Chunk != p.nextChunk {
		return refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			fmt.Sprintf("part %d of lease list %d came in place of part %d of list %d",
				list.Chunk, list.Sequence, p.nextChunk, p.sequence),
			"send the present list with a higher sequence number")
	}
	p.nextChunk++
	p.pending = append(p.pending, list.Leases...)
	if p.nextChunk >= list.Chunks {
		p.incarnation = d.o.Cluster.Incarnation(p.owner)
		p.usePending(now)
	}
	return nil
}

// usePending puts the complete list into use.
func (p *partition) usePending(now time.Time) {
	leases := make(map[domain.LeaseID]*lease, len(p.pending))
	for _, shared := range p.pending {
		l := &lease{worker: shared.Worker, address: shared.Address, id: shared.Lease}
		if known, ok := p.leases[shared.Lease]; ok {
			l.due, l.refused = known.due, known.refused
		}
		// Ages were measured before the list was sent, so acquiredBy is never earlier than
		// the acquisition.
		l.acquiredBy = now.Add(-max(0, shared.Age))
		leases[l.id] = l
	}
	p.leases, p.pending = leases, nil
}

// Depose permanently stops the renewals of the partition under epochs below the
// given one. It returns once no such renewal is in flight, with the send time of
// the partition's latest renewal, or zero if none was sent.
func (d *Deputy) Depose(id domain.PartitionID, epoch domain.Epoch) time.Time {
	d.mu.Lock()
	d.raiseMinEpoch(id, epoch)
	// A higher epoch that became known earlier may have stopped the partition already.
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

// raiseMinEpoch raises the partition's minimum epoch and stops the partition if its epoch
// is lower. The caller holds the lock.
func (d *Deputy) raiseMinEpoch(id domain.PartitionID, epoch domain.Epoch) {
	d.minEpochs[id] = max(d.minEpochs[id], epoch)
	if p := d.partitions[id]; p != nil && p.epoch < epoch {
		d.stop(p)
	}
}

// stop ends the renewals of p permanently. The caller holds the lock.
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

// Tick renews the leases that are due and returns when all calls have ended.
func (d *Deputy) Tick(ctx context.Context) {
	d.mu.Lock()
	due := make(map[*partition][]*lease, len(d.partitions))
	now := d.o.Clock.Now()
	for _, p := range d.partitions {
		if !d.renewalNeeded(p, now) {
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
	slots := make(chan struct{}, maxParallelCalls)
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

// renewalNeeded reports whether the leases of the partition must be renewed now. It
// stops the partition permanently if a higher epoch is known, or if the last
// store confirmation is older than maxConfirmationAge. The caller holds the lock.
func (d *Deputy) renewalNeeded(p *partition, now time.Time) bool {
	c := d.o.Cluster
	if epoch := c.Epoch(p.id); epoch > p.epoch {
		d.raiseMinEpoch(p.id, epoch)
		return false
	}
	if !c.StoreOutage() || !c.Ended(p.owner, p.incarnation) {
		return false
	}
	if confirmed := c.StoreConfirmedAt(); confirmed.IsZero() || now.Sub(confirmed) > maxConfirmationAge {
		d.o.Log.Warn("the last store confirmation is too old, abandoning the leases of a failed owner",
			zap.String("partition", string(p.id)), zap.Duration("bound", maxConfirmationAge))
		d.stop(p)
		return false
	}
	return true
}

func (d *Deputy) renew(ctx context.Context, p *partition, id domain.LeaseID) {
	l, sentAt, ok := d.beginRenewal(p, id)
	if !ok {
		return
	}
	defer p.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	_, err := d.o.Workers.Worker(l.address).RenewLease(ctx, port.RenewRequest{
		Lease:   l.id,
		Elapsed: sentAt.Sub(l.acquiredBy),
	})
	d.finishRenewal(p, l, sentAt, err)
}

// beginRenewal records that a renewal is being sent, unless the renewal is no longer
// allowed. If it returns true, the caller must call p.calls.Done after the call.
func (d *Deputy) beginRenewal(p *partition, id domain.LeaseID) (lease, time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	l, ok := p.leases[id]
	if !ok || p.stopped || !d.renewalNeeded(p, now) {
		return lease{}, time.Time{}, false
	}
	p.calls.Add(1)
	d.renewed[p.id] = now
	return *l, now, true
}

// finishRenewal sets the time of the lease's next renewal by the outcome of a call.
func (d *Deputy) finishRenewal(p *partition, sent lease, sentAt time.Time, err error) {
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
		d.o.Metrics.CountRetry(metrics.RetryWorkerCall)
		l.due = d.o.Clock.Now().Add(retryDelay)
	default:
		l.refused = true
		d.o.Log.Warn("a worker refused the renewal of a failed owner's lease, the lease is no longer renewed",
			zap.String("partition", string(p.id)), zap.String("worker", string(l.worker)),
			zap.Uint64("epoch", uint64(refused.Current)))
		if refused.Current > p.epoch {
			d.raiseMinEpoch(p.id, refused.Current)
		}
	}
}
