package taskplane

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
)

// dispatch carries out what the machine asks for after a step. Ready.Renew is
// not needed: a renewal is always held open at the worker, which answers it as
// soon as an attempt ends.
func (p *Partition) dispatch(ctx context.Context) {
	ready := p.machine.Ready()
	if ready.Batch != 0 {
		p.journalBatch(ctx, ready)
	}
	for _, id := range ready.Acquire {
		p.worker(ctx, id).keeper.wantLease()
	}
	for _, call := range ready.Starts {
		p.worker(ctx, call.Worker).want(func(m *mailbox) { m.starts = append(m.starts, call) })
	}
	for _, call := range ready.Stops {
		p.worker(ctx, call.Worker).want(func(m *mailbox) { m.stops = append(m.stops, call) })
	}
	for _, call := range ready.Checkpoints {
		p.worker(ctx, call.Worker).want(func(m *mailbox) { m.checkpoints = append(m.checkpoints, call) })
	}
	for _, call := range ready.Throttles {
		p.worker(ctx, call.Worker).want(func(m *mailbox) { m.throttles = append(m.throttles, call) })
	}
	for _, ack := range ready.Acknowledge {
		p.worker(ctx, ack.Worker).keeper.acknowledge(ack.Attempts)
	}
	for _, wish := range ready.AllotmentRequests {
		p.wishes[wish.Team] = wish.Amount
	}
	for _, id := range ready.RemovedWorkers {
		p.forget(id)
	}
	if p.snapshotWanted.Load() {
		p.journalSnapshot(ctx)
	}
}

func (p *Partition) journalBatch(ctx context.Context, ready sched.Ready) {
	b := batch{number: ready.Batch}
	for _, r := range ready.Records {
		raw, err := sched.EncodeRecord(r)
		if err != nil {
			p.log.Error("record cannot be encoded, the partition is given up", zap.Error(err))
			p.fail(err)
			return
		}
		b.records = append(b.records, cbor.RawMessage(raw))
	}
	if p.lastBatch == p.durable {
		p.oldest = p.o.Clock.Now()
	}
	p.lastBatch = ready.Batch
	p.enqueue(ctx, b)
}

func (p *Partition) journalSnapshot(ctx context.Context) {
	state, err := p.machine.Snapshot()
	if err != nil {
		p.log.Error("snapshot cannot be taken", zap.Error(err))
		return
	}
	p.snapshotWanted.Store(false)
	p.enqueue(ctx, batch{number: p.lastBatch, snapshot: state})
}

// enqueue waits where the journal's queue is full: new submissions are refused
// by stallBound long before that, so only ends and intents in flight wait here.
func (p *Partition) enqueue(ctx context.Context, b batch) {
	select {
	case <-ctx.Done():
	case p.batches <- b:
	}
}

// becameDurable is run by the machine's goroutine when the journal wrote a group.
func (p *Partition) becameDurable(number uint64) {
	if number <= p.durable {
		return
	}
	p.durable = number
	p.oldest = p.o.Clock.Now()
	p.machine.Step(sched.Durable{Batch: number})
	rest := p.confirming[:0]
	for _, c := range p.confirming {
		if c.batch > number {
			rest = append(rest, c)
			continue
		}
		c.reply <- nil
	}
	p.confirming = rest
}

// confirm answers reply once the batch is durable.
func (p *Partition) confirm(number uint64, reply chan<- error) {
	if number <= p.durable {
		reply <- nil
		return
	}
	p.confirming = append(p.confirming, confirmation{batch: number, reply: reply})
}

func (p *Partition) failConfirmations() {
	for _, c := range p.confirming {
		c.reply <- p.cause()
	}
	p.confirming = nil
}

// notifyEnded wakes callers that wait for jobs which have ended. It runs each
// notifyTicks, because the states of all jobs that are waited for are looked at.
func (p *Partition) notifyEnded() {
	for id, waiters := range p.notified {
		status, ok := p.machine.Status(id)
		if ok && !status.State.Terminal() {
			continue
		}
		for w := range waiters {
			close(w)
		}
		delete(p.notified, id)
	}
}

// forgetWaiter takes a caller off the list who no longer waits.
func (p *Partition) forgetWaiter(id domain.JobID, w chan struct{}) {
	delete(p.notified[id], w)
	if len(p.notified[id]) == 0 {
		delete(p.notified, id)
	}
}

func (p *Partition) worker(ctx context.Context, id domain.WorkerID) *workerLoop {
	w, ok := p.workers[id]
	if !ok {
		status, _ := p.machine.Worker(id)
		w = newWorkerLoop(ctx, p, id, status.Address)
		p.workers[id] = w
	}
	return w
}

func (p *Partition) forget(id domain.WorkerID) {
	if w, ok := p.workers[id]; ok {
		w.close()
		delete(p.workers, id)
	}
}

func (p *Partition) stopWorkers() {
	for _, w := range p.workers {
		w.close()
	}
}
