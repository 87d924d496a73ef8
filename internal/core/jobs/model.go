package jobs

import (
	neighbours "auburnpier/internal/core/interference"
	"auburnpier/internal/core/runtimes"
	slowdowns "auburnpier/internal/core/slowdown"
	"auburnpier/internal/core/waves"
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
	// criticalPathMS is the estimated duration of the longest chain of dependent steps.
	criticalPathMS int64
	// epoch is the owner epoch at acceptance. Later epochs use higher run numbers.
	epoch int64
	// recovered is set for jobs loaded from the store: a former owner may have started their
	// tasks on workers that have not reported yet.
	recovered bool
	// overRate is set for jobs submitted above the rate that the team's weight permits.
	overRate bool
	// maybeStored is set once a write that includes the job may have taken effect, durable once
	// the store is known to hold the job.
	maybeStored     bool
	durable         bool
	state           State
	endedUnixMS     int64
	occurrences     map[int]*occurrence
	nextOccurrence  int
	doneOccurrences map[int]bool
	// storedOccurrences is the number of done occurrences that the store holds.
	storedOccurrences int
	started           bool
	// storedState is the state that the store holds, and the one that callers see.
	storedState State
	unwritten   bool
	// size is what the job takes of the owner's memory while it is open. kept is set while what is left of an ended one counts.
	size size
	kept bool
	// parking is set while only the state of the job is held.
	parking *parking
	// version counts the changes of the job. storedVersion is the latest one in the store.
	version, storedVersion int
	// writeInFlight delays the next write of the job, so that writes of one job are never
	// reordered.
	writeInFlight bool
}

// pendingEnd is a run end that may be acknowledged once the job's version is stored.
type pendingEnd struct {
	number  int64
	job     *job
	version int
}

type occurrence struct {
	job    *job
	number int
	// startMS is the due time, or the job's acceptance, and deadlineMS that plus the objective.
	startMS, deadlineMS int64
	// criticalPathMS is that of the job, corrected by what the tasks of this occurrence have shown.
	criticalPathMS int64
	steps          []*step
	// open is the number of steps that are not done.
	open int
}

type step struct {
	job        *job
	occurrence *occurrence
	number     int
	spec       *StepSpec
	// A pass reads the fields up to waitReason of each waiting step. They are beside each other because no cache holds all steps.
	waiting         int
	ready           bool
	approvalPending bool
	// lastAttempt is set while one more failure would fail the job.
	lastAttempt bool
	// early is set while the occurrence is open before it is due.
	early bool
	// hasFailed is set once a run of the step has failed.
	hasFailed bool
	// ordered is set once a pass has put the step in order while it waits, by orderKey.
	ordered  bool
	orderKey orderKey
	rank     int64
	tier     int64
	// class is whether the step comes after those of teams within their share.
	class orderClass
	// estimateMS is the typical duration of a task: the caller's estimate unless durations are learned. expected is what is expected of the
	// tasks if durations are learned. They are computed anew from estimateDueMS on.
	estimateMS, estimateDueMS int64
	expected                  runtimes.Expectation
	// departureKind is the number of the step in the plan of departures with the number departurePlan.
	departurePlan int64
	departureKind int
	// lateMargin is the share of the job's slack that has to be left for the step not to count as late.
	lateMargin float64
	// restMS is the expected duration of the longest chain of steps after this one.
	restMS int64
	// approverWaitSinceMS is since when the step has waited for an instance that can send its
	// approval request, or zero.
	approverWaitSinceMS int64
	hold                map[*worker]domain.Resources
	// verdicts is indexed by worker slot and may be shorter than the number of slots. tickets
	// holds the approvals, by slot, of the few workers that were approved.
	tickets  map[int]approval
	verdicts []verdict
	// waitReason is why the last pass left tasks unplaced. loggedWaitReason is the last reason
	// logged.
	waitReason, loggedWaitReason string

	tasks
	// open is the number of tasks that have not succeeded.
	open int
	// shown is what the tasks that have ended have shown of their durations.
	shown runtimes.Shown
	// timings are the durations of tasks that are not compared with each other yet.
	timings []timing
	// readyMS is when the steps that this one depends on had succeeded.
	readyMS int64
	// gangRun is the run number of the current gang.
	gangRun int
	// gangFailedRuns lists the runs of the gang that failed.
	gangFailedRuns []int
	// gangMemberEnded is set once a member of the current run has ended.
	gangMemberEnded bool
	gangPlacedMS    int64
	// failedOn are workers on which runs of the step have failed since one has succeeded, as many as prove that the step is the cause.
	failedOn []domain.WorkerID
	// stallDoublings is how often the time without progress after which a run is stalled has been doubled.
	stallDoublings int
	// trial is the task that is tried on another worker because none of the step makes progress, trialMS when it was stopped.
	trial   *task
	trialMS int64
	// isolatedTasks is the number of tasks that run apart because workers terminated under them.
	isolatedTasks  int
	tasksPerWorker map[domain.WorkerID]int

	approvalAnswered bool
	// expiredTurnMS is when the step last had its turn among expired ones.
	expiredTurnMS int64
	// approvalMS is the expected duration of the approval requests for the tasks that wait.
	approvalMS      float64
	nextApprovalMS  int64
	nextDiscoveryMS int64
	// waitMSByReason is how long the step has waited, by reason, up to waitsCountedMS.
	waitMSByReason   map[string]int64
	waitsCountedMS   int64
	holdUntilMS      int64
	lastPreemptionMS int64
	// image is set once a task was placed, imageID is its number in the generation. speeds is nil until a run was observed.
	image           neighbours.Image
	imageID         uint16
	imageGeneration int
	speeds          *stepSpeeds
	// paceKey numbers the step for the detection of slow workers. It is zero until a run was observed.
	paceKey slowdowns.StepKey
}

