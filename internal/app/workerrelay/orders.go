package workerrelay

import (
	"context"
	"errors"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// SendOrders implements port.OrderRelay. An order that has not left when its time is
// over is dropped; the steady clock counts the suspension of the VM.
func (r *Relay) SendOrders(ctx context.Context, batch port.OrderBatch, deliver func([]port.OrderResult)) error {
	// What has no answer in time is told as such, so that the caller can tell a
	// worker that does not answer from an instance that does not.
	orderCtx, cancel := context.WithTimeout(ctx, time.Duration(batch.TimeoutMS)*time.Millisecond)
	defer cancel()
	deadlineMS := steady.NowMS() + batch.TimeoutMS
	answers := make(chan port.OrderResult, len(batch.Orders))
	for i := range batch.Orders {
		go func() {
			answer := port.OrderResult{Start: jobs.StartUnanswered}
			err := guard.Run(r.log, r.metrics, "relay_order", func() {
				answer = r.order(orderCtx, batch.Fence, &batch.Orders[i], deadlineMS)
			})
			if err != nil {
				answer.Failure = err.Error()
			}
			answer.Index = i
			answers <- answer
		}()
	}
	return deliverAll(ctx, answers, len(batch.Orders), deliver)
}

var errOrderExpired = errors.New("the order's time was over before it was sent")

func (r *Relay) order(ctx context.Context, fence int64, o *port.RelayedOrder, deadlineMS int64) port.OrderResult {
	if steady.NowMS() >= deadlineMS {
		r.metrics.Counter("relay.order.expired").Inc(1)
		return port.OrderResult{Start: jobs.StartUnanswered, Failure: errOrderExpired.Error()}
	}
	var answer port.OrderResult
	var err error
	switch {
	case o.Start != nil:
		answer.Start, err = r.workers.Start(ctx, fence, *o.Start)
	case o.Stop != nil:
		err = r.workers.Stop(ctx, fence, *o.Stop)
	case o.Pace != nil:
		err = r.workers.Throttle(ctx, fence, *o.Pace)
	default:
		answer.Start, err = jobs.StartInvalid, errors.New("the order names nothing to do")
	}
	outcome := "answered"
	if err != nil {
		var fenced *port.FencedError
		answer.Fenced = errors.As(err, &fenced)
		answer.Failure = err.Error()
		outcome = "failed"
	}
	r.metrics.Counter("relay.order." + outcome).Inc(1)
	return answer
}
