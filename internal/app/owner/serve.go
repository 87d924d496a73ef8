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
	"auburnpier/internal/steady"
)

// Reasons of refusals, as counters and callers see them.
const (
	reasonStore     = "store_unavailable"
	reasonOverload  = "objective_out_of_reach"
	reasonNeverFits = "never_fits"
	reasonLimit     = "limit_too_small"
	reasonTaken     = "id_of_another_team"
)

var refusalReasons = map[jobs.Refusal]string{
	jobs.RefusedNeverFits: reasonNeverFits, jobs.RefusedOverload: reasonOverload, jobs.RefusedLimit: reasonLimit,
	jobs.RefusedTaken: reasonTaken,
}

// answer is what the loop replies to a call.
type answer[T any] struct {
	value T
	err   error
}

// ask runs f on the loop and waits for its answer. A call that the loop has not
// begun when its reign or ctx ends never runs, and gets a *port.NotOwnerError.
func ask[T any](ctx context.Context, c *Cell, f func(reply func(T, error))) (T, error) {
	var zero T
	notOwner := &port.NotOwnerError{Instance: c.options.Instance}
	answers := make(chan answer[T], 1)
	reply := func(v T, err error) {
		select {
		case answers <- answer[T]{v, err}:
		default:
		}
	}
	// Whoever sets taken first decides whether the call runs.
	var taken atomic.Bool
	if !c.post(func() {
		if taken.CompareAndSwap(false, true) {
			f(reply)
		}
	}) {
		return zero, notOwner
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		if taken.CompareAndSwap(false, true) {
			return zero, notOwner
		}
		return zero, ctx.Err()
	case <-c.ended:
		select {
		case a := <-answers:
			return a.value, a.err
		default:
		}
		if taken.CompareAndSwap(false, true) {
			return zero, notOwner
		}
		return zero, errCellClosed
	}
}

// Submit implements port.OwnerService.
func (c *Cell) Submit(ctx context.Context, s port.SubmitRequest) (port.SubmitReply, error) {
	if !c.awaitRecovery(ctx) {
		return port.SubmitReply{}, &port.NotOwnerError{Instance: c.options.Instance}
	}
	if !c.confirmed() {
		return port.SubmitReply{Reason: reasonStore, RetryAfterMS: storeRetryMS}, nil
	}
	reply, err := ask(ctx, c, func(reply func(port.SubmitReply, error)) { c.submit(s, reply) })
	var notOwner *port.NotOwnerError
	switch {
	case errors.As(err, &notOwner):
		return port.SubmitReply{}, err
	case err != nil:
		return port.SubmitReply{Unknown: true}, nil
	}
	return reply, nil
}

// recoveryWait is how long a submission waits for the recovery of the cell. It
// is a quarter of the time that the shortest class of jobs has.
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

// awaitRecovery reports whether the state of the cell is loaded in time.
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
	result := c.machine.Submit(s.Job, &s.Queue, s.Team, &s.Spec)
	switch {
	case result.Refusal != jobs.NotRefused:
		reason := refusalReasons[result.Refusal]
		c.metrics.Counter("refusal." + reason).Inc(1)
		c.log.Info("job_refused", zap.String("job", string(s.Job)), zap.String("team", string(s.Team)),
			zap.String("queue", string(s.Queue.Name)), zap.String("reason", reason), zap.String("detail", result.Detail), zap.Int64("retry_after_ms", result.RetryAfterMS))
		reply(port.SubmitReply{Reason: reason, RetryAfterMS: result.RetryAfterMS}, nil)
	case result.Durable:
		reply(port.SubmitReply{Accepted: true}, nil)
	default:
		c.submitters[s.Job] = append(c.submitters[s.Job], reply)
	}
}

// Cancel implements port.OwnerService.
func (c *Cell) Cancel(ctx context.Context, j port.JobRequest) (port.CancelReply, error) {
	if !c.confirmed() {
		return port.CancelReply{}, &port.NotOwnerError{Instance: c.options.Instance}
	}
	reply, err := ask(ctx, c, func(reply func(port.CancelReply, error)) {
		known, stored := c.machine.Cancel(j.Job, j.Team)
		if !known || stored {
			reply(port.CancelReply{Known: known, Done: stored}, nil)
			return
		}
		c.cancellers[j.Job] = append(c.cancellers[j.Job], reply)
	})
	if err != nil {
		// The call may be repeated, whatever became of it.
		return port.CancelReply{Known: true}, nil
	}
	return reply, nil
}

// State implements port.OwnerService.
func (c *Cell) State(ctx context.Context, j port.JobRequest) (port.StateReply, error) {
	confirmed := c.confirmed()
	return ask(ctx, c, func(reply func(port.StateReply, error)) {
		state, team, known := c.machine.Known(j.Job)
		// While the store refuses all writes there is no later owner either, and that
		// a job has completed stays true.
		if known && c.storeRefuses && c.machine.CompletedUnstored(j.Job) {
			reply(port.StateReply{Known: team == j.Team, State: jobs.Completed}, nil)
			return
		}
		// A former owner does not know the jobs that its successor accepted.
		if !confirmed {
			reply(port.StateReply{}, &port.NotOwnerError{Instance: c.options.Instance})
			return
		}
		reply(port.StateReply{Known: known && team == j.Team, State: state}, nil)
	})
}

// Waiting implements port.OwnerService.
func (c *Cell) Waiting(ctx context.Context, queue domain.QueueID) (int, error) {
	return ask(ctx, c, func(reply func(int, error)) { reply(c.machine.Waiting(queue), nil) })
}

// Announce implements port.OwnerService.
func (c *Cell) Announce(ctx context.Context, h port.AnnounceRequest) (port.AnnounceReply, error) {
	return ask(ctx, c, func(reply func(port.AnnounceReply, error)) {
		now := steady.NowMS()
		c.relays.hello(h.Hello, c.peers)
		c.relays.expire(now)
		r := port.AnnounceReply{Version: c.reign.epoch<<versionBits + c.relays.changes, NextAnnounceMS: c.relays.againMS()}
		if r.Version != h.KnownVersion {
			r.Instances = c.relays.known(now)
		}
		reply(r, nil)
	})
}

// Explain implements port.OwnerService.
func (c *Cell) Explain(ctx context.Context, job domain.JobID) (port.ExplainReply, error) {
	return ask(ctx, c, func(reply func(port.ExplainReply, error)) {
		view, known := c.machine.Explain(job)
		reply(port.ExplainReply{Known: known, Job: view}, nil)
	})
}

// Overview implements port.OwnerService.
func (c *Cell) Overview(ctx context.Context) (port.CellOverview, error) {
	return ask(ctx, c, func(reply func(port.CellOverview, error)) {
		now := steady.NowMS()
		v := port.CellOverview{Owner: c.options.Instance, Epoch: c.reign.epoch, TermMS: now - c.reign.claimedMS,
			ClaimRemainingMS: c.confirmedMS.Load() - now, Overview: c.machine.Overview()}
		if c.config != nil {
			v.ConfigVersion = c.config.Version
		}
		if relay := c.registryRelay.Load(); relay != nil {
			v.RegistryRelay = relay.hello.Instance
		}
		c.relays.expire(now)
		for _, k := range c.relays.list {
			v.Instances = append(v.Instances, port.KnownInstance{Instance: k.hello.Instance, Zone: k.hello.Zone, AnnouncementAgeMS: now - k.lastMS})
		}
		reply(v, nil)
	})
}
