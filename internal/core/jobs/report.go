package jobs

import (
	"fmt"
	"math"
	"slices"

	"auburnpier/internal/domain"
)

// RunReport describes one running task in a worker's report.
type RunReport struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Measure is the tail latency in ms of a serving task, and the CPU use of any other task.
	Measure int64
}

// EndReport is the end of a run. A worker lists it in each report until it is acknowledged.
type EndReport struct {
	Number     int64
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is the response of a worker to a poll.
type WorkerReport struct {
	Worker    domain.WorkerID
	StartedMS int64 `cbor:"BornMS" json:"BornMS"`
	// SentMS and ReceivedMS are the monotonic times of the request and the response.
	SentMS, ReceivedMS int64
	// ClockMS is the worker's clock when it responded.
	ClockMS int64
	// Fenced is set if the worker refuses by now all calls that were sent before this owner learned of its present incarnation.
	Fenced  bool `cbor:"-"`
	Running []RunReport
	Ends    []EndReport
}

// maxListedEnds is how many ends a report lists at most.
const maxListedEnds = 500

// isFull reports whether the report may leave out later ends.
func (r *WorkerReport) isFull() bool { return len(r.Ends) >= maxListedEnds }

// clockDriftPercent bounds how much slower than this clock a worker's clock may run.
const clockDriftPercent = 2

// leaseMarginMS covers rounding and the transit time of a response.
const leaseMarginMS = 150

// LeaseLimit returns the time of the worker's clock to which the next poll may extend the lease of
// the worker's tasks. It returns false until the worker's clock is known, and for an idle worker with a
// withheld end, whose lease has to expire. The caller sends the poll before it calls LeaseLimit again.
func (m *Machine) LeaseLimit(id domain.WorkerID) (int64, bool) {
	w, ok := m.workers[id]
	if !ok || !w.clockKnown || w.withheldEnd > 0 && !w.mayBeWorking() {
		return 0, false
	}
	m.extendLease(w, m.cfg.LeaseMS)
	return m.nowMS + w.clockOffset + m.cfg.LeaseMS, true
}

// mayBeWorking reports whether a run may be under way on the worker.
func (w *worker) mayBeWorking() bool {
	for _, r := range w.runs {
		if !r.endLeftOut {
			return true
		}
	}
	return w.unknownRuns > 0
}

// extendLease moves the time up to which the worker's tasks may still run. The worker's clock may have fallen back
// since it was read.
func (m *Machine) extendLease(w *worker, leaseMS int64) {
	w.leaseExpiryMS = max(w.leaseExpiryMS, m.leaseEnd(w.clockReadMS, m.nowMS-w.clockReadMS+leaseMS))
}

// leaseEnd returns when a lease that begins at the given time has certainly expired.
func (m *Machine) leaseEnd(beginMS, leaseMS int64) int64 {
	return beginMS + leaseMS + leaseMS*clockDriftPercent/100 + leaseMarginMS
}

// allowForFormerLimits allows for orders that an incarnation of the given age carries out although their limits are
// times of the former one's clock. The clock of each incarnation begins anew, so such an order extends the lease
// to the longest that a worker grants.
func (m *Machine) allowForFormerLimits(w *worker, ageMS int64) {
	lastMS := m.nowMS - ageMS + maxFormerLimitsMS + maxOrderDelayMS
	w.leaseExpiryMS = max(w.leaseExpiryMS, m.leaseEnd(min(lastMS, m.nowMS+maxOrderDelayMS), m.cfg.MaxLeaseMS))
}

// FenceConfirmed records that the worker's present incarnation refuses all calls that were sent before this owner
// learned of its restart. One that it carried out until now may have extended the lease to the longest.
func (m *Machine) FenceConfirmed(id domain.WorkerID) {
	if w, ok := m.workers[id]; ok {
		w.leaseExpiryMS = max(w.leaseExpiryMS, m.leaseEnd(m.nowMS, m.cfg.MaxLeaseMS))
	}
}

// maxFormerLimitsMS is how long after the start of an incarnation orders may be sent with limits of the former
// one's clock: a worker gets no new work maxReportAgeMS after its last report, and repeats end maxStartResends
// timeouts of an order later.
const maxFormerLimitsMS = 5000

// maxOrderDelayMS is how long after it was sent an order is expected to extend a lease at the latest. No page bounds it.
const maxOrderDelayMS = 5000

// Report handles a worker's report.
func (m *Machine) Report(r WorkerReport) {
	w, ok := m.workers[r.Worker]
	if !ok {
		return
	}
	if w.startedMS != r.StartedMS {
		m.workerRestarted(w, r)
	}
	w.contacted, w.pollFailed, w.terminated = true, false, false
	if !r.isFull() {
		delete(m.suspects, w.id)
	}
	w.lastReportMS = m.nowMS
	// The response took time to arrive, so this gives a lower bound of the worker's clock.
	w.clockOffset = r.ClockMS - r.ReceivedMS
	w.clockKnown, w.clockReadMS = true, r.ReceivedMS
	w.parkedRuns = nil
	m.beginReport(w, &r)
	m.handleEnds(w, r.Ends)
	m.releaseWithheldEnds(w, r)
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

// handleEnds processes the ends that a worker lists. It stops at the first one of a parked job, which is loaded for it.
func (m *Machine) handleEnds(w *worker, ends []EndReport) {
	w.parkedEnds = nil
	for i, e := range ends {
		if e.Number <= w.lastEndNumber {
			continue
		}
		if j := m.parkedJob(e.Task); j != nil {
			w.parkedEnds = ends[i:]
			m.demandLoad(j)
			return
		}
		w.lastEndNumber = e.Number
		m.withholdEnd(w, e)
		m.handleEnd(w, e)
		// The end may change nothing, such as that of another member of a gang that has already ended. But the earlier change may not be
		// stored yet.
		if j := m.jobs[e.Task.Job]; j != nil && j.version > j.storedVersion {
			w.pendingEnds = append(w.pendingEnds, pendingEnd{e.Number, j, j.version})
		}
	}
}

// PollFailed records that a poll of the worker was not answered.
func (m *Machine) PollFailed(id domain.WorkerID) {
	if w, ok := m.workers[id]; ok {
		w.pollFailed = true
	}
}

// workerRestarted handles the first report of another incarnation of the worker. A start that was accepted
// after the poll was sent may be one of either incarnation; the next report lists the run or proves that it
// was lost.
func (m *Machine) workerRestarted(w *worker, report WorkerReport) {
	if w.startedMS != 0 {
		m.out.recordWorker("worker_reborn", w.id, "")
		m.membersChanged = true
		w.restarted, w.vm = true, ""
		w.knownSinceMS, w.joinedMS = m.nowMS, 0
		// An order that is repeated now would be one to the present incarnation.
		m.out.Starts = slices.DeleteFunc(m.out.Starts, func(o StartOrder) bool { return o.Worker == w.id })
		former := func(r *run) bool { return r.confirmedMS <= report.SentMS }
		m.recordCrash(w, former)
		m.endLostRuns(w, EndWorkerTerminated, "another incarnation has reported under the ID", func(r *run) bool { return former(r) && m.endsWithWorker(r) })
		for _, r := range w.sortedRuns() {
			// The answer to a stop order may be the former incarnation's.
			if former(r) || r.phase == runStopping {
				m.preventLateStart(r)
			}
		}
		m.allowForFormerLimits(w, 0)
	}
	w.formerStartedMS, w.startedMS = w.startedMS, report.StartedMS
	w.lastEndNumber, w.pendingEnds, w.abandonedRuns, w.withheldEnd = 0, nil, nil, 0
	w.parkedRuns, w.parkedEnds = nil, nil
	w.clockKnown = false
	w.health = health{}
	m.forgetSlowness(w)
}

// endsWithWorker reports whether a run has certainly ended with the process of its worker: it began there, and each
// transmission of its start order was answered. One without an answer may be carried out by the next process at any
// time.
func (m *Machine) endsWithWorker(r *run) bool {
	return r.confirmedMS > 0 && !r.startUnanswered
}

// preventLateStart has the present incarnation of the worker refuse the start orders of a run that a former one may
// have had. The clock has restarted, so the time limit of the orders does not do that. The run is kept until the
// incarnation has confirmed the stop order or a fence above that of the orders.
func (m *Machine) preventLateStart(r *run) {
	r.phase, r.confirmedMS, r.reported, r.formerIncarnation = runSent, 0, false, true
	m.stopRun(r, "worker has restarted")
}

func (m *Machine) handleRunning(w *worker, row RunReport) {
	if r, ok := w.runs[row.Task]; ok && r.number == row.Run {
		m.updateRun(r, row)
		return
	}
	if j := m.parkedJob(row.Task); j != nil {
		w.parkedRuns = append(w.parkedRuns, row)
		m.demandLoad(j)
		return
	}
	if m.unreadable[row.Task.Job] {
		// It counts as unknown, so the worker gets no new work beside it.
		return
	}
	t := m.findReportedTask(row.Task)
	if t == nil || t.phase == taskDone || t.step.job.state.Terminal() {
		m.out.Stops = append(m.out.Stops, StopOrder{w.id, w.address, row.Task, row.Run, "no longer needed"})
		return
	}
	if other, ok := w.runs[row.Task]; ok && other.number > row.Run {
		m.out.Stops = append(m.out.Stops, StopOrder{w.id, w.address, row.Task, row.Run, "superseded"})
		return
	}
	m.adopt(w, t, row)
}

// adopt tracks a run that a former owner started, or one of this owner whose start order took
// effect late.
func (m *Machine) adopt(w *worker, t *task, row RunReport) {
	r := m.place(t, w, row.Run)
	r.phase, r.reported, r.adopted = runConfirmed, true, true
	r.confirmedMS, r.progressMS = m.nowMS, m.nowMS
	r.throttle = throttleUnknown
	if row.Run > m.firstRunNumber(t.step.job) {
		// Of this owner's orders any may be without an answer. Workers refuse those of former owners by their fence.
		r.startUnanswered, r.startLimitClockMS = true, math.MaxInt64
	}
	m.updateRun(r, row)
	m.out.recordRun("run_adopted", r, "")
	s := t.step
	switch {
	case s.spec.Gang && row.Run < s.gangRun:
		m.stopRun(r, "run of an earlier gang start")
	case s.spec.Gang:
		s.gangRun = row.Run
	case len(t.runs) > 1 && !s.spec.CopiesAllowed:
		m.stopRun(r, "duplicate run")
	}
}

func (m *Machine) updateRun(r *run, row RunReport) {
	if r.phase == runSent {
		r.phase = runConfirmed
		r.confirmedMS = m.nowMS
	}
	r.formerIncarnation = false
	if r.firstReportMS == 0 {
		r.firstPercent, r.firstReportMS = row.Percent, m.nowMS
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
		m.timeProgress(r)
	}
	m.markStarted(r.task.step.job)
	m.observeProgress(r, row)
	m.observePace(r, row)
}

func (s *step) setCheckpoint(value string) {
	s.checkpoint = value
	for _, t := range s.active {
		t.checkpoint = value
	}
}

// endMissingRuns ends runs that the report would list if the worker had them. The end of a run may be among those
// that a full report leaves out.
func (m *Machine) endMissingRuns(w *worker, report WorkerReport, seen map[TaskID]int) {
	if report.isFull() {
		for id, r := range w.runs {
			number, ok := seen[id]
			r.endLeftOut = r.confirmedMS > 0 && report.SentMS > r.confirmedMS && !(ok && number == r.number)
		}
		return
	}
	var missing, late []*run
	for id, r := range w.runs {
		if number, ok := seen[id]; ok && number == r.number {
			continue
		}
		if r.formerIncarnation && report.Fenced {
			missing = append(missing, r)
			continue
		}
		if r.confirmedMS == 0 {
			// The start order may take effect until its limit, even if a stop order followed it.
			if report.ClockMS > r.startLimitClockMS && report.SentMS >= r.placedMS {
				missing = append(missing, r)
			}
			continue
		}
		if report.SentMS <= r.confirmedMS || m.endListed(report, r) {
			continue
		}
		if r.phase != runStopping && r.startUnanswered {
			// A former incarnation had the run, and an order of it without an answer may reach the present one.
			late = append(late, r)
			continue
		}
		missing = append(missing, r)
	}
	for _, r := range late {
		m.preventLateStart(r)
	}
	for _, r := range missing {
		m.giveUpRun(r, EndLeaseExpired, "a report does not list it")
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
	if s == nil || id.Index < 0 || id.Index >= s.spec.Tasks {
		return nil
	}
	return m.task(s, id.Index)
}

// findReportedTask returns the task that a worker names. A former owner may have begun occurrences of a recurring job of which
// the store holds nothing: while the store was down, beyond those that this owner has open, or by a clock that is ahead
// of this one's. Such an occurrence is opened, so that no run or end of it is taken as not needed.
func (m *Machine) findReportedTask(id TaskID) *task {
	if j := m.jobs[id.Job]; j != nil && j.lacksOccurrence(id) {
		m.openOccurrence(j, id.Occurrence)
		m.out.recordJob("occurrence_found", j, fmt.Sprintf("occurrence %d, %d open", id.Occurrence, len(j.occurrences)))
	}
	return m.findTask(id)
}

// lacksOccurrence reports whether the task is one of an occurrence that is neither open nor done.
func (j *job) lacksOccurrence(id TaskID) bool {
	if j.state.Terminal() || !j.spec.Recurring() || id.Occurrence < 0 || id.Occurrence >= j.spec.Occurrences {
		return false
	}
	if j.occurrences[id.Occurrence] != nil || j.doneOccurrences[id.Occurrence] {
		return false
	}
	return id.Step >= 0 && id.Step < len(j.spec.Steps) && id.Index >= 0 && id.Index < j.spec.Steps[id.Step].Tasks
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

// withholdEnd prevents the acknowledgment of an end whose job can't be read, and of a success if the task was started
// again in the meantime. A worker that did not respond until its lease expired may later list a run that
// succeeded before. Acknowledging it would count the task as done twice, although the second start
// was correct given what was known.
func (m *Machine) withholdEnd(w *worker, e EndReport) {
	number, abandoned := w.abandonedRuns[e.Task]
	abandoned = abandoned && number == e.Run
	if abandoned {
		delete(w.abandonedRuns, e.Task)
	}
	if w.withheldEnd > 0 {
		return
	}
	if m.unreadable[e.Task.Job] {
		m.holdEnd(w, e, "its job can't be read from the store")
		return
	}
	if e.Kind != EndSucceeded {
		return
	}
	t := m.findReportedTask(e.Task)
	if t == nil && !abandoned || t != nil && !t.restartedAfter(e.Run) {
		return
	}
	m.holdEnd(w, e, "the task was started again while the worker did not respond")
}

func (m *Machine) holdEnd(w *worker, e EndReport, why string) {
	w.withheldEnd = e.Number
	m.out.Decisions = append(m.out.Decisions, Decision{Kind: "end_held", Worker: w.id, Task: e.Task, Run: e.Run, Detail: why})
}

// restartedAfter reports whether a run of the task after the given one was, or may have been,
// started, for a task of which only one run may succeed.
func (t *task) restartedAfter(number int) bool {
	return !t.step.spec.CopiesAllowed && !t.step.spec.LongRunning && (t.startedRun > number || t.formerAbandonedRun >= number)
}

// HasWithheldEnds reports whether the worker lists a run end that must not be acknowledged.
func (m *Machine) HasWithheldEnds(id domain.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && w.withheldEnd > 0
}

// releaseWithheldEnds lets the worker's ends be acknowledged again once its lease has expired since: the
// platform does not count a success as done if the lease expired before its acknowledgment. A run can only
// succeed under a lease, so all ends that are listed after the expiry came before it.
func (m *Machine) releaseWithheldEnds(w *worker, r WorkerReport) {
	if w.withheldEnd > 0 && r.SentMS >= w.leaseExpiryMS {
		m.out.recordWorker("ends_released", w.id, "")
		w.withheldEnd = 0
	}
}

// maxEndsAfterWithheld bounds the run ends that a worker has to list after a withheld one. A report
// lists at most maxListedEnds, so a worker beyond the bound gets no more work until its lease has expired.
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
	t.raiseLastRun(e.Run)
	m.applyEnd(t, e.Run, e.Kind, e.Checkpoint, w)
}

// endRun releases the resources of a run and applies its end.
func (m *Machine) endRun(r *run, kind EndKind, checkpoint string) {
	t, w := r.task, r.worker
	if kind == EndSucceeded {
		m.observeEnd(r)
	}
	m.paceEnds(r, kind)
	m.release(r)
	if kind == EndSucceeded || kind == EndFailed {
		m.markStarted(t.step.job)
		m.recordRunResult(r, kind)
	}
	m.out.recordRun("run_ended", r, kind.String())
	m.applyEnd(t, r.number, kind, checkpoint, w)
}

func (m *Machine) release(r *run) {
	t, w := r.task, r.worker
	delete(w.runs, t.id())
	w.endIsolation(r)
	m.runDeparts(r)
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
	m.compactTask(t)
	m.needsPass = true
}

// applyEnd updates the task's progress. The run has been released before.
func (m *Machine) applyEnd(t *task, number int, kind EndKind, checkpoint string, w *worker) {
	s := t.step
	j := s.job
	// A worker of a former owner may list an end after a later run has saved more.
	if checkpoint != "" && t.phase != taskDone && (t.checkpoint == "" || number >= t.startedRun) {
		if t.checkpoint != checkpoint && storesCheckpoint(checkpoint) && !j.state.Terminal() {
			// The worker forgets the end once it is acknowledged, so the checkpoint is stored before.
			m.markChanged(j)
		}
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
	case kind == EndSucceeded && !s.spec.LongRunning:
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
		// The members of a gang finish together, so one success counts for all.
		for index := range s.spec.Tasks {
			m.finishTask(m.task(s, index))
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
	t.setCrashes(nil)
	t.phase = taskDone
	s.open--
	if s.open == 0 {
		m.settleEstimate(s)
		m.compareTimings(s)
		s.occurrence.open--
		m.removeReady(s)
		s.dropApprovals()
	}
	m.compactTask(t)
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
	m.recordLateness(o)
	if !j.spec.Recurring() {
		m.endJob(j, Completed)
		return
	}
	j.doneOccurrences[o.number] = true
	m.freeTasks(o)
	delete(j.occurrences, o.number)
	if len(j.doneOccurrences) >= j.spec.Occurrences {
		m.endJob(j, Completed)
	}
}

func (m *Machine) recordFailure(t *task, number int) {
	s := t.step
	if s.spec.LongRunning {
		t.notBeforeMS = m.nowMS + longRunningRestartMS
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
	s.hasFailed = true
	m.markChanged(s.job)
	if s.job.queue.MaxAttempts > 0 && len(*failed) >= s.job.queue.MaxAttempts {
		m.endJob(s.job, Failed)
	}
}

// longRunningRestartMS delays the restart of a failed long-running task, so that one that fails
// immediately does not use up the start orders.
const longRunningRestartMS = 200

// stopJob stops all runs of an ended job. Any runs of a completed job have already ended on their
// workers or been stopped.
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

// stopRun sends a stop order for a run. Its resources stay reserved until the worker reports its
// end.
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

// stopAnswerTimeoutMS is how long the response to a stop order may take before it is sent again.
const stopAnswerTimeoutMS = 300

// StartAnswered handles the response to a start order.
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
			m.markStarted(r.task.step.job)
		}
		if r.task.step.spec.BestEffort {
			m.updateThrottling(w)
			m.throttleRuns(w)
		}
		return
	case StartUnanswered:
		r.startUnanswered = true
		if w.terminated {
			m.recordCrash(w, anyRun)
		}
		m.repeatStart(r)
		return
	case StartNotDelivered:
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
		// An earlier transmission of the same order may have taken effect.
		return
	}
	m.release(r)
	if !r.task.step.job.state.Terminal() {
		m.markReady(r.task.step.occurrence)
	}
}

// How long a worker that refused a start order gets no other.
const (
	noRoomAvoidanceMS    = 400
	unhealthyAvoidanceMS = 1000
)

// repeatStart sends an unanswered start order again, up to maxStartResends times.
func (m *Machine) repeatStart(r *run) {
	if r.phase != runSent || r.resendsLeft <= 0 {
		return
	}
	r.resendsLeft--
	r.orderedMS = m.nowMS
	o := m.startOrder(r)
	o.Repeated = true
	m.out.Starts = append(m.out.Starts, o)
}

// StopAnswered handles the response to a stop order. After it a run that was never confirmed
// cannot start any more.
func (m *Machine) StopAnswered(id domain.WorkerID, taskID TaskID, number int, answered bool) {
	w, ok := m.workers[id]
	if !ok || !answered {
		return
	}
	if r, ok := w.runs[taskID]; ok && r.number == number && r.phase == runStopping && r.confirmedMS == 0 {
		// The next report lists the run or proves that it never started.
		r.confirmedMS = m.nowMS
	}
}

// WorkerCounts holds the numbers of workers by their state.
type WorkerCounts struct {
	Known int `json:"known"`
	// Responsive counts those whose last report is recent enough to get work.
	Responsive int `json:"heard"`
	// Draining counts those that get no new work because they will terminate.
	Draining int `json:"draining"`
}

// CountWorkers counts the workers.
func (m *Machine) CountWorkers() WorkerCounts {
	counts := WorkerCounts{Known: len(m.workers)}
	for _, w := range m.workers {
		if m.reportedRecently(w) {
			counts.Responsive++
		}
		if w.draining {
			counts.Draining++
		}
	}
	return counts
}

func (m *Machine) reportedRecently(w *worker) bool { return m.nowMS-w.lastReportMS < maxReportAgeMS }
