package sched

import (
	"slices"

	"auburnpier/internal/domain"
)

// workerHealth is the durable record of a worker's failures in a row.
type workerHealth struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
	// Streak counts blamed ends without a success in between, Classes their distinct job classes.
	Streak  int        `cbor:"2,keyasint"`
	Classes []classKey `cbor:"3,keyasint"`
	// Quarantined workers take nothing until UntilMS, then one canary at a time.
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
		m.blame(a, at)
	case h == nil || h.Quarantined:
	case r.Outcome == domain.OutcomeSucceeded:
		delete(m.health, a.Worker)
	case r.Outcome == domain.OutcomeLost:
		// The loss was counted once for all its attempts; each adds its class.
		m.addClass(h, a.j)
	}
}

func (m *Machine) addClass(h *workerHealth, j *job) {
	if key := j.classKey(); len(h.Classes) < m.cfg.QuarantineClasses && !slices.Contains(h.Classes, key) {
		h.Classes = append(h.Classes, key)
	}
}

// blame extends the worker's streak and quarantines it where the streak is long and mixed enough.
func (m *Machine) blame(a *attempt, at int64) {
	h := m.health[a.Worker]
	if h == nil {
		h = &workerHealth{Worker: a.Worker}
		m.health[a.Worker] = h
	}
	if h.Quarantined {
		return
	}
	h.Streak++
	m.addClass(h, a.j)
	if h.Streak < m.cfg.QuarantineFailures || len(h.Classes) < m.cfg.QuarantineClasses {
		return
	}
	h.Quarantined = true
	h.WaitMS = m.cfg.QuarantineWait.Milliseconds()
	h.UntilMS = at + h.WaitMS
}

// canaryPlaced notes the canary of a worker on probation.
func (m *Machine) canaryPlaced(id domain.WorkerID, attempt domain.AttemptID, at int64) {
	h := m.health[id]
	if h != nil && h.Quarantined && h.Canary == "" && at >= h.UntilMS {
		h.Canary = attempt
	}
}

// checkProbations includes workers that may take a canary and passes canaries that ran long enough.
func (m *Machine) checkProbations() {
	m.canaries = m.canaries[:0]
	for _, id := range sortedKeys(m.health) {
		h := m.health[id]
		if !h.Quarantined {
			continue
		}
		if a, ok := m.attempts[h.Canary]; ok && a.phase == phaseRunning && m.now-a.startedMS >= m.cfg.CanaryRun.Milliseconds() {
			m.commit(Record{CanaryPassed: &CanaryPassedRecord{Worker: id}})
		} else if h.admits(m.now) {
			m.canaries = append(m.canaries, id)
		}
		if w, ok := m.workers[id]; ok {
			m.updateExclusion(w)
		}
	}
}
