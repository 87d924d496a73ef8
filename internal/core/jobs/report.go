package jobs

import (
	"slices"

	"auburnpier/internal/domain"
)

// RunReport is what a worker says of one run that it has.
type RunReport struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Measure is the response-time tail in ms of a serving task, else the processor time in use.
	Measure int64
}

// EndReport is one end that a worker lists until it is acknowledged.
type EndReport struct {
	Number     int64
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is the answer of a worker to a look at it.
type WorkerReport struct {
	Worker domain.WorkerID
	BornMS int64
	// SentMS and ReceivedMS are steady times of the call and of its answer.
	SentMS, ReceivedMS int64
	// ClockMS is the worker's clock at the answer.
	ClockMS int64
	Running []RunReport
	Ends    []EndReport
}

// clockDriftPercent is how much slower than this clock a worker's may be.
const clockDriftPercent = 2

// leaseSlackMS covers rounding and the way of an answer.
const leaseMarginMS = 150

// LeaseLimit returns the worker-clock time to which a call may extend the
// lease of the worker's tasks. It reports false until the clock is known.
// The caller sends the call before it asks again.
func (m *Machine) LeaseLimit(id domain.WorkerID) (int64, bool) {
	w, ok := m.workers[id]
	if !ok || !w.clockKnown {
		return 0, false
	}
	m.extendLease(w, m.cfg.LeaseMS)
	return m.nowMS + w.clockOffset + m.cfg.LeaseMS, true
}

// extend notes the latest time at which the worker's tasks may still run.
func (m *Machine) extendLease(w *worker, leaseMS int64) {
	w.leaseExpiryMS = max(w.leaseExpiryMS, m.nowMS+leaseMS+leaseMS*clockDriftPercent/100+leaseMarginMS)
}

// Report takes a worker's answer.
func (m *Machine) Report(r WorkerReport) {
	w, ok := m.workers[r.Worker]
	if !ok {
		return
	}
	if w.startedMS != r.BornMS {
		m.workerRestarted(w, r.BornMS)
	}
	w.contacted = true
	w.pollFailed = false
	delete(m.suspects, w.id)
	w.lastReportMS = m.nowMS
	// The answer was under way for a while, so this is at most the worker's clock.
	w.clockOffset = r.ClockMS - r.ReceivedMS
	w.clockKnown = true
	for _, e := range r.Ends {
		if e.Number > w.lastEndNumber {
			w.lastEndNumber = e.Number
			m.withholdEnd(w, e)
			m.handleEnd(w, e)
			// The end may add nothing to what is known, as with the other members of a
			// gang, but what is known may not be stored yet.
			if j := m.jobs[e.Task.Job]; j != nil && j.version > j.storedVersion {
				w.pendingEnds = append(w.pendingEnds, pendingEnd{e.Number, j, j.version})
			}
		}
	}
	seen := make(map[TaskID]int, len(r.Running))
	for _, row := range r.Running {
		seen[row.Task] = row.Run
		m.handleRunning(w, row)
	}
	m.endMissingRuns(w, r, seen)
	w.unknownRuns = 0
	for id, number := range seen {
		if own, ok := w.runs[id]; !ok || own.number != number {
			w.unknownRuns++
		}
	}
	m.updateThrottling(w)
	m.throttleRuns(w)
	m.needsPass = true
}

// LookFailed tells that a look at the worker had no answer.
func (m *Machine) LookFailed(id domain.WorkerID) {
	if w, ok := m.workers[id]; ok {
		w.pollFailed = true
	}
}

func (m *Machine) workerRestarted(w *worker, bornMS int64) {
	if w.startedMS != 0 {
		m.out.recordWorker("worker_reborn", w.id, "")
		m.endLostRuns(w, func(r *run) bool { return r.confirmedMS > 0 })
		// A start without an answer may reach the new life, whose clock begins anew,
		// so that the limit of the order means nothing there. A stop makes it refuse
		// itself.
		for _, r := range w.sortedRuns() {
			m.stopRun(r, "worker was reborn")
		}
	}
	w.startedMS = bornMS
	w.discardPendingEnds()
	w.lastEndNumber, w.abandonedRuns, w.withheldEnd = 0, nil, 0
	w.clockKnown = false
	w.health = health{}
}

func (m *Machine) handleRunning(w *worker, row RunReport) {
	if r, ok := w.runs[row.Task]; ok && r.number == row.Run {
		m.updateRun(r, row)
		return
	}
	t := m.findTask(row.Task)
	if t == nil || t.phase == taskDone || t.step.job.state.Terminal() {
		m.out.Stops = append(m.out.Stops, StopOrder{w.id, w.address, row.Task, row.Run, "not wanted"})
		return
	}
	if other, ok := w.runs[row.Task]; ok && other.number > row.Run {
		m.out.Stops = append(m.out.Stops, StopOrder{w.id, w.address, row.Task, row.Run, "superseded"})
		return
	}
	m.adopt(w, t, row)
}

// adopt takes over a run that a former owner started, or one of this owner
// that took effect late.
func (m *Machine) adopt(w *worker, t *task, row RunReport) {
	r := m.place(t, w, row.Run)
	r.phase, r.reported = runConfirmed, true
	r.confirmedMS, r.progressMS = m.nowMS, m.nowMS
	r.throttle = throttleUnknown
	m.updateRun(r, row)
	m.out.recordRun("run_adopted", r, "")
	s := t.step
	switch {
	case s.spec.Gang && row.Run < s.gangRun:
		m.stopRun(r, "older gang run")
	case s.spec.Gang:
		s.gangRun = row.Run
	case len(t.runs) > 1 && !s.spec.CopiesAllowed:
		m.stopRun(r, "second run")
	}
}

func (m *Machine) updateRun(r *run, row RunReport) {
	if r.phase == runSent {
		r.phase = runConfirmed
		r.confirmedMS = m.nowMS
	}
	r.reported = true
	r.measure = row.Measure
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
		if r.task.step.spec.Gang {
			r.task.step.setCheckpoint(row.Checkpoint)
		}
	}
	if row.Percent != r.percent || r.progressMS == 0 {
		r.percent = row.Percent
		r.progressMS = m.nowMS
	}
	r.task.step.job.started = true
}

