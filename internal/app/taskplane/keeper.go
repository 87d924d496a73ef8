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
	// maxRenewFailures is the number of consecutive failed renewals after which the
	// worker counts as unreachable.
	maxRenewFailures = 3
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = time.Second
	// acquireRetryDelay is the delay before an unreachable worker without attempts is
	// contacted again.
	acquireRetryDelay = 5 * time.Second
	// expiryMargin is added to the time to live of a lease before an unreachable
	// worker that may still run attempts is contacted again, so that its lease has
	// expired by then.
	expiryMargin = 5 * time.Second
	// expiryCheckMargin exceeds the state machine's interval between checks for
	// expired leases. Without it, a new acquisition that fails immediately would
	// advance the time of the last renewal before the state machine has seen the expiry.
	expiryCheckMargin = 2 * time.Second
	// withdrawTimeout bounds the wait for the deputies to confirm that they no
	// longer renew a lost lease. withdrawPollInterval is how often that is checked.
	withdrawTimeout      = 3 * time.Second
	withdrawPollInterval = 100 * time.Millisecond
	// renewSpacing is the delay between two renewals. It limits the renewals of a
	// worker whose tasks end frequently, so that ends are reported in groups.
	renewSpacing = 200 * time.Millisecond
)

// leaseKeeper acquires and renews the lease of one worker. The worker keeps a
// renewal open until its state changes, so that the end of an attempt is known
// immediately while an idle worker costs only one call per renewInterval.
type leaseKeeper struct {
	w *workerLoop

	mu             sync.Mutex
	leaseRequested bool // a new lease is requested
	acknowledged   map[domain.AttemptID]struct{}
	interrupt      context.CancelFunc // cancels the open renewal

	// The fields below are used only by the goroutine of run.
	lease      port.Lease
	acquiredAt time.Time
	lastSent   time.Time
	failures   int
	// lost lists former leases that a deputy may still renew although this instance
	// cannot reach the worker.
	lost []domain.LeaseID
}

func newLeaseKeeper(w *workerLoop) *leaseKeeper {
	return &leaseKeeper{w: w, leaseRequested: true, acknowledged: make(map[domain.AttemptID]struct{})}
}

// requestLease requests a new lease. The worker's response shows which attempts were
// started under the previous one.
func (k *leaseKeeper) requestLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaseRequested = true
	if k.interrupt != nil {
		k.interrupt()
	}
}

// acknowledge sends acknowledgements of durable attempt ends with the next renewal.
func (k *leaseKeeper) acknowledge(ids []domain.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		k.acknowledged[id] = struct{}{}
	}
}

func (k *leaseKeeper) run(ctx context.Context) {
	defer func() { k.w.p.held.drop(k.w.id, k.lease.ID) }()
	for ctx.Err() == nil {
		if k.lease.ID == "" || k.takeLeaseRequest() {
			k.acquireLease(ctx)
			continue
		}
		k.renew(ctx)
	}
}

func (k *leaseKeeper) takeLeaseRequest() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := k.leaseRequested
	k.leaseRequested = false
	return wanted
}

func (k *leaseKeeper) acquireLease(ctx context.Context) {
	k.takeLeaseRequest()
	p := k.w.p
	k.lastSent = p.o.Clock.Now()
	lease, err := callWithTimeout(ctx, func(ctx context.Context) (port.Lease, error) {
		return k.w.remote.AcquireLease(ctx, p.o.Instance, p.epoch, leaseTTL)
	})
	if err != nil {
		k.acquireFailed(ctx, err)
		return
	}
	k.lease = lease
	k.acquiredAt = p.o.Clock.Now()
	k.failures = 0
	k.lost = nil // superseded at the worker by the new lease
	p.held.acquired(k.w.id, heldLease{address: k.w.address, lease: lease.ID, acquiredAt: k.acquiredAt}, k.lastSent)
	p.post(ctx, sched.LeaseAcquired{Worker: k.w.id, Lease: lease, SentAt: k.lastSent})
}

func (k *leaseKeeper) acquireFailed(ctx context.Context, err error) {
	k.dropLease()
	p := k.w.p
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) && refused.Current > p.epoch {
		p.log.Warn("worker has a lease of a higher epoch; stopping the partition",
			zap.String("worker", string(k.w.id)), zap.Uint64("epoch", uint64(refused.Current)))
		p.fail(err)
		return
	}
	p.o.Metrics.CountRetry(metrics.RetryWorkerCall)
	k.reportUnreachable(ctx)
}

