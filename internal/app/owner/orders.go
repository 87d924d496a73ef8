package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
)

// Parameters of orders sent to workers.
const (
	// orderBatchMS is how long orders for one relay are collected before they are sent as one call.
	// It is small compared with the shortest latency objective of callers.
	orderBatchMS = 20
	// orderRelayMargin is the round trip to a relay, in addition to the time workers have to
	// answer.
	orderRelayMargin = 250 * time.Millisecond
)

var (
	errResponseLate     = errors.New("no answer within the current order timeout")
	errNoResponse       = errors.New("relay did not answer the order")
	errClaimUnconfirmed = errors.New("order not sent: the claim of the cell was not confirmed in time")
)

// sendOrders sends the orders of a scheduling pass through the relays that poll their workers, or
// directly if there is none. A repeated order is sent directly, because the relay may be what does
// not answer.
func (c *Cell) sendOrders(out jobs.Output, now int64) {
	for i := range out.Starts {
		o := port.RelayedOrder{Start: &out.Starts[i]}
		if out.Starts[i].Repeated {
			c.orderDirectly(o)
			continue
		}
		c.routeOrder(o, now)
	}
	for i := range out.Stops {
		c.routeOrder(port.RelayedOrder{Stop: &out.Stops[i]}, now)
	}
	for i := range out.Throttles {
		c.routeOrder(port.RelayedOrder{Throttle: &out.Throttles[i]}, now)
	}
}

// routeOrder adds an order to its worker's group.
func (c *Cell) routeOrder(o port.RelayedOrder, now int64) {
	if p, ok := c.polls[o.Worker()]; ok && now >= p.directUntilMS {
		if g := c.pollGroups.groupFor(p); g != nil && now >= g.pausedUntilMS {
			g.pendingOrders = append(g.pendingOrders, pendingOrder{o, c.fences.of(o.Worker())})
			return
		}
	}
	c.orderDirectly(o)
}

// sendGroupOrders sends the orders that the groups have collected.
func (c *Cell) sendGroupOrders(now int64) {
	for _, g := range c.pollGroups.byHost {
		if len(g.pendingOrders) == 0 || now-g.lastOrdersMS < orderBatchMS {
			continue
		}
		orders := g.pendingOrders[:min(len(g.pendingOrders), port.MaxRelayedOrders)]
		g.pendingOrders = g.pendingOrders[len(orders):]
		if now < g.pausedUntilMS {
			for _, p := range orders {
				c.orderUnderFence(p)
			}
			continue
		}
		g.lastOrdersMS = now
		for fence, batch := range groupByFence(orders) {
			g.callsInFlight++
			go c.guarded("orders", func() {
				err := c.sendBatch(g.relay, fence, batch)
				c.post(func() { c.finishGroupOrders(g, err) })
			})
		}
	}
}

// pendingOrder is an order with the fence of the time at which it was decided. A fence that is raised before the order is sent
// proves that the order has no effect.
type pendingOrder struct {
	order port.RelayedOrder
	fence int64
}

// groupByFence divides orders by their fences, since all orders of a call have one.
func groupByFence(orders []pendingOrder) map[int64][]port.RelayedOrder {
	groups := make(map[int64][]port.RelayedOrder, 1)
	for _, p := range orders {
		groups[p.fence] = append(groups[p.fence], p.order)
	}
	return groups
}

// finishGroupOrders completes a call of orders through a relay.
func (c *Cell) finishGroupOrders(g *pollGroup, err error) {
	g.callsInFlight--
	if err == nil {
		return
	}
	c.metrics.Counter("worker.order.relay_failed").Inc(1)
	c.log.Info("instance left orders unanswered", zap.String("relay", string(g.host.Instance)),
		zap.Int64("paused_ms", relayPauseMS), zap.Error(err))
	c.pauseGroup(g)
}

// orderDirectly sends an order from this instance once a slot for it is free.
func (c *Cell) orderDirectly(o port.RelayedOrder) {
	c.orderUnderFence(pendingOrder{o, c.fences.of(o.Worker())})
}

func (c *Cell) orderUnderFence(p pendingOrder) {
	c.metrics.Counter("worker.order.direct").Inc(1)
	// Each failure is logged with its order.
	c.runCall(func() { _ = c.sendBatch(c.localRelay, p.fence, []port.RelayedOrder{p.order}) })
}

// runCall runs call in its own goroutine once one of the slots for direct calls is free.
func (c *Cell) runCall(call func()) {
	go func() {
		select {
		case c.orderSlots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.orderSlots }()
		c.guarded("call", call)
	}()
}

// orderCall is one call with orders. A start that exceeds the usual response time is reported as
// unanswered so that it is sent again; an answer that still arrives counts as well.
type orderCall struct {
	cell   *Cell
	fence  int64
	orders []port.RelayedOrder
	sentAt time.Time

	mu       sync.Mutex
	answered []bool
	timedOut bool
}

// sendBatch sends orders with one fence through a relay and reports each answer to the loop.
func (c *Cell) sendBatch(relay port.OrderRelay, fence int64, orders []port.RelayedOrder) error {
	ctx, cancel := context.WithTimeout(c.ctx, maxOrderTimeout+orderRelayMargin)
	defer cancel()
	call := &orderCall{cell: c, fence: fence, orders: orders, sentAt: time.Now(), answered: make([]bool, len(orders))}
	// The process may have been suspended since the decision.
	if !c.mayCallWorkers(c.nowMS()) {
		c.metrics.Counter("worker.order.claim_not_confirmed").Inc(int64(len(orders)))
		call.finish(errClaimUnconfirmed)
		return nil
	}
	timer := time.AfterFunc(c.responseTimes.orderTimeout(), call.onTimeout)
	defer timer.Stop()
	err := relay.SendOrders(ctx, port.OrderBatch{Fence: fence, TimeoutMS: maxOrderTimeout.Milliseconds(), Orders: orders}, call.deliver)
	if missing := call.finish(errNoResponse); err == nil && missing > 0 {
		err = errNoResponse
	}
	return err
}

