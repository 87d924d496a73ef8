package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// Figures of orders to workers.
const (
	// orderGatherMS collects the orders of one instance into a call. It is short
	// beside the shortest objective of callers.
	orderGatherMS = 20
	// orderRelaySlack is the way to an instance and back, beyond the time that
	// workers have to answer.
	orderRelaySlack = 250 * time.Millisecond
)

var (
	errAnswerLate     = errors.New("no answer within the time that answers take now")
	errNoAnswer       = errors.New("the instance that sends the order did not answer")
	errClaimNotProven = errors.New("the claim of the cell was not confirmed in time, the order was not sent")
)

// sendOrders sends the orders of a pass through the instances that look at
// their workers, or from here where there is none. A repeat goes out from here:
// the instance may be what does not answer.
func (c *Cell) sendOrders(out jobs.Output, now int64) {
	for i := range out.Starts {
		o := port.RelayedOrder{Start: &out.Starts[i]}
		if out.Starts[i].Repeated {
			c.orderDirectly(o)
			continue
		}
		c.route(o, now)
	}
	for i := range out.Stops {
		c.route(port.RelayedOrder{Stop: &out.Stops[i]}, now)
	}
	for i := range out.Paces {
		c.route(port.RelayedOrder{Pace: &out.Paces[i]}, now)
	}
}

// route adds an order to those of its worker's group.
func (c *Cell) route(o port.RelayedOrder, now int64) {
	if l, ok := c.looks[o.Worker()]; ok && now >= l.directUntilMS {
		if g := c.groups.of(l); g != nil && now >= g.pausedMS {
			g.orders = append(g.orders, o)
			return
		}
	}
	c.orderDirectly(o)
}

// sendGroupOrders sends what the groups have collected.
func (c *Cell) sendGroupOrders(now int64) {
	for _, g := range c.groups.byHost {
		if len(g.orders) == 0 || now-g.orderedMS < orderGatherMS {
			continue
		}
		orders := g.orders[:min(len(g.orders), port.MaxRelayedOrders)]
		g.orders = g.orders[len(orders):]
		if now < g.pausedMS {
			for _, o := range orders {
				c.orderDirectly(o)
			}
			continue
		}
		g.orderedMS = now
		g.calls++
		go c.guarded("orders", func() {
			err := c.order(g.relay, orders)
			c.post(func() { c.groupOrdered(g, err) })
		})
	}
}

// groupOrdered ends a call of orders through an instance.
func (c *Cell) groupOrdered(g *lookGroup, err error) {
	g.calls--
	if err == nil {
		return
	}
	c.metrics.Counter("worker.order.relay_failed").Inc(1)
	c.log.Info("instance left orders unanswered", zap.String("relay", string(g.hello.Instance)),
		zap.Int64("paused_ms", relayPauseMS), zap.Error(err))
	c.pauseGroup(g)
}

// orderDirectly sends an order from here once the bound on those under way permits it.
func (c *Cell) orderDirectly(o port.RelayedOrder) {
	c.metrics.Counter("worker.order.direct").Inc(1)
	// Each failure is logged with its order.
	c.send(func() { _ = c.order(c.own, []port.RelayedOrder{o}) })
}

// send runs a call of its own once the bound on calls under way permits it.
func (c *Cell) send(call func()) {
	go func() {
		select {
		case c.orders <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.orders }()
		c.guarded("call", call)
	}()
}

// orderCall is one call of orders. After the usual time for an answer a start
// counts as unanswered, so that it is sent again; an answer that still comes
// counts too.
type orderCall struct {
	cell   *Cell
	orders []port.RelayedOrder
	begun  time.Time

	mu       sync.Mutex
	answered []bool
	late     bool
}

