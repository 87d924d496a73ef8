package taskplane

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/core/sched"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

const (
	// renewTries renewals in a row fail before the worker counts as unreachable.
	renewTries = 3
	// renewRetryDelay is the wait between them.
	renewRetryDelay = time.Second
	// acquireRetryDelay is the wait before an idle worker is tried again.
	acquireRetryDelay = 5 * time.Second
	// lapseMargin is added to the lease's time to live before a worker that may
	// still run attempts is contacted again, so that its lease has lapsed by then.
	lapseMargin = 5 * time.Second
	// lapseCheck is longer than the machine's interval between two checks for
	// lapsed leases. A new acquisition that fails at once would move the last
	// moment of a renewal on before the machine has seen the lapse.
	lapseCheck = 2 * time.Second
	// withdrawWait is how long a lost lease waits for the deputy's answer that
	// it renews the lease no more, and withdrawPoll how often that is checked.
	withdrawWait = 3 * time.Second
	withdrawPoll = 100 * time.Millisecond
	// reportSpacing bounds the renewals of a worker whose tasks end all the
	// time, so that ends are reported in groups.
	reportSpacing = 200 * time.Millisecond
)

// keeper acquires and renews the lease of one worker. A renewal is held open
// by the worker until it has news, so that an end is known at once although a
// worker at rest costs one call each renewInterval.
type keeper struct {
	w *workerLoop

	mu           sync.Mutex
	acquire      bool // a new lease is wanted
	acknowledged map[domain.AttemptID]struct{}
	interrupt    context.CancelFunc // ends the renewal that is held open

	// The fields below belong to the keeper's goroutine.
	lease      port.Lease
	acquiredAt time.Time
	lastSent   time.Time
	failures   int
	// lost lists leases that a deputy may still renew since the worker became unreachable.
	lost []domain.LeaseID
}

func newKeeper(w *workerLoop) *keeper {
	return &keeper{w: w, acquire: true, acknowledged: make(map[domain.AttemptID]struct{})}
}

// wantLease asks for a new lease, which proves what was started under the last one.
func (k *keeper) wantLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acquire = true
	if k.interrupt != nil {
		k.interrupt()
	}
}

// acknowledge passes durable ends with the next renewal.
func (k *keeper) acknowledge(ids []domain.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		k.acknowledged[id] = struct{}{}
	}
}

func (k *keeper) run(ctx context.Context) {
	defer func() { k.w.p.held.drop(k.w.id, k.lease.ID) }()
	for ctx.Err() == nil {
		if k.lease.ID == "" || k.takeAcquire() {
			k.acquireLease(ctx)
			continue
		}
		k.renew(ctx)
	}
}

func (k *keeper) takeAcquire() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := k.acquire
	k.acquire = false
	return wanted
}

func (k *keeper) acquireLease(ctx context.Context) {
	k.takeAcquire()
	p := k.w.p
	k.lastSent = p.o.Clock.Now()
	lease, err := within(ctx, func(ctx context.Context) (port.Lease, error) {
		return k.w.remote.AcquireLease(ctx, p.o.Instance, p.epoch, leaseTTL)
	})
	if err != nil {
		k.acquireFailed(ctx, err)
		return
	}
	k.lease = lease
	k.acquiredAt = p.o.Clock.Now()
	k.failures = 0
	k.lost = nil // the new lease supersedes them at the worker
	p.held.acquired(k.w.id, heldLease{address: k.w.address, lease: lease.ID, at: k.acquiredAt}, k.lastSent)
	p.post(ctx, sched.LeaseAcquired{Worker: k.w.id, Lease: lease, SentAt: k.lastSent})
}

func (k *keeper) acquireFailed(ctx context.Context, err error) {
	k.lose()
	p := k.w.p
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) && refused.Current > p.epoch {
		p.log.Warn("a worker has a lease of a higher epoch, the partition is given up",
			zap.String("worker", string(k.w.id)), zap.Uint64("epoch", uint64(refused.Current)))
		p.fail(err)
		return
	}
	p.o.Metrics.Retried(metrics.RetryWorkerCall)
	k.unreachable(ctx)
}

// lose forgets the lease and takes it off the list that the deputy gets.
func (k *keeper) lose() {
	if k.lease.ID == "" {
		return
	}
	k.lost = append(k.lost, k.lease.ID)
	k.w.p.held.drop(k.w.id, k.lease.ID)
	k.lease = port.Lease{}
}

