package sched

import (
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// outCall is an outgoing call for one attempt.
type outCall struct {
	worker  domain.WorkerID
	attempt domain.AttemptID
}

// pendingAck is an attempt's end whose batch is not durable yet.
type pendingAck struct {
	batch   uint64
	worker  domain.WorkerID
	attempt domain.AttemptID
}

// output collects messages for the next Ready.
type output struct {
	starts             []*attempt
	stops, checkpoints []outCall
	acks               []outCall
	throttles          []ThrottleCall
	acquire, renew     []domain.WorkerID
	removedWorkers     []domain.WorkerID
	allotmentRequests  []AllotmentRequest
}

// Ready returns the records and messages produced since the last call.
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
	r.Starts = m.buildStartCalls(out.starts)
	r.Stops = m.buildAttemptCalls(out.stops)
	r.Checkpoints = m.buildAttemptCalls(out.checkpoints)
	r.Throttles = m.buildThrottleCalls(out.throttles)
	for _, c := range groupByWorker(out.acks) {
		r.Acknowledge = append(r.Acknowledge, Acknowledgement{Worker: c.Worker, Attempts: c.Attempts})
	}
	r.Acquire = m.knownWorkers(out.acquire)
	r.Renew = m.knownWorkers(out.renew)
	r.RemovedWorkers = out.removedWorkers
	r.AllotmentRequests = out.allotmentRequests
	return r
}

// buildStartCalls groups released starts into one call for each worker, in order of
// release. Attempts whose worker is not usable now stay in phaseIntended.
func (m *Machine) buildStartCalls(list []*attempt) []StartCall {
	var calls []StartCall
	at := make(map[domain.WorkerID]int)
	for _, a := range list {
		w := m.worker(a.Worker)
		if m.attempts[a.ID] != a || a.phase != phaseIntended || !w.usable() || w.bootID != a.BootID {
			continue
		}
		a.phase = phaseSent
		a.sentMS = m.nowMS
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

// buildAttemptCalls groups calls by worker and leaves out workers without a lease; their
// calls are repeated later.
func (m *Machine) buildAttemptCalls(list []outCall) []AttemptCall {
	var kept []AttemptCall
	for _, c := range groupByWorker(list) {
		w, ok := m.workers[c.Worker]
		if !ok || !w.callable() {
			continue
		}
		c.Lease = w.lease
		kept = append(kept, c)
	}
	return kept
}

func (m *Machine) buildThrottleCalls(list []ThrottleCall) []ThrottleCall {
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

// groupByWorker groups attempts by worker in order of first appearance and drops duplicates.
func groupByWorker(list []outCall) []AttemptCall {
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

// knownWorkers drops duplicates and removed workers.
func (m *Machine) knownWorkers(list []domain.WorkerID) []domain.WorkerID {
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
	for ; n < len(m.unsentStarts) && m.unsentStarts[n].batch <= m.durable; n++ {
		a := m.unsentStarts[n]
		a.startReleased = true
		m.out.starts = append(m.out.starts, a)
	}
	m.unsentStarts = m.unsentStarts[n:]
	n = 0
	for ; n < len(m.unsentAcks) && m.unsentAcks[n].batch <= m.durable; n++ {
		m.out.acks = append(m.out.acks, outCall{m.unsentAcks[n].worker, m.unsentAcks[n].attempt})
	}
	m.unsentAcks = m.unsentAcks[n:]
	n = 0
	for ; n < len(m.pendingEndOrder) && m.pendingEndOrder[n].batch <= m.durable; n++ {
		delete(m.pendingEnds, m.pendingEndOrder[n].attempt)
	}
	m.pendingEndOrder = m.pendingEndOrder[n:]
}

// sendReleasedStarts sends durable starts that waited for the worker to become usable.
func (m *Machine) sendReleasedStarts(w *worker) {
	if !w.usable() {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.phase == phaseIntended && a.startReleased {
			m.out.starts = append(m.out.starts, a)
		}
	}
}

// acknowledgeOnceDurable acknowledges an end once the batch being collected is durable.
func (m *Machine) acknowledgeOnceDurable(w domain.WorkerID, id domain.AttemptID) {
	m.unsentAcks = append(m.unsentAcks, pendingAck{batch: m.nextBatch(), worker: w, attempt: id})
}

// acknowledgeRepeatedEnd acknowledges a reported end of an attempt that is no longer
// active here. If that end is not durable yet, nothing is sent: the worker reports it
// again and it is acknowledged then.
func (m *Machine) acknowledgeRepeatedEnd(w *worker, id domain.AttemptID) {
	if _, pending := m.pendingEnds[id]; pending {
		return
	}
	m.out.acks = append(m.out.acks, outCall{w.id, id})
}

// batchToConfirm returns the batch that must be durable before the current state is
// reported to a caller, or zero if everything is durable.
func (m *Machine) batchToConfirm() uint64 {
	switch {
	case len(m.records) > 0:
		return m.nextBatch()
	case m.batch > m.durable:
		return m.batch
	}
	return 0
}
