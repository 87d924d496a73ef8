package jobs

import "slices"

// health tracks the outcomes of runs on a worker.
type health struct {
	// avoidUntilMS is when the worker may get new work again.
	avoidUntilMS int64
	failures     float64
	successes    float64
	lastDecayMS  int64
	// failuresInRow is the weight of the failures since the last success.
	failuresInRow float64
	lastFailureMS int64
	lastSuccessMS int64
	// strikes is the number of successive avoidances. Each doubles the next one's duration.
	strikes int
	// failedStep is the step whose run failed last, if none has succeeded since, and severalFailed is set if runs of others have, too.
	failedStep    StepID
	severalFailed bool
	// struckUntilMS is when the avoidance for failures ends.
	struckUntilMS int64
}

// Parameters of worker health.
const (
	// healthHalfLifeMS is the half-life of the weight of past run results.
	healthHalfLifeMS = 4000
	// minFailuresToAvoid is the weight of failures from which a worker is avoided, provided that they
	// outweigh the recent successes or that none succeeded in between.
	minFailuresToAvoid = 1.6
	// doubtMS is how long a failure makes a worker doubted unless a run succeeds there.
	doubtMS = 8000
	// doubtedFailureShare is the share of failures among recent runs from which a worker is doubted even
	// after a success: it may fail some of what it starts.
	doubtedFailureShare = 0.25
	// provenMS is how long a success proves a worker for last attempts.
	provenMS    = 3000
	avoidBaseMS = 2500
	avoidMaxMS  = 12_000
	// maxAvoidedShare is the share of a service's workers that are avoided for failures at most. Beyond, the work is more likely to be the
	// cause, and workers are only doubted.
	maxAvoidedShare = 0.5
	// minFailingWorkers is the number of workers on which runs of a step have failed from which on the step is taken for the cause, unless
	// one of its runs has succeeded since, or lasts longer than the failed ones did.
	minFailingWorkers = 3
	// provenRunMS is how much longer than twice the time of a failed run another run of its step has lasted that proves the step.
	provenRunMS = 500
	// slownessWeight is the weight of the newest run in the smoothed slowness.
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
	h.struckUntilMS = nowMS + min(avoidMaxMS, int64(avoidBaseMS)<<(h.strikes-1))
	h.avoidUntilMS = max(h.avoidUntilMS, h.struckUntilMS)
	h.failures = 0
	h.failuresInRow = 0
}

// avoid gives the worker no new work for a while, unless too many of its service are avoided already.
func (m *Machine) avoid(w *worker, why string) {
	struck, all := 0, 0
	for _, other := range m.sortedWorkers {
		if other.service == w.service && other.registered {
			all++
			if m.nowMS < other.health.struckUntilMS {
				struck++
			}
		}
	}
	if float64(struck+1) > maxAvoidedShare*float64(all) && all > 1 {
		m.out.recordWorker("worker_not_avoided", w.id, "too many workers are avoided")
		return
	}
	w.health.addStrike(m.nowMS)
	m.out.recordWorker("worker_avoided", w.id, why)
}

// doubted reports whether the worker may fail what it starts: its last run failed, or many recent
// ones did.
func (h *health) doubted(nowMS int64) bool {
	if h.lastFailureMS == 0 || nowMS-h.lastFailureMS >= doubtMS {
		return false
	}
	return h.lastFailureMS > h.lastSuccessMS ||
		h.failures >= minFailuresToAvoid && h.failures >= doubtedFailureShare*(h.failures+h.successes)
}

// hasLastAttempt reports whether one more failed run of a waiting task, or of the gang, fails the job.
func (s *step) hasLastAttempt() bool {
	last := s.job.queue.MaxAttempts - 1
	if last < 0 || last > 0 && !s.hasFailed || s.spec.LongRunning {
		return false
	}
	if s.spec.Gang {
		return len(s.gangFailedRuns) >= last
	}
	return slices.ContainsFunc(s.active, func(t *task) bool { return t.phase == taskWaiting && len(t.failedRuns) >= last })
}

// trusts reports whether the step may be placed on the worker. A last attempt is not spent on a
// doubted one, and steps that workers terminated under run apart.
func (m *Machine) trusts(s *step, w *worker) bool {
	return (!s.lastAttempt || !w.health.doubted(m.nowMS)) && m.keepsIsolation(s, w)
}

// healthCost is the part of the placement cost that keeps tasks away from doubted workers, and last
// attempts on workers where runs have succeeded recently.
func (m *Machine) healthCost(s *step, w *worker) float64 {
	c := 0.0
	if w.health.doubted(m.nowMS) {
		c += doubtCost
	}
	if s.lastAttempt {
		c += unprovenCost * min(1, float64(m.nowMS-w.health.lastSuccessMS)/provenMS)
	}
	return c
}