// deliver handles a batch of answers.
func (call *orderCall) deliver(answers []port.OrderResult) {
	call.mu.Lock()
	defer call.mu.Unlock()
	for _, a := range answers {
		if a.Index < 0 || a.Index >= len(call.orders) || call.answered[a.Index] {
			call.cell.metrics.Counter("worker.order.answer_invalid").Inc(1)
			call.cell.log.Warn("relay answered an order that is not pending", zap.Int("index", a.Index), zap.Int("orders", len(call.orders)))
			continue
		}
		call.answered[a.Index] = true
		call.handleAnswer(a)
	}
}

// handleAnswer reports one answer to the loop.
func (call *orderCall) handleAnswer(a port.OrderResult) {
	c, o := call.cell, &call.orders[a.Index]
	if a.Fenced || o.Start != nil && a.Start == jobs.StartFenced {
		c.post(func() {
			if c.handleFenced(o.Worker(), call.fence) {
				c.orderOutdated(o)
			}
		})
		return
	}
	var err error
	if a.Failure != "" {
		err = errors.New(a.Failure)
	}
	switch {
	case o.Start != nil:
		outcome := a.Start.OrUnanswered()
		c.metrics.Timer("task.start_order").UpdateSince(call.sentAt)
		if outcome != jobs.StartUnanswered {
			c.responseTimes.observe(time.Since(call.sentAt))
		} else if call.timedOut {
			return
		} else if a.NotDelivered {
			outcome = jobs.StartNotDelivered
		}
		c.startAnswered(*o.Start, outcome, err)
	case o.Stop != nil:
		c.stopAnswered(*o.Stop, err)
	case o.Throttle != nil:
		c.throttleAnswered(*o.Throttle, err)
	}
}

// orderOutdated handles an order that the worker refused because its fence was raised since.
func (c *Cell) orderOutdated(o *port.RelayedOrder) {
	switch {
	case o.Start != nil:
		c.machine.StartAnswered(o.Start.Worker, o.Start.Task, o.Start.Run, jobs.StartFenced)
	case o.Stop != nil:
		c.machine.StopAnswered(o.Stop.Worker, o.Stop.Task, o.Stop.Run, false)
	case o.Throttle != nil:
		c.machine.ThrottleAnswered(*o.Throttle, false)
	}
}

// onTimeout reports the starts that have not been answered in time.
func (call *orderCall) onTimeout() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.timedOut = true
	for i, o := range call.orders {
		if !call.answered[i] && o.Start != nil {
			call.cell.startAnswered(*o.Start, jobs.StartUnanswered, errResponseLate)
		}
	}
}

// finish reports all orders without an answer with the given cause, and returns their number.
func (call *orderCall) finish(cause error) (missing int) {
	call.mu.Lock()
	defer call.mu.Unlock()
	for i := range call.orders {
		if call.answered[i] {
			continue
		}
		missing++
		call.answered[i] = true
		call.handleAnswer(port.OrderResult{Index: i, Start: jobs.StartUnanswered, Failure: cause.Error()})
	}
	return missing
}

func (c *Cell) startAnswered(o jobs.StartOrder, outcome jobs.StartOutcome, err error) {
	c.metrics.Counter("task.start." + outcome.String()).Inc(1)
	if err != nil && c.ctx.Err() == nil {
		c.log.Info("start not accepted", zap.String("job", string(o.Task.Job)), zap.Int("step", o.Task.Step),
			zap.Int("task", o.Task.Index), zap.Int("run", o.Run), zap.String("worker", string(o.Worker)),
			zap.String("outcome", outcome.String()), zap.Error(err))
	}
	c.post(func() {
		if outcome == jobs.StartUnanswered {
			c.noteUnanswered(o.Worker)
		}
		c.machine.StartAnswered(o.Worker, o.Task, o.Run, outcome)
	})
}

func (c *Cell) stopAnswered(o jobs.StopOrder, err error) {
	if err != nil && c.ctx.Err() == nil {
		c.metrics.Counter("task.stop.unanswered").Inc(1)
		c.log.Info("stop not answered", zap.String("job", string(o.Task.Job)), zap.Int("task", o.Task.Index),
			zap.Int("run", o.Run), zap.String("worker", string(o.Worker)), zap.Error(err))
	}
	c.post(func() { c.machine.StopAnswered(o.Worker, o.Task, o.Run, err == nil) })
}

func (c *Cell) throttleAnswered(o jobs.ThrottleOrder, err error) {
	outcome := "done"
	if err != nil {
		outcome = "unanswered"
		if c.ctx.Err() == nil {
			c.log.Info("failed to set the throttle of a run", zap.String("job", string(o.Task.Job)), zap.Int("task", o.Task.Index), zap.Int("run", o.Run),
				zap.String("worker", string(o.Worker)), zap.Int("percent", o.Percent), zap.Error(err))
		}
	}
	c.metrics.Counter("task.pace." + outcome).Inc(1)
	c.post(func() { c.machine.ThrottleAnswered(o, err == nil) })
}

// pauseGroup stops using the relay of a group for a while.
func (c *Cell) pauseGroup(g *pollGroup) {
	g.pausedUntilMS = c.nowMS() + relayPauseMS
	c.assignedMS = 0
}