func (s *step) setCheckpoint(value string) {
	for _, t := range s.tasks {
		t.checkpoint = value
	}
}

// checkAbsent ends runs that the worker would list if it had them.
func (m *Machine) endMissingRuns(w *worker, report WorkerReport, seen map[TaskID]int) {
	var gone []*run
	for id, r := range w.runs {
		if number, ok := seen[id]; ok && number == r.number {
			continue
		}
		if r.confirmedMS == 0 {
			// The order may take effect until its limit, also where a stop follows it.
			if report.ClockMS > r.startLimitClockMS && report.SentMS >= r.placedMS {
				gone = append(gone, r)
			}
			continue
		}
		if report.SentMS > r.confirmedMS && !m.endListed(report, r) {
			gone = append(gone, r)
		}
	}
	for _, r := range gone {
		m.endRun(r, EndLapsed, "")
	}
}

func (m *Machine) endListed(report WorkerReport, r *run) bool {
	for _, e := range report.Ends {
		if e.Task == r.task.id() && e.Run == r.number {
			return true
		}
	}
	return false
}

func (m *Machine) findTask(id TaskID) *task {
	s := m.findStep(id.StepOf())
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

func (m *Machine) findStep(id StepID) *step {
	j, ok := m.jobs[id.Job]
	if !ok {
		return nil
	}
	o, ok := j.occurrences[id.Occurrence]
	if !ok || id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	return o.steps[id.Step]
}

// holdEnd keeps the success of a run from being acknowledged where its task was
// started again meanwhile. A worker that was silent until its lease was over
// lists what succeeded before; acknowledged, the task would count as done twice,
// while the second start was right by all that was known.
func (m *Machine) withholdEnd(w *worker, e EndReport) {
	number, givenUp := w.abandonedRuns[e.Task]
	givenUp = givenUp && number == e.Run
	if givenUp {
		delete(w.abandonedRuns, e.Task)
	}
	if e.Kind != EndSucceeded || w.withheldEnd > 0 {
		return
	}
	t := m.findTask(e.Task)
	if t == nil && !givenUp || t != nil && !t.restartedAfter(e.Run) {
		return
	}
	w.withheldEnd = e.Number
	m.out.Notes = append(m.out.Notes, Note{Kind: "end_held", Worker: w.id, Task: e.Task, Run: e.Run,
		Detail: "the task was started again while the worker was silent"})
}

// startedAfter reports whether a later run of the task was started where only
// one may succeed.
func (t *task) restartedAfter(number int) bool {
	return !t.step.spec.CopiesAllowed && !t.step.spec.Lasting && (t.startedRun > number || t.formerAbandonedRun >= number)
}

// EndsHeld reports whether the worker lists an end that must not be acknowledged.
func (m *Machine) EndsHeld(id domain.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && w.withheldEnd > 0
}

// maxHeldEnds bounds the ends that a worker lists after one that is not
// acknowledged. It lists 500 at a time, so beyond that it gets no more work.
const maxEndsAfterWithheld = 300

func (w *worker) hasTooManyWithheldEnds() bool {
	return w.withheldEnd > 0 && w.lastEndNumber-w.withheldEnd >= maxEndsAfterWithheld
}

func (m *Machine) handleEnd(w *worker, e EndReport) {
	r, ok := w.runs[e.Task]
	if ok && r.number == e.Run {
		m.endRun(r, e.Kind, e.Checkpoint)
		return
	}
	t := m.findTask(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	m.applyEnd(t, e.Run, e.Kind, e.Checkpoint, w)
}

// endRun releases the room of a run and applies its end.
func (m *Machine) endRun(r *run, kind EndKind, checkpoint string) {
	t, w := r.task, r.worker
	m.release(r)
	if kind == EndSucceeded || kind == EndFailed {
		m.recordRunResult(r, kind)
	}
	m.out.recordRun("run_ended", r, kind.String())
	m.applyEnd(t, r.number, kind, checkpoint, w)
}

func (m *Machine) release(r *run) {
	t, w := r.task, r.worker
	delete(w.runs, t.id())
	w.used = w.used.Sub(r.reserved)
	s := t.step
	s.tasksPerWorker[w.id]--
	s.job.team.used = s.job.team.used.Sub(r.need)
	t.runs = removeItem(t.runs, r)
	m.compactEndedJob(s.job)
	if len(t.runs) == 0 && t.phase == taskActive {
		t.phase = taskWaiting
		s.waiting++
	}
	m.needsPass = true
}

// applyEnd changes the task's progress. The run is released already.
func (m *Machine) applyEnd(t *task, number int, kind EndKind, checkpoint string, w *worker) {
	s := t.step
	j := s.job
	if checkpoint != "" && t.phase != taskDone {
		t.checkpoint = checkpoint
		if s.spec.Gang {
			s.setCheckpoint(checkpoint)
		}
	}
	if j.state.Terminal() || t.phase == taskDone {
		return
	}
	if s.spec.Gang && number == s.gangRun {
		s.gangMemberEnded = true
	}
	switch {
	case kind == EndSucceeded && !s.spec.Lasting:
		m.recordSuccess(t, number)
	case kind == EndFailed:
		m.recordFailure(t, number)
	}
	if !j.state.Terminal() && s.open > 0 && s.waiting > 0 {
		m.markReady(s.occurrence)
	}
}

func (m *Machine) recordSuccess(t *task, number int) {
	s := t.step
	if s.spec.Gang {
		// The members of a gang end together, so one end stands for all.
		for _, member := range s.tasks {
			m.finishTask(member)
		}
	} else {
		m.finishTask(t)
		for _, r := range t.runs {
			m.stopRun(r, "another copy succeeded")
		}
	}
	m.markChanged(s.job)
	m.finishStep(s)
}

func (m *Machine) finishTask(t *task) {
	s := t.step
	if t.phase == taskDone {
		return
	}
	if t.phase == taskWaiting {
		s.waiting--
	}
	t.phase = taskDone
	s.open--
	if s.open == 0 {
		s.occurrence.open--
		m.removeReady(s)
		s.dropApprovals()
	}
}

func (m *Machine) finishStep(s *step) {
	if s.open > 0 {
		return
	}
	o, j := s.occurrence, s.job
	if o.open > 0 {
		m.markReady(o)
		return
	}
	if !j.spec.Recurring() {
		m.endJob(j, Completed)
		return
	}
	j.doneOccurrences[o.number] = true
	delete(j.occurrences, o.number)
	if len(j.doneOccurrences) >= j.spec.Occurrences {
		m.endJob(j, Completed)
	}
}

func (m *Machine) recordFailure(t *task, number int) {
	s := t.step
	if s.spec.Lasting {
		t.notBeforeMS = m.nowMS + lastingRestartMS
		return
	}
	failed := &t.failedRuns
	if s.spec.Gang {
		failed = &s.gangFailedRuns
	}
	if slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	m.markChanged(s.job)
	if s.job.queue.MaxAttempts > 0 && len(*failed) >= s.job.queue.MaxAttempts {
		m.endJob(s.job, Failed)
	}
}

// lastingRestartMS keeps a lasting task that fails at once from taking all start orders.
const lastingRestartMS = 200

// stopJob stops everything that still runs of an ended job. What is left of a
// completed one has ended at its workers or was stopped already.
func (m *Machine) stopJob(j *job) {
	if j.state == Completed {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			m.stopStep(s, "job "+j.state.String())
		}
	}
}

// stopRun orders the end of a run. Its room stays reserved until the end is listed.
func (m *Machine) stopRun(r *run, reason string) {
	if r.phase == runStopping && m.nowMS-r.stopSentMS < m.stopResendMS() {
		return
	}
	if r.phase != runStopping {
		m.out.recordRun("run_stopping", r, reason)
		r.reason = reason
	}
	r.phase = runStopping
	r.stopSentMS = m.nowMS
	m.out.Stops = append(m.out.Stops, StopOrder{r.worker.id, r.worker.address, r.task.id(), r.number, reason})
}

func (m *Machine) stopResendMS() int64 { return m.cfg.StopMS + stopAnswerTimeoutMS }

// stopAnswerMS is how long the answer to a stop may take before it is repeated.
const stopAnswerTimeoutMS = 300

// StartAnswered takes the answer to a start order.
func (m *Machine) StartAnswered(id domain.WorkerID, taskID TaskID, number int, outcome StartOutcome) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	r, ok := w.runs[taskID]
	if !ok || r.number != number {
		return
	}
	if outcome != StartAccepted {
		m.out.recordRun("start_refused", r, outcome.String())
	}
	switch outcome {
	case StartAccepted:
		if r.phase == runSent {
			r.phase = runConfirmed
			r.confirmedMS, r.progressMS = m.nowMS, m.nowMS
		}
		if r.task.step.spec.UsesLeftover {
			m.updateThrottling(w)
			m.throttleRuns(w)
		}
		return
	case StartUnanswered:
		r.startUnanswered = true
		m.repeatStart(r)
		return
	case StartNoRoom:
		w.health.avoidFor(m.nowMS, noRoomAvoidanceMS)
	case StartUnhealthy:
		w.health.avoidFor(m.nowMS, unhealthyAvoidanceMS)
	case StartNotApproved:
		r.task.step.dropTicket(w)
	case StartWrongIncarnation:
		w.contacted = false
	}
	if r.phase != runSent || r.startUnanswered {
		// An earlier sending of the same order may have taken effect.
		return
	}
	m.release(r)
	if !r.task.step.job.state.Terminal() {
		m.markReady(r.task.step.occurrence)
	}
}