// recordRunResult updates the health of the run's worker.
func (m *Machine) recordRunResult(r *run, kind EndKind) {
	w := r.worker
	h := &w.health
	h.decay(m.nowMS)
	if kind == EndSucceeded {
		r.task.step.failedOn = nil
		h.failedStep, h.severalFailed = StepID{}, false
		h.successes++
		h.failuresInRow = 0
		h.lastSuccessMS = m.nowMS
		if h.successes > 3 {
			h.strikes = 0
		}
		m.updateSlowness(r)
		m.timeRun(r)
		m.recordDuration(r)
		return
	}
	if m.failsEverywhere(r) {
		m.out.recordRun("step_fails_everywhere", r, "")
		return
	}
	// If the task has failed before, the task is more likely to be the cause than the worker.
	weight := 1.0
	if len(r.task.failedRuns)+len(r.task.step.gangFailedRuns) > 0 {
		weight = 0.3
	}
	h.failures += weight
	h.failuresInRow += weight
	h.lastFailureMS = m.nowMS
	if h.failuresInRow >= minFailuresToAvoid || h.failures >= minFailuresToAvoid && h.failures > h.successes {
		m.avoid(w, "too many failed runs")
	}
}

// failsEverywhere notes a failed run, and reports whether its step rather than its worker is the cause: runs of the step have failed on several
// workers, none shows that it can do better, and those of other steps do not fail on the worker.
func (m *Machine) failsEverywhere(r *run) bool {
	s, h := r.task.step, &r.worker.health
	id := r.task.id().StepOf()
	h.severalFailed = h.severalFailed || h.failedStep != StepID{} && h.failedStep != id
	h.failedStep = id
	if len(s.failedOn) < minFailingWorkers && !slices.Contains(s.failedOn, r.worker.id) {
		s.failedOn = append(s.failedOn, r.worker.id)
	}
	if len(s.failedOn) < minFailingWorkers || h.severalFailed {
		return false
	}
	leastMS := provenRunMS + 2*(m.nowMS-r.placedMS)
	for _, t := range s.active {
		for _, other := range t.runs {
			if other.phase == runConfirmed && m.nowMS-other.confirmedMS >= leastMS {
				s.failedOn = nil
				return false
			}
		}
	}
	return true
}

// updateSlowness updates the worker's slowness by the ratio of the run's duration to the
// step's estimate.
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

// runCheckIntervalMS is the interval at which runs are checked.
const runCheckIntervalMS = 200

// checkRuns resends unanswered stop orders, and stops runs that stall or have to leave their
// worker.
func (m *Machine) checkRuns() {
	if m.nowMS-m.lastRunCheckMS < runCheckIntervalMS {
		return
	}
	m.lastRunCheckMS = m.nowMS
	m.planDepartures()
	m.planSlowMoves()
	for _, w := range m.sortedWorkers {
		for _, r := range w.runs {
			m.checkRun(w, r)
		}
		m.throttleRuns(w)
	}
}

func (m *Machine) checkRun(w *worker, r *run) {
	m.checkIsolation(w, r)
	if r.phase == runStopping {
		if w.contacted && m.nowMS-r.stopSentMS >= m.stopResendMS() {
			m.stopRun(r, r.reason)
		}
		return
	}
	s := r.task.step
	if w.draining && m.mustLeaveDraining(r) {
		m.stopWhole(r, stopDraining)
		return
	}
	if m.zoneEvacuated(w) && m.leaveEvacuatedZone(r) {
		return
	}
	if w.evacuating && m.evacuateRun(r) {
		return
	}
	if s.spec.Gang && r.phase == runConfirmed && m.gangIncomplete(s) {
		m.stopStep(s, "gang member missing")
		return
	}
	if r.phase != runConfirmed || s.spec.LongRunning || s.spec.BestEffort || !r.reported {
		return
	}
	m.checkProgress(w, r)
}

// mustLeaveDraining reports whether a run should be stopped because its worker is draining: it is
// long-running, or it would not finish in time and can resume from its checkpoint.
func (m *Machine) mustLeaveDraining(r *run) bool {
	if r.phase != runConfirmed {
		return false
	}
	leftMS := r.worker.drainDeadlineMS - m.nowMS
	return r.task.step.spec.LongRunning || r.task.step.spec.Checkpointable && m.checkpointDue(r, leftMS) && m.remainingMS(r) > leftMS
}

// Reasons for which runs leave a worker that is about to end.
const (
	stopDraining    = "worker is draining"
	stopMaintenance = "VM maintenance"
)

// stopWhole stops the run, or its gang as a whole.
func (m *Machine) stopWhole(r *run, reason string) {
	if s := r.task.step; s.spec.Gang {
		m.stopStep(s, reason)
		return
	}
	m.stopRun(r, reason)
}

// stopStep stops all runs of a step.
func (m *Machine) stopStep(s *step, reason string) {
	for _, r := range s.allRuns() {
		m.stopRun(r, reason)
	}
}
