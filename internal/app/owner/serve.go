package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// reasonStoreUnavailable is the reason of a refusal, as exposed in metrics and to callers, while the claim is not confirmed. The other reasons
// are the names of jobs.Refusal.
const reasonStoreUnavailable = "store_unavailable"

// callResult is the loop's reply to a call.
type callResult[T any] struct {
	value T
	err   error
}

// callLoop runs f on the loop and waits for its reply. A call that the loop has not started when
// the term or ctx ends is never run and returns a *port.NotOwnerError.
func callLoop[T any](ctx context.Context, c *Cell, f func(reply func(T, error))) (T, error) {
	var zero T
	notOwner := &port.NotOwnerError{Instance: c.options.Instance}
	results := make(chan callResult[T], 1)
	reply := func(v T, err error) {
		select {
		case results <- callResult[T]{v, err}:
		default:
		}
	}
	// Whichever side sets started first decides whether the call runs.
	var started atomic.Bool
	if !c.post(func() {
		if started.CompareAndSwap(false, true) {
			f(reply)
		}
	}) {
		return zero, notOwner
	}
	select {
	case a := <-results:
		return a.value, a.err
	case <-ctx.Done():
		if started.CompareAndSwap(false, true) {
			return zero, notOwner
		}
		return zero, ctx.Err()
	case <-c.ended:
		select {
		case a := <-results:
			return a.value, a.err
		default:
		}
		if started.CompareAndSwap(false, true) {
			return zero, notOwner
		}
		return zero, errTermEnded
	}
}

// callOwned is callLoop for calls whose reply follows from what is stored. It returns a *port.NotOwnerError if the claim is not confirmed:
// a former owner does not know which jobs its successor has accepted.
func callOwned[T any](ctx context.Context, c *Cell, f func(reply func(T, error))) (T, error) {
	if !c.claimConfirmed() {
		var zero T
		return zero, &port.NotOwnerError{Instance: c.options.Instance}
	}
	return callLoop(ctx, c, f)
}

// Submit implements port.OwnerService.
func (c *Cell) Submit(ctx context.Context, s port.SubmitRequest) (port.SubmitReply, error) {
	if !c.awaitRecovery(ctx) {
		return port.SubmitReply{}, &port.NotOwnerError{Instance: c.options.Instance}
	}
	reply, err := callLoop(ctx, c, func(reply func(port.SubmitReply, error)) { c.submit(s, reply) })
	var notOwner *port.NotOwnerError
	switch {
	case errors.As(err, &notOwner):
		return port.SubmitReply{}, err
	case err != nil:
		return port.SubmitReply{OutcomeUnknown: true}, nil
	}
	return reply, nil
}

// recoveryWait is how long a submission waits for the recovery of the cell: a quarter of the time
// available to the shortest class of jobs.
const recoveryWait = 500 * time.Millisecond

// Recovered reports whether the state of the cell is loaded.
func (c *Cell) Recovered() bool {
	select {
	case <-c.recovered:
		return true
	default:
		return false
	}
}

// awaitRecovery reports whether the state of the cell is loaded within recoveryWait.
func (c *Cell) awaitRecovery(ctx context.Context) bool {
	if c.Recovered() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryWait)
	defer cancel()
	select {
	case <-c.recovered:
		return true
	case <-c.ended:
	case <-ctx.Done():
	}
	return false
}

func (c *Cell) submit(s port.SubmitRequest, reply func(port.SubmitReply, error)) {
	if c.resigning {
		reply(port.SubmitReply{}, &port.NotOwnerError{Instance: c.options.Instance})
		return
	}
	if c.machine.IsUnreadable(s.Job) {
		reply(port.SubmitReply{OutcomeUnknown: true}, nil)
		return
	}
	// A job that is known may be stored, so a refusal would be false.
	if !c.claimConfirmed() && !c.machine.Knows(s.Job) {
		c.metrics.Counter("refusal." + reasonStoreUnavailable).Inc(1)
		reply(port.SubmitReply{Reason: reasonStoreUnavailable, RetryAfterMS: storeRetryAfterMS}, nil)
		return
	}
	result := c.machine.Submit(s.Job, &s.Queue, s.Team, &s.Spec)
	switch {
	case result.Refusal != jobs.NotRefused:
		reason := result.Refusal.String()
		c.metrics.Counter("refusal." + reason).Inc(1)
		c.log.Info("job_refused", zap.String("job", string(s.Job)), zap.String("team", string(s.Team)),
			zap.String("queue", string(s.Queue.Name)), zap.String("reason", reason), zap.String("detail", result.Detail), zap.Int64("retry_after_ms", result.RetryAfterMS))
		reply(port.SubmitReply{Reason: reason, RetryAfterMS: result.RetryAfterMS}, nil)
	case result.Durable:
		reply(port.SubmitReply{Accepted: true}, nil)
	default:
		c.pendingSubmits[s.Job] = append(c.pendingSubmits[s.Job], reply)
	}
}

