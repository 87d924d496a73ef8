package sched

import "auburnpier/internal/port"

// throttleRepeatMS is the least time between two throttles of one attempt: a call
// may be lost, and usage is reported with a lag.
const throttleRepeatMS = 10_000

// observeRunning handles the report of an attempt that the worker runs.
func (m *Machine) observeRunning(a *attempt, r *port.AttemptReport) {
	a.phase = phaseRunning
	a.startUnknown = false
	a.unlisted = 0
	if started := millis(r.StartedAt); started != 0 {
		a.startedMS = started
	} else if a.startedMS == 0 {
		a.startedMS = m.now
	}
	a.peak = a.peak.Max(r.Usage)
	if r.Usage.CPUMilli > a.Reservation.CPUMilli && (a.throttledMS == 0 || m.now-a.throttledMS >= throttleRepeatMS) {
		a.throttledMS = m.now
		m.stats.Throttles++
		m.out.throttles = append(m.out.throttles, ThrottleCall{
			Worker: a.Worker, Attempt: a.ID, CPUMilli: a.Reservation.CPUMilli,
		})
	}
	if r.Usage.MemoryMB > a.Reservation.MemoryMB && a.cause == CauseNone {
		m.memoryAbove(a, r.Usage.MemoryMB)
	}
}

// memoryAbove handles an attempt above its memory reservation. It is planned
// again with a larger one, unless it must not run twice: then it goes on where
// it is, as long as its worker and its team have the room.
func (m *Machine) memoryAbove(a *attempt, usedMB int64) {
	if !a.j.Spec.Idempotent && (m.raise(a, enlarged(usedMB)) || m.raise(a, usedMB)) {
		return
	}
	m.stats.MemoryStops++
	m.requestEnd(a, CauseMemory)
}

// raise reserves more memory for a running attempt and reports whether there was room.
func (m *Machine) raise(a *attempt, memoryMB int64) bool {
	larger := a.Reservation
	larger.MemoryMB = memoryMB
	t := m.team(a.j.Team)
	if !a.reserved || !t.running.Sub(a.Reservation).Add(larger).Fits(t.bound()) {
		return false
	}
	m.index.Release(a.Worker, a.Job, a.Reservation)
	if !m.index.Reserve(a.Worker, a.Job, larger) {
		m.index.ForceReserve(a.Worker, a.Job, a.Reservation)
		return false
	}
	m.commit(Record{Raised: &RaisedRecord{Attempt: a.ID, Reservation: larger}})
	return true
}
