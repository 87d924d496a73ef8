package jobs

import (
	"fmt"
	"slices"

	"auburnpier/internal/domain"
)

// Best-effort tasks slow down the serving tasks (those with a latency target) on the same worker
// by an amount that is not known in advance and changes within seconds. Each worker report
// contains the tail latency of its serving tasks. When it comes close to a target, all best-effort
// tasks of the worker are throttled together; they are sped up again in small steps.

// Parameters of throttling. Tail latencies are fractions of the target.
const (
	// stopTail throttles best-effort tasks to zero: how much they contribute to the tail is not
	// known, and the target must not be missed for seconds.
	stopTail = 1.0
	// From highTail on the throttle percentage is halved. Below lowTail it rises by throttleStep,
	// and below idleTail by half of itself if that is more.
	highTail     = 0.85
	lowTail      = 0.7
	idleTail     = 0.5
	throttleStep = 10
	// initialThrottlePercent applies to tasks of an image that has not run beside serving tasks
	// yet.
	initialThrottlePercent = 50
	fullSpeed              = 100
	// throttleSettleMS is how long a change takes to show in reports: the worker's delay plus
	// the 500 ms over which it measures.
	throttleSettleMS = 700
	// throttleResendMS is the time after which an unanswered order is sent again.
	throttleResendMS = 400
	// maxUnthrottledMS is how long a task that does not take the throttle may run beside a serving
	// task that misses its target.
	maxUnthrottledMS = 1500
	// imageThrottleWeight is the weight of the newest observation in an image's smoothed throttle.
	imageThrottleWeight = 0.3
)

// ThrottleOrder tells a worker to throttle a run to a percentage of full speed.
type ThrottleOrder struct {
	Worker  domain.WorkerID
	Address string
	Task    TaskID
	Run     int
	Percent int
}

// throttling is the state of a worker that has best-effort tasks beside serving tasks.
type throttling struct {
	// active is set while the worker has both best-effort and serving tasks.
	active bool
	// percent is the throttle of the best-effort tasks, and changedMS when it last changed.
	percent   int
	changedMS int64
	// tail is the largest tail latency of the serving tasks, as a fraction of their targets.
	tail float64
	// overTargetSinceMS is since when the tail has been at or over its target, or zero.
	overTargetSinceMS int64
}

// hasLatencyTarget reports whether the run's task is a serving task.
func (r *run) hasLatencyTarget() bool { return r.task.step.spec.LatencyTargetMS > 0 }

// updateThrottling updates the worker's throttle from the last reported tail latencies.
func (m *Machine) updateThrottling(w *worker) {
	t := &w.throttling
	tail, measured, bestEffort, serving := 0.0, false, false, false
	for _, r := range w.runs {
		bestEffort = bestEffort || r.task.step.spec.BestEffort
		serving = serving || r.hasLatencyTarget()
		if r.hasLatencyTarget() && r.measure > 0 {
			tail = max(tail, float64(r.measure)/float64(r.task.step.spec.LatencyTargetMS))
			measured = true
		}
	}
	if !bestEffort || !serving {
		t.active, t.overTargetSinceMS = false, 0
		t.tail = tail
		return
	}
	if !t.active {
		t.active, t.changedMS, t.percent = true, m.nowMS, m.initialThrottle(w)
	}
	if !measured {
		return
	}
	t.tail = tail
	m.adjustThrottle(w)
}

func (m *Machine) hasServingTask(w *worker) bool {
	for _, r := range w.runs {
		if r.hasLatencyTarget() {
			return true
		}
	}
	return false
}

// adjustThrottle adjusts the throttle of the worker's best-effort tasks to the last tail latency.
func (m *Machine) adjustThrottle(w *worker) {
	t := &w.throttling
	before := t.percent
	switch {
	case t.tail >= stopTail:
		if t.overTargetSinceMS == 0 {
			t.overTargetSinceMS = m.nowMS
		}
		t.percent = 0
	case m.nowMS-t.changedMS < throttleSettleMS:
		// The report may still reflect the time before the last change.
	case t.tail >= highTail:
		t.percent /= 2
	case t.tail < idleTail:
		t.percent = min(fullSpeed, t.percent+max(throttleStep, t.percent/2))
	case t.tail < lowTail:
		t.percent = min(fullSpeed, t.percent+throttleStep)
	}
	if t.tail < stopTail {
		t.overTargetSinceMS = 0
	}
	if t.percent == before {
		return
	}
	t.changedMS = m.nowMS
	if t.percent > before {
		m.updateImageThrottles(w, t.percent)
		return
	}
	m.updateImageThrottles(w, before/2)
	m.out.recordWorker("leftover_slowed", w.id, fmt.Sprintf("tail latency at %.0f %% of its target, throttled from %d to %d %%", t.tail*100, before, t.percent))
}

