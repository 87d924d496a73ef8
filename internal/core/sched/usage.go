package sched

import "auburnpier/internal/port"

// minThrottleIntervalMS is the minimum time between two throttle calls for one attempt. They are
// repeated because a call may be lost, but not at once because usage is reported with a lag.
const minThrottleIntervalMS = 10_000

// observeRunning processes the report of a running attempt.
func (m *Machine) observeRunning(a *attempt, r *port.AttemptReport) {
	a.phase = phaseRunning
	a.startOutcomeUnknown = false
	a.unlistedRenewals = 0
	if started := millis(r.StartedAt); started != 0 {
		a.startedMS = started
	} else if a.startedMS == 0 {
		a.startedMS = m.nowMS
	}
	a.peak = a.peak.Max(r.Usage)
	if r.Usage.CPUMilli > a.Reservation.CPUMilli && (a.throttledMS == 0 || m.nowMS-a.throttledMS >= minThrottleIntervalMS) {
		a.throttledMS = m.nowMS
		m.stats.Throttles++
		m.out.throttles = append(m.out.throttles, ThrottleCall{
			Worker: a.Worker, Attempt: a.ID, CPUMilli: a.Reservation.CPUMilli,
		})
	}
	if r.Usage.MemoryMB > a.Reservation.MemoryMB && a.cause == CauseNone {
		m.handleMemoryExceeded(a, r.Usage.MemoryMB)
	}
}

// handleMemoryExceeded processes an attempt above its memory reservation. The task is
// stopped and placed again with a larger reservation. A task that must not run twice
// continues in place with a raised reservation instead, as long as its worker has the
// free capacity and the team's limit allows it.
func (m *Machine) handleMemoryExceeded(a *attempt, usedMB int64) {
	if !a.j.Spec.Idempotent && (m.raiseMemory(a, enlargedMemoryMB(usedMB)) || m.raiseMemory(a, usedMB)) {
		return
	}
	m.stats.MemoryStops++
	m.requestEnd(a, CauseMemory)
}

// raiseMemory reserves more memory for a running attempt. It reports false if the worker has too
// little free capacity or the team's bound does not allow it.
func (m *Machine) raiseMemory(a *attempt, memoryMB int64) bool {
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
	m.commit(Record{ReservationRaised: &ReservationRaisedRecord{Attempt: a.ID, Reservation: larger}})
	return true
}
