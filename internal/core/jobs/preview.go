package jobs

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"auburnpier/internal/domain"
)

// Bounds of the work and the size of a preview. The owner's loop makes it between two passes.
const (
	// maxPreviewLooks bounds the workers that a preview looks at, one as often as it is looked at. At 1,500 workers a preview takes about
	// a millisecond.
	maxPreviewLooks = 16_000
	// maxPreviewOrder bounds the waiting steps with which a step is compared.
	maxPreviewOrder = 8000
	// runsPerLook is the number of runs that take as long to look at as a worker.
	runsPerLook = 4
	// maxPreviewTasks bounds the tasks of a step that are placed one after the other.
	maxPreviewTasks = 32
	// maxPreviewWorkers bounds the workers that are named for a step.
	maxPreviewWorkers = 8
	// maxPreviewDetail bounds the bytes of the detail of a refusal.
	maxPreviewDetail = 300
	// maxPreviewRecompute is the number of waiting steps up to which an outdated load is computed again. With more, the one of the last
	// submission is used: each submission computes it again.
	maxPreviewRecompute = 3000
)

// previewJobID sorts after all IDs of jobs, so that steps of the same deadline count as earlier.
const previewJobID = domain.JobID("~preview")

// Preview tells where a job would go if it were submitted now. Durations are milliseconds. What is expected may turn out otherwise.
type Preview struct {
	Queue domain.QueueID `json:"queue"`
	Team  domain.TeamID  `json:"team"`
	// Refusal is why the job would be refused, or nil. The steps are described as if it were accepted.
	Refusal *PreviewRefusal `json:"refusal,omitempty"`
	// OverRate is set if the job would come after those of teams within their weight.
	OverRate       bool  `json:"over_rate,omitempty"`
	ObjectiveMS    int64 `json:"objective_ms"`
	CriticalPathMS int64 `json:"critical_path_ms"`
	// DueInMS is the time until the first occurrence of a recurring job. Its steps are described as if it were due now.
	DueInMS int64 `json:"due_in_ms,omitempty"`
	// ServiceWorkers is the number of workers of the queue's service that the owner knows.
	ServiceWorkers int              `json:"service_workers"`
	TeamUsed       domain.Resources `json:"team_used"`
	TeamLimit      domain.Resources `json:"team_limit"`
	Steps          []PreviewStep    `json:"steps"`
	// Share is the team's use compared with its share. It is nil while the scheduler does not order teams by their share.
	Share *PreviewShare `json:"share,omitempty"`
}

