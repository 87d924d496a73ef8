package jobs

import (
	"auburnpier/internal/domain"
)

type taskPhase uint8

const (
	taskWaiting taskPhase = iota
	taskActive
	taskDone
)

type job struct {
	id             domain.JobID
	queue          *Queue
	team           *team
	spec           *Spec
	acceptedUnixMS int64
	// chainMS is the longest chain of estimated work.
	chainMS int64
	// epoch is the owner epoch at acceptance; run numbers grow with later epochs.
	epoch int64
	// recovered jobs may have tasks of a former owner on workers that have not reported.
	recovered bool
	// overRate marks jobs beyond the rate that the team's weight grants.
	overRate bool
	// written is set once a write has taken up the job, durable once the store holds it.
	written    bool
	durable    bool
	state      State
	endedUnix  int64
	occs       map[int]*occurrence
	nextOcc    int
	doneOccs   map[int]bool
	everActive bool
	// shownState is the state that the store holds; callers are told this one.
	shownState State
	dirty      bool
	// version counts the changes, storedVersion is the last one in the store.
	version, storedVersion int
	// endsLost tells that a worker that listed an end of the job is gone before
	// the end was stored.
	endsLost bool
	// writing tells that a write of the job is under way. The next one waits, so
	// that writes of one job never overtake each other.
	writing bool
}

// pendingEnd is an end that may be acknowledged once the job's version is stored.
type pendingEnd struct {
	number  int64
	job     *job
	version int
}

type occurrence struct {
	job    *job
	number int
	// deadlineMS is when callers want it done: its due time, or the job's
	// acceptance, and the objective.
	deadlineMS int64
	steps      []*step
	// open is the number of steps that are not done.
	open int
}

type step struct {
	job    *job
	occ    *occurrence
	number int
	spec   *StepSpec
	tasks  []*task
	// open is the number of tasks that have not succeeded.
	open    int
	waiting int
	ready   bool
	// readyMS is when the step's turn came.
	readyMS int64
	// gangRun is the run number of the current gang.
	gangRun int
	// gangFailedRuns lists the runs of the gang that ended failed.
	gangFailedRuns []int
	// gangBroken tells that a member of the current run has ended.
	gangBroken   bool
	gangPlacedMS int64
	perWorker    map[domain.WorkerID]int

	// verdicts is indexed by the workers' slots and may be shorter. Tickets are
	// kept by slot for the few workers that were approved.
	tickets  map[int]approval
	verdicts []verdict
	asked    bool
	asking   bool
	// wantsMS is since when the step waits for an instance to ask through, zero where it does not.
	wantsMS    int64
	askAgainMS int64
	orderKey   int64
	tier       int64
	// waitReason is why the last pass placed nothing more; waitNoted is the last one logged.
	waitReason, waitNoted string
	// waitedMS is how long the step waited by reason, as of waitCountedMS.
	waitedMS        map[string]int64
	waitCountedMS   int64
	reservation     map[*worker]domain.Resources
	reservedUntilMS int64
	preemptedMS     int64
}

// verdict is what the approval service said of a worker. It never changes.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGood
	verdictBad
)

func (s *step) verdict(w *worker) verdict {
	if w.slot < len(s.verdicts) {
		return s.verdicts[w.slot]
	}
	return verdictNone
}

func (s *step) ticket(w *worker) approval {
	if s.verdict(w) != verdictGood {
		return approval{}
	}
	return s.tickets[w.slot]
}

// dropApprovals frees what approvals said of each worker.
func (s *step) dropApprovals() { s.tickets, s.verdicts = nil, nil }

type approval struct {
	ticket    string
	bornMS    int64
	expiresMS int64
}

type task struct {
	step  *step
	index int
	phase taskPhase
	// failedRuns lists the runs that ended failed. An end is listed by its worker
	// until it is acknowledged, so a later owner may see it again.
	failedRuns []int
	lastRun    int
	// startedRun is the last run that this owner started or took over.
	startedRun int
	// givenUp is the last run that was given up while its worker was silent, and
	// givenUpVersion the version of the job that tells so. The task is started
	// again once that is stored: the run may still prove to have succeeded.
	givenUp, givenUpVersion int
	// formerGivenUp is the last run that a former owner gave up. It may have
	// started the task again, whatever is found of that.
	formerGivenUp int
	checkpoint    string
	runs          []*run
	// notBeforeMS delays a repeat.
	notBeforeMS int64
}

func (t *task) id() TaskID {
	return TaskID{t.step.job.id, t.step.occ.number, t.step.number, t.index}
}

type runPhase uint8

const (
	// runSent runs were ordered and not confirmed.
	runSent runPhase = iota
	runConfirmed
	// runStopping runs were told to stop.
	runStopping
)

