package jobs

import (
	"cmp"
	"math"

	"auburnpier/internal/core/departure"
	"auburnpier/internal/core/runtimes"
	"auburnpier/internal/domain"
)

// Parameters of the durations that are expected of tasks.
const (
	// defaultTaskMS is the duration of a task without an estimate while none has been observed.
	defaultTaskMS = 1000
	// minDurationRuns is the number of runs from which on their durations count, maxDurationRuns bounds the weight of earlier ones.
	minDurationRuns = 8
	maxDurationRuns = 50
	// maxEstimateError is how far estimates may be off, as a factor in either direction, before what was observed replaces them. Estimates are
	// rough, and a job that differs from the others of its team is best judged by its own.
	maxEstimateError = 4
)

// durationKey names tasks whose estimates are expected to be off alike.
type durationKey struct {
	queue domain.QueueID
	team  domain.TeamID
	// estimated is set for tasks with an estimate.
	estimated bool
}

// durations sums up the runs that have succeeded, the latest with more weight.
type durations struct {
	runs                  int
	actualMS, estimatedMS float64
}

// recordDuration notes how long a run took that has succeeded.
func (m *Machine) recordDuration(r *run) {
	s := r.task.step
	if m.wasSlowed(r) {
		return
	}
	if m.cfg.Features.LearnedDurations {
		m.learnDuration(r)
		return
	}
	if r.confirmedMS == 0 || s.spec.Gang || s.spec.LongRunning || s.spec.BestEffort || r.task.checkpoint != "" {
		return
	}
	key := durationKey{s.job.queue.Name, s.job.team.ID, s.spec.EstimateMS > 0}
	d := m.durations[key]
	if d == nil {
		d = &durations{}
		m.durations[key] = d
	}
	d.runs = min(d.runs+1, maxDurationRuns)
	d.actualMS += (float64(m.nowMS-r.confirmedMS) - d.actualMS) / float64(d.runs)
	d.estimatedMS += (float64(s.spec.EstimateMS) - d.estimatedMS) / float64(d.runs)
}

// expectedTaskMS returns the expected duration of a task: its caller's estimate, unless that is missing, or the estimates of the team's tasks in
// the queue have been far off.
func (m *Machine) expectedTaskMS(q *Queue, t *team, spec *StepSpec) int64 {
	if m.learnsDurationOf(spec) {
		return m.expect(q, t, spec).MeanMS
	}
	estimated := spec.EstimateMS > 0
	d := m.durations[durationKey{q.Name, t.ID, estimated}]
	known := d != nil && d.runs >= minDurationRuns
	switch {
	case known && !estimated:
		return max(1, int64(d.actualMS))
	case !estimated:
		return defaultTaskMS
	case known && (d.actualMS > maxEstimateError*d.estimatedMS || d.actualMS*maxEstimateError < d.estimatedMS):
		return max(1, int64(float64(spec.EstimateMS)*d.actualMS/d.estimatedMS))
	}
	return spec.EstimateMS
}

// expectedMS returns the expected duration of a task of the step.
func (m *Machine) expectedMS(s *step) int64 {
	if m.learnsDurationOf(s.spec) {
		return s.expected.MeanMS
	}
	return m.expectedTaskMS(s.job.queue, s.job.team, s.spec)
}

// Parameters of the learned durations.
const (
	// estimateIntervalMS is the time between two computations of what a step's tasks are expected to take.
	estimateIntervalMS = 1000
	// earlyEnds is the number of tasks of a step whose ends change the expectation at once. The later ones change it little.
	earlyEnds = 4
	// minShownPercent is the progress from which on a run shows how long it takes. Percentages are whole numbers, and reports are rare.
	minShownPercent = 10
	// maxProgressSkew is how far, in percent, a duration by the rate of progress may be from that by age and progress.
	maxProgressSkew = 150
	// maxShownRuns bounds the runs of a step whose progress is looked at.
	maxShownRuns = 64
	// lateMarginDeviations is how many standard deviations shorter than expected a job's tasks count, and with them its slack, when it is judged
	// whether the job is late.
	lateMarginDeviations = 0.33
	// maxUnseenPercent is the progress up to which a run may have come before this owner saw it, so that the rest shows how long it takes.
	maxUnseenPercent = 70
)