// How long a worker that refused a start gets no other.
const (
	noRoomAvoidanceMS    = 400
	unhealthyAvoidanceMS = 1000
)

// repeatStart sends an unanswered order again while it may take effect.
func (m *Machine) repeatStart(r *run) {
	if r.phase != runSent || r.resendsLeft <= 0 {
		return
	}
	r.resendsLeft--
	o := m.startOrder(r)
	o.Repeated = true
	m.out.Starts = append(m.out.Starts, o)
}

// StopAnswered takes the answer to a stop order. A run that was never
// confirmed cannot begin after it.
func (m *Machine) StopAnswered(id domain.WorkerID, taskID TaskID, number int, answered bool) {
	w, ok := m.workers[id]
	if !ok || !answered {
		return
	}
	if r, ok := w.runs[taskID]; ok && r.number == number && r.phase == runStopping && r.confirmedMS == 0 {
		// The next report shows the run or proves that it never was.
		r.confirmedMS = m.nowMS
	}
}

// WorkerCounts counts workers by what is known of them.
type WorkerCounts struct {
	Known int `json:"known"`
	// Heard were heard of lately enough to get work.
	Heard int `json:"heard"`
	// Draining get no new work.
	Draining int `json:"draining"`
}

// CountWorkers counts the workers.
func (m *Machine) CountWorkers() WorkerCounts {
	counts := WorkerCounts{Known: len(m.workers)}
	for _, w := range m.workers {
		if m.reportedRecently(w) {
			counts.Heard++
		}
		if w.draining {
			counts.Draining++
		}
	}
	return counts
}

func (m *Machine) reportedRecently(w *worker) bool { return m.nowMS-w.lastReportMS < maxReportAgeMS }
