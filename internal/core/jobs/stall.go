package jobs

// Parameters of stall detection.
const (
	// A run is stalled after minStallMS without progress and minStallPercent of its expected duration, in which its reported percentage
	// should have changed several times.
	minStallMS      = 1800
	minStallPercent = 8
	// minOwnStallPercent is the same for a run that has shown how long it takes for a percent.
	minOwnStallPercent = 5
	// minStillSiblings is the number of other workers on which tasks of the same step make no progress either, from which on one of them
	// is tried elsewhere before the others are stopped. A step is often placed on a few workers, all of which may stand still.
	minStillSiblings = 2
	// maxTrialMS bounds the wait for a worker on which the task is tried.
	maxTrialMS = 5000
	// maxStallDoublings bounds how often the time without progress is doubled: 1.8 s become 21 days.
	maxStallDoublings = 20
)

// stallCause is what a run without progress says about its worker and its step.
type stallCause uint8

const (
	// stallUnexplained means that nothing else of the step or on the worker runs for long enough.
	stallUnexplained stallCause = iota
	// stallOfWorker means that the worker stands still.
	stallOfWorker
	// stallOfStep means that the tasks of the step take longer than expected.
	stallOfStep
	// stallUndecided means that no task of the step makes progress on any of several workers.
	stallUndecided
)

// checkProgress stops a run that makes no progress, unless the evidence is that its tasks take longer than their caller estimated. An estimate
// may be missing or far off, so each stop of a step without proof against the worker doubles the time after which the next one follows.
func (m *Machine) checkProgress(w *worker, r *run) {
	s := r.task.step
	progressMS := r.progressMS
	if s.spec.Gang {
		// A member that has finished its part waits for the others.
		progressMS = s.lastProgressMS()
	}
	// Reports may be rarer than progress, so compare with the time of the last report.
	idleMS := w.lastReportMS - progressMS
	if idleMS < minStallMS {
		return
	}
	// This goes over all runs of the step.
	stallMS := m.stallMS(r)
	if idleMS < stallMS {
		return
	}
	if s.spec.Gang {
		s.doubleStall()
		m.stopStep(s, "no progress")
		return
	}
	switch cause := m.stallCause(w, r, stallMS); {
	case cause == stallOfStep:
		m.expectSlower(r)
	case cause == stallUndecided && s.trial == nil:
		// The worker is doubted, so the task starts on another one if any has room.
		s.trial, s.trialMS = r.task, m.nowMS
		w.health.lastFailureMS = m.nowMS
		m.stopRun(r, "no progress, tried elsewhere")
	case cause == stallUndecided && s.trial == r.task:
		s.trial = nil
		m.expectSlower(r)
	case cause == stallUndecided && m.nowMS-s.trialMS < max(maxTrialMS, 3*stallMS):
		// The trial is under way.
	case cause == stallUnexplained && s.spec.EstimateMS == 0:
		s.doubleStall()
		m.stopRun(r, "no progress")
	default:
		s.trial = nil
		if cause == stallUnexplained && r.task.stalled {
			// It has stalled on another worker before.
			s.doubleStall()
		}
		m.avoid(w, "a run made no progress")
		r.task.stalled = true
		m.stopRun(r, "no progress")
	}
}

// expectSlower doubles the time without progress after which runs of the step are stalled.
func (m *Machine) expectSlower(r *run) {
	r.task.step.doubleStall()
	m.out.recordRun("progress_slower_than_estimated", r, "")
}

func (s *step) doubleStall() { s.stallDoublings = min(s.stallDoublings+1, maxStallDoublings) }

// stallMS returns the time without progress after which the run is stalled. What the run itself or others of the step have shown of their duration
// counts more than the estimate, and what other jobs of the team have shown if that is far off.
func (m *Machine) stallMS(r *run) int64 {
	s := r.task.step
	leastMS := int64(minStallMS) << s.stallDoublings
	if ownMS, known := r.expectedMS(); known {
		return max(leastMS, ownMS*minOwnStallPercent/100)
	}
	expectedMS, fastestMS := m.expectedMS(s), int64(0)
	for _, t := range s.active {
		for _, other := range t.runs {
			if ms, known := other.expectedMS(); known && (fastestMS == 0 || ms < fastestMS) {
				fastestMS = ms
			}
		}
	}
	if fastestMS > 0 {
		expectedMS = fastestMS
	}
	return max(leastMS, expectedMS*minStallPercent/100)
}

// expectedMS returns the duration of the run by the progress that it has reported since its first report here.
func (r *run) expectedMS() (ms int64, known bool) {
	gained := r.percent - r.firstPercent
	if gained <= 0 || r.progressMS <= r.firstReportMS {
		return 0, false
	}
	return (r.progressMS - r.firstReportMS) * 100 / int64(gained), true
}

// stallCause tells why a run has made no progress for so long, by the runs of the same step on other workers and the other runs on the worker.
func (m *Machine) stallCause(w *worker, r *run, stallMS int64) stallCause {
	moving, still := m.countProgress(r.task.step, w, stallMS)
	switch {
	case moving > 0:
		return stallOfWorker
	case still >= minStillSiblings:
		return stallUndecided
	}
	othersMove, othersStill := false, false
	for _, other := range w.runs {
		if other.task.step == r.task.step || !other.hasProgress() {
			continue
		}
		idle := w.lastReportMS-other.progressMS >= minStallMS
		othersMove, othersStill = othersMove || !idle, othersStill || idle
	}
	switch {
	case othersMove:
		return stallOfStep
	case othersStill:
		return stallOfWorker
	}
	return stallUnexplained
}

// hasProgress reports whether the progress of the run can be judged.
func (r *run) hasProgress() bool {
	s := r.task.step.spec
	return r.phase == runConfirmed && r.reported && !s.LongRunning && !s.BestEffort && !s.Gang
}

// countProgress counts the other workers on which runs of the step make progress, and those on which none has for half of so long.
func (m *Machine) countProgress(s *step, except *worker, stallMS int64) (moving, still int) {
	workers := make(map[*worker]bool)
	for _, t := range s.active {
		for _, r := range t.runs {
			if r.worker == except || !r.hasProgress() {
				continue
			}
			idleMS := r.worker.lastReportMS - r.progressMS
			switch {
			case idleMS < stallMS && r.percent > r.firstPercent:
				workers[r.worker] = true
			case idleMS >= stallMS/2:
				workers[r.worker] = workers[r.worker] || false
			}
		}
	}
	for _, moves := range workers {
		if moves {
			moving++
		} else {
			still++
		}
	}
	return moving, still
}

// lastProgressMS returns when a member of the gang last reported progress.
func (s *step) lastProgressMS() int64 {
	last := int64(0)
	for _, t := range s.active {
		for _, r := range t.runs {
			last = max(last, r.progressMS)
		}
	}
	return last
}
