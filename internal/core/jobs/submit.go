package jobs

import (
	"fmt"
	"math"
	"slices"

	"auburnpier/internal/domain"
)

// Refusal is the reason why a job was not accepted.
type Refusal uint8

// Reasons for refusing a job.
const (
	NotRefused Refusal = iota
	// RefusedNeverFits means that no worker is large enough for a task, or has its label.
	RefusedNeverFits
	// RefusedOverload means that with the present backlog the result would come too late to be
	// of use.
	RefusedOverload
	// RefusedTeamLimit means that a task or gang is larger than the team's limit.
	RefusedTeamLimit
	// RefusedEvacuated means that every worker that fits a task is in an evacuated zone.
	RefusedEvacuated
	// RefusedMemory means that an owner would not have the memory for the job beside the accepted ones.
	RefusedMemory
	// RefusedTooLarge means that the job would take more memory than one job may.
	RefusedTooLarge
	// RefusedIDTaken means that the ID belongs to another team's job.
	RefusedIDTaken
)

var refusalNames = []string{"", "never_fits", "objective_out_of_reach", "limit_too_small", "zone_evacuated", "memory_full", "job_too_large",
	"id_of_another_team"}

// String returns the name of the reason, as exposed in metrics and to callers.
func (r Refusal) String() string { return nameOf(refusalNames, int(r)) }

// SubmitResult is the result of a submission.
type SubmitResult struct {
	Refusal Refusal
	// RetryAfterMS is the delay after which a refused job may be submitted again.
	RetryAfterMS int64
	// Detail explains why the job was refused.
	Detail string
	// Durable is set if the job was already known and is stored.
	Durable bool
}

// approvalWorkersPerStep is the number of workers in the approval request for which the objective
// of a job allows time in each step.
const approvalWorkersPerStep = 30

// Submit accepts or refuses a validated job. Submitting a known ID again has no effect, so callers
// can repeat a submission.
func (m *Machine) Submit(id domain.JobID, queue *Queue, teamID domain.TeamID, spec *Spec) SubmitResult {
	if j, ok := m.jobs[id]; ok {
		if j.team.ID != teamID {
			return SubmitResult{Refusal: RefusedIDTaken}
		}
		return SubmitResult{Durable: j.durable}
	}
	t := m.teamOf(teamID)
	if refused := m.refuse(queue, t, spec); refused.Refusal != NotRefused {
		return refused
	}
	j := m.newJob(id, queue, t)
	m.insert(j, spec, nil)
	m.addAdmittedLoad(j)
	m.markChanged(j)
	return SubmitResult{}
}

// refuse returns the reason for which a new job is refused, or the zero result.
func (m *Machine) refuse(queue *Queue, t *team, spec *Spec) SubmitResult {
	if refusal, detail := m.refuseUnplaceable(queue, spec); refusal != NotRefused {
		return SubmitResult{Refusal: refusal, RetryAfterMS: neverFitsRetryMS, Detail: detail}
	}
	if !t.fitsTeamLimit(spec, m.cfg.LimitOvershoot) {
		return SubmitResult{Refusal: RefusedTeamLimit, RetryAfterMS: neverFitsRetryMS}
	}
	if wait, refuse := m.overloaded(queue, t, spec); refuse {
		return SubmitResult{Refusal: RefusedOverload, RetryAfterMS: wait}
	}
	if refusal, wait := m.refuseForMemory(t, spec); refusal != NotRefused {
		return SubmitResult{Refusal: refusal, RetryAfterMS: wait}
	}
	return SubmitResult{}
}

// newJob returns a job that is accepted now, without its steps.
func (m *Machine) newJob(id domain.JobID, queue *Queue, t *team) *job {
	return &job{id: id, queue: queue, team: t, acceptedUnixMS: m.unixMS, epoch: m.cfg.Epoch, overRate: !t.takeToken(m.nowMS)}
}

// Knows reports whether a job with the ID was submitted.
func (m *Machine) Knows(id domain.JobID) bool { return m.jobs[id] != nil }

// neverFitsRetryMS is the retry delay for jobs that fit no worker or limit. A larger worker may be
// added, but not within seconds.
const neverFitsRetryMS = 10_000

