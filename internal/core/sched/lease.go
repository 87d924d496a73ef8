package sched

import (
	"maps"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// leaseAcquired resolves the attempts of a worker that granted a new lease. The worker
// rejects every start under an earlier lease, so its report is final.
func (m *Machine) leaseAcquired(e LeaseAcquired) {
	w := m.worker(e.Worker)
	w.lease = e.Lease.ID
	w.bootID = e.Lease.BootID
	w.everAcquired = true
	m.leaseConfirmed(w, millis(e.SentAt))
	listed := m.applyReports(w, e.Lease)
	// A restart counts as one failure of the worker, however many attempts it loses.
	blame := !w.rackFailure
	for _, a := range w.sortedAttempts() {
		switch {
		case a.phase == phaseIntended && a.BootID == w.bootID:
			continue
		case a.phase == phaseIntended:
			m.recordEnd(a, provenEnd{outcome: domain.OutcomeNeverStarted, detail: "the worker restarted before the start was sent"})
		case listed[a.ID]:
			continue
		case a.BootID != w.bootID:
			m.recordEnd(a, provenEnd{outcome: domain.OutcomeLost, detail: "the worker restarted", blame: blame, exempt: w.rackFailure})
			blame = false
		case a.phase == phaseRunning:
			m.recordEnd(a, provenEnd{outcome: domain.OutcomeLost, detail: "the worker no longer knows the attempt", blame: true})
		default:
			m.recordEnd(a, provenEnd{outcome: domain.OutcomeNeverStarted, detail: "a new lease shows that it was not started"})
		}
	}
	w.rackFailure = false
	m.updateExclusion(w)
	m.sendReleasedStarts(w)
}

// leaseRenewed processes the report of a renewal under the current lease. A report
// without a sent attempt proves nothing: the start may still arrive.
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
	listed := m.applyReports(w, e.Lease)
	reacquire := false
	for _, a := range w.sortedAttempts() {
		// A partial report omits running attempts that did not change.
		if listed[a.ID] || e.Lease.Partial && a.phase == phaseRunning {
			continue
		}
		reacquire = m.needsNewLease(a) || reacquire
	}
	if reacquire {
		m.out.acquire = append(m.out.acquire, w.id)
	}
	w.rackFailure = false
	m.updateExclusion(w)
	m.sendReleasedStarts(w)
}

// needsNewLease reports whether an attempt that a renewal did not list can only be resolved by a
// new lease.
func (m *Machine) needsNewLease(a *attempt) bool {
	switch a.phase {
	case phaseSent:
		return a.startOutcomeUnknown || m.nowMS-a.sentMS >= m.cfg.LeaseMargin.Milliseconds()
	case phaseRunning:
		a.unlistedRenewals++
		// One report may have been written before the start was handled.
		return a.unlistedRenewals >= 2
	}
	return false
}

// leaseConfirmed records that the worker responded to a lease call.
func (m *Machine) leaseConfirmed(w *worker, sentMS int64) {
	w.lastLeaseCallMS = max(w.lastLeaseCallMS, sentMS)
	w.unreachable = false
	w.leaseExpired = false
}

// leaseRefused processes the rejection of a call whose lease expired or was superseded. The
// starts in the call had no effect.
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
		m.recordEnd(a, provenEnd{outcome: domain.OutcomeNeverStarted, detail: "the worker refused the lease"})
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
		a.startOutcomeUnknown = false
		if a.startedMS == 0 {
			a.startedMS = m.nowMS
		}
	}
}

// startOutcomeUnknown marks starts without a response and requests a new lease to resolve them.
func (m *Machine) startOutcomeUnknown(e StartOutcomeUnknown) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	m.stats.Retries[metrics.RetryWorkerCall]++
	for _, id := range e.Attempts {
		if a, ok := m.attempts[id]; ok && a.phase == phaseSent {
			a.startOutcomeUnknown = true
		}
	}
	if w.lease == e.Lease {
		m.out.acquire = append(m.out.acquire, w.id)
	}
}

// workerUnreachable excludes the worker. Its attempts stay reserved until their end is proven.
func (m *Machine) workerUnreachable(e WorkerUnreachable) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	w.lastLeaseCallMS = max(w.lastLeaseCallMS, millis(e.LastSent))
	if w.unreachable {
		return
	}
	w.unreachable = true
	w.unreachableSinceMS = m.nowMS
	m.updateExclusion(w)
	m.checkRack(w)
}