// unreachable reports the worker and leaves it alone for a while. Where a
// deputy may still renew a lost lease, the report moves the last moment of a
// renewal to the present, so that the lease does not count as lapsed.
func (k *keeper) unreachable(ctx context.Context) {
	k.lose()
	p := k.w.p
	if len(k.lost) == 0 || p.o.Deputies == nil {
		p.post(ctx, sched.WorkerUnreachable{Worker: k.w.id, LastSent: k.lastSent})
		ctxtime.Sleep(ctx, k.rest(ctx))
		return
	}
	withdrawn := k.awaitWithdrawn(ctx)
	p.post(ctx, sched.WorkerUnreachable{Worker: k.w.id, LastSent: p.o.Clock.Now()})
	if !withdrawn {
		ctxtime.Sleep(ctx, acquireRetryDelay)
		return
	}
	k.lost = nil
	ctxtime.Sleep(ctx, k.rest(ctx))
}

// awaitWithdrawn waits for a while until no deputy renews the lost leases.
func (k *keeper) awaitWithdrawn(ctx context.Context) bool {
	for range withdrawWait / withdrawPoll {
		if k.withdrawn() {
			return true
		}
		ctxtime.Sleep(ctx, withdrawPoll)
	}
	return k.withdrawn()
}

func (k *keeper) withdrawn() bool {
	for _, lease := range k.lost {
		if !k.w.p.o.Deputies.Withdrawn(k.w.p.id, lease) {
			return false
		}
	}
	return true
}

// rest returns how long an unreachable worker is left alone: until its lease
// has lapsed where it may still run attempts, so that they are proven stopped.
func (k *keeper) rest(ctx context.Context) time.Duration {
	attempts := 0
	_ = k.w.p.do(ctx, func() {
		status, _ := k.w.p.machine.Worker(k.w.id)
		attempts = status.Attempts
	})
	if attempts > 0 {
		return leaseTTL + lapseMargin + lapseCheck
	}
	return acquireRetryDelay
}

func (k *keeper) renew(ctx context.Context) {
	p := k.w.p
	wait, cancel := context.WithTimeout(ctx, renewInterval+workerCallTimeout)
	defer cancel()
	request, ids := k.request(cancel)
	k.lastSent = p.o.Clock.Now()
	request.Elapsed = k.lastSent.Sub(k.acquiredAt)
	p.held.renewing(k.lastSent)
	lease, err := k.w.remote.RenewLease(wait, request)
	interrupted := k.finished()
	switch {
	case err == nil:
		k.renewed(ctx, lease)
	case ctx.Err() != nil:
	case interrupted:
		k.acknowledge(ids)
	default:
		k.acknowledge(ids)
		k.renewFailed(ctx, err)
	}
}

func (k *keeper) request(interrupt context.CancelFunc) (port.RenewRequest, []domain.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt = interrupt
	ids := make([]domain.AttemptID, 0, len(k.acknowledged))
	for id := range k.acknowledged {
		ids = append(ids, id)
	}
	clear(k.acknowledged)
	wait := renewInterval
	if k.acquire {
		wait = 0
	}
	return port.RenewRequest{Lease: k.lease.ID, Acknowledged: ids, SeenVersion: k.lease.Version, Wait: wait}, ids
}

// finished ends the time in which the renewal can be interrupted and reports whether it was.
func (k *keeper) finished() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt = nil
	return k.acquire
}

func (k *keeper) renewed(ctx context.Context, lease port.Lease) {
	k.failures = 0
	k.lease = lease
	k.w.p.post(ctx, sched.LeaseRenewed{Worker: k.w.id, Lease: lease, SentAt: k.lastSent})
	ctxtime.Sleep(ctx, reportSpacing)
}

func (k *keeper) renewFailed(ctx context.Context, err error) {
	p := k.w.p
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) {
		p.post(ctx, sched.LeaseRefused{Worker: k.w.id, Lease: k.lease.ID})
		k.lose()
		k.lost = nil // no renewal of it has an effect
		return
	}
	p.o.Metrics.Retried(metrics.RetryWorkerCall)
	k.failures++
	if k.failures < renewTries {
		ctxtime.Sleep(ctx, renewRetryDelay)
		return
	}
	k.failures = 0
	k.unreachable(ctx)
}