// dropLease drops the lease and removes it from the list shared with deputies.
func (k *leaseKeeper) dropLease() {
	if k.lease.ID == "" {
		return
	}
	k.lost = append(k.lost, k.lease.ID)
	k.w.p.held.drop(k.w.id, k.lease.ID)
	k.lease = port.Lease{}
}

// reportUnreachable reports the worker as reportUnreachable and waits before the next
// attempt. If a deputy may still renew a lost lease, the reported time of the last
// renewal is the current time, so that the lease does not count as expired.
func (k *leaseKeeper) reportUnreachable(ctx context.Context) {
	k.dropLease()
	p := k.w.p
	if len(k.lost) == 0 || p.o.Deputies == nil {
		p.post(ctx, sched.WorkerUnreachable{Worker: k.w.id, LastSent: k.lastSent})
		ctxtime.Sleep(ctx, k.retryDelay(ctx))
		return
	}
	withdrawn := k.awaitWithdrawn(ctx)
	p.post(ctx, sched.WorkerUnreachable{Worker: k.w.id, LastSent: p.o.Clock.Now()})
	if !withdrawn {
		ctxtime.Sleep(ctx, acquireRetryDelay)
		return
	}
	k.lost = nil
	ctxtime.Sleep(ctx, k.retryDelay(ctx))
}

// awaitWithdrawn waits up to withdrawTimeout until no deputy renews the lost leases
// and reports whether that is so.
func (k *leaseKeeper) awaitWithdrawn(ctx context.Context) bool {
	for range withdrawTimeout / withdrawPollInterval {
		if k.withdrawn() {
			return true
		}
		ctxtime.Sleep(ctx, withdrawPollInterval)
	}
	return k.withdrawn()
}

func (k *leaseKeeper) withdrawn() bool {
	for _, lease := range k.lost {
		if !k.w.p.o.Deputies.Withdrawn(k.w.p.id, lease) {
			return false
		}
	}
	return true
}

// retryDelay returns the delay before an unreachable worker is contacted again. If
// the worker may still run attempts, that is after its lease has expired, which
// proves that they have stopped.
func (k *leaseKeeper) retryDelay(ctx context.Context) time.Duration {
	attempts := 0
	_ = k.w.p.do(ctx, func() {
		status, _ := k.w.p.machine.Worker(k.w.id)
		attempts = status.Attempts
	})
	if attempts > 0 {
		return leaseTTL + expiryMargin + expiryCheckMargin
	}
	return acquireRetryDelay
}

func (k *leaseKeeper) renew(ctx context.Context) {
	p := k.w.p
	wait, cancel := context.WithTimeout(ctx, renewInterval+workerCallTimeout)
	defer cancel()
	request, ids := k.newRenewRequest(cancel)
	k.lastSent = p.o.Clock.Now()
	request.Elapsed = k.lastSent.Sub(k.acquiredAt)
	p.held.recordRenewal(k.lastSent)
	lease, err := k.w.remote.RenewLease(wait, request)
	interrupted := k.clearInterrupt()
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

func (k *leaseKeeper) newRenewRequest(interrupt context.CancelFunc) (port.RenewRequest, []domain.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt = interrupt
	ids := make([]domain.AttemptID, 0, len(k.acknowledged))
	for id := range k.acknowledged {
		ids = append(ids, id)
	}
	clear(k.acknowledged)
	wait := renewInterval
	if k.leaseRequested {
		wait = 0
	}
	return port.RenewRequest{Lease: k.lease.ID, Acknowledged: ids, SeenVersion: k.lease.Version, Wait: wait}, ids
}

// clearInterrupt ends the time in which the renewal can be interrupted and reports
// whether a new lease was requested meanwhile.
func (k *leaseKeeper) clearInterrupt() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt = nil
	return k.leaseRequested
}

func (k *leaseKeeper) renewed(ctx context.Context, lease port.Lease) {
	k.failures = 0
	k.lease = lease
	k.w.p.post(ctx, sched.LeaseRenewed{Worker: k.w.id, Lease: lease, SentAt: k.lastSent})
	ctxtime.Sleep(ctx, renewSpacing)
}

func (k *leaseKeeper) renewFailed(ctx context.Context, err error) {
	p := k.w.p
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) {
		p.post(ctx, sched.LeaseRefused{Worker: k.w.id, Lease: k.lease.ID})
		k.dropLease()
		k.lost = nil // the worker refuses any renewal of it
		return
	}
	p.o.Metrics.CountRetry(metrics.RetryWorkerCall)
	k.failures++
	if k.failures < maxRenewFailures {
		ctxtime.Sleep(ctx, renewRetryDelay)
		return
	}
	k.failures = 0
	k.reportUnreachable(ctx)
}
