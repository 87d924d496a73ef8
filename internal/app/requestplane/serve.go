package requestplane

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/route"
	"auburnpier/internal/metrics"
	"auburnpier/internal/refusal"
)

var (
	errCallerGone     = errors.New("caller disconnected")
	errResponseBroken = errors.New("response ended early")
)

// serve processes the request until it is answered, refused or aborted.
func (p *Plane) serve(q *request) {
	p.disp.countRequest(q.queue)
	var avoid *route.Server
	for {
		t := q.newTicket(avoid)
		granted, ref := p.disp.tryAcquire(t)
		if ref == nil && !granted {
			t.mayForward = p.mayForward(q)
			if t.mayForward == forwardAlways {
				t.peer = p.takePeer(q.queue)
			}
			if t.peer == nil {
				ref = p.wait(q, t)
			}
		}
		if ref != nil {
			p.refuse(q, ref)
			return
		}
		if t.peer != nil {
			if done := p.forwardToPeer(q, *t.peer); done {
				return
			}
			continue
		}
		avoid = t.server
		x := p.runAttempt(q, t)
		if x == nil {
			return
		}
		if ref := p.afterFailure(q, x); ref != nil {
			p.refuse(q, ref)
			return
		}
	}
}

// wait queues the request and measures how long it waited. A forwarded request is not
// queued: the first free slot may be at the instance that forwarded it.
func (p *Plane) wait(q *request, t *ticket) *refusal.Refusal {
	if q.forwarded {
		return refuseNoFreeSlot(q.queue)
	}
	bounds := route.QueueLimits{MaxItems: q.caller.maxWaiting(), MaxBytes: p.disp.maxWaitingBytes}
	began := p.clock.Now()
	ref, err := p.disp.wait(q.r.Context(), t, bounds)
	p.waitTime.Update(p.clock.Now().Sub(began))
	if err != nil {
		p.abort(errCallerGone)
	}
	return ref
}

// runAttempt sends the request to the server of the ticket and streams its response to
// the caller. It returns the failed exchange if there was no response to pass on.
func (p *Plane) runAttempt(q *request, t *ticket) *exchange {
	q.attempts++
	header := q.forwardHeader()
	q.setBackendHeaders(header)
	if b := q.body.stream; b != nil {
		p.streams.add(b, &stream{w: q.w, use: slotUse{q.caller.Team, t.server}})
		defer p.streams.remove(b)
	}
	x := p.startExchange(q, t.pool, &q.target, header)
	if x.err == nil && !x.refused {
		p.streamResponse(q, x, func(outcome route.Outcome) { p.disp.release(t, outcome, x.latency) },
			func(outcome route.Outcome) { p.disp.report(t, outcome, x.latency) })
		return nil
	}
	now := p.clock.Now()
	outcome := x.outcome(q, now)
	waited := x.timeAtServer(now)
	if x.refused && x.err == nil && x.discardRefusalBody() {
		p.finishExchange(q, x)
		p.disp.release(t, outcome, waited)
		return x
	}
	p.disp.report(t, outcome, waited)
	p.abandonExchange(q, x, func(ended bool) { p.disp.release(t, outcomeAfterHold(ended), 0) })
	return x
}

// outcomeAfterHold returns the outcome to record for the server when a held slot is
// released. A server that did not close the connection in time counts as broken.
func outcomeAfterHold(ended bool) route.Outcome {
	if ended {
		return route.Abandoned
	}
	return route.Broken
}

// afterFailure decides what follows an exchange without a response. It returns
// the final refusal, or nil if the request is to be tried again.
func (p *Plane) afterFailure(q *request, x *exchange) *refusal.Refusal {
	if q.callerGone() {
		p.abort(errCallerGone)
	}
	if q.body.failed() && q.body.stream.stalled.Load() {
		return refuseBodyStalled()
	}
	if q.body.failed() {
		return refuseBodyBroken()
	}
	failure := route.Failure{BytesWritten: x.sent, ServerRefused: x.refused}
	if !failure.NotRun() {
		q.mayHaveRun = true
	}
	if !p.clock.Now().Before(q.deadline) {
		if failure.NotRun() {
			return refuseDeadlineWaiting()
		}
		return refuseDeadlineRunning()
	}
	state := route.Request{Idempotent: q.idempotent, Replayable: q.body.replayable(), Attempts: q.attempts}
	verdict := route.DecideRetry(state, failure)
	if verdict == route.GiveUp {
		return finalRefusal(failure, x.reason())
	}
	if !p.disp.takeRetry(q.queue) {
		return budgetRefusal(failure, x.reason())
	}
	p.metrics.CountRetry(retryReason(verdict, x))
	return nil
}

func (x *exchange) reason() string {
	if x.refused {
		return "the backend server refused to run the request"
	}
	return x.err.Error()
}

func finalRefusal(f route.Failure, why string) *refusal.Refusal {
	if f.NotRun() {
		return refuseBackendFailed(why)
	}
	return refuseOutcomeUnknown(why)
}

func budgetRefusal(f route.Failure, why string) *refusal.Refusal {
	if f.NotRun() {
		return refuseRetryBudget(why)
	}
	return refuseOutcomeUnknown(why)
}

func retryReason(v route.RetryDecision, x *exchange) metrics.RetryReason {
	switch {
	case v == route.RetryIdempotent:
		return metrics.RetryIdempotentUnknown
	case x.refused:
		return metrics.RetryNotRunResponse
	}
	return metrics.RetryConnectRefused
}

// refuse responds with a refusal. It withdraws the claim that the request did not run
// if an earlier attempt may have run it.
func (p *Plane) refuse(q *request, ref *refusal.Refusal) {
	if q.mayHaveRun && ref.NotRun {
		c := *ref
		c.NotRun = false
		c.Message += "; an earlier attempt may have run the request"
		ref = &c
	}
	if q.body.mustCloseConn() {
		q.w.Header().Set(headerConnection, "close")
	}
	p.writeRefusal(q.w, ref)
}

// abort closes the caller's connection, so that the caller sees the failure as a
// connection that ends early. The cause is not passed on.
func (p *Plane) abort(_ error) {
	p.aborted.Inc(1)
	panic(http.ErrAbortHandler)
}

// newTicket returns the newTicket of one attempt.
func (q *request) newTicket(avoid *route.Server) *ticket {
	return &ticket{item: route.Item{
		Team:     q.caller.Team,
		Queue:    q.queue,
		Share:    q.caller.Share,
		Bytes:    q.waitingBytes(),
		Deadline: q.deadline,
		Avoid:    avoid,
	}}
}
