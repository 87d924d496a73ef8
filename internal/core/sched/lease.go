package sched

import (
	"maps"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// leaseAcquired resolves the attempts of a worker that granted a new lease.
// The worker refuses every start under an earlier lease, so its report is complete.
func (m *Machine) leaseAcquired(e LeaseAcquired) {
	w := m.worker(e.Worker)
	w.lease = e.Lease.ID
	w.bootID = e.Lease.BootID
	w.acquired = true
	m.leaseConfirmed(w, millis(e.SentAt))
	listed := m.reports(w, e.Lease)
	// One restart counts once against the worker, however many attempts it loses.
	blame := !w.rackFailure
	for _, a := range w.sorted() {
		switch {
		case a.phase == phaseIntended && a.BootID == w.bootID:
			continue
		case a.phase == phaseIntended:
			m.end(a, ending{outcome: domain.OutcomeNeverStarted, detail: "the worker restarted before the start was sent"})
		case listed[a.ID]:
			continue
		case a.BootID != w.bootID:
			m.end(a, ending{outcome: domain.OutcomeLost, detail: "the worker restarted", blame: blame, excused: w.rackFailure})
			blame = false
		case a.phase == phaseRunning:
			m.end(a, ending{outcome: domain.OutcomeLost, detail: "the worker no longer knows the attempt", blame: true})
		default:
			m.end(a, ending{outcome: domain.OutcomeNeverStarted, detail: "a new lease shows that it was not started"})
		}
	}
	w.rackFailure = false
	m.updateExclusion(w)
	m.sendReleased(w)
}

// leaseRenewed handles the reports of a renewal under the current lease. A
// report that lacks a sent attempt proves nothing: the start may still arrive.
func (m *Machine) leaseRenewed(e LeaseRenewed) {
	w, ok := m.workers[e.Worker]
	if !ok || w.lease != e.Lease.ID {
		return
	}
	if e.Lease.BootID != "" && e.Lease.BootID != w.bootID {
		m.leaseAcquired(LeaseAcquired(e))
		return
	}
	m.leaseConfirmed(w, millis(e.SentAt))
	listed := m.reports(w, e.Lease)
	reacquire := false
	for _, a := range w.sorted() {
		// A partial report leaves out running attempts that did not change.
		if listed[a.ID] || e.Lease.Partial && a.phase == phaseRunning {
			continue
		}
		reacquire = m.missing(a) || reacquire
	}
	if reacquire {
		m.out.acquire = append(m.out.acquire, w.id)
	}
	w.rackFailure = false
	m.updateExclusion(w)
	m.sendReleased(w)
}

// missing reports whether an attempt that a renewal did not list needs a new lease to be resolved.
func (m *Machine) missing(a *attempt) bool {
	switch a.phase {
	case phaseSent:
		return a.startUnknown || m.now-a.sentMS >= m.cfg.LeaseMargin.Milliseconds()
	case phaseRunning:
		a.unlisted++
		// One report may have been written before the start was handled.
		return a.unlisted >= 2
	}
	return false
}

// leaseConfirmed notes that the worker answered a lease call.
func (m *Machine) leaseConfirmed(w *worker, sentMS int64) {
	w.lastSentMS = max(w.lastSentMS, sentMS)
	w.unreachable = false
	w.lapsed = false
}

// leaseRefused handles a call under a lease that lapsed or was superseded. The starts in it had no effect.
func (m *Machine) leaseRefused(e LeaseRefused) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	for _, id := range e.Attempts {
		a, ok := m.attempts[id]
		if !ok || a.Worker != w.id || a.phase != phaseSent {
			continue
		}
		m.end(a, ending{outcome: domain.OutcomeNeverStarted, detail: "the worker refused the lease"})
	}
	if w.lease != e.Lease {
		return
	}
	w.lease = ""
	m.out.acquire = append(m.out.acquire, w.id)
	m.updateExclusion(w)
}

func (m *Machine) startAccepted(e StartAccepted) {
	for _, id := range e.Attempts {
		a, ok := m.attempts[id]
		if !ok || a.Worker != e.Worker || a.phase != phaseSent {
			continue
		}
		a.phase = phaseRunning
		a.startUnknown = false
		if a.startedMS == 0 {
			a.startedMS = m.now
		}
	}
}

// startUnknown marks starts that a new lease has to resolve.
func (m *Machine) startUnknown(e StartUnknown) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	m.stats.Retries[metrics.RetryWorkerCall]++
	for _, id := range e.Attempts {
		if a, ok := m.attempts[id]; ok && a.phase == phaseSent {
			a.startUnknown = true
		}
	}
	if w.lease == e.Lease {
		m.out.acquire = append(m.out.acquire, w.id)
	}
}

// workerUnreachable keeps the attempts reserved until a proof of their end.
func (m *Machine) workerUnreachable(e WorkerUnreachable) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	w.lastSentMS = max(w.lastSentMS, millis(e.LastSent))
	if w.unreachable {
		return
	}
	w.unreachable = true
	w.unreachableMS = m.now
	m.updateExclusion(w)
	m.checkRack(w)
}

