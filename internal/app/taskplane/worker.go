package taskplane

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// pendingCalls holds the calls queued for a worker's goroutine. The number of
// attempts that fit on the worker bounds it, so it needs no limit of its own.
type pendingCalls struct {
	starts      []sched.StartCall
	stops       []sched.AttemptCall
	checkpoints []sched.AttemptCall
	throttles   []sched.ThrottleCall
}

// workerLoop makes the calls to one worker. One goroutine makes start, stop,
// checkpoint and throttle calls one at a time; the other renews the lease.
type workerLoop struct {
	p       *Partition
	id      domain.WorkerID
	address string
	remote  port.Worker
	wake    chan struct{}
	cancel  context.CancelFunc
	keeper  *leaseKeeper

	mu      sync.Mutex
	pending pendingCalls
}

func newWorkerLoop(ctx context.Context, p *Partition, id domain.WorkerID, address string) *workerLoop {
	ctx, cancel := context.WithCancel(ctx)
	w := &workerLoop{
		p:       p,
		id:      id,
		address: address,
		remote:  p.o.Workers.Worker(address),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
	}
	w.keeper = newLeaseKeeper(w)
	p.loops.Go(func() { w.run(ctx) })
	p.loops.Go(func() { w.keeper.run(ctx) })
	return w
}

func (w *workerLoop) close() { w.cancel() }

// enqueue adds to the pending calls and wakes the loop.
func (w *workerLoop) enqueue(change func(*pendingCalls)) {
	w.mu.Lock()
	change(&w.pending)
	w.mu.Unlock()
	signal(w.wake)
}

func (w *workerLoop) takePending() pendingCalls {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.pending
	w.pending = pendingCalls{}
	return m
}

func (w *workerLoop) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			w.makeCalls(ctx, w.takePending())
		}
	}
}

func (w *workerLoop) makeCalls(ctx context.Context, m pendingCalls) {
	for _, call := range m.stops {
		w.endAttempts(ctx, call, w.remote.Stop)
	}
	for _, call := range m.checkpoints {
		w.endAttempts(ctx, call, w.remote.Checkpoint)
	}
	for _, call := range m.throttles {
		w.throttle(ctx, call)
	}
	for _, call := range m.starts {
		w.start(ctx, call)
	}
}

func (w *workerLoop) start(ctx context.Context, call sched.StartCall) {
	attempts := make([]domain.AttemptID, 0, len(call.Requests))
	for _, r := range call.Requests {
		attempts = append(attempts, r.Attempt)
	}
	_, err := callWithTimeout(ctx, func(ctx context.Context) (struct{}, error) {
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
		// The state machine counts the retry.
		w.p.post(ctx, sched.StartOutcomeUnknown{Worker: w.id, Lease: call.Lease, Attempts: attempts})
	}
}

type endCall func(context.Context, domain.LeaseID, []domain.AttemptID) error

// endAttempts stops or checkpoints attempts. The state machine repeats the call if
// the worker's reports show no effect, so a failure is only counted here.
func (w *workerLoop) endAttempts(ctx context.Context, call sched.AttemptCall, f endCall) {
	_, err := callWithTimeout(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, f(ctx, call.Lease, call.Attempts)
	})
	if err != nil {
		w.p.o.Metrics.CountRetry(metrics.RetryWorkerCall)
	}
}

func (w *workerLoop) throttle(ctx context.Context, call sched.ThrottleCall) {
	_, err := callWithTimeout(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, w.remote.Throttle(ctx, call.Lease, call.Attempt, call.CPUMilli)
	})
	if err != nil {
		w.p.o.Metrics.CountRetry(metrics.RetryWorkerCall)
	}
}

func callWithTimeout[R any](ctx context.Context, call func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	return call(ctx)
}

// signal wakes the receiver of a channel of capacity one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