// verdict is the decision of the approval service on a worker for a step. Once given it never
// changes.
type verdict uint8

const (
	verdictUnknown verdict = iota
	verdictApproved
	verdictDenied
)

func (s *step) verdict(w *worker) verdict {
	if w.slot < len(s.verdicts) {
		return s.verdicts[w.slot]
	}
	return verdictUnknown
}

func (s *step) ticket(w *worker) approval {
	if s.verdict(w) != verdictApproved {
		return approval{}
	}
	return s.tickets[w.slot]
}

// dropApprovals frees the memory of verdicts and tickets.
func (s *step) dropApprovals() { s.tickets, s.verdicts = nil, nil }

type approval struct {
	ticket          string
	workerStartedMS int64
	expiresMS       int64
}

type task struct {
	step  *step
	index int
	phase taskPhase
	// failedRuns lists the runs that failed. A worker lists an end until it is acknowledged, so
	// a later owner may see the same failure again and must not count it twice.
	failedRuns []int
	// crashedRuns lists the runs under which the worker's process terminated. setCrashes changes it.
	crashedRuns []int
	lastRun     int
	// startedRun is the last run that this owner started or adopted.
	startedRun int
	// abandonedRun is the last run that was abandoned because its worker did not respond, and
	// abandonedVersion the job version that records it. The task is started again only once that
	// version is stored, because the abandoned run may turn out to have succeeded.
	abandonedRun, abandonedVersion int
	// formerAbandonedRun is the last run that a former owner abandoned. That owner may have
	// started the task again, even if no trace of the new run is found.
	formerAbandonedRun int
	checkpoint         string
	runs               []*run
	// stalled is set once a run was stopped for lack of progress.
	stalled bool
	// departed is set once a run was stopped early because its worker was about to end, or slow.
	departed bool
	// notBeforeMS delays the next run.
	notBeforeMS int64
}

func (t *task) id() TaskID {
	return TaskID{t.step.job.id, t.step.occurrence.number, t.step.number, t.index}
}

type runPhase uint8

const (
	// runSent means that the start order was sent and is not confirmed.
	runSent runPhase = iota
	runConfirmed
	// runStopping means that a stop order was sent.
	runStopping
)