// checkRack marks a rack failure where half of a rack, at least two workers,
// became unreachable within the window. No worker of it is blamed.
func (m *Machine) checkRack(w *worker) {
	rack := m.racks[rackKey{w.location.Zone, w.location.Rack}]
	down := 0
	for _, o := range rack {
		if o.unreachable && m.now-o.unreachableMS <= m.cfg.RackWindow.Milliseconds() {
			down++
		}
	}
	if down < 2 || 2*down < len(rack) {
		return
	}
	if !w.rackFailure {
		m.stats.RackFailures++
	}
	for _, o := range rack {
		if o.unreachable {
			o.rackFailure = true
		}
	}
}

// lapseMS returns the time at which the worker's lease counts as lapsed, or
// false where the last moment of a renewal is not known.
func (m *Machine) lapseMS(w *worker) (int64, bool) {
	last := w.lastSentMS
	if !w.acquired {
		if m.formerStopped == 0 {
			return 0, false
		}
		last = max(last, m.formerStopped)
	}
	return last + (m.cfg.LeaseTTL + m.cfg.LeaseMargin).Milliseconds(), true
}

// checkLapses ends the attempts of unreachable workers whose lease has provably lapsed.
func (m *Machine) checkLapses() {
	for _, w := range m.workerOrder {
		if w.lapsed || !w.unreachable || len(w.attempts) == 0 {
			continue
		}
		at, known := m.lapseMS(w)
		if !known || m.now < at {
			continue
		}
		w.lapsed = true
		w.lease = ""
		m.clearOrphans(w)
		m.endAll(w, "the worker was unreachable until its lease lapsed", w.rackFailure)
		m.updateExclusion(w)
	}
}

// endAll ends all attempts of a worker whose tasks provably no longer run. Unless
// excused, the loss counts once against the worker.
func (m *Machine) endAll(w *worker, detail string, excused bool) {
	blame := !excused
	for _, a := range w.sorted() {
		if a.phase == phaseIntended {
			m.end(a, ending{outcome: domain.OutcomeNeverStarted, detail: detail})
			continue
		}
		m.end(a, ending{outcome: domain.OutcomeLost, detail: detail, blame: blame, excused: excused})
		blame = false
	}
}

// reports handles a worker's list of attempts and returns the IDs that this partition has active there.
func (m *Machine) reports(w *worker, lease port.Lease) map[domain.AttemptID]bool {
	list := lease.Attempts
	listed := make(map[domain.AttemptID]bool, len(list))
	orphans := make(map[domain.AttemptID]domain.Resources)
	if lease.Partial {
		maps.Copy(orphans, w.orphans)
	}
	for i := range list {
		r := &list[i]
		a, ok := m.attempts[r.ID]
		switch {
		case ok && a.Worker == w.id && r.State == port.AttemptEnded:
			listed[r.ID] = true
			m.endReported(w, a, r)
		case ok && a.Worker == w.id:
			listed[r.ID] = true
			m.observeRunning(a, r)
		case r.State == port.AttemptEnded:
			delete(orphans, r.ID)
			m.acknowledgeKnown(w, r.ID)
		default:
			orphans[r.ID] = r.Usage
		}
	}
	m.setOrphans(w, orphans)
	return listed
}

// endReported ends an attempt that the worker reports as ended.
func (m *Machine) endReported(w *worker, a *attempt, r *port.AttemptReport) {
	a.peak = a.peak.Max(r.Usage)
	run := int64(0)
	if !r.StartedAt.IsZero() && !r.EndedAt.IsZero() {
		run = max(r.EndedAt.Sub(r.StartedAt).Milliseconds(), 1)
	}
	m.end(a, ending{
		outcome: r.Outcome, detail: r.Detail, runMS: run,
		blame: r.Outcome == domain.OutcomeFailed,
	})
	m.acknowledgeLater(w.id, r.ID)
}

// setOrphans reserves what a worker runs although it has ended here, and stops it.
// The list replaces the earlier one.
func (m *Machine) setOrphans(w *worker, orphans map[domain.AttemptID]domain.Resources) {
	m.clearOrphans(w)
	if len(orphans) == 0 {
		return
	}
	w.orphans = orphans
	for _, id := range sortedKeys(orphans) {
		if w.indexed {
			m.index.ForceReserve(w.id, orphanJob, orphans[id])
		}
		m.out.stops = append(m.out.stops, outCall{w.id, id})
	}
}

// orphanJob is the job that reservations of orphans are filed under.
const orphanJob = domain.JobID("")

func (m *Machine) clearOrphans(w *worker) {
	if w.indexed {
		for _, id := range sortedKeys(w.orphans) {
			m.index.Release(w.id, orphanJob, w.orphans[id])
		}
	}
	w.orphans = nil
}

// admits reports whether a worker's health lets it take starts.
func (m *Machine) admits(id domain.WorkerID) bool {
	h, ok := m.health[id]
	return !ok || h.admits(m.now)
}
