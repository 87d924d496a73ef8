package sched

import "auburnpier/internal/port"

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
	if r.Usage.CPUMilli > a.Reservation.CPUMilli && !a.throttled {
		a.throttled = true
		m.stats.Throttles++
		m.out.throttles = append(m.out.throttles, ThrottleCall{
			Worker: a.Worker, Attempt: a.ID, CPUMilli: a.Reservation.CPUMilli,
		})
	}
	if r.Usage.MemoryMB > a.Reservation.MemoryMB && a.cause == CauseNone {
		m.stats.MemoryStops++
		m.requestEnd(a, CauseMemory)
	}
}