// learnsDurationOf reports whether the durations of such tasks are learned.
func (m *Machine) learnsDurationOf(spec *StepSpec) bool {
	return m.cfg.Features.LearnedDurations && !spec.LongRunning && !spec.BestEffort
}

// classOf returns the class of tasks whose durations are expected to be alike.
func classOf(q *Queue, t *team, spec *StepSpec) runtimes.Class {
	return runtimes.Class{Queue: q.Name, Team: t.ID, Image: spec.Image, Gang: spec.Gang}
}

func (m *Machine) expect(q *Queue, t *team, spec *StepSpec) runtimes.Expectation {
	return m.learned.Expect(classOf(q, t, spec), spec.EstimateMS)
}

func (m *Machine) expectStep(s *step) runtimes.Expectation {
	return m.expect(s.job.queue, s.job.team, s.spec)
}

// expectedPathMS returns the expected duration of the longest chain of dependent steps of a job.
func (m *Machine) expectedPathMS(spec *Spec, q *Queue, t *team) int64 {
	if !m.cfg.Features.LearnedDurations {
		return criticalPathMS(spec, q)
	}
	return longestPathMS(spec, q, func(i int) int64 {
		if s := &spec.Steps[i]; m.learnsDurationOf(s) {
			return m.expect(q, t, s).MedianMS
		}
		return spec.Steps[i].EstimateMS
	})
}

// learnDuration adds a run that has succeeded to the model, and to what is known of its step.
func (m *Machine) learnDuration(r *run) {
	s := r.task.step
	// One success of a gang counts for all members.
	if !m.learnsDurationOf(s.spec) || s.spec.Gang && s.open == 0 {
		return
	}
	tookMS, known := m.wholeMS(r)
	if !known {
		return
	}
	speed := m.runSpeed(r)
	tasks := s.spec.Tasks
	if s.spec.Gang {
		tasks = 1
	}
	m.learned.Record(runtimes.Run{Class: classOf(s.job.queue, s.job.team, s.spec), EstimateMS: s.spec.EstimateMS, TookMS: tookMS, Speed: speed,
		Tasks: tasks}, m.nowMS)
	s.shown.Add(tookMS, speed)
	if s.shown.Tasks <= earlyEnds {
		s.estimateDueMS = 0
	}
}

// wholeMS returns how long a run that has just succeeded would have taken from the beginning of its task.
func (m *Machine) wholeMS(r *run) (ms int64, known bool) {
	switch {
	case r.confirmedMS == 0:
		return 0, false
	case !r.adopted && r.task.checkpoint == "":
		return m.nowMS - r.confirmedMS, true
	case r.firstReportMS == 0 || r.firstPercent > maxUnseenPercent:
		return 0, false
	}
	return (m.nowMS - r.firstReportMS) * 100 / int64(100-r.firstPercent), true
}

// firstEstimate sets what the tasks of a new step are expected to take.
func (m *Machine) firstEstimate(s *step) {
	if !m.learnsDurationOf(s.spec) {
		return
	}
	s.assignExpectation(m.expectStep(s))
	// Steps that begin together, as after a takeover, are not all computed again in the same pass.
	s.estimateDueMS = m.nowMS + estimateIntervalMS/2 + int64(len(m.jobs)*7)%estimateIntervalMS
}

// sumRest sets how long the steps after each step of the occurrence take.
func (m *Machine) sumRest(o *occurrence) {
	if !m.cfg.Features.LearnedDurations && !m.cfg.Features.WorkerSpeeds {
		return
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		ms := s.restMS + cmp.Or(s.estimateMS, defaultTaskMS)
		if a := o.job.queue.Approval; a != nil {
			ms += int64(a.usualMS())
		}
		for _, before := range s.spec.After {
			o.steps[before].restMS = max(o.steps[before].restMS, ms)
		}
	}
}

// updateEstimate computes anew what the tasks of a step are expected to take, if that is due.
func (m *Machine) updateEstimate(s *step) {
	if m.nowMS < s.estimateDueMS || !m.learnsDurationOf(s.spec) {
		return
	}
	s.estimateDueMS = m.nowMS + estimateIntervalMS
	e := m.expectStep(s)
	s.setEstimate(e.Given(m.shownBy(s, e)))
}