// Withdraw removes a job that no write has included yet, and reports whether it did.
func (m *Machine) Withdraw(id domain.JobID) bool {
	j, ok := m.jobs[id]
	if !ok || j.maybeStored {
		return false
	}
	m.removeJob(j)
	return true
}

// removeJob removes a job that has no runs, as if it had not been accepted.
func (m *Machine) removeJob(j *job) {
	delete(m.jobs, j.id)
	delete(m.recurring, j.id)
	j.state = Cancelled
	m.unwrittenJobs = removeItem(m.unwrittenJobs, j)
	// A job that was cancelled before is not to be evicted later: its ID may belong to another submission then.
	m.endedJobs = removeItem(m.endedJobs, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			m.removeReady(s)
		}
	}
	m.dropJob(j)
}

func removeItem[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// insert adds a job with its steps. The given occurrences are done.
func (m *Machine) insert(j *job, spec *Spec, done []int) {
	j.spec = spec
	j.occurrences, j.doneOccurrences, j.storedOccurrences = make(map[int]*occurrence), make(map[int]bool, len(done)), len(done)
	for _, k := range done {
		j.doneOccurrences[k] = true
	}
	j.criticalPathMS = m.expectedPathMS(spec, j.queue, j.team)
	m.resize(j, m.sizeOf(spec))
	m.jobs[j.id] = j
	if j.spec.Recurring() {
		m.recurring[j.id] = j
		m.openOccurrencesOf(j)
		return
	}
	m.openOccurrence(j, 0)
}

// ObjectiveMS returns the time from acceptance within which callers of the queue want a job of that
// specification to complete.
func ObjectiveMS(spec *Spec, q *Queue) int64 { return objectiveMS(q, criticalPathMS(spec, q)) }

// SlackMS returns how long a job of that specification can wait and still complete within the
// objective of the queue.
func SlackMS(spec *Spec, q *Queue) int64 {
	path := criticalPathMS(spec, q)
	return objectiveMS(q, path) - path
}

func objectiveMS(q *Queue, criticalPathMS int64) int64 {
	return int64(q.Stretch*float64(criticalPathMS)) + q.ObjectiveMS
}

// objectiveMS returns the objective of the job by the current settings of its queue.
func (j *job) objectiveMS() int64 { return objectiveMS(j.queue, j.criticalPathMS) }

// objectiveMS returns the objective of the occurrence by the current settings of its queue.
func (o *occurrence) objectiveMS() int64 { return objectiveMS(o.job.queue, o.criticalPathMS) }

// criticalPathMS returns the estimated duration of the longest chain of dependent steps, with one
// approval request for each step.
func criticalPathMS(spec *Spec, q *Queue) int64 {
	return longestPathMS(spec, q, func(i int) int64 { return spec.Steps[i].EstimateMS })
}

// longestPathMS returns the same for tasks that take so long, by step. Zero is an unknown duration.
func longestPathMS(spec *Spec, q *Queue, taskMS func(step int) int64) int64 {
	ends := make([]int64, len(spec.Steps))
	longest := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		start := int64(0)
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ms := taskMS(i)
		if ms == 0 {
			ms = defaultTaskMS
		}
		ends[i] = start + ms
		if q.Approval != nil {
			ends[i] += int64(q.Approval.usualMS())
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// refuseUnplaceable refuses a job with a task that fits no empty worker of the service, or only
// workers of evacuated zones, and describes the task. It refuses nothing while no worker of the
// service is known.
func (m *Machine) refuseUnplaceable(q *Queue, spec *Spec) (Refusal, string) {
	if !m.knowsService(q) {
		return NotRefused, ""
	}
	for i := range spec.Steps {
		if refusal, detail := m.refuseUnplaceableStep(q, i, &spec.Steps[i]); refusal != NotRefused {
			return refusal, detail
		}
	}
	return NotRefused, ""
}

// knowsService reports whether any worker of the queue's service is known.
func (m *Machine) knowsService(q *Queue) bool {
	return slices.ContainsFunc(m.sortedWorkers, func(w *worker) bool { return w.service == q.Service })
}

func (m *Machine) refuseUnplaceableStep(q *Queue, number int, s *StepSpec) (Refusal, string) {
	if refusal := m.refuseStep(q, s); refusal != NotRefused {
		return refusal, fmt.Sprintf("no worker fits step %d: %d milli-cores, %d MB, %d accelerators, label %q",
			number, s.Reserved().CPUMilli, s.Reserved().MemoryMB, s.Reserved().Accelerators, s.Label)
	}
	if !s.Gang {
		return NotRefused, ""
	}
	if fitting := m.countFittingGang(q, s); fitting < s.Tasks {
		return RefusedNeverFits, fmt.Sprintf("%d of the %d tasks of gang %d fit the empty workers at once", fitting, s.Tasks, number)
	}
	return NotRefused, ""
}

// countFittingGang returns how many tasks of a gang fit the workers of the service at once while nothing else runs. It counts no further once all fit.
func (m *Machine) countFittingGang(q *Queue, s *StepSpec) int {
	need, fitting := s.Reserved(), 0
	for _, w := range m.sortedWorkers {
		if fitting >= s.Tasks {
			break
		}
		if w.service != q.Service || !need.Fits(w.capacity) || !w.hasLabel(s.Label) {
			continue
		}
		n := fitsIn(need, w.capacity, s.Tasks)
		if s.MaxPerWorker > 0 {
			n = min(n, s.MaxPerWorker)
		}
		fitting += n
	}
	return fitting
}

func (m *Machine) refuseStep(q *Queue, s *StepSpec) Refusal {
	need, refusal := s.Reserved(), RefusedNeverFits
	for _, w := range m.sortedWorkers {
		switch {
		case w.service != q.Service || !need.Fits(w.capacity) || !w.hasLabel(s.Label):
		case m.zoneEvacuated(w):
			refusal = RefusedEvacuated
		default:
			return NotRefused
		}
	}
	return refusal
}

// fitsTeamLimit reports whether the limit permits each task, and each gang as a whole.
func (t *team) fitsTeamLimit(spec *Spec, overshoot float64) bool {
	for i := range spec.Steps {
		if !t.stepFitsLimit(&spec.Steps[i], overshoot) {
			return false
		}
	}
	return true
}

func (t *team) stepFitsLimit(s *StepSpec, overshoot float64) bool {
	need := s.Need
	if s.Gang {
		need = need.Scale(int64(s.Tasks))
	}
	return t.fitsLimitAlone(need, overshoot)
}

// tokenBurstSeconds is the capacity of a team's token bucket, in seconds of its rate.
const tokenBurstSeconds = 3

// takeToken takes a token for one job, and reports whether the team is within the rate of its
// weight.
func (t *team) takeToken(nowMS int64) bool {
	if t.Weight <= 0 {
		return true
	}
	if t.tokens < 0 {
		t.tokens = t.Weight * tokenBurstSeconds
	}
	t.tokens = math.Min(t.Weight*tokenBurstSeconds, t.tokens+t.Weight*float64(nowMS-t.tokensMS)/1000)
	t.tokensMS = nowMS
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Cancel cancels a job if that is permitted for its team and queue. It reports whether the job is known, and whether the store holds its
// end. An end that is not stored yet is lost if another owner takes over, also while its write is under way.
func (m *Machine) Cancel(id domain.JobID, permitted func(domain.TeamID, domain.QueueID) bool) (known, stored bool) {
	j, ok := m.jobs[id]
	if !ok || !permitted(j.team.ID, j.queue.Name) {
		return false, false
	}
	if j.state.Terminal() {
		return true, j.storedState.Terminal()
	}
	m.endJob(j, Cancelled)
	return true, false
}

func (m *Machine) endJob(j *job, s State) {
	j.state = s
	j.endedUnixMS = m.unixMS
	m.countDeparture(j)
	delete(m.recurring, j.id)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			m.removeReady(st)
			st.dropApprovals()
		}
	}
	m.endedJobs = append(m.endedJobs, j)
	if j.parking != nil {
		m.unpark(j)
		m.keepEnded(j)
	}
	m.markChanged(j)
	m.out.recordJob("job_"+s.String(), j, "")
}

// compactEndedJob frees everything of an ended job except its state, once that is stored and no run
// of the job is left. A worker that reports a run of it later is told to stop the run.
func (m *Machine) compactEndedJob(j *job) {
	if !j.state.Terminal() || !j.durable || j.storedVersion < j.version || j.occurrences == nil {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.active {
				if len(t.runs) > 0 {
					return
				}
			}
		}
	}
	for _, o := range j.occurrences {
		m.freeTasks(o)
	}
	j.occurrences, j.doneOccurrences, j.spec = nil, nil, &Spec{}
	m.keepEnded(j)
}

func (m *Machine) openOccurrences() {
	for _, j := range m.recurring {
		m.openOccurrencesOf(j)
	}
}

const (
	// maxOpenOccurrences bounds the occurrences of a job that are open at once. Their number and period are the caller's: all may be due.
	maxOpenOccurrences = 16
	// maxUnstoredSteps bounds the steps of the occurrences of a job that are done without the store knowing. A successor finds
	// these occurrences through the workers, and may have many of them open until it has heard of all their tasks.
	maxUnstoredSteps = 512
)

// mayOpenOccurrence reports whether the job may have another occurrence open.
func (j *job) mayOpenOccurrence() bool {
	unstored := len(j.doneOccurrences) - j.storedOccurrences
	return len(j.occurrences) < maxOpenOccurrences && unstored < max(maxOpenOccurrences, maxUnstoredSteps/len(j.spec.Steps))
}

// openOccurrencesOf opens the job's occurrences that are due by this instance's clock.
func (m *Machine) openOccurrencesOf(j *job) {
	for j.nextOccurrence < j.spec.Occurrences && j.spec.dueUnixMS(j.nextOccurrence) <= m.unixMS && j.mayOpenOccurrence() {
		if j.occurrences[j.nextOccurrence] == nil && !j.doneOccurrences[j.nextOccurrence] {
			m.openOccurrence(j, j.nextOccurrence)
		}
		j.nextOccurrence++
	}
	if j.nextOccurrence >= j.spec.Occurrences {
		delete(m.recurring, j.id)
	}
}

func (m *Machine) openOccurrence(j *job, number int) *occurrence {
	o := m.newOccurrence(j, number)
	j.occurrences[number] = o
	if j.spec.Recurring() && j.spec.dueUnixMS(number) > m.unixMS {
		for _, s := range o.steps {
			s.early = true
		}
	}
	m.markReady(o)
	return o
}

// isDue reports whether the step's occurrence is due by this instance's clock.
func (m *Machine) isDue(s *step) bool {
	s.early = s.job.spec.dueUnixMS(s.occurrence.number) > m.unixMS
	return !s.early
}

// newOccurrence returns an occurrence of the job with its steps.
func (m *Machine) newOccurrence(j *job, number int) *occurrence {
	start := j.acceptedUnixMS
	if j.spec.Recurring() {
		start = j.spec.dueUnixMS(number)
	}
	startMS := m.nowMS + start - m.unixMS
	o := &occurrence{job: j, number: number, open: len(j.spec.Steps), startMS: startMS, deadlineMS: startMS + j.objectiveMS(),
		criticalPathMS: j.criticalPathMS}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{job: j, occurrence: o, number: i, spec: spec, open: spec.Tasks, waiting: spec.Tasks,
			tasksPerWorker: make(map[domain.WorkerID]int), estimateMS: spec.EstimateMS}
		m.firstEstimate(s)
		o.steps = append(o.steps, s)
	}
	m.sumRest(o)
	return o
}

// markReady adds the occurrence's steps that have become ready to the list of ready steps.
func (m *Machine) markReady(o *occurrence) {
	for _, s := range o.steps {
		if s.open > 0 && s.waiting > 0 && !s.ready && o.dependenciesMet(s) {
			s.ready, s.ordered = true, false
			s.readyMS = m.nowMS
			m.ready = append(m.ready, s)
			m.needsPass = true
		}
	}
}

func (o *occurrence) dependenciesMet(s *step) bool {
	for _, a := range s.spec.After {
		if o.steps[a].open > 0 {
			return false
		}
	}
	return true
}

func (m *Machine) removeReady(s *step) {
	if s.ready {
		s.ready = false
		m.ready = removeItem(m.ready, s)
	}
	m.releaseHold(s)
}