// checkRack marks a rack failure if half of a rack, and at least two workers, became
// unreachable within RackWindow. It is not counted as a failure of the single workers.
func (m *Machine) checkRack(w *worker) {
	rack := m.racks[rackKey{w.location.Zone, w.location.Rack}]
	down := 0
	for _, o := range rack {
		if o.unreachable && m.nowMS-o.unreachableSinceMS <= m.cfg.RackWindow.Milliseconds() {
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

// leaseExpiryMS returns the time at which the worker's lease counts as expired, or
// false if the time of the last possible renewal is not known.
func (m *Machine) leaseExpiryMS(w *worker) (int64, bool) {
	last := w.lastLeaseCallMS
	if !w.everAcquired {
		if m.formerOwnerStoppedMS == 0 {
			return 0, false
		}
		last = max(last, m.formerOwnerStoppedMS)
	}
	return last + (m.cfg.LeaseTTL + m.cfg.LeaseMargin).Milliseconds(), true
}

// checkLeaseExpiry ends the attempts of unreachable workers whose lease has provably expired.
func (m *Machine) checkLeaseExpiry() {
	for _, w := range m.workerOrder {
		if w.leaseExpired || !w.unreachable || len(w.attempts) == 0 {
			continue
		}
		at, known := m.leaseExpiryMS(w)
		if !known || m.nowMS < at {
			continue
		}
		w.leaseExpired = true
		w.lease = ""
		m.clearOrphans(w)
		m.endAllAttempts(w, "the worker was unreachable until its lease lapsed", w.rackFailure)
		m.updateExclusion(w)
	}
}

// endAllAttempts ends all attempts of a worker whose tasks provably no longer run. Unless
// exempt is set, the loss counts as one failure of the worker.
func (m *Machine) endAllAttempts(w *worker, detail string, exempt bool) {
	blame := !exempt
	for _, a := range w.sortedAttempts() {
		if a.phase == phaseIntended {
			m.recordEnd(a, provenEnd{outcome: domain.OutcomeNeverStarted, detail: detail})
			continue
		}
		m.recordEnd(a, provenEnd{outcome: domain.OutcomeLost, detail: detail, blame: blame, exempt: exempt})
		blame = false
	}
}

// applyReports processes a worker's list of attempts and returns the IDs of those that are
// active on it according to this partition.
func (m *Machine) applyReports(w *worker, lease port.Lease) map[domain.AttemptID]bool {
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
			m.recordReportedEnd(w, a, r)
		case ok && a.Worker == w.id:
			listed[r.ID] = true
			m.observeRunning(a, r)
		case r.State == port.AttemptEnded:
			delete(orphans, r.ID)
			m.acknowledgeRepeatedEnd(w, r.ID)
		default:
			orphans[r.ID] = r.Usage
		}
	}
	m.setOrphans(w, orphans)
	return listed
}

// recordReportedEnd ends an attempt that the worker reports as ended.
func (m *Machine) recordReportedEnd(w *worker, a *attempt, r *port.AttemptReport) {
	a.peak = a.peak.Max(r.Usage)
	run := int64(0)
	if !r.StartedAt.IsZero() && !r.EndedAt.IsZero() {
		run = max(r.EndedAt.Sub(r.StartedAt).Milliseconds(), 1)
	}
	m.recordEnd(a, provenEnd{
		outcome: r.Outcome, detail: r.Detail, runMS: run,
		blame: r.Outcome == domain.OutcomeFailed,
	})
	m.acknowledgeOnceDurable(w.id, r.ID)
}

// setOrphans replaces the worker's orphans: attempts that it runs although they are not
// active here. Their resources are reserved and they are stopped.
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

// orphanJob is the job ID under which resources of orphans are reserved.
const orphanJob = domain.JobID("")

func (m *Machine) clearOrphans(w *worker) {
	if w.indexed {
		for _, id := range sortedKeys(w.orphans) {
			m.index.Release(w.id, orphanJob, w.orphans[id])
		}
	}
	w.orphans = nil
}

// admits reports whether the worker's health record allows starts on it.
func (m *Machine) admits(id domain.WorkerID) bool {
	h, ok := m.health[id]
	return !ok || h.admits(m.nowMS)
}