// order sends orders through a relay and tells the loop of each answer.
func (c *Cell) order(relay port.OrderRelay, orders []port.RelayedOrder) error {
	ctx, cancel := context.WithTimeout(c.ctx, maxOrderTime+orderRelaySlack)
	defer cancel()
	call := &orderCall{cell: c, orders: orders, begun: time.Now(), answered: make([]bool, len(orders))}
	// The process may have been paused since the decision.
	if !c.mayOrder(steady.NowMS()) {
		c.metrics.Counter("worker.order.claim_not_confirmed").Inc(int64(len(orders)))
		call.finish(errClaimNotProven)
		return nil
	}
	timer := time.AfterFunc(c.answers.order(), call.overdue)
	defer timer.Stop()
	err := relay.SendOrders(ctx, port.OrderBatch{Fence: c.reign.epoch, TimeoutMS: maxOrderTime.Milliseconds(), Orders: orders}, call.deliver)
	if missing := call.finish(errNoAnswer); err == nil && missing > 0 {
		err = errNoAnswer
	}
	return err
}

// deliver takes answers.
func (p *orderCall) deliver(answers []port.OrderResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range answers {
		if a.Index < 0 || a.Index >= len(p.orders) || p.answered[a.Index] {
			p.cell.metrics.Counter("worker.order.answer_invalid").Inc(1)
			p.cell.log.Warn("answer names no open order", zap.Int("index", a.Index), zap.Int("orders", len(p.orders)))
			continue
		}
		p.answered[a.Index] = true
		p.take(a)
	}
}

// take passes one answer on to the loop.
func (p *orderCall) take(a port.OrderResult) {
	c, o := p.cell, &p.orders[a.Index]
	if a.Fenced {
		c.end("worker " + string(o.Worker()) + " has seen a higher fence")
		return
	}
	var err error
	if a.Failure != "" {
		err = errors.New(a.Failure)
	}
	switch {
	case o.Start != nil:
		outcome := a.Start.OrUnanswered()
		c.metrics.Timer("task.start_order").UpdateSince(p.begun)
		if outcome != jobs.StartUnanswered {
			c.answers.note(time.Since(p.begun))
		} else if p.late {
			return
		}
		c.startAnswered(*o.Start, outcome, err)
	case o.Stop != nil:
		c.stopAnswered(*o.Stop, err)
	case o.Pace != nil:
		c.paceAnswered(*o.Pace, err)
	}
}

// overdue tells the loop of the starts whose answers are late.
func (p *orderCall) overdue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = true
	for i, o := range p.orders {
		if !p.answered[i] && o.Start != nil {
			p.cell.startAnswered(*o.Start, jobs.StartUnanswered, errAnswerLate)
		}
	}
}

// finish tells the loop of the orders that have no answer and why, and counts them.
func (p *orderCall) finish(cause error) (missing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.orders {
		if p.answered[i] {
			continue
		}
		missing++
		p.answered[i] = true
		p.take(port.OrderResult{Index: i, Start: jobs.StartUnanswered, Failure: cause.Error()})
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
	if outcome == jobs.StartFenced {
		c.end("worker " + string(o.Worker) + " has seen a higher fence")
		return
	}
	c.post(func() { c.machine.StartAnswered(o.Worker, o.Task, o.Run, outcome) })
}

func (c *Cell) stopAnswered(o jobs.StopOrder, err error) {
	if err != nil && c.ctx.Err() == nil {
		c.metrics.Counter("task.stop.unanswered").Inc(1)
		c.log.Info("stop not answered", zap.String("job", string(o.Task.Job)), zap.Int("task", o.Task.Index),
			zap.Int("run", o.Run), zap.String("worker", string(o.Worker)), zap.Error(err))
	}
	c.post(func() { c.machine.StopAnswered(o.Worker, o.Task, o.Run, err == nil) })
}

func (c *Cell) paceAnswered(o jobs.PaceOrder, err error) {
	outcome := "done"
	if err != nil {
		outcome = "unanswered"
		if c.ctx.Err() == nil {
			c.log.Info("pace not set", zap.String("job", string(o.Task.Job)), zap.Int("task", o.Task.Index), zap.Int("run", o.Run),
				zap.String("worker", string(o.Worker)), zap.Int("percent", o.Percent), zap.Error(err))
		}
	}
	c.metrics.Counter("task.pace." + outcome).Inc(1)
	c.post(func() { c.machine.PaceAnswered(o, err == nil) })
}

// pauseGroup leaves the instance of a group out for a while.
func (c *Cell) pauseGroup(g *lookGroup) {
	g.pausedMS = steady.NowMS() + relayPauseMS
	c.arrangedMS = 0
}
