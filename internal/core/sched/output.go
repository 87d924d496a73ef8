package sched

import (
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// outCall is one call about one attempt.
type outCall struct {
	worker  domain.WorkerID
	attempt domain.AttemptID
}

// pendingAck is an end that waits for its batch.
type pendingAck struct {
	batch   uint64
	worker  domain.WorkerID
	attempt domain.AttemptID
}

// output collects messages until the next Ready.
type output struct {
	starts             []*attempt
	stops, checkpoints []outCall
	acks               []outCall
	throttles          []ThrottleCall
	acquire, renew     []domain.WorkerID
	forgotten          []domain.WorkerID
	wishes             []Wish
}

// Ready returns what is to be done since the last call.
func (m *Machine) Ready() Ready {
	var r Ready
	if len(m.records) > 0 {
		m.batch++
		r.Batch = m.batch
		r.Records = m.records
		m.records = nil
	}
	out := m.out
	m.out = output{}
	r.Starts = m.startCalls(out.starts)
	r.Stops = m.calls(out.stops)
	r.Checkpoints = m.calls(out.checkpoints)
	r.Throttles = m.throttleCalls(out.throttles)
	for _, c := range group(out.acks) {
		r.Acknowledge = append(r.Acknowledge, Acknowledgement{Worker: c.Worker, Attempts: c.Attempts})
	}
	r.Acquire = m.known(out.acquire)
	r.Renew = m.known(out.renew)
	r.Forgotten = out.forgotten
	r.Wishes = out.wishes
	return r
}

// startCalls turns released attempts into calls, one for each worker, in order of
// their release. Attempts whose worker is not usable now stay intended.
func (m *Machine) startCalls(list []*attempt) []StartCall {
	var calls []StartCall
	at := make(map[domain.WorkerID]int)
	for _, a := range list {
		w := m.worker(a.Worker)
		if m.attempts[a.ID] != a || a.phase != phaseIntended || !w.usable() || w.bootID != a.BootID {
			continue
		}
		a.phase = phaseSent
		a.sentMS = m.now
		m.stats.Starts++
		i, ok := at[w.id]
		if !ok {
			i = len(calls)
			at[w.id] = i
			calls = append(calls, StartCall{Worker: w.id, Lease: w.lease})
		}
		calls[i].Requests = append(calls[i].Requests, port.StartRequest{
			Attempt: a.ID, Job: a.Job, Team: a.j.Team, Task: a.Task, Command: a.j.Spec.Command,
			Resources: a.Reservation, Checkpoint: a.j.Tasks[a.Task].Checkpoint,
		})
	}
	return calls
}

// calls groups calls by worker and leaves out workers without a lease; those are repeated later.
func (m *Machine) calls(list []outCall) []AttemptCall {
	var kept []AttemptCall
	for _, c := range group(list) {
		w, ok := m.workers[c.Worker]
		if !ok || !w.callable() {
			continue
		}
		c.Lease = w.lease
		kept = append(kept, c)
	}
	return kept
}

func (m *Machine) throttleCalls(list []ThrottleCall) []ThrottleCall {
	var kept []ThrottleCall
	for _, t := range list {
		w, ok := m.workers[t.Worker]
		if !ok || !w.callable() {
			continue
		}
		t.Lease = w.lease
		kept = append(kept, t)
	}
	return kept
}

// group collects attempts by worker in order of first appearance and drops repetitions.
func group(list []outCall) []AttemptCall {
	var calls []AttemptCall
	at := make(map[domain.WorkerID]int)
	seen := make(map[outCall]bool, len(list))
	for _, c := range list {
		if seen[c] {
			continue
		}
		seen[c] = true
		i, ok := at[c.worker]
		if !ok {
			i = len(calls)
			at[c.worker] = i
			calls = append(calls, AttemptCall{Worker: c.worker})
		}
		calls[i].Attempts = append(calls[i].Attempts, c.attempt)
	}
	return calls
}

// known drops repetitions and forgotten workers.
func (m *Machine) known(list []domain.WorkerID) []domain.WorkerID {
	var kept []domain.WorkerID
	seen := make(map[domain.WorkerID]bool, len(list))
	for _, id := range list {
		if _, ok := m.workers[id]; !ok || seen[id] {
			continue
		}
		seen[id] = true
		kept = append(kept, id)
	}
	return kept
}

// batchDurable releases the starts and acknowledgements of durable batches.
func (m *Machine) batchDurable(batch uint64) {
	m.durable = max(m.durable, min(batch, m.batch))
	n := 0
	for ; n < len(m.unsent) && m.unsent[n].batch <= m.durable; n++ {
		a := m.unsent[n]
		a.released = true
		m.out.starts = append(m.out.starts, a)
	}
	m.unsent = m.unsent[n:]
	n = 0
	for ; n < len(m.unacked) && m.unacked[n].batch <= m.durable; n++ {
		m.out.acks = append(m.out.acks, outCall{m.unacked[n].worker, m.unacked[n].attempt})
	}
	m.unacked = m.unacked[n:]
	n = 0
	for ; n < len(m.endOrder) && m.endOrder[n].batch <= m.durable; n++ {
		delete(m.pendingEnds, m.endOrder[n].attempt)
	}
	m.endOrder = m.endOrder[n:]
}

// sendReleased puts out starts that waited for the worker to become usable.
func (m *Machine) sendReleased(w *worker) {
	if !w.usable() {
		return
	}
	for _, a := range w.sorted() {
		if a.phase == phaseIntended && a.released {
			m.out.starts = append(m.out.starts, a)
		}
	}
}

// acknowledgeLater acknowledges an end once the batch being collected is durable.
func (m *Machine) acknowledgeLater(w domain.WorkerID, id domain.AttemptID) {
	m.unacked = append(m.unacked, pendingAck{batch: m.nextBatch(), worker: w, attempt: id})
}

// acknowledgeKnown acknowledges an end that is not active here. An end that is
// not durable yet is reported again and acknowledged then.
func (m *Machine) acknowledgeKnown(w *worker, id domain.AttemptID) {
	if _, pending := m.pendingEnds[id]; pending {
		return
	}
	m.out.acks = append(m.out.acks, outCall{w.id, id})
}

// confirmBatch is the batch that must be durable before the state so far is told to a caller.
func (m *Machine) confirmBatch() uint64 {
	switch {
	case len(m.records) > 0:
		return m.nextBatch()
	case m.batch > m.durable:
		return m.batch
	}
	return 0
}
