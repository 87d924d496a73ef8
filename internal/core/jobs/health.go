package jobs

// health is what was seen of a worker's work.
type health struct {
	// avoidUntilMS is when the worker may get work again.
	avoidUntilMS int64
	failures     float64
	successes    float64
	lastDecayMS  int64
	// strikes doubles the next avoidance.
	strikes int
}

// Figures of worker health.
const (
	// healthHalfLifeMS is how fast old ends lose weight.
	healthHalfLifeMS = 4000
	// failsToAvoid ends "failed" in the window, and more than half of all, make a worker suspect.
	minFailuresToAvoid = 1.6
	avoidBaseMS        = 2500
	avoidMaxMS         = 12_000
	// slownessWeight is the share of the newest run in the smoothed slowness.
	slownessWeight = 0.25
)

func (h *health) avoidFor(nowMS, forMS int64) {
	h.avoidUntilMS = max(h.avoidUntilMS, nowMS+forMS)
}

func (h *health) decay(nowMS int64) {
	for nowMS-h.lastDecayMS >= healthHalfLifeMS {
		h.failures /= 2
		h.successes /= 2
		h.lastDecayMS += healthHalfLifeMS
		if h.failures+h.successes < 0.01 {
			h.lastDecayMS = nowMS
		}
	}
}

func (h *health) addStrike(nowMS int64) {
	h.strikes = min(h.strikes+1, 3)
	h.avoidFor(nowMS, min(avoidMaxMS, int64(avoidBaseMS)<<(h.strikes-1)))
	h.failures = 0
}

// learn takes the end of a run into the picture of its worker.
func (m *Machine) recordRunResult(r *run, kind EndKind) {
	w := r.worker
	h := &w.health
	h.decay(m.nowMS)
	if kind == EndSucceeded {
		h.successes++
		if h.successes > 3 {
			h.strikes = 0
		}
		m.updateSlowness(r)
		return
	}
	// A task that failed elsewhere before is more likely to be at fault itself.
	weight := 1.0
	if len(r.task.failedRuns)+len(r.task.step.gangFailedRuns) > 0 {
		weight = 0.3
	}
	h.failures += weight
	if h.failures >= minFailuresToAvoid && h.failures > h.successes {
		h.addStrike(m.nowMS)
		m.out.recordWorker("worker_avoided", w.id, "fails what it starts")
	}
}

// learnSpeed compares the run time with that of the step's other tasks.
func (m *Machine) updateSlowness(r *run) {
	s := r.task.step
	if r.confirmedMS == 0 || s.spec.EstimateMS <= 0 || s.spec.Gang || r.task.checkpoint != "" {
		return
	}
	took := float64(m.nowMS - r.confirmedMS)
	ratio := min(8, max(0.2, took/float64(s.spec.EstimateMS)))
	w := r.worker
	w.slowness += (ratio - w.slowness) * slownessWeight
}

// Figures of runs that stand still.
const (
	// standstillMS without progress, and several steps of the percentage that the
	// estimate leads to expect, make a run hung.
	minStallMS      = 1800
	minStallPercent = 8
	// watchIntervalMS is the interval at which runs are checked.
	runCheckIntervalMS = 200
)

// watchRuns repeats stops and stops runs that stand still.
func (m *Machine) checkRuns() {
	if m.nowMS-m.lastRunCheckMS < runCheckIntervalMS {
		return
	}
	m.lastRunCheckMS = m.nowMS
	for _, w := range m.sortedWorkers {
		for _, r := range w.runs {
			m.checkRun(w, r)
		}
		m.throttleRuns(w)
	}
}

func (m *Machine) checkRun(w *worker, r *run) {
	if r.phase == runStopping {
		if w.contacted && m.nowMS-r.stopSentMS >= m.stopResendMS() {
			m.stopRun(r, r.reason)
		}
		return
	}
	s := r.task.step
	if w.draining && m.mustLeaveDraining(r) {
		if s.spec.Gang {
			m.stopStep(s, "worker leaves")
		} else {
			m.stopRun(r, "worker leaves")
		}
		return
	}
	if w.evacuating && m.evacuateRun(r) {
		return
	}
	if s.spec.Gang && r.phase == runConfirmed && m.gangIncomplete(s) {
		m.stopStep(s, "member missing")
		return
	}
	if r.phase != runConfirmed || s.spec.Lasting || s.spec.UsesLeftover || !r.reported {
		return
	}
	patience := max(int64(minStallMS), s.spec.EstimateMS*minStallPercent/100)
	progressMS := r.progressMS
	if s.spec.Gang {
		// A member that has done its part waits for the others.
		progressMS = s.lastProgressMS()
	}
	// Reports come less often than progress: judge by the last one received.
	if w.lastReportMS-progressMS < patience {
		return
	}
	if s.spec.Gang {
		m.stopStep(s, "stands still")
	} else {
		w.health.addStrike(m.nowMS)
		m.out.recordWorker("worker_avoided", w.id, "tasks stand still")
		m.stopRun(r, "stands still")
	}
}

// leaves reports whether a run should leave its draining worker: it would not
// end in time, and it resumes from its checkpoint or has to run anyway.
func (m *Machine) mustLeaveDraining(r *run) bool {
	if r.phase != runConfirmed {
		return false
	}
	return r.task.step.spec.Lasting || r.task.step.spec.Checkpointable && r.remainingMS() > r.worker.drainDeadlineMS-m.nowMS
}

// leftMS estimates how long the run still takes.
func (r *run) remainingMS() int64 {
	return r.task.step.spec.EstimateMS * int64(100-min(r.percent, 100)) / 100
}

// lastProgressMS is when any member of the gang was last seen to progress.
func (s *step) lastProgressMS() int64 {
	last := int64(0)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			last = max(last, r.progressMS)
		}
	}
	return last
}

// stopStep stops all runs of a step, as of a gang that has to start anew.
func (m *Machine) stopStep(s *step, reason string) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			m.stopRun(r, reason)
		}
	}
}
