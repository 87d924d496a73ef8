package sched

import (
	"slices"

	"auburnpier/internal/domain"
)

// workerHealth is the durable record of a worker's consecutive failures.
type workerHealth struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
	// ConsecutiveFailures counts ends blamed on the worker without a success in between;
	// Classes lists their distinct job classes.
	ConsecutiveFailures int        `cbor:"2,keyasint"`
	Classes             []classKey `cbor:"3,keyasint"`
	// Quarantined workers get no tasks until UntilMS, then one canary task at a time.
	Quarantined bool             `cbor:"4,keyasint,omitempty"`
	UntilMS     int64            `cbor:"5,keyasint,omitempty"`
	WaitMS      int64            `cbor:"6,keyasint,omitempty"`
	Canary      domain.AttemptID `cbor:"7,keyasint,omitempty"`
}

func (h *workerHealth) admits(now int64) bool {
	return !h.Quarantined || (now >= h.UntilMS && h.Canary == "")
}

// updateHealth updates the health of the worker of an ended attempt.
func (m *Machine) updateHealth(a *attempt, r *EndedRecord, at int64) {
	h := m.health[a.Worker]
	canary := h != nil && h.Canary == a.ID
	switch {
	case canary && r.BlameWorker:
		h.Canary = ""
		h.WaitMS = min(2*h.WaitMS, m.cfg.QuarantineMax.Milliseconds())
		h.UntilMS = at + h.WaitMS
	case canary && r.Outcome == domain.OutcomeSucceeded:
		delete(m.health, a.Worker)
	case canary:
		h.Canary = ""
	case r.BlameWorker:
		m.countFailure(a, at)
	case h == nil || h.Quarantined:
	case r.Outcome == domain.OutcomeSucceeded:
		delete(m.health, a.Worker)
	case r.Outcome == domain.OutcomeLost:
		// The loss of the worker was counted once; each lost attempt still adds its class.
		m.addClass(h, a.j)
	}
}

func (m *Machine) addClass(h *workerHealth, j *job) {
	if key := j.classKey(); len(h.Classes) < m.cfg.QuarantineClasses && !slices.Contains(h.Classes, key) {
		h.Classes = append(h.Classes, key)
	}
}

// countFailure counts a failure of the worker. It quarantines the worker after enough
// consecutive failures of enough job classes.
func (m *Machine) countFailure(a *attempt, at int64) {
	h := m.health[a.Worker]
	if h == nil {
		h = &workerHealth{Worker: a.Worker}
		m.health[a.Worker] = h
	}
	if h.Quarantined {
		return
	}
	h.ConsecutiveFailures++
	m.addClass(h, a.j)
	if h.ConsecutiveFailures < m.cfg.QuarantineFailures || len(h.Classes) < m.cfg.QuarantineClasses {
		return
	}
	h.Quarantined = true
	h.WaitMS = m.cfg.QuarantineWait.Milliseconds()
	h.UntilMS = at + h.WaitMS
}

// assignCanary records the attempt as the canary of a quarantined worker that may take one.
func (m *Machine) assignCanary(id domain.WorkerID, attempt domain.AttemptID, at int64) {
	h := m.health[id]
	if h != nil && h.Quarantined && h.Canary == "" && at >= h.UntilMS {
		h.Canary = attempt
	}
}

// checkCanaries lists the quarantined workers that may take a canary, and ends the quarantine
// of those whose canary ran long enough.
func (m *Machine) checkCanaries() {
	m.canaries = m.canaries[:0]
	for _, id := range sortedKeys(m.health) {
		h := m.health[id]
		if !h.Quarantined {
			continue
		}
		if a, ok := m.attempts[h.Canary]; ok && a.phase == phaseRunning && m.nowMS-a.startedMS >= m.cfg.CanaryRun.Milliseconds() {
			m.commit(Record{CanaryPassed: &CanaryPassedRecord{Worker: id}})
		} else if h.admits(m.nowMS) {
			m.canaries = append(m.canaries, id)
		}
		if w, ok := m.workers[id]; ok {
			m.updateExclusion(w)
		}
	}
}
