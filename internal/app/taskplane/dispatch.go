package taskplane

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
)

// dispatch executes the output of the state machine after a step. Ready.Renew is
// not needed: a long-polling renewal is always open at the worker, which responds
// as soon as an attempt ends.
func (p *Partition) dispatch(ctx context.Context) {
	ready := p.machine.Ready()
	if ready.Batch != 0 {
		p.journalBatch(ctx, ready)
	}
	for _, id := range ready.Acquire {
		p.worker(ctx, id).keeper.requestLease()
	}
	for _, call := range ready.Starts {
		p.worker(ctx, call.Worker).enqueue(func(m *pendingCalls) { m.starts = append(m.starts, call) })
	}
	for _, call := range ready.Stops {
		p.worker(ctx, call.Worker).enqueue(func(m *pendingCalls) { m.stops = append(m.stops, call) })
	}
	for _, call := range ready.Checkpoints {
		p.worker(ctx, call.Worker).enqueue(func(m *pendingCalls) { m.checkpoints = append(m.checkpoints, call) })
	}
	for _, call := range ready.Throttles {
		p.worker(ctx, call.Worker).enqueue(func(m *pendingCalls) { m.throttles = append(m.throttles, call) })
	}
	for _, ack := range ready.Acknowledge {
		p.worker(ctx, ack.Worker).keeper.acknowledge(ack.Attempts)
	}
	for _, request := range ready.AllotmentRequests {
		p.allotmentRequests[request.Team] = request.Amount
	}
	for _, id := range ready.RemovedWorkers {
		p.removeWorker(id)
	}
	if p.snapshotRequested.Load() {
		p.journalSnapshot(ctx)
	}
}

func (p *Partition) journalBatch(ctx context.Context, ready sched.Ready) {
	b := batch{number: ready.Batch}
	for _, r := range ready.Records {
		raw, err := sched.EncodeRecord(r)
		if err != nil {
			p.log.Error("cannot encode record; stopping the partition", zap.Error(err))
			p.fail(err)
			return
		}
		b.records = append(b.records, cbor.RawMessage(raw))
	}
	if p.lastBatch == p.durable {
		p.oldestPendingAt = p.o.Clock.Now()
	}
	p.lastBatch = ready.Batch
	p.enqueue(ctx, b)
}

func (p *Partition) journalSnapshot(ctx context.Context) {
	state, err := p.machine.Snapshot()
	if err != nil {
		p.log.Error("cannot take snapshot", zap.Error(err))
		return
	}
	p.snapshotRequested.Store(false)
	p.enqueue(ctx, batch{number: p.lastBatch, snapshot: state})
}

// enqueue blocks if the journal's queue is full. New submissions are refused after
// maxJournalDelay, long before that, so only attempt ends and intents in flight wait here.
func (p *Partition) enqueue(ctx context.Context, b batch) {
	select {
	case <-ctx.Done():
	case p.batches <- b:
	}
}

// markDurable runs on the state machine's goroutine after the journal wrote a group.
func (p *Partition) markDurable(number uint64) {
	if number <= p.durable {
		return
	}
	p.durable = number
	p.oldestPendingAt = p.o.Clock.Now()
	p.machine.Step(sched.Durable{Batch: number})
	rest := p.confirmations[:0]
	for _, c := range p.confirmations {
		if c.batch > number {
			rest = append(rest, c)
			continue
		}
		c.reply <- nil
	}
	p.confirmations = rest
}

// replyWhenDurable sends nil to reply once the batch is durable.
func (p *Partition) replyWhenDurable(number uint64, reply chan<- error) {
	if number <= p.durable {
		reply <- nil
		return
	}
	p.confirmations = append(p.confirmations, confirmation{batch: number, reply: reply})
}

func (p *Partition) failConfirmations() {
	for _, c := range p.confirmations {
		c.reply <- p.cause()
	}
	p.confirmations = nil
}

// notifyEnded wakes callers that wait for jobs which have ended. It checks every
// job that a caller waits for, so it runs only once per notifyTicks.
func (p *Partition) notifyEnded() {
	for id, waiters := range p.waiters {
		status, ok := p.machine.Status(id)
		if ok && !status.State.Terminal() {
			continue
		}
		for w := range waiters {
			close(w)
		}
		delete(p.waiters, id)
	}
}

// removeWaiter removes a caller that no longer waits.
func (p *Partition) removeWaiter(id domain.JobID, w chan struct{}) {
	delete(p.waiters[id], w)
	if len(p.waiters[id]) == 0 {
		delete(p.waiters, id)
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

func (p *Partition) removeWorker(id domain.WorkerID) {
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