// settleEstimate sets what the tasks of a step have taken that has ended. The deadline of the steps after it depends on that.
func (m *Machine) settleEstimate(s *step) {
	if s.shown.Tasks > 0 {
		s.setEstimate(m.expectStep(s).Given(s.shown))
	}
}

// assignExpectation sets what the tasks of the step are expected to take, without the effect on the deadline of its job.
func (s *step) assignExpectation(e runtimes.Expectation) {
	s.estimateMS, s.expected, s.lateMargin = e.MedianMS, e, e.Confidence*(1-math.Exp(-lateMarginDeviations*e.Deviation()))
}

// setEstimate sets what the tasks of the step are expected to take, and the deadline of its job by that.
func (s *step) setEstimate(e runtimes.Expectation) {
	s.assignExpectation(e)
	o, j := s.occurrence, s.job
	o.criticalPathMS = longestPathMS(j.spec, j.queue, func(i int) int64 { return o.steps[i].estimateMS })
	o.deadlineMS = o.startMS + o.objectiveMS()
}

// lateMarginMS returns how long before the deadline a step has to end so as not to count as late: the steps after it take their time, and
// some of its slack has to be left. An expectation is uncertain: a step that starts
// with no slack left ends late as often as not, and takes the place of one that could still be in time.
func (m *Machine) lateMarginMS(s *step) int64 {
	if !m.learnsDurationOf(s.spec) {
		return 0
	}
	return s.restMS + int64(s.lateMargin*float64(s.occurrence.objectiveMS()-s.occurrence.criticalPathMS))
}

// shownBy returns what the tasks of the step have shown of their durations: those that have ended, those that make progress, and those that
// have run for longer than expected.
func (m *Machine) shownBy(s *step, e runtimes.Expectation) runtimes.Shown {
	shown := s.shown
	if s.spec.Gang {
		return shown
	}
	left := maxShownRuns
	for _, t := range s.active {
		for _, r := range t.runs {
			if left--; left < 0 {
				return shown
			}
			if r.phase != runConfirmed || r.slowed {
				continue
			}
			speed := m.runSpeed(r)
			if ms, known := r.shownMS(); known {
				shown.Add(ms, speed)
			} else if elapsedMS := m.nowMS - r.confirmedMS; !r.adopted && t.checkpoint == "" && float64(elapsedMS)*speed > float64(e.MedianMS) {
				shown.Add(elapsedMS+int64(float64(e.RemainingMS(int64(float64(elapsedMS)*speed)))/speed), speed)
			}
		}
	}
	return shown
}

// shownMS returns the duration of the run by its progress, if that is enough. Progress that is not in proportion to time tells nothing: for a run that
// was seen from the beginning, the rate since its first report has to fit its age.
func (r *run) shownMS() (ms int64, known bool) {
	if r.percent-r.firstPercent < minShownPercent {
		return 0, false
	}
	ms, known = r.expectedMS()
	if known && !r.adopted && r.task.checkpoint == "" {
		byAgeMS := (r.progressMS - r.confirmedMS) * 100 / int64(r.percent)
		known = ms*maxProgressSkew > byAgeMS*100 && byAgeMS*maxProgressSkew > ms*100
	}
	return ms, known
}

// Parameters of the remaining time of runs.
const (
	// maxUnseenMS bounds the time since the last report of a worker that counts as progress. What happened after that is not known.
	maxUnseenMS = 1000
	// progressErrorPercent is how much longer than by its progress a run takes in one of ten cases.
	progressErrorPercent = 25
)

// remaining is how long a run has taken and is expected to take still.
type remaining struct {
	elapsedMS int64
	// meanMS is the expected time, p90MS the time within which the run ends with a probability of 0.9.
	meanMS, p90MS int64
	// dueMS is the time until the run has taken as long as it was expected to, by its progress or its step. It is negative for a run that has
	// outlasted that, or has reported no progress for longer than was left.
	dueMS int64
}

