package jobs

// health is what was seen of a worker's work.
type health struct {
	// avoidUntilMS is when the worker may get work again.
	avoidUntilMS int64
	fails        float64
	successes    float64
	decayedMS    int64
	// strikes doubles the next avoidance.
	strikes int
}

// Figures of worker health.
const (
	// healthHalfLifeMS is how fast old ends lose weight.
	healthHalfLifeMS = 4000
	// failsToAvoid ends "failed" in the window, and more than half of all, make a worker suspect.
	failsToAvoid = 1.6
	avoidBaseMS  = 2500
	avoidMaxMS   = 12_000
	// slownessWeight is the share of the newest run in the smoothed slowness.
	slownessWeight = 0.25
)

func (h *health) refuse(nowMS, forMS int64) {
	h.avoidUntilMS = max(h.avoidUntilMS, nowMS+forMS)
}

func (h *health) decay(nowMS int64) {
	for nowMS-h.decayedMS >= healthHalfLifeMS {
		h.fails /= 2
		h.successes /= 2
		h.decayedMS += healthHalfLifeMS
		if h.fails+h.successes < 0.01 {
			h.decayedMS = nowMS
		}
	}
}

func (h *health) strike(nowMS int64) {
	h.strikes = min(h.strikes+1, 3)
	h.refuse(nowMS, min(avoidMaxMS, int64(avoidBaseMS)<<(h.strikes-1)))
	h.fails = 0
}

// learn takes the end of a run into the picture of its worker.
func (m *Machine) learn(r *run, kind EndKind) {
	w := r.worker
	h := &w.health
	h.decay(m.nowMS)
	if kind == EndSucceeded {
		h.successes++
		if h.successes > 3 {
			h.strikes = 0
		}
		m.learnSpeed(r)
		return
	}
	// A task that failed elsewhere before is more likely to be at fault itself.
	weight := 1.0
	if len(r.task.failedRuns)+len(r.task.step.gangFailedRuns) > 0 {
		weight = 0.3
	}
	h.fails += weight
	if h.fails >= failsToAvoid && h.fails > h.successes {
		h.strike(m.nowMS)
		m.out.note("worker_avoided", w.id, "fails what it starts")
	}
}

// learnSpeed compares the run time with that of the step's other tasks.
func (m *Machine) learnSpeed(r *run) {
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
	standstillMS       = 1800
	standstillPercents = 8
	// watchIntervalMS is the interval at which runs are checked.
	watchIntervalMS = 200
)

// watchRuns repeats stops and stops runs that stand still.
func (m *Machine) watchRuns() {
	if m.nowMS-m.lastHungMS < watchIntervalMS {
		return
	}
	m.lastHungMS = m.nowMS
	for _, w := range m.order {
		for _, r := range w.runs {
			m.watchRun(w, r)
		}
		m.paceRuns(w)
	}
}

func (m *Machine) watchRun(w *worker, r *run) {
	if r.phase == runStopping {
		if w.contacted && m.nowMS-r.stopSentMS >= m.stopAgainMS() {
			m.stopRun(r, r.reason)
		}
		return
	}
	s := r.task.step
	if w.draining && m.leaves(r) {
		if s.spec.Gang {
			m.stopStep(s, "worker leaves")
		} else {
			m.stopRun(r, "worker leaves")
		}
		return
	}
	if w.emptied && m.empties(r) {
		return
	}
	if s.spec.Gang && r.phase == runConfirmed && m.gangFails(s) {
		m.stopStep(s, "member missing")
		return
	}
	if r.phase != runConfirmed || s.spec.Lasting || s.spec.UsesLeftover || !r.listed {
		return
	}
	patience := max(int64(standstillMS), s.spec.EstimateMS*standstillPercents/100)
	progressMS := r.progressMS
	if s.spec.Gang {
		// A member that has done its part waits for the others.
		progressMS = s.lastProgressMS()
	}
	// Reports come less often than progress: judge by the last one received.
	if w.lastMS-progressMS < patience {
		return
	}
	if s.spec.Gang {
		m.stopStep(s, "stands still")
	} else {
		w.health.strike(m.nowMS)
		m.out.note("worker_avoided", w.id, "tasks stand still")
		m.stopRun(r, "stands still")
	}
}

// leaves reports whether a run should leave its draining worker: it would not
// end in time, and it resumes from its checkpoint or has to run anyway.
func (m *Machine) leaves(r *run) bool {
	if r.phase != runConfirmed {
		return false
	}
	return r.task.step.spec.Lasting || r.task.step.spec.Checkpointable && r.leftMS() > r.worker.leavesMS-m.nowMS
}

// leftMS estimates how long the run still takes.
func (r *run) leftMS() int64 {
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
