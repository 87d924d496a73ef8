package taskplane

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// Submit submits a job and waits until its acceptance is durable.
func (p *Partition) Submit(ctx context.Context, team domain.TeamID, spec domain.JobSpec) (domain.JobStatus, error) {
	id := domain.JobID(fmt.Sprintf("%s.%s", p.id, p.o.NewID()))
	result, err := p.change(ctx, "job", sched.Submit{Job: id, Team: team, Spec: spec})
	if err != nil {
		return domain.JobStatus{}, err
	}
	return p.Status(ctx, result.Job)
}

// Cancel cancels jobs of the team and waits until the cancellation is durable. It
// returns the number of jobs that it ended or started to stop.
func (p *Partition) Cancel(ctx context.Context, team domain.TeamID, ids []domain.JobID, reason string) (int, error) {
	result, err := p.change(ctx, "cancellation", sched.Cancel{Jobs: ids, Team: team, Reason: reason})
	return result.Cancelled, err
}

// change passes an event of a caller to the state machine, unless the partition is stalled, and waits until its result is durable.
func (p *Partition) change(ctx context.Context, what string, event sched.Event) (sched.Result, error) {
	var result sched.Result
	var stalled error
	reply := make(chan error, 1)
	err := p.do(ctx, func() {
		if stalled = p.stalled(); stalled != nil {
			return
		}
		result = p.machine.Step(event)
		if result.Err == nil {
			p.replyWhenDurable(result.Batch, reply)
		}
	})
	switch {
	case err != nil:
		return sched.Result{}, p.unavailable(err)
	case stalled != nil:
		return sched.Result{}, stalled
	case result.Err != nil:
		return sched.Result{}, result.Err
	}
	if err := p.awaitDurable(ctx, reply); err != nil {
		return sched.Result{}, unconfirmed(what, err)
	}
	return result, nil
}

// Status returns the state of a job.
func (p *Partition) Status(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	return p.query(ctx, id, p.machine.Status)
}

// Explain returns the state of a job with its history.
func (p *Partition) Explain(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	return p.query(ctx, id, p.machine.Explain)
}

// Wait returns the state of a job once it has ended, or its state when ctx ends.
func (p *Partition) Wait(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	ended := make(chan struct{})
	err := p.do(ctx, func() {
		status, ok := p.machine.Status(id)
		if !ok || status.State.Terminal() {
			close(ended)
			return
		}
		if p.waiters[id] == nil {
			p.waiters[id] = make(map[chan struct{}]struct{})
		}
		p.waiters[id][ended] = struct{}{}
	})
	if err != nil {
		return domain.JobStatus{}, p.unavailable(err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		_ = p.do(context.WithoutCancel(ctx), func() { p.removeWaiter(id, ended) })
	case <-p.done:
	}
	return p.Status(context.WithoutCancel(ctx), id)
}

// Stats returns the partition's counters.
func (p *Partition) Stats(ctx context.Context) (sched.Stats, error) {
	var stats sched.Stats
	if err := p.do(ctx, func() { stats = p.machine.Stats() }); err != nil {
		return sched.Stats{}, p.unavailable(err)
	}
	return stats, nil
}

func (p *Partition) query(ctx context.Context, id domain.JobID, f func(domain.JobID) (domain.JobStatus, bool)) (domain.JobStatus, error) {
	var status domain.JobStatus
	found := false
	if err := p.do(ctx, func() { status, found = f(id) }); err != nil {
		return domain.JobStatus{}, p.unavailable(err)
	}
	if !found {
		return domain.JobStatus{}, notFound(id)
	}
	return status, nil
}

// stalled returns a refusal of new work if the partition is being handed over or
// its oldest batch has not become durable in time, so that no job is accepted
// that could be lost.
func (p *Partition) stalled() error {
	if p.draining {
		return p.unavailable(errStopped)
	}
	if p.lastBatch == p.durable || p.o.Clock.Now().Sub(p.oldestPendingAt) < maxJournalDelay {
		return nil
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable,
		"the platform's store does not take writes", "submit again after the given time").WithRetryAfter(durableTimeout)
}

func (p *Partition) awaitDurable(ctx context.Context, reply <-chan error) error {
	timer := time.NewTimer(durableTimeout)
	defer timer.Stop()
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

func (p *Partition) unavailable(err error) error {
	return refusal.New(http.StatusServiceUnavailable, refusal.PartitionUnavailable,
		fmt.Sprintf("partition %s is not served by this instance now: %v", p.id, err),
		"repeat the call after the given time").WithRetryAfter(time.Second)
}

// unconfirmed returns a refusal whose outcome is unknown: the operation may or
// may not have been accepted.
func unconfirmed(what string, err error) error {
	return refusal.NewOutcomeUnknown(http.StatusServiceUnavailable, refusal.OutcomeUnknown,
		fmt.Sprintf("the %s was not confirmed durable in time: %v", what, err),
		"submit again with the same idempotency key; without one, list the job first").WithRetryAfter(time.Second)
}