type run struct {
	task     *task
	number   int
	worker   *worker
	reserved domain.Resources
	need     domain.Resources
	phase    runPhase
	// isolated is set while the worker takes no other step because of the run.
	isolated bool
	placedMS int64
	// orderedMS is when the start order was last sent.
	orderedMS int64
	// confirmedMS is when the worker first confirmed the run.
	confirmedMS int64
	// startLimitClockMS is the time of the worker's clock after which the start order has no
	// effect.
	startLimitClockMS int64
	// timed is set once the duration of the run is among the timings of its step.
	timed bool
	// adopted is set for a run that had begun before this owner learned of it.
	adopted bool
	// slowed is set if the run's worker was suspected of being slow while it ran, so that its duration tells nothing.
	slowed bool
	// reported is set once a report of the worker has listed the run, and endLeftOut if the last report was full
	// and the run's end is among those that it left out.
	reported   bool
	endLeftOut bool
	percent    int
	progressMS int64
	// firstPercent and firstReportMS are of the first report that lists the run here.
	firstPercent  int
	firstReportMS int64
	stopSentMS    int64
	reason        string
	resendsLeft   int
	// measure is the last reported tail latency in ms of a serving task, zero if unknown.
	measure int64
	// throttle is the percentage of full speed that the worker has confirmed, and
	// requestedThrottle the last one requested.
	throttle, requestedThrottle int
	throttleRequestedMS         int64
	// throttleUncertain is set once a throttle order was not answered.
	throttleUncertain bool
	// startUnanswered is set once a start order for the run was not answered. Only a report of
	// the worker then proves whether the order took effect.
	startUnanswered bool
	// formerIncarnation is set once the worker has restarted since the last start order of the run was sent.
	formerIncarnation bool
	// window is the window in which the speed of the run is measured, nil if there is none.
	window *speedWindow
	pace   pace
}

type worker struct {
	id domain.WorkerID
	// slot is the worker's index in the per-worker slices of steps.
	slot int
	// A scan reads the fields up to speedLevel of each worker. They are beside each other because the nearest cache does not hold all workers.
	labels []string
	// isolatedStep is the step whose isolated runs the worker is reserved for, or nil.
	isolatedStep *step
	// startedMS is the start of the incarnation that reported last, formerStartedMS that of the one before.
	startedMS, formerStartedMS int64
	capacity, used, heldInPass domain.Resources
	// heldForGangs is what all gangs held here when the pass began.
	heldForGangs domain.Resources
	health       health
	// slowness is the smoothed ratio of measured to expected run time.
	slowness float64
	// speed is how many times faster than the mean worker this one is, and speedLevel that in steps of speedLevelRatio. They are 1 and 0
	// unless speeds are learned.
	speed      float64
	speedLevel int
	address    string
	zone       domain.ZoneID
	service    string
	rack       domain.RackID
	draining   bool
	// drainDeadlineMS is when a draining worker may terminate.
	drainDeadlineMS int64
	// evacuating is set while the worker's VM is about to go down for maintenance. The worker
	// gets no new work, and tasks that still run at evacuateByMS are stopped.
	evacuating   bool
	evacuateByMS int64
	// registered is set while the platform's registry lists the worker.
	registered bool
	// registeredStartMS is the start of the incarnation that the registry listed last.
	registeredStartMS int64
	// storedStartMS is the start that a former owner has stored, or zero.
	storedStartMS int64
	// knownSinceMS is when this owner learned of the worker's incarnation. joinedMS is the same if the ID was new
	// then, after the first list of the registry, and zero for any other worker.
	knownSinceMS, joinedMS int64
	// contacted is set once the worker has reported under this owner's epoch.
	contacted bool
	// unknownRuns is the number of runs in the last report that this owner does not track. Their
	// resource usage may be unknown, so the worker gets no new work until they have ended.
	unknownRuns int
	// inStoredMembers is set once the stored list of workers that may have tasks includes this
	// one. leftOut is set while the list leaves it out because it cannot have any.
	inStoredMembers, leftOut bool
	// vm is the VM on which a list has named the worker, or empty. It stays empty once restarted is set, which
	// tells that the worker was restarted under its ID: a list does not tell its incarnations apart.
	vm        waves.VMID
	restarted bool
	// listsWithout counts the consecutive lists of VMs that prove that the worker has terminated.
	listsWithout int
	// terminated is set while the worker's process is known to have terminated.
	terminated   bool
	lastReportMS int64
	// clockOffset added to the monotonic clock gives a lower bound of the worker's clock.
	clockOffset int64
	clockKnown  bool
	// clockReadMS is when the report that clockOffset is from arrived.
	clockReadMS int64
	// pollFailed is set while the last poll of the worker was not answered.
	pollFailed bool
	// leaseExpiryMS is when every task on the worker has ended unless it reports again.
	leaseExpiryMS int64
	runs          map[TaskID]*run
	// lastEndNumber is the last run end processed. pendingEnds lists those whose effects are
	// not stored yet.
	lastEndNumber int64
	pendingEnds   []pendingEnd
	// abandonedRuns holds the runs that were abandoned while the worker did not respond.
	// withheldEnd is the first run end that must not be acknowledged, or zero.
	abandonedRuns map[TaskID]int
	withheldEnd   int64
	// aliveSinceMS is since when the worker's process is known to be up, and lastPlacedMS when a run was
	// last placed on it.
	aliveSinceMS, lastPlacedMS int64
	// parkedRuns are the runs of parked jobs in the last report, parkedEnds its ends from the first one of a parked job on.
	parkedRuns   []RunReport
	parkedEnds   []EndReport
	isolatedRuns int
	throttling   throttling
	timing       reportTiming
	// slow is nil unless the worker is suspected of being slow. slowSinceMS is when it became slow, if it has
	// not been fast since, slowUntilMS when the last suspicion ended.
	slow                     *suspicion
	slowSinceMS, slowUntilMS int64
	// neighbourhood is nil until a run was placed or a report observed.
	neighbourhood *neighbourhood
}

