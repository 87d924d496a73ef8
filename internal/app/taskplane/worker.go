package taskplane

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/core/sched"
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
)

// mailbox holds the calls that wait for a worker's goroutine. It is bounded by
// the attempts that fit the worker, so it needs no length of its own.
type mailbox struct {
	acquire      bool
	renew        bool
	starts       []sched.StartCall
	stops        []sched.AttemptCall
	checkpoints  []sched.AttemptCall
	throttles    []sched.ThrottleCall
	acknowledged map[domain.AttemptID]struct{}
}

func (m *mailbox) acknowledge(ids []domain.AttemptID) {
	if m.acknowledged == nil {
		m.acknowledged = make(map[domain.AttemptID]struct{})
	}
	for _, id := range ids {
		m.acknowledged[id] = struct{}{}
	}
}

// workerLoop makes the calls to one worker, one at a time and in order.
type workerLoop struct {
	p      *Partition
	id     domain.WorkerID
	remote port.Worker
	wake   chan struct{}
	cancel context.CancelFunc

	mu  sync.Mutex
	box mailbox

	// The fields below belong to the loop's goroutine.
	lease    domain.LeaseID
	lastSent time.Time
	failures int
	nextCall time.Time
}

func newWorkerLoop(ctx context.Context, p *Partition, id domain.WorkerID, address string) *workerLoop {
	ctx, cancel := context.WithCancel(ctx)
	w := &workerLoop{
		p:      p,
		id:     id,
		remote: p.o.Workers.Worker(address),
		wake:   make(chan struct{}, 1),
		cancel: cancel,
	}
	p.loops.Go(func() { w.run(ctx) })
	return w
}

func (w *workerLoop) close() { w.cancel() }

// want changes the mailbox and wakes the loop.
func (w *workerLoop) want(change func(*mailbox)) {
	w.mu.Lock()
	change(&w.box)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *workerLoop) take() mailbox {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.box
	w.box = mailbox{}
	return m
}

func (w *workerLoop) run(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			w.serve(ctx, w.take())
		case <-timer.C:
			w.serveTimer(ctx)
		}
		timer.Reset(max(0, time.Until(w.nextCall)))
	}
}

func (w *workerLoop) serve(ctx context.Context, m mailbox) {
	if m.acquire {
		w.acquire(ctx)
	}
	for _, call := range m.stops {
		w.end(ctx, call, w.remote.Stop)
	}
	for _, call := range m.checkpoints {
		w.end(ctx, call, w.remote.Checkpoint)
	}
	for _, call := range m.throttles {
		w.throttle(ctx, call)
	}
	for _, call := range m.starts {
		w.start(ctx, call)
	}
	if m.renew || len(m.acknowledged) > 0 {
		w.renew(ctx, m.acknowledged)
	}
	if w.nextCall.IsZero() {
		w.nextCall = time.Now().Add(renewInterval)
	}
}

func (w *workerLoop) serveTimer(ctx context.Context) {
	w.nextCall = time.Now().Add(renewInterval)
	if w.lease == "" {
		w.acquire(ctx)
		return
	}
	w.renew(ctx, nil)
}

func (w *workerLoop) acquire(ctx context.Context) {
	sent := w.p.o.Clock.Now()
	w.lastSent = sent
	lease, err := within(ctx, func(ctx context.Context) (port.Lease, error) {
		return w.remote.AcquireLease(ctx, w.p.o.Instance, w.p.epoch, leaseTTL)
	})
	if err != nil {
		w.acquireFailed(ctx, err)
		return
	}
	w.lease = lease.ID
	w.failures = 0
	w.nextCall = time.Now().Add(renewInterval)
	w.p.post(ctx, sched.LeaseAcquired{Worker: w.id, Lease: lease, SentAt: sent})
}

func (w *workerLoop) acquireFailed(ctx context.Context, err error) {
	w.lease = ""
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) && refused.Current > w.p.epoch {
		w.p.log.Warn("a worker has a lease of a higher epoch, the partition is given up",
			zap.String("worker", string(w.id)), zap.Uint64("epoch", uint64(refused.Current)))
		w.p.fail(err)
		return
	}
	w.p.o.Metrics.Retried(metrics.RetryWorkerCall)
	w.p.post(ctx, sched.WorkerUnreachable{Worker: w.id, LastSent: w.lastSent})
	w.nextCall = time.Now().Add(w.pause(ctx))
}

