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

// mailbox holds the calls that wait for a worker's goroutine. It is bounded by
// the attempts that fit the worker, so it needs no length of its own.
type mailbox struct {
	starts      []sched.StartCall
	stops       []sched.AttemptCall
	checkpoints []sched.AttemptCall
	throttles   []sched.ThrottleCall
}

// workerLoop carries the messages of one worker. One goroutine makes the
// calls, one at a time and in order; the other keeps the lease.
type workerLoop struct {
	p       *Partition
	id      domain.WorkerID
	address string
	remote  port.Worker
	wake    chan struct{}
	cancel  context.CancelFunc
	keeper  *keeper

	mu  sync.Mutex
	box mailbox
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
	w.keeper = newKeeper(w)
	p.loops.Go(func() { w.run(ctx) })
	p.loops.Go(func() { w.keeper.run(ctx) })
	return w
}

func (w *workerLoop) close() { w.cancel() }

// want changes the mailbox and wakes the loop.
func (w *workerLoop) want(change func(*mailbox)) {
	w.mu.Lock()
	change(&w.box)
	w.mu.Unlock()
	signal(w.wake)
}

func (w *workerLoop) take() mailbox {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.box
	w.box = mailbox{}
	return m
}

func (w *workerLoop) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			w.serve(ctx, w.take())
		}
	}
}

func (w *workerLoop) serve(ctx context.Context, m mailbox) {
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
		// The machine counts the retry.
		w.p.post(ctx, sched.StartOutcomeUnknown{Worker: w.id, Lease: call.Lease, Attempts: attempts})
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
	}
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

// signal wakes the receiver of a channel of length one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