// updateImageThrottles updates the smoothed throttle of the images of the worker's best-effort
// tasks.
func (m *Machine) updateImageThrottles(w *worker, percent int) {
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.BestEffort {
			continue
		}
		smoothed, ok := m.imageThrottles[spec.Image]
		if !ok {
			smoothed = float64(percent)
		}
		m.imageThrottles[spec.Image] = smoothed + imageThrottleWeight*(float64(percent)-smoothed)
	}
}

// initialThrottle returns the throttle at which the best-effort tasks of a worker begin: the
// lowest of those recorded for their images.
func (m *Machine) initialThrottle(w *worker) int {
	percent := float64(initialThrottlePercent)
	for _, r := range w.runs {
		if smoothed, ok := m.imageThrottles[r.task.step.spec.Image]; ok && r.task.step.spec.BestEffort {
			percent = min(percent, smoothed)
		}
	}
	return int(percent)
}

// throttleRuns sends throttle orders to best-effort tasks that have not confirmed the worker's
// throttle, and stops those that do not take it.
func (m *Machine) throttleRuns(w *worker) {
	wanted := fullSpeed
	if w.throttling.active {
		wanted = w.throttling.percent
	}
	var pending []*run
	for _, r := range w.runs {
		if !r.task.step.spec.BestEffort || r.phase != runConfirmed {
			continue
		}
		if m.throttleConfirmed(r, wanted) || r.requestedThrottle == wanted && m.nowMS-r.throttleRequestedMS < throttleResendMS {
			continue
		}
		pending = append(pending, r)
	}
	slices.SortFunc(pending, func(a, b *run) int { return compareTasks(a.task.id(), b.task.id()) })
	for _, r := range pending {
		over := w.throttling.overTargetSinceMS
		if r.throttle != 0 && wanted == 0 && over > 0 && m.nowMS-max(over, r.confirmedMS) > maxUnthrottledMS && m.mayDisrupt(r.task.step) {
			m.stopRun(r, "cannot be throttled beside a serving task")
			continue
		}
		r.requestedThrottle, r.throttleRequestedMS = wanted, m.nowMS
		m.out.Throttles = append(m.out.Throttles, ThrottleOrder{w.id, w.address, r.task.id(), r.number, wanted})
	}
}

// throttleConfirmed reports whether the run is certainly throttled to that percentage. An order
// that was not answered may take effect seconds later and undo later ones, so the throttle is sent
// again while the tail stays over its target.
func (m *Machine) throttleConfirmed(r *run, wanted int) bool {
	undone := r.throttleUncertain && r.worker.throttling.overTargetSinceMS > 0 && m.nowMS-r.throttleRequestedMS >= throttleSettleMS
	return r.throttle == wanted && !undone
}

// ThrottleAnswered handles the response to a throttle order. Orders of one run may be reordered, so a
// response counts only if no other percentage was requested since.
func (m *Machine) ThrottleAnswered(o ThrottleOrder, done bool) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[o.Task]
	if !ok || r.number != o.Run || r.requestedThrottle != o.Percent {
		return
	}
	if done {
		r.throttle = o.Percent
		return
	}
	r.throttle, r.throttleUncertain = throttleUnknown, true
}

// throttleUnknown is the throttle of a run whose worker may have received another order.
const throttleUnknown = -1

// mayDisrupt reports whether the disruption budget permits stopping one more task of the step.
func (m *Machine) mayDisrupt(s *step) bool {
	if !s.spec.LongRunning || s.spec.DisruptionBudget <= 0 {
		return true
	}
	away := s.spec.Tasks
	for _, t := range s.active {
		if t.isAvailable() {
			away--
		}
	}
	return away < s.spec.DisruptionBudget
}

// isAvailable reports whether a run of the task last reported that it is fully available.
func (t *task) isAvailable() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase == runConfirmed && r.percent >= fullSpeed })
}

// bestEffortCost is added to the placement cost of a best-effort task. It prefers workers without
// serving tasks, and then those with little throttling and low tail latency.
func (m *Machine) bestEffortCost(w *worker) float64 {
	if !m.hasServingTask(w) {
		return 0
	}
	percent := fullSpeed
	if w.throttling.active {
		percent = w.throttling.percent
	}
	return besideServingCost * (1 - float64(percent)/fullSpeed + w.throttling.tail)
}

// besideServingCost is large enough to outweigh the other parts of the placement cost.
const besideServingCost = 2.0