// PreviewRefusal is why a job, or one of its steps, would be refused.
type PreviewRefusal struct {
	Reason       string `json:"reason"`
	Detail       string `json:"detail,omitempty"`
	Remedy       string `json:"remedy"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// PreviewShare compares a team's use with its share.
type PreviewShare struct {
	// Excess is 0 at or below the share and 1 at twice the share.
	Excess float64 `json:"excess"`
}

// Outcomes of a step in a preview.
const (
	// PreviewStarts means that a pass would start tasks of the step now.
	PreviewStarts = "starts"
	// PreviewAsks means that a pass would ask for the approval of workers with room now.
	PreviewAsks = "asks_approval"
	// PreviewWaits means that no task would start now, for the given reason.
	PreviewWaits = "waits"
	// PreviewAfter means that the step starts after others of its job.
	PreviewAfter = "after_steps"
	// PreviewRefused means that the job would be refused because of the step.
	PreviewRefused = "refused"
	// PreviewNotExamined means that earlier steps have used up the work that a preview may take.
	PreviewNotExamined = "not_examined"
)

// PreviewStep describes one step of a previewed job.
type PreviewStep struct {
	Step    int    `json:"step"`
	Tasks   int    `json:"tasks"`
	Outcome string `json:"outcome"`
	// Reason is why tasks of the step would wait, in the words of StepView.
	Reason  string          `json:"reason,omitempty"`
	Refusal *PreviewRefusal `json:"refusal,omitempty"`
	// WaitsFor lists the steps that this one starts after.
	WaitsFor []int         `json:"waits_for,omitempty"`
	Order    *PreviewOrder `json:"order,omitempty"`
	// EstimateMS is the caller's estimate of a task's duration, ExpectedMS what the owner expects.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	ExpectedMS int64 `json:"expected_ms"`
	// StartInMS is when the first tasks are expected to start, and EndInMS when the last ones end. They are nil if that is not known.
	StartInMS *int64 `json:"start_in_ms,omitempty"`
	EndInMS   *int64 `json:"end_in_ms,omitempty"`
	// LimitWaitMS and RoomWaitMS are the expected waits for the team's limit and for room, zero if there is none or it is not known.
	LimitWaitMS int64            `json:"limit_wait_ms,omitempty"`
	RoomWaitMS  int64            `json:"room_wait_ms,omitempty"`
	Approval    *PreviewApproval `json:"approval,omitempty"`
	// RoomNow is the number of tasks for which there is room now. A gang starts only if that is all of them.
	RoomNow int `json:"room_now"`
	// Preempts is set if the gang would stop checkpointable tasks of a lower priority.
	Preempts bool `json:"preempts,omitempty"`
	// Workers are some of the workers that would take tasks now, in the order in which they are chosen. WorkersNow is the number of those
	// that were chosen.
	Workers    []PreviewWorker `json:"workers,omitempty"`
	WorkersNow int             `json:"workers_now"`
	// Eligible is the number of workers that could take a task now, and Excluded tells why the others cannot.
	Eligible int                `json:"eligible_workers"`
	Excluded []PreviewExclusion `json:"excluded_workers,omitempty"`
	// Learned is what earlier tasks tell of the duration. It is nil while the scheduler does not learn durations.
	Learned *PreviewDuration `json:"learned_duration,omitempty"`
	// SlowWorkers are suspected workers that have room and are not chosen because of that. It is empty while slow workers are not detected.
	SlowWorkers []SlowWorkerView `json:"slow_workers,omitempty"`
	// Neighbours are the images that slow the step down or that it slows down. It is empty while the scheduler does not keep such apart.
	Neighbours []PreviewNeighbour `json:"neighbours,omitempty"`
}

// PreviewOrder is the place of a step in the order of the waiting steps.
type PreviewOrder struct {
	Tier     string `json:"tier"`
	Priority int    `json:"priority"`
	Rank     string `json:"rank"`
	// OverShare is set if the step comes after those of teams within their share.
	OverShare bool `json:"over_share,omitempty"`
	// ObjectiveMS is the time until the objective of the job.
	ObjectiveMS int64 `json:"objective_in_ms"`
	// StepsAhead is the number of waiting steps that come before, TeamStepsAhead how many of them are the team's, and TasksAhead their tasks.
	StepsAhead     int `json:"steps_ahead"`
	TeamStepsAhead int `json:"team_steps_ahead"`
	TasksAhead     int `json:"tasks_ahead"`
	// Waiting is the number of all waiting steps. If it is so large that not all of them were compared, AtLeast is set: more may come before.
	Waiting int  `json:"waiting_steps"`
	AtLeast bool `json:"at_least,omitempty"`

	approvalsAhead int
	teamBlocked    bool
}

// PreviewApproval is what is expected of the approval service. No request is sent.
type PreviewApproval struct {
	// Probability is the expected fraction of workers that are approved.
	Probability float64 `json:"probability"`
	// Named is the number of workers that the first request would name, and RequestMS how long the service takes for it.
	Named     int   `json:"named_workers"`
	RequestMS int64 `json:"request_ms"`
	// Requests is the expected number of requests until enough workers are approved.
	Requests int `json:"expected_requests"`
	// StepsAhead is the number of steps that come before and wait for their first answer, and QueueMS the expected wait for an instance.
	StepsAhead int   `json:"steps_ahead"`
	QueueMS    int64 `json:"queue_ms"`
	// Instances is the number of instances that may carry such requests at once, and Free is set if one could carry it now.
	Instances int  `json:"instances"`
	Free      bool `json:"instance_free"`
}

// PreviewWorker is a worker that would take tasks now.
type PreviewWorker struct {
	Worker domain.WorkerID `json:"worker"`
	Zone   domain.ZoneID   `json:"zone,omitempty"`
	Rack   domain.RackID   `json:"rack,omitempty"`
	Tasks  int             `json:"tasks"`
	// Free is what is free before the tasks, without what is reserved for other steps.
	Free domain.Resources `json:"free"`
	// Cost is the placement cost of its first task. The lowest one is chosen.
	Cost float64 `json:"cost"`
	// Approval is "not_needed" or "expected", with the probability.
	Approval    string  `json:"approval"`
	Probability float64 `json:"probability"`
}

// PreviewExclusion counts the workers that cannot take a task for one reason.
type PreviewExclusion struct {
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
	Detail  string `json:"detail"`
}

// PreviewDuration is what earlier tasks tell of the duration of a task.
type PreviewDuration struct {
	MeanMS int64 `json:"mean_ms"`
	P90MS  int64 `json:"p90_ms"`
	// Confidence is zero while the caller's estimate is all that is known.
	Confidence float64 `json:"confidence"`
}

// PreviewNeighbour is an image that slows the step down by the factor, or that the step slows down.
type PreviewNeighbour struct {
	// Image is the name of the image if the team's open jobs or this one name it.
	Image string `json:"image"`
	// Slowed is set if the step slows the image down, and not the image the step.
	Slowed     bool    `json:"slowed,omitempty"`
	Factor     float64 `json:"factor"`
	Confidence float64 `json:"confidence"`
}

var tierNames = []string{"urgent", "deferrable", "over_share", "expired"}

var rankNames = []string{"normal", "over_rate", "late", "expired"}

// exclusionTexts holds the name of each exclusion and what it means.
var exclusionTexts = [...][2]string{
	excludedLabel:           {"label", "the worker does not have the step's label"},
	excludedSize:            {"size", "the worker is smaller than a task"},
	excludedUnlisted:        {"unlisted", "the registry does not list the worker"},
	excludedNoReport:        {"no_report", "the worker has not reported recently"},
	excludedNotDescribed:    {"not_described", "the worker has restarted, and the registry does not list it since"},
	excludedNotStored:       {"not_stored", "the worker is not in the stored list yet"},
	excludedUnknownRuns:     {"unknown_runs", "the worker reports tasks that the owner does not track"},
	excludedDraining:        {"draining", "the worker is draining"},
	excludedMaintenance:     {"maintenance", "the worker's VM is emptied for its maintenance"},
	excludedZone:            {"evacuated", "the worker is in an evacuated zone"},
	excludedUnconfirmedEnds: {"withheld_ends", "ends of the worker's tasks cannot be acknowledged"},
	excludedAvoided:         {"avoided", "tasks have failed on the worker; it is used again within 12 s"},
	excludedUntrusted:       {"isolated", "the worker runs a task apart that may terminate it"},
	excludedDenied:          {"denied", "the approval service has denied the worker"},
	excludedMaxPerWorker:    {"max_per_worker", "the worker runs as many tasks of the step as max_per_worker permits"},
	excludedReserved:        {"reserved", "the worker's room is reserved for gangs and earlier steps"},
	excludedFull:            {"full", "the worker has no room now"},
}

var refusalRemedies = map[Refusal]string{
	RefusedNeverFits: "ask for less, for another label, or for larger workers",
	RefusedOverload:  "submit it again after the time named, or ask for less",
	RefusedTeamLimit: "ask for less per task or gang, or have the team's limit raised",
	RefusedEvacuated: "submit it again once the zone is in use, or ask for what other zones have",
	RefusedMemory:    "submit it again after the time named, when open jobs have ended",
	RefusedTooLarge:  "split it into smaller jobs",
}

func previewRefusal(r SubmitResult) *PreviewRefusal {
	if r.Refusal == NotRefused {
		return nil
	}
	// The detail may hold text of the caller.
	detail := strings.ToValidUTF8(r.Detail[:min(len(r.Detail), maxPreviewDetail)], "")
	return &PreviewRefusal{Reason: r.Refusal.String(), Detail: detail, Remedy: refusalRemedies[r.Refusal], RetryAfterMS: r.RetryAfterMS}
}

// previewer describes one job that is not submitted. It runs the code that decides about submitted jobs on a scratch copy of the machine: of what
// that code changes, the copy has its own.
type previewer struct {
	*Machine
	// team is the copy of the team, and original the team whose work the loads list.
	team, original *team
	spec           *Spec
	job            *job
	// looks is how many more workers the preview may look at, and runs the number of runs on the workers.
	looks, runs int
	orders      map[[2]int64]*PreviewOrder
	// limitMS and roomMS are the expected waits of a new job of the team for its limit and for room.
	limitMS, roomMS, approvalMS int64
}

// Preview tells where a validated job would go if it were submitted now, and why. It changes nothing.
func (m *Machine) Preview(queue *Queue, teamID domain.TeamID, spec *Spec) Preview {
	p := m.newPreviewer(queue, teamID, spec)
	path := criticalPathMS(spec, queue)
	v := Preview{Queue: queue.Name, Team: teamID, ObjectiveMS: objectiveMS(queue, path), CriticalPathMS: path, OverRate: p.job.overRate,
		ServiceWorkers: len(p.sortedWorkers), TeamUsed: p.team.used, TeamLimit: p.team.Limit}
	if spec.Recurring() {
		v.DueInMS = max(0, spec.FirstUnixMS-m.unixMS)
	}
	refused := p.refuse(queue, p.original, spec)
	v.Refusal = previewRefusal(refused)
	load := p.loadOf(queue.Service)
	limitMS, roomMS := load.waits(p.original, queue.Priority, p.usefulWaitMS(queue, p.original, spec))
	p.limitMS, p.roomMS, p.approvalMS = int64(limitMS), int64(roomMS), int64(p.approvalWaitMS(load, p.original, queue))
	v.Share = p.previewShare(teamID)
	o := p.newOccurrence(p.job, 0)
	v.Steps = make([]PreviewStep, len(o.steps))
	for i, s := range o.steps {
		v.Steps[i] = PreviewStep{Step: i, Tasks: s.spec.Tasks, EstimateMS: s.spec.EstimateMS, ExpectedMS: p.expectedTaskMS(queue, p.original, s.spec)}
		p.describe(&v.Steps[i], s, refused.Refusal, v.Steps)
	}
	p.describeLearned(v.Steps, o.steps)
	return v
}

func (m *Machine) newPreviewer(q *Queue, teamID domain.TeamID, spec *Spec) *previewer {
	c := *m
	c.out = Output{}
	c.slots, c.candidates, c.unapproved = nil, nil, nil
	c.servicePasses = make(map[string]*servicePass)
	c.approvalStats = maps.Clone(m.approvalStats)
	c.loads = maps.Clone(m.loads)
	c.separation = m.separation.forPreview()
	c.slow = m.slow.forPreview()
	c.fair = m.fair.scratch()
	if len(m.ready) > maxPreviewRecompute && m.loads != nil {
		c.loadsMS = m.nowMS
	}
	c.sortedWorkers = m.copyWorkers(q.Service)
	c.teams = make(map[domain.TeamID]*team)
	original := m.teams[teamID]
	if original != nil {
		copied := *original
		copied.demand = maps.Clone(original.demand)
		c.teams[teamID] = &copied
	}
	t := c.teamOf(teamID)
	if original == nil {
		original = t
	}
	if len(m.ready) == 0 {
		// No pass has summed these up since the last steps started.
		c.boundUnreported()
		c.sumDemand()
	}
	runs := 0
	for _, w := range c.sortedWorkers {
		runs += len(w.runs)
	}
	return &previewer{Machine: &c, runs: runs, team: t, original: original, spec: spec, job: c.newPreviewJob(q, t, spec), looks: maxPreviewLooks,
		orders: make(map[[2]int64]*PreviewOrder)}
}

func (m *Machine) newPreviewJob(q *Queue, t *team, spec *Spec) *job {
	j := m.newJob(previewJobID, q, t)
	j.spec, j.criticalPathMS = spec, criticalPathMS(spec, q)
	return j
}

// copyWorkers copies the workers of the service. What is reserved on them is that of the last pass, or nothing if no step has waited since.
func (m *Machine) copyWorkers(service string) []*worker {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.service == service {
			n++
		}
	}
	copies, list := make([]worker, 0, n), make([]*worker, 0, n)
	for _, w := range m.sortedWorkers {
		if w.service != service {
			continue
		}
		copies = append(copies, *w)
		c := &copies[len(copies)-1]
		if len(m.ready) == 0 {
			c.heldInPass, c.heldForGangs = domain.Resources{}, domain.Resources{}
		}
		list = append(list, c)
	}
	return list
}

// describe completes the description of a step. The steps before it are described.
func (p *previewer) describe(v *PreviewStep, s *step, refused Refusal, steps []PreviewStep) {
	if v.Refusal = p.refuseStepAlone(s, refused); v.Refusal != nil {
		v.Outcome = PreviewRefused
		p.countExcluded(v, s)
		return
	}
	if len(s.spec.After) > 0 {
		p.describeDependent(v, s, steps)
		return
	}
	if p.looks <= 0 {
		v.Outcome = PreviewNotExamined
		return
	}
	s.readyMS = p.nowMS
	s.rank = p.rank(s)
	s.tier = p.tier(s, s.rank)
	p.setOrderClass(s)
	v.Order = p.orderOf(s)
	p.countExcluded(v, s)
	p.decide(v, s)
	v.WorkersNow = len(s.tasksPerWorker)
	p.expectStart(v, s)
}

// refuseStepAlone returns the refusal if the step is what the job is refused for.
func (p *previewer) refuseStepAlone(s *step, refused Refusal) *PreviewRefusal {
	switch refused {
	case RefusedNeverFits, RefusedEvacuated:
		if p.looks <= 0 {
			return nil
		}
		p.looks -= len(p.sortedWorkers)
		refusal, detail := p.refuseUnplaceableStep(s.job.queue, s.number, s.spec)
		return previewRefusal(SubmitResult{Refusal: refusal, Detail: detail, RetryAfterMS: neverFitsRetryMS})
	case RefusedTeamLimit:
		if !p.team.stepFitsLimit(s.spec, p.cfg.LimitOvershoot) {
			return previewRefusal(SubmitResult{Refusal: refused, RetryAfterMS: neverFitsRetryMS,
				Detail: fmt.Sprintf("step %d needs more than the team's limit", s.number)})
		}
	}
	return nil
}

// describeDependent describes a step that starts after others.
func (p *previewer) describeDependent(v *PreviewStep, s *step, steps []PreviewStep) {
	v.Outcome = PreviewAfter
	v.WaitsFor = slices.Compact(slices.Sorted(slices.Values(s.spec.After)))
	start := int64(0)
	for _, earlier := range v.WaitsFor {
		if steps[earlier].EndInMS == nil {
			return
		}
		start = max(start, *steps[earlier].EndInMS)
	}
	if policy := s.job.queue.Approval; policy != nil {
		start += int64(policy.usualMS())
	}
	v.StartInMS = &start
	if !s.spec.LongRunning {
		end := start + v.ExpectedMS
		v.EndInMS = &end
	}
}

// orderOf returns the place of a step among the waiting ones. Their tiers and ranks are those of the last pass.
func (p *previewer) orderOf(s *step) *PreviewOrder {
	key := [2]int64{s.tier, s.rankByShare()}
	if known := p.orders[key]; known != nil {
		return known
	}
	o := &PreviewOrder{Tier: nameOf(tierNames, int(s.tier)), Rank: nameOf(rankNames, int(s.rank)), OverShare: s.class != notBehind, Priority: s.job.queue.Priority,
		ObjectiveMS: s.occurrence.deadlineMS - p.nowMS, Waiting: len(p.ready), AtLeast: len(p.ready) > maxPreviewOrder}
	// The last pass has sorted the steps, so that the first ones come before most likely.
	for _, other := range p.ready[:min(len(p.ready), maxPreviewOrder)] {
		if compareSteps(other, s) >= 0 {
			continue
		}
		o.StepsAhead++
		o.TasksAhead += other.waiting
		if q := other.job.queue; q.Approval != nil && !other.approvalAnswered && s.job.queue.Approval != nil &&
			q.hasLongApprovals() == s.job.queue.hasLongApprovals() {
			o.approvalsAhead++
		}
		if other.job.team == p.original {
			o.TeamStepsAhead++
			o.teamBlocked = o.teamBlocked || other.waitReason == waitTooLarge || other.waitReason == waitTeamLimit && !other.spec.Gang
		}
	}
	p.orders[key] = o
	return o
}

// exclusionOf returns why the worker cannot take a task of the step now, or notExcluded. What waiting does not change comes first.
func (p *previewer) exclusionOf(s *step, w *worker) exclusion {
	need := s.spec.Reserved()
	switch {
	case !w.hasLabel(s.spec.Label):
		return excludedLabel
	case !need.Fits(w.capacity):
		return excludedSize
	}
	if reason := p.unusableReason(w); reason != notExcluded {
		return reason
	}
	reason := p.unfitReason(s, w, need, p.freeFor(s, w))
	if reason == excludedFull && need.Fits(w.free()) {
		return excludedReserved
	}
	return reason
}

func (p *previewer) countExcluded(v *PreviewStep, s *step) {
	var counts [len(exclusionTexts)]int
	for _, w := range p.sortedWorkers {
		counts[p.exclusionOf(s, w)]++
	}
	p.looks -= len(p.sortedWorkers)
	v.Eligible = counts[notExcluded]
	for reason, n := range counts {
		if n > 0 && exclusion(reason) != notExcluded {
			v.Excluded = append(v.Excluded, PreviewExclusion{Reason: exclusionTexts[reason][0], Workers: n, Detail: exclusionTexts[reason][1]})
		}
	}
}

// decide decides about the step as a pass does.
func (p *previewer) decide(v *PreviewStep, s *step) {
	v.Outcome = PreviewWaits
	blocked := make(map[*team]bool)
	if v.Order.teamBlocked {
		blocked[p.team] = true
	}
	switch {
	case p.startsPaused:
		s.waitReason = waitUnconfirmed
	case p.awaitsRecovery(s):
	case s.spec.Gang:
		if p.gangCanStart(s, blocked) {
			p.placeGangTasks(v, s)
		}
	case blocked[p.team]:
		s.waitReason = waitTeamLimit
	default:
		p.placeTasks(v, s, blocked)
	}
	if v.Outcome != PreviewStarts || v.RoomNow < v.Tasks {
		v.Reason = s.waitReason
	}
	v.SlowWorkers = p.slowest(func(w *worker) bool {
		chosen := slices.ContainsFunc(v.Workers, func(c PreviewWorker) bool { return c.Worker == w.id })
		return !chosen && p.suspicionCost(s, w) > 0 && p.exclusionOf(s, w) == notExcluded
	})
}

// placeTasks places tasks that start independently.
func (p *previewer) placeTasks(v *PreviewStep, s *step, blocked map[*team]bool) {
	s.waitReason = p.capacityReason()
	if v.Eligible == 0 || !p.teamPermits(s, blocked) {
		return
	}
	if s.job.queue.Approval != nil {
		p.assumeApprovals(v, s, func() []*worker {
			var list []*worker
			for _, w := range p.usableFor(s) {
				if p.roomFor(s, w) > 0 {
					list = append(list, w)
				}
			}
			return list
		})
	}
	probability := v.Approval.probability()
	limited := false
	for placed := 0; s.waiting > 0 && placed < maxPreviewTasks && (p.looks > 0 || placed == 0); placed++ {
		if limited = !p.teamPermits(s, blocked); limited {
			break
		}
		if limited = !p.mayActivate(1); limited {
			s.waitReason = waitMemory
			break
		}
		w, cost := p.pick(s)
		p.looks -= len(p.sortedWorkers)
		if w == nil {
			break
		}
		v.addWorker(w, p.freeFor(s, w), cost, probability, 1)
		p.reserveTask(s, w)
		v.RoomNow++
	}
	if !limited && s.waiting > 0 {
		for _, w := range p.usableFor(s) {
			if p.approved(s, w) {
				v.RoomNow = min(s.spec.Tasks, v.RoomNow+p.roomFor(s, w))
			}
		}
		p.looks -= len(p.sortedWorkers)
	}
	p.concludePlacement(v, s)
}

// placeGangTasks plans all members of a gang at once.
func (p *previewer) placeGangTasks(v *PreviewStep, s *step) {
	s.waitReason = p.capacityReason()
	if s.job.queue.Approval != nil {
		p.assumeApprovals(v, s, func() []*worker { return p.candidateWorkers(s, notDenied) })
	}
	plan := p.planMembers(s, p.approved, p.freeFor, 0)
	reason, startMS := "", int64(0)
	if plan == nil && s.spec.SameRack {
		// No rack has room, so after a while the gang is planned as if it could spread from the start.
		startMS = p.sameRackWaitMS(s)
		spread := *s.spec
		spread.SameRack = false
		s.spec = &spread
		if plan = p.planMembers(s, p.approved, p.freeFor, 0); plan != nil {
			reason = previewOneRack
		}
	}
	if plan == nil {
		if plan = p.planMembers(s, approvedOrExempt, p.freeByPreemption, p.runs); plan != nil {
			v.Preempts = true
			reason, startMS = waitHeld, p.cfg.StopMS
		}
	}
	if plan == nil {
		if p.planMembers(s, approvedOrExempt, p.freeAfterFiniteTasks, p.runs) != nil {
			s.waitReason = waitHeld
		}
		p.concludePlacement(v, s)
		if p.looks <= 0 && v.Outcome == PreviewWaits {
			v.Outcome = PreviewNotExamined
		}
		return
	}
	if reason == "" {
		v.RoomNow = len(plan)
	}
	need := s.spec.Reserved()
	for len(plan) > 0 {
		// A plan lists the members of one worker one after the other.
		w, n := plan[0], 1
		for n < len(plan) && plan[n] == w {
			n++
		}
		plan = plan[n:]
		free := p.freeFor(s, w)
		v.addWorker(w, free, p.cost(s, w, free.Sub(need.Scale(int64(n)))), v.Approval.probability(), n)
		for range n {
			p.reserveTask(s, w)
		}
	}
	p.concludePlacement(v, s)
	if reason != "" && v.Outcome == PreviewWaits {
		s.waitReason, v.StartInMS = reason, &startMS
	}
}

// previewOneRack is the reason for which a gang waits that is faster within one rack.
const previewOneRack = "no rack has room for all members; the gang spreads over several after a while"

// planMembers is planGang within the bound of the preview's work. runs is the number of runs that freeOn looks at.
func (p *previewer) planMembers(s *step, approved func(*step, *worker) bool, freeOn freeFunc, runs int) gangPlan {
	if p.looks <= 0 {
		return nil
	}
	p.looks -= len(p.sortedWorkers) + runs/runsPerLook
	return p.planGang(s, approved, freeOn)
}

// reserveTask counts a task as started on the worker.
func (p *previewer) reserveTask(s *step, w *worker) {
	s.reserve(w)
	s.waiting--
	p.activeTasks++
}

// assumeApprovals chooses the workers that the step's first request would name, and goes on as if all of them were approved.
func (p *previewer) assumeApprovals(v *PreviewStep, s *step, candidates func() []*worker) {
	q := s.job.queue
	named := p.bestCandidates(s, candidates())
	p.looks -= 2 * len(p.sortedWorkers)
	a := &PreviewApproval{Probability: p.statsOf(q).rate, Named: len(named), RequestMS: int64(math.Ceil(q.Approval.requestMS(len(named)))),
		StepsAhead: v.Order.approvalsAhead, QueueMS: p.approvalMS, Instances: p.approvers.Lanes(q.Approval.usualMS(), p.nowMS),
		Free: p.approvers.CanSend(q.Approval.BaseMS, false, p.nowMS)}
	v.Approval = a
	s.verdicts, s.tickets = make([]verdict, p.slotCount), make(map[int]approval, len(named))
	expected := 0.0
	for _, w := range named {
		s.verdicts[w.slot] = verdictApproved
		s.tickets[w.slot] = approval{workerStartedMS: w.startedMS, expiresMS: math.MaxInt64}
		expected += float64(p.roomFor(s, w)) * a.Probability
	}
	wanted := 1.0
	if s.spec.Gang {
		wanted = float64(s.open)
	}
	a.Requests = 1
	if expected > 0 {
		a.Requests = max(1, int(math.Ceil(wanted/expected)))
	}
}

// probability returns the probability that a named worker is approved. Without an approval service it is certain.
func (a *PreviewApproval) probability() float64 {
	if a == nil {
		return 1
	}
	return a.Probability
}

// concludePlacement sets the outcome of a step whose tasks were placed as far as there is room.
func (p *previewer) concludePlacement(v *PreviewStep, s *step) {
	switch {
	case v.Approval != nil && v.Approval.Named > 0:
		v.Outcome = PreviewAsks
		s.waitReason = waitApproval
		if !v.Approval.Free {
			s.waitReason = waitApprover
		}
	case v.RoomNow > 0:
		v.Outcome = PreviewStarts
	}
}

func (v *PreviewStep) addWorker(w *worker, free domain.Resources, cost, probability float64, tasks int) {
	if at := slices.IndexFunc(v.Workers, func(known PreviewWorker) bool { return known.Worker == w.id }); at >= 0 {
		v.Workers[at].Tasks += tasks
		return
	}
	if len(v.Workers) == maxPreviewWorkers {
		return
	}
	approval := "not_needed"
	if v.Approval != nil {
		approval = "expected"
	}
	v.Workers = append(v.Workers, PreviewWorker{Worker: w.id, Zone: w.zone, Rack: w.rack, Tasks: tasks, Free: free, Cost: cost,
		Approval: approval, Probability: probability})
}

// expectStart sets when the step is expected to start and to end.
func (p *previewer) expectStart(v *PreviewStep, s *step) {
	start := int64(0)
	switch {
	case v.StartInMS != nil:
		start = *v.StartInMS
	case v.Outcome == PreviewWaits || v.RoomNow == 0:
		if v.Reason == waitTeamLimit || v.Reason == waitTooLarge || v.Reason == waitTeamUrgent {
			v.LimitWaitMS = p.limitMS
			start = p.limitMS
		} else {
			v.RoomWaitMS = p.roomMS
			start = p.roomMS
		}
		if start == 0 {
			return
		}
	}
	switch a := v.Approval; {
	case a != nil:
		if !a.Free {
			start += a.QueueMS
		}
		start += a.RequestMS * int64(a.Requests)
	case s.job.queue.Approval != nil:
		start += p.approvalMS + int64(s.job.queue.Approval.usualMS())
	}
	v.StartInMS = &start
	if s.spec.LongRunning || v.RoomNow == 0 && !s.spec.Gang {
		return
	}
	rounds := int64(1)
	if !s.spec.Gang {
		rounds = int64((s.spec.Tasks + v.RoomNow - 1) / v.RoomNow)
	}
	end := start + rounds*v.ExpectedMS
	v.EndInMS = &end
}