// Cancel implements port.OwnerService.
func (c *Cell) Cancel(ctx context.Context, j port.JobRequest) (port.CancelReply, error) {
	reply, err := callOwned(ctx, c, func(reply func(port.CancelReply, error)) {
		found, stored := c.machine.Cancel(j.Job, j.Sees)
		if !found || stored {
			reply(port.CancelReply{Found: found, Done: stored}, nil)
			return
		}
		c.pendingCancels[j.Job] = append(c.pendingCancels[j.Job], reply)
	})
	var notOwner *port.NotOwnerError
	if err != nil && !errors.As(err, &notOwner) {
		// The caller may retry, whatever the outcome of this call was.
		return port.CancelReply{Found: true}, nil
	}
	return reply, err
}

// errJobUnreadable is returned for a stored job that this version cannot read. The caller reads its state from the store.
var errJobUnreadable = errors.New("the job is stored and cannot be read by this version of the owner")

// State implements port.OwnerService.
func (c *Cell) State(ctx context.Context, j port.JobRequest) (port.StateReply, error) {
	return callOwned(ctx, c, func(reply func(port.StateReply, error)) {
		if c.machine.IsUnreadable(j.Job) {
			reply(port.StateReply{}, errJobUnreadable)
			return
		}
		state, team, queue, found := c.machine.StoredState(j.Job)
		reply(port.StateReply{Found: found && j.Sees(team, queue), State: state}, nil)
	})
}

// WaitingJobs implements port.OwnerService. The number may be as old as the claim may be unconfirmed while the owner still calls workers.
func (c *Cell) WaitingJobs(ctx context.Context, queue domain.QueueID) (int, error) {
	if !c.mayCallWorkers(c.nowMS()) {
		return 0, &port.NotOwnerError{Instance: c.options.Instance}
	}
	return callLoop(ctx, c, func(reply func(int, error)) { reply(c.machine.CountWaitingJobs(queue), nil) })
}

// Announce implements port.OwnerService.
func (c *Cell) Announce(ctx context.Context, h port.AnnounceRequest) (port.AnnounceReply, error) {
	return callLoop(ctx, c, func(reply func(port.AnnounceReply, error)) {
		now := c.nowMS()
		c.instances.announce(h.Instance, c.peers, now)
		// Any instance may own the cell next, also one that is away for a moment. Zero means that its memory is not known.
		if mb := h.Instance.MemoryMB; mb > 0 {
			c.machine.SetLeastMemory(mb << 20)
		}
		c.instances.expire(now)
		r := port.AnnounceReply{Version: c.term.epoch<<versionBits + c.instances.changes, NextAnnounceMS: c.instances.announceIntervalMS()}
		if r.Version != h.KnownVersion {
			r.Instances = c.instances.hosts(now)
		}
		reply(r, nil)
	})
}

// Bounds of previews. Each takes the loop about 2 ms at 1,500 workers, so that all together take it 2 % of its time.
const (
	previewsPerSecond = 10
	previewBurst      = 5
	previewRetryMS    = 1000
)

// Preview implements port.OwnerService.
func (c *Cell) Preview(ctx context.Context, r port.PreviewRequest) (port.PreviewReply, error) {
	if !c.awaitRecovery(ctx) {
		return port.PreviewReply{}, &port.NotOwnerError{Instance: c.options.Instance}
	}
	if !c.previews.Allow() {
		c.metrics.Counter("preview.refused").Inc(1)
		return port.PreviewReply{Busy: true, RetryAfterMS: previewRetryMS}, nil
	}
	return callLoop(ctx, c, func(reply func(port.PreviewReply, error)) {
		if c.resigning {
			reply(port.PreviewReply{}, &port.NotOwnerError{Instance: c.options.Instance})
			return
		}
		start := time.Now()
		v := c.machine.Preview(&r.Queue, r.Team, &r.Spec)
		c.metrics.Timer("owner.preview").UpdateSince(start)
		if !c.claimConfirmed() {
			v.Refusal = &jobs.PreviewRefusal{Reason: reasonStoreUnavailable, RetryAfterMS: storeRetryAfterMS,
				Remedy: "submit it again after the time named, when the store has confirmed the owner's claim"}
		}
		reply(port.PreviewReply{Preview: v}, nil)
	})
}

// Explain implements port.OwnerService.
func (c *Cell) Explain(ctx context.Context, job domain.JobID) (port.ExplainReply, error) {
	return callLoop(ctx, c, func(reply func(port.ExplainReply, error)) {
		view, found := c.machine.Explain(job)
		reply(port.ExplainReply{Found: found, Job: view}, nil)
	})
}

// Overview implements port.OwnerService.
func (c *Cell) Overview(ctx context.Context) (port.CellOverview, error) {
	return callLoop(ctx, c, func(reply func(port.CellOverview, error)) {
		now := c.nowMS()
		v := port.CellOverview{Owner: c.options.Instance, Epoch: c.term.epoch, TermMS: now - c.term.claimedMS,
			ClaimRemainingMS: c.confirmedUntilMS.Load() - now, Overview: c.machine.Overview()}
		if c.config != nil {
			v.ConfigVersion = c.config.Version
		}
		if relay := c.registryRelay.Load(); relay != nil {
			v.RegistryRelay = relay.host.Instance
		}
		c.instances.expire(now)
		for _, inst := range c.instances.list {
			v.Instances = append(v.Instances, port.KnownInstance{Instance: inst.host.Instance, Zone: inst.host.Zone, AnnouncementAgeMS: now - inst.lastAnnouncedMS})
		}
		reply(v, nil)
	})
}