type run struct {
	task     *task
	number   int
	worker   *worker
	reserved domain.Resources
	need     domain.Resources
	phase    runPhase
	placedMS int64
	// confirmedMS is when the worker was known to have the run.
	confirmedMS int64
	// startLimit is the worker-clock limit after which the order has no effect.
	startLimit int64
	// listed tells that a report of the worker showed the run.
	listed      bool
	percent     int
	progressMS  int64
	stopSentMS  int64
	reason      string
	resendsLeft int
	// measure is the last tail in ms of a serving task, zero where none was told.
	measure int64
	// pace is the percentage that the worker has confirmed, and paceAsked the one
	// asked for last.
	pace, paceAsked int
	paceAskedMS     int64
	// paceLost tells that a pace order had no answer.
	paceLost bool
	// unanswered tells that an order for the run had no answer, so that only a
	// report of the worker proves whether it took effect.
	unanswered bool
}

type worker struct {
	id domain.WorkerID
	// slot indexes the worker in the slices of steps.
	slot     int
	address  string
	zone     domain.ZoneID
	service  string
	rack     domain.RackID
	labels   []string
	capacity domain.Resources
	bornMS   int64
	draining bool
	// leavesMS is when a draining worker may be gone.
	leavesMS int64
	// emptied tells that the worker's VM is about to go down for maintenance. It
	// gets no new work, and what still runs at emptyByMS is stopped.
	emptied   bool
	emptyByMS int64
	// registered tells that the platform lists the worker.
	registered bool
	// contacted tells that the worker answered under this owner's fence.
	contacted bool
	// strangers is the number of runs in the last report that are not this
	// owner's. Their size may be unknown, so the worker gets no work meanwhile.
	strangers int
	// recorded tells that the store names the worker among those that may have tasks.
	recorded bool
	lastMS   int64
	// clockOffset added to the steady clock gives at most the worker's clock.
	clockOffset int64
	clockKnown  bool
	// unanswered tells that the last look at the worker had no answer.
	unanswered bool
	// deadMS is when everything on the worker has ended if it is not heard of again.
	deadMS int64
	used   domain.Resources
	held   domain.Resources
	runs   map[TaskID]*run
	// lastEnd is the last end taken. Those in pending have effects that are not stored.
	lastEnd int64
	pending []pendingEnd
	// givenUp holds the runs that were given up while the worker was silent, and
	// heldEnd is the first end that must not be acknowledged, zero for none.
	givenUp map[TaskID]int
	heldEnd int64
	health  health
	pacing  pacing
	// slowness is the smoothed ratio of measured to expected run time.
	slowness float64
}

func (w *worker) free() domain.Resources { return w.capacity.Sub(w.used) }

type team struct {
	Team
	used domain.Resources
	// unseen bounds what else the team's tasks may run on workers of the former
	// owner that have not reported.
	unseen domain.Resources
	// demand is what the team's useful waiting steps need, by the priority of their queues.
	demand map[int]demand
	// tokens counts the jobs that the team may hand in at once within its weight.
	tokens   float64
	tokensMS int64
	known    bool
}

// withinLimit reports whether the team may start a task of that size.
func (t *team) withinLimit(need domain.Resources) bool {
	after := t.used.Add(t.unseen).Add(need)
	return within(after.CPUMilli, t.Limit.CPUMilli) && within(after.MemoryMB, t.Limit.MemoryMB) &&
		within(after.Accelerators, t.Limit.Accelerators)
}

// demand is what waiting steps need, and how long their tasks take together.
type demand struct {
	need  domain.Resources
	tasks int
	sumMS int64
}

// shorterFactor is how much longer a step's tasks have to be than more urgent
// ones to leave them room: it then waits little for them, and they much for it.
const shorterFactor = 2

// contestedShare of a limit is what a team's steps may take in any order. Its
// more urgent steps may wait for something else than the limit.
const contestedShare = 0.5

// leavesRoom reports whether the limit has room for the step's need beside what
// the team's more urgent and shorter steps wait for. They may be later in the
// order of the cell, where the team sends more than its weight grants.
func (t *team) leavesRoom(s *step, need domain.Resources) bool {
	if t.used.Add(need).DominantShare(t.Limit) <= contestedShare {
		return true
	}
	for priority, d := range t.demand {
		if priority < s.job.queue.Priority && d.sumMS*shorterFactor <= s.spec.EstimateMS*int64(d.tasks) {
			need = need.Add(d.need)
		}
	}
	return t.withinLimit(need)
}

// fitsAlone reports whether work of that size is within the limit and its
// permitted overshoot while the team runs nothing else.
func (t *team) fitsAlone(need domain.Resources, overshoot float64) bool {
	over := func(value, limit int64) bool { return within(value, limit+int64(float64(limit)*overshoot)) }
	return over(need.CPUMilli, t.Limit.CPUMilli) && over(need.MemoryMB, t.Limit.MemoryMB) &&
		over(need.Accelerators, t.Limit.Accelerators)
}

func within(value, limit int64) bool { return limit <= 0 || value <= limit }

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.labels {
		if l == label {
			return true
		}
	}
	return false
}