// remaining returns how long the run is expected to take still on a worker of that speed: by the progress that it has shown, and otherwise by what is
// expected of the tasks of its step. That is computed if e is nil.
func (m *Machine) remaining(r *run, e *runtimes.Expectation, speed float64) remaining {
	t := remaining{elapsedMS: m.nowMS - r.confirmedMS}
	leftPercent := int64(100 - min(r.percent, 100))
	if leftPercent == 0 && !m.learnsDurationOf(r.task.step.spec) {
		// A run that reports 100 % and goes on is in its last percent.
		leftPercent = 1
	}
	if wholeMS, known := r.shownMS(); known {
		percentMS := int64(0)
		if leftPercent > 0 {
			percentMS = wholeMS*leftPercent/100 - wholeMS*(leftPercent-1)/100
		}
		seenMS, unseenMS := m.progressSince(r, percentMS)
		t.meanMS = max(1, wholeMS*leftPercent/100-seenMS-unseenMS)
		// The rate since the last report is as uncertain as that to come.
		t.p90MS = t.meanMS*(100+progressErrorPercent)/100 + unseenMS*progressErrorPercent/100 + wholeMS/100
		t.elapsedMS = max(t.elapsedMS, wholeMS-t.meanMS)
		t.dueMS = wholeMS*int64(100-min(r.percent, 100))/100 - (m.nowMS - r.progressMS)
		return t
	}
	if e == nil {
		given := m.expectStep(r.task.step).Given(r.task.step.shown)
		e = &given
	}
	byMS := func(ms int64) int64 { return max(1, int64(float64(ms)/speed)) }
	t.dueMS = int64(float64(e.MeanMS)/speed) - t.elapsedMS
	if r.adopted || r.task.checkpoint != "" || r.confirmedMS == 0 {
		t.meanMS, t.p90MS = byMS(e.MeanMS*leftPercent/100), byMS(e.P90MS*leftPercent/100)
		t.elapsedMS = max(t.elapsedMS, byMS(e.MeanMS)-t.meanMS)
		return t
	}
	meanSpeedMS := int64(float64(t.elapsedMS) * speed)
	t.meanMS, t.p90MS = byMS(e.RemainingMS(meanSpeedMS)), byMS(e.RemainingP90MS(meanSpeedMS))
	return t
}

// progressSince returns how much of its duration the run has done since its percentage changed: up to the last report of its worker, and since.
// percentMS is the time that a percent takes. Percentages are rounded down, so a report of the same one tells that less than a percent was done, and the
// rate since is at most that: a run that reports the same for long is slow, not near its end. Without learned durations, only that one percent counts.
func (m *Machine) progressSince(r *run, percentMS int64) (seenMS, unseenMS int64) {
	if !m.learnsDurationOf(r.task.step.spec) {
		return min(percentMS, m.nowMS-r.progressMS), 0
	}
	reportMS := max(r.progressMS, r.worker.lastReportMS)
	seenMS, unseenMS = reportMS-r.progressMS, min(maxUnseenMS, m.nowMS-reportMS)
	if seenMS > percentMS {
		return percentMS, unseenMS * percentMS / seenMS
	}
	return seenMS, unseenMS
}

// remainingMS returns how long the run is expected to take still. Without learned durations, that is by its caller's estimate and the last
// percentage alone.
func (m *Machine) remainingMS(r *run) int64 {
	if spec := r.task.step.spec; !m.learnsDurationOf(spec) {
		return spec.EstimateMS * int64(100-min(r.percent, 100)) / 100
	}
	t := m.remaining(r, nil, m.runSpeed(r))
	return t.meanMS
}

// endsWithin reports whether the run is expected to end within that time. A run that has outlasted what was expected may take any time. It is called
// for each run of the fleet, so it uses the last expectation for the step.
func (m *Machine) endsWithin(r *run, ms int64) bool {
	s := r.task.step
	switch {
	case r.phase == runStopping:
		return true
	case r.phase != runConfirmed || s.spec.LongRunning:
		return false
	}
	t := m.remaining(r, &s.expected, r.worker.speed)
	if t.dueMS < 0 || !m.learnsDurationOf(s.spec) {
		return t.dueMS >= 0 && t.dueMS <= ms
	}
	return departure.Likely(t.meanMS, t.p90MS, ms)
}
