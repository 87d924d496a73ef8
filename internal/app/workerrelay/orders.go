package workerrelay

import (
	"context"
	"errors"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
)

// SendOrders implements port.OrderRelay. Orders that have not been sent when the
// batch times out are dropped. The deadline is measured by the steady clock,
// which also counts the time for which the VM is suspended.
func (r *Relay) SendOrders(ctx context.Context, batch port.OrderBatch, deliver func([]port.OrderResult)) error {
	// Orders that time out are reported as unanswered, so that the caller can
	// distinguish an unresponsive worker from an unresponsive instance.
	orderCtx, cancel := context.WithTimeout(ctx, time.Duration(batch.TimeoutMS)*time.Millisecond)
	defer cancel()
	deadlineMS := r.NowMS() + batch.TimeoutMS
	results := make(chan port.OrderResult, len(batch.Orders))
	for i := range batch.Orders {
		go func() {
			result := port.OrderResult{Start: jobs.StartUnanswered}
			err := guard.Run(r.log, r.metrics, "relay_order", func() {
				result = r.sendOrder(orderCtx, batch.Fence, &batch.Orders[i], deadlineMS)
			})
			if err != nil {
				result.Failure = err.Error()
			}
			result.Index = i
			results <- result
		}()
	}
	return deliverAll(ctx, results, len(batch.Orders), deliver)
}

var errOrderExpired = errors.New("order timed out before it was sent to the worker")

func (r *Relay) sendOrder(ctx context.Context, fence int64, o *port.RelayedOrder, deadlineMS int64) port.OrderResult {
	if r.NowMS() >= deadlineMS {
		r.metrics.Counter("relay.order.expired").Inc(1)
		return port.OrderResult{Start: jobs.StartUnanswered, Failure: errOrderExpired.Error()}
	}
	var result port.OrderResult
	var err error
	switch {
	case o.Start != nil:
		result.Start, err = r.workers.Start(ctx, fence, *o.Start)
	case o.Stop != nil:
		err = r.workers.Stop(ctx, fence, *o.Stop)
	case o.Throttle != nil:
		err = r.workers.Throttle(ctx, fence, *o.Throttle)
	default:
		result.Start, err = jobs.StartInvalid, errors.New("relayed order has no start, stop or throttle")
	}
	outcome := "answered"
	if err != nil {
		var fenced *port.FencedError
		result.Fenced = errors.As(err, &fenced)
		result.Failure = err.Error()
		result.NotDelivered = port.NotSent(err)
		outcome = "failed"
	}
	r.metrics.Counter("relay.order." + outcome).Inc(1)
	return result
}