// pause returns how long an unreachable worker is left alone: until its lease
// has lapsed where it may still run attempts, so that they are proven stopped.
func (w *workerLoop) pause(ctx context.Context) time.Duration {
	attempts := 0
	_ = w.p.do(ctx, func() {
		status, _ := w.p.machine.Worker(w.id)
		attempts = status.Attempts
	})
	if attempts > 0 {
		return leaseTTL + lapseMargin
	}
	return acquireRetryDelay
}

func (w *workerLoop) renew(ctx context.Context, acknowledged map[domain.AttemptID]struct{}) {
	if w.lease == "" {
		return
	}
	ids := make([]domain.AttemptID, 0, len(acknowledged))
	for id := range acknowledged {
		ids = append(ids, id)
	}
	sent := w.p.o.Clock.Now()
	w.lastSent = sent
	lease, err := within(ctx, func(ctx context.Context) (port.Lease, error) {
		return w.remote.RenewLease(ctx, w.lease, ids)
	})
	if err != nil {
		w.renewFailed(ctx, err, acknowledged)
		return
	}
	w.failures = 0
	w.nextCall = time.Now().Add(renewInterval)
	w.p.post(ctx, sched.LeaseRenewed{Worker: w.id, Lease: lease, SentAt: sent})
}

func (w *workerLoop) renewFailed(ctx context.Context, err error, acknowledged map[domain.AttemptID]struct{}) {
	var refused *port.LeaseRefusedError
	if errors.As(err, &refused) {
		w.refused(ctx, nil)
		return
	}
	w.p.o.Metrics.Retried(metrics.RetryWorkerCall)
	w.failures++
	if w.failures < renewTries {
		w.want(func(m *mailbox) { m.acknowledge(keys(acknowledged)) })
		w.nextCall = time.Now().Add(renewRetryDelay)
		return
	}
	w.failures = 0
	w.lease = ""
	w.p.post(ctx, sched.WorkerUnreachable{Worker: w.id, LastSent: w.lastSent})
	w.nextCall = time.Now().Add(w.pause(ctx))
}

// refused reports a lapsed or superseded lease and acquires a new one.
func (w *workerLoop) refused(ctx context.Context, attempts []domain.AttemptID) {
	lease := w.lease
	w.lease = ""
	w.p.post(ctx, sched.LeaseRefused{Worker: w.id, Lease: lease, Attempts: attempts})
	w.acquire(ctx)
}

func (w *workerLoop) start(ctx context.Context, call sched.StartCall) {
	attempts := make([]domain.AttemptID, 0, len(call.Requests))
	for _, r := range call.Requests {
		attempts = append(attempts, r.Attempt)
	}
	_, err := within(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, w.remote.Start(ctx, call.Lease, call.Requests)
	})
	var refused *port.LeaseRefusedError
	switch {
	case err == nil:
		w.p.o.Metrics.Counter("taskplane.starts").Inc(int64(len(attempts)))
		w.p.post(ctx, sched.StartAccepted{Worker: w.id, Lease: call.Lease, Attempts: attempts})
	case errors.As(err, &refused):
		w.p.post(ctx, sched.LeaseRefused{Worker: w.id, Lease: call.Lease, Attempts: attempts})
	default:
		w.p.o.Metrics.Retried(metrics.RetryWorkerCall)
		w.p.post(ctx, sched.StartUnknown{Worker: w.id, Lease: call.Lease, Attempts: attempts})
	}
}

type endCall func(context.Context, domain.LeaseID, []domain.AttemptID) error

// end stops or checkpoints attempts. The machine repeats the call where the
// worker's reports show no effect, so a failure needs no answer here.
func (w *workerLoop) end(ctx context.Context, call sched.AttemptCall, f endCall) {
	_, err := within(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, f(ctx, call.Lease, call.Attempts)
	})
	if err != nil {
		w.p.o.Metrics.Retried(metrics.RetryWorkerCall)
		return
	}
	w.want(func(m *mailbox) { m.renew = true })
}

func (w *workerLoop) throttle(ctx context.Context, call sched.ThrottleCall) {
	_, err := within(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, w.remote.Throttle(ctx, call.Lease, call.Attempt, call.CPUMilli)
	})
	if err != nil {
		w.p.o.Metrics.Retried(metrics.RetryWorkerCall)
	}
}

func within[R any](ctx context.Context, call func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	return call(ctx)
}

func keys(set map[domain.AttemptID]struct{}) []domain.AttemptID {
	ids := make([]domain.AttemptID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	return ids
}
