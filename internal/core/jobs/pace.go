package jobs

import (
	"fmt"
	"slices"

	"auburnpier/internal/domain"
)

// Leftover tasks disturb the serving tasks beside them by amounts that nobody
// knows beforehand and that change within seconds. Each report of a worker
// tells the tail of its serving tasks; where it comes near a target the leftover
// tasks of the worker are paced down together, and up again in small steps.

// Figures of pacing. Tails are shares of the target.
const (
	// tailOver stops the leftover tasks: their share of the tail is not known, and
	// a tail over its target for seconds is a broken promise.
	stopTail = 1.0
	// tailHigh halves the pace. Below tailLow it rises by paceStep, and below
	// tailIdle by half of itself if that is more.
	highTail     = 0.85
	lowTail      = 0.7
	idleTail     = 0.5
	throttleStep = 10
	// firstPace is the percentage of tasks of an image that was not seen beside
	// serving tasks yet.
	initialThrottlePercent = 50
	fullSpeed              = 100
	// paceSettleMS is how long a change takes to show: the worker's delay, and
	// the half second over which it measures.
	throttleSettleMS = 700
	// paceAgainMS is when an order without an answer is sent again.
	throttleResendMS = 400
	// unpacedMS is how long a task that cannot be slowed may go on beside a
	// serving task over its target.
	maxUnthrottledMS = 1500
	// imageWeight is the share of the newest sight in an image's smoothed pace.
	imageThrottleWeight = 0.3
)

// PaceOrder tells a worker to let a run work at a percentage of its speed.
type PaceOrder struct {
	Worker  domain.WorkerID
	Address string
	Task    TaskID
	Run     int
	Percent int
}

// pacing is the state of a worker with leftover tasks beside serving ones.
type throttling struct {
	// active tells that leftover and serving tasks are together on the worker.
	active bool
	// percent is what the leftover tasks may use, and changedMS when it was set.
	percent   int
	changedMS int64
	// tail is the largest tail of the serving tasks by their targets.
	tail float64
	// overMS is since when the tail is over its target, zero where it is not.
	overTargetSinceMS int64
}

// serves reports whether the run's response times have a target.
func (r *run) hasLatencyTarget() bool { return r.task.step.spec.LatencyTargetMS > 0 }

// takeMeasures takes the tails of a report and decides the worker's pace.
func (m *Machine) updateThrottling(w *worker) {
	p := &w.throttling
	tail, known, leftover, serving := 0.0, false, false, false
	for _, r := range w.runs {
		leftover = leftover || r.task.step.spec.UsesLeftover
		serving = serving || r.hasLatencyTarget()
		if r.hasLatencyTarget() && r.measure > 0 {
			tail = max(tail, float64(r.measure)/float64(r.task.step.spec.LatencyTargetMS))
			known = true
		}
	}
	if !leftover || !serving {
		p.active, p.overTargetSinceMS = false, 0
		p.tail = tail
		return
	}
	if !p.active {
		p.active, p.changedMS, p.percent = true, m.nowMS, m.initialThrottle(w)
	}
	if !known {
		return
	}
	p.tail = tail
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

// adjustPace changes the pace of the worker's leftover tasks by the last tail.
func (m *Machine) adjustThrottle(w *worker) {
	p := &w.throttling
	before := p.percent
	switch {
	case p.tail >= stopTail:
		if p.overTargetSinceMS == 0 {
			p.overTargetSinceMS = m.nowMS
		}
		p.percent = 0
	case m.nowMS-p.changedMS < throttleSettleMS:
		// The report may show the time before the last change.
	case p.tail >= highTail:
		p.percent /= 2
	case p.tail < idleTail:
		p.percent = min(fullSpeed, p.percent+max(throttleStep, p.percent/2))
	case p.tail < lowTail:
		p.percent = min(fullSpeed, p.percent+throttleStep)
	}
	if p.tail < stopTail {
		p.overTargetSinceMS = 0
	}
	if p.percent == before {
		return
	}
	p.changedMS = m.nowMS
	if p.percent > before {
		m.updateImageThrottles(w, p.percent)
		return
	}
	m.updateImageThrottles(w, before/2)
	m.out.recordWorker("leftover_slowed", w.id, fmt.Sprintf("tail at %.0f %% of its target, %d to %d %%", p.tail*100, before, p.percent))
}

// learnImages takes a pace at which the leftover tasks of the worker may go
// into the picture of their images.
func (m *Machine) updateImageThrottles(w *worker, percent int) {
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.UsesLeftover {
			continue
		}
		pace, ok := m.imageThrottles[spec.Image]
		if !ok {
			pace = float64(percent)
		}
		m.imageThrottles[spec.Image] = pace + imageThrottleWeight*(float64(percent)-pace)
	}
}