func (w *worker) free() domain.Resources { return w.capacity.Sub(w.used) }

type team struct {
	Team
	used domain.Resources
	// maxUnreported is an upper bound of the resources that the team's tasks may use on workers
	// of the former owner that have not reported.
	maxUnreported domain.Resources
	// demand is what the team's waiting steps need, by queue priority. Steps whose results
	// would come too late to be of use are not included.
	demand map[int]demand
	// summing is the demand of one priority while it is summed up. Steps come in the order of their priority, mostly.
	summing struct {
		demand
		priority int
	}
	// tokens is the token bucket that limits the team's submission rate by its weight.
	tokens     float64
	tokensMS   int64
	configured bool
	// openBytes is the memory that the team's open jobs take in any version that may own the cell, endedBytes that of its ended ones.
	openBytes, endedBytes int64
	// parked is the number of parked jobs, demanded the number of those of which a worker has listed a run.
	parked, demanded int
	sharing
}

// withinLimit reports whether the team may start a task of that size within its limit.
func (t *team) withinLimit(need domain.Resources) bool {
	after := t.used.Add(t.maxUnreported).Add(need)
	return withinBound(after.CPUMilli, t.Limit.CPUMilli) && withinBound(after.MemoryMB, t.Limit.MemoryMB) &&
		withinBound(after.Accelerators, t.Limit.Accelerators)
}

// demand is the resources, number and total estimated duration of waiting tasks.
type demand struct {
	need  domain.Resources
	tasks int
	sumMS int64
}

// addSummed adds the demand that is being summed up to that of its priority.
func (t *team) addSummed() {
	s := &t.summing
	if s.tasks > 0 {
		d := t.demand[s.priority]
		t.demand[s.priority] = demand{d.need.Add(s.need), d.tasks + s.tasks, d.sumMS + s.sumMS}
	}
	s.demand = demand{}
}

// minDurationRatio is how many times longer a step's tasks have to be than those of more
// urgent steps before it yields to them. Waiting then costs the longer step little, while the
// shorter ones would wait long for it.
const minDurationRatio = 2

// unorderedLimitShare is the share of a team's limit that its steps may use in any order. Its
// more urgent steps may be waiting for something other than the limit.
const unorderedLimitShare = 0.5

// leavesRoomForUrgent reports whether the team's limit permits the step's need in addition to
// what the team's more urgent and shorter steps wait for. Those may come later in the order of
// the cell if the team submits more than its weight permits.
func (t *team) leavesRoomForUrgent(s *step, need domain.Resources) bool {
	if t.used.Add(need).DominantShare(t.Limit) <= unorderedLimitShare {
		return true
	}
	for priority, d := range t.demand {
		if priority < s.job.queue.Priority && d.sumMS*minDurationRatio <= s.estimateMS*int64(d.tasks) {
			need = need.Add(d.need)
		}
	}
	return t.withinLimit(need)
}

// fitsLimitAlone reports whether work of that size is within the limit and its permitted
// overshoot while the team runs nothing else.
func (t *team) fitsLimitAlone(need domain.Resources, overshoot float64) bool {
	over := func(value, limit int64) bool { return withinBound(value, limit+int64(float64(limit)*overshoot)) }
	return over(need.CPUMilli, t.Limit.CPUMilli) && over(need.MemoryMB, t.Limit.MemoryMB) &&
		over(need.Accelerators, t.Limit.Accelerators)
}

func withinBound(value, limit int64) bool { return limit <= 0 || value <= limit }

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
