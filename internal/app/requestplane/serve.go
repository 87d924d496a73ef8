package requestplane

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/route"
	"auburnpier/internal/metrics"
	"auburnpier/internal/refusal"
)

var (
	errCallerGone   = errors.New("the caller went away")
	errAnswerBroken = errors.New("the answer ended early")
)

// serve runs the request until it is answered, refused or aborted.
func (p *Plane) serve(q *request) {
	p.disp.request(q.queue)
	var avoid *route.Server
	for {
		t := q.ticket(avoid)
		granted, ref := p.disp.tryNow(t)
		if ref == nil && !granted {
			t.mayForward = p.mayForward(q)
			if t.mayForward && q.forwards == 0 {
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
			if done := p.overflow(q, *t.peer); done {
				return
			}
			continue
		}
		avoid = t.server
		x := p.run(q, t)
		if x == nil {
			return
		}
		if ref := p.afterFailure(q, x); ref != nil {
			p.refuse(q, ref)
			return
		}
	}
}

// wait queues the request and measures how long it waited. A forwarded request
// does not wait here: the first free slot may be at the instance it came from.
func (p *Plane) wait(q *request, t *ticket) *refusal.Refusal {
	if q.hop {
		return refuseNoFreeSlot(q.queue)
	}
	bounds := route.Bounds{Waiting: q.caller.Row.MaxWaiting, Bytes: p.disp.maxBytes}
	if bounds.Waiting <= 0 {
		bounds.Waiting = DefaultMaxWaiting
	}
	began := p.clock.Now()
	ref, err := p.disp.wait(q.r.Context(), t, bounds)
	p.waited.Update(p.clock.Now().Sub(began))
	if err != nil {
		p.abort(errCallerGone)
	}
	return ref
}

// run sends the request to the server of the ticket and answers the caller.
// It returns the failed exchange where there was no answer.
func (p *Plane) run(q *request, t *ticket) *exchange {
	q.attempts++
	header := q.forwardHeader()
	q.toBackend(header)
	x := p.start(q, t.pool, &q.target, header)
	if x.err == nil && !x.refused {
		p.answer(q, x, func(outcome route.Outcome) { p.disp.end(t, outcome, x.latency) },
			func(outcome route.Outcome) { p.disp.report(t, outcome, x.latency) })
		return nil
	}
	now := p.clock.Now()
	outcome := x.outcome(q, now)
	waited := x.waited(now)
	if x.refused && x.err == nil && x.drainRefused() {
		p.finish(q, x)
		p.disp.end(t, outcome, waited)
		return x
	}
	p.disp.report(t, outcome, waited)
	p.abandon(q, x, func(ended bool) { p.disp.end(t, heldOutcome(ended), 0) })
	return x
}

// heldOutcome is reported for the server once a held slot is given back.
func heldOutcome(ended bool) route.Outcome {
	if ended {
		return route.Abandoned
	}
	return route.Broken
}

// afterFailure decides what follows an exchange without an answer. It returns
// the final refusal, or nil where the request is tried again.
func (p *Plane) afterFailure(q *request, x *exchange) *refusal.Refusal {
	if q.gone() {
		p.abort(errCallerGone)
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
	verdict := route.Judge(state, failure)
	if verdict == route.GiveUp {
		return finalRefusal(failure, x.reason())
	}
	if !p.disp.mayRetry(q.queue) {
		return budgetRefusal(failure, x.reason())
	}
	p.metrics.Retried(retryReason(verdict, x))
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

func retryReason(v route.Verdict, x *exchange) metrics.RetryReason {
	switch {
	case v == route.RetryIdempotent:
		return metrics.RetryIdempotent
	case x.refused:
		return metrics.RetryNotRunAnswer
	}
	return metrics.RetryConnectRefused
}

// refuse answers with a refusal that makes no claim that an earlier attempt disproves.
func (p *Plane) refuse(q *request, ref *refusal.Refusal) {
	if q.mayHaveRun && ref.NotRun {
		c := *ref
		c.NotRun = false
		c.Message += "; an earlier attempt may have run the request"
		ref = &c
	}
	if q.body.spoiled() {
		q.w.Header().Set(headerConnection, "close")
	}
	p.writeRefusal(q.w, ref)
}

// abort closes the caller's connection so that the failure is visible.
//
// The cause is not told to the caller, who sees a connection that ends early.
func (p *Plane) abort(_ error) {
	p.aborted.Inc(1)
	panic(http.ErrAbortHandler)
}

// ticket returns a place in the queue for one attempt.
func (q *request) ticket(avoid *route.Server) *ticket {
	return &ticket{item: route.Item{
		Team:     q.caller.Team,
		Queue:    q.queue,
		Share:    q.caller.Share,
		Bytes:    q.waitingBytes(),
		Deadline: q.deadline,
		Avoid:    avoid,
	}}
}