// imagePace is the pace at which the leftover tasks of a worker begin: what the
// image that disturbs most was seen to bear.
func (m *Machine) initialThrottle(w *worker) int {
	percent := float64(initialThrottlePercent)
	for _, r := range w.runs {
		if pace, ok := m.imageThrottles[r.task.step.spec.Image]; ok && r.task.step.spec.UsesLeftover {
			percent = min(percent, pace)
		}
	}
	return int(percent)
}

// paceRuns orders the pace of leftover tasks that do not have it, and stops
// those that cannot be slowed.
func (m *Machine) throttleRuns(w *worker) {
	wanted := fullSpeed
	if w.throttling.active {
		wanted = w.throttling.percent
	}
	var late []*run
	for _, r := range w.runs {
		if !r.task.step.spec.UsesLeftover || r.phase != runConfirmed {
			continue
		}
		if m.throttleConfirmed(r, wanted) || r.requestedThrottle == wanted && m.nowMS-r.throttleRequestedMS < throttleResendMS {
			continue
		}
		late = append(late, r)
	}
	slices.SortFunc(late, func(a, b *run) int { return compareTasks(a.task.id(), b.task.id()) })
	for _, r := range late {
		over := w.throttling.overTargetSinceMS
		if r.throttle != 0 && wanted == 0 && over > 0 && m.nowMS-max(over, r.confirmedMS) > maxUnthrottledMS && m.mayDisrupt(r.task.step) {
			m.stopRun(r, "cannot be slowed beside a serving task")
			continue
		}
		r.requestedThrottle, r.throttleRequestedMS = wanted, m.nowMS
		m.out.Paces = append(m.out.Paces, PaceOrder{w.id, w.address, r.task.id(), r.number, wanted})
	}
}

// hasPace reports whether the run certainly goes at that pace. An order without
// an answer may take effect seconds later and undo the ones after it, so where
// the tail stays over its target the task is slowed again.
func (m *Machine) throttleConfirmed(r *run, wanted int) bool {
	undone := r.throttleUncertain && r.worker.throttling.overTargetSinceMS > 0 && m.nowMS-r.throttleRequestedMS >= throttleSettleMS
	return r.throttle == wanted && !undone
}

// PaceAnswered takes the answer to a pace order. Orders of one run may overtake
// each other, so an answer counts only where nothing else was asked since.
func (m *Machine) PaceAnswered(o PaceOrder, done bool) {
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

// paceUnknown is the pace of a run whose worker may have had another order.
const throttleUnknown = -1

// mayDisrupt reports whether one more task of the step may be taken away.
func (m *Machine) mayDisrupt(s *step) bool {
	if !s.spec.Lasting || s.spec.DisruptionBudget <= 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if !t.isAvailable() {
			away++
		}
	}
	return away < s.spec.DisruptionBudget
}

// atWork reports whether a run of the task was last seen to work fully.
func (t *task) isAvailable() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase == runConfirmed && r.percent >= fullSpeed })
}

// leftoverCost is added to the placement cost of a leftover task: it is best
// off where no serving task holds it back, and then where the tails are low.
func (m *Machine) bestEffortCost(w *worker) float64 {
	if !m.hasServingTask(w) {
		return 0
	}
	pace := fullSpeed
	if w.throttling.active {
		pace = w.throttling.percent
	}
	return besideServingCost * (1 - float64(pace)/fullSpeed + w.throttling.tail)
}

// besideServingCost outweighs the other parts of the placement cost.
const besideServingCost = 2.0
