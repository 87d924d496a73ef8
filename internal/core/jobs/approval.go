package jobs

import (
	"cmp"
	"math"
	"slices"

	"auburnpier/internal/domain"
)

// approvalStats holds statistics of a queue's approval responses.
type approvalStats struct {
	// rate is the smoothed fraction of named workers that are approved.
	rate float64
	// stepMS is the smoothed time that the service spends on all requests of a step.
	stepMS float64
}

// Parameters of approval requests.
const (
	initialApprovalRate = 0.5
	approvalRateWeight  = 0.1
	// candidateSurplus is how much capacity the workers of a request are expected to provide once
	// approved, as a multiple of what the waiting tasks need.
	candidateSurplus = 1.4
	// gangCandidateSurplus is the same for gangs. All members need capacity at the same time,
	// which is found sooner among more approved workers. Naming these takes a fraction of a
	// second, while the objective of a gang is many seconds.
	gangCandidateSurplus = 3
	extraCandidates      = 2
	// namingTimeShare is the fraction of a request's fixed duration that may always be spent on
	// naming workers. Another request for the same step would cost the fixed part again.
	namingTimeShare = 0.25
	// gangNamingTimeShare divided by the observed approval rate is the same for gangs, at most
	// maxGangNamingTimeShare. They need many approved workers at once, and more requests delay them by
	// seconds; naming more where many are approved only takes capacity from other steps.
	gangNamingTimeShare    = 0.25
	maxGangNamingTimeShare = 1.0
	// MaxApprovalWorkers limits the workers named in one request.
	MaxApprovalWorkers = 100
	// startTransitMS is the time that a start order takes to reach the worker, where its approval
	// must still be valid.
	startTransitMS = 120
	// approvalRetryDelayMS is the delay after a request that was refused or not answered.
	approvalRetryDelayMS = 100
	// approvalStepWeight is the weight of the newest step in approvalStats.stepMS.
	approvalStepWeight = 0.1
	// overdueApprovalMS is how long a step waits for an instance before it may use one that is reserved
	// for short requests.
	overdueApprovalMS = 3000
	// minDiscoveryIntervalMS is the least time between a response and the next request that only looks
	// for more workers of the same step.
	minDiscoveryIntervalMS = 120
)

func (m *Machine) statsOf(q *Queue) *approvalStats {
	st, ok := m.approvalStats[q.Name]
	if !ok {
		st = &approvalStats{rate: initialApprovalRate}
		if a := q.Approval; a != nil {
			st.stepMS = a.usualMS()
		}
		m.approvalStats[q.Name] = st
	}
	return st
}

// approved reports whether the step holds a valid approval for the worker, or needs none.
func (m *Machine) approved(s *step, w *worker) bool {
	if s.job.queue.Approval == nil {
		return true
	}
	a := s.ticket(w)
	return a.workerStartedMS == w.startedMS && a.expiresMS > m.nowMS+startTransitMS
}

func (s *step) dropTicket(w *worker) {
	delete(s.tickets, w.slot)
}

// mayBeApproved reports whether the worker was not denied for the step. A verdict never
// changes, so a denied worker is not named again.
func (s *step) mayBeApproved(w *worker) bool {
	return s.verdict(w) != verdictDenied
}

// mayRequest reports whether the step may send a request for more workers now.
func (s *step) mayRequest(nowMS int64) bool {
	return !s.approvalPending && nowMS >= max(s.nextApprovalMS, s.nextDiscoveryMS)
}

// requestBestApprovals requests approvals for the most suitable of the candidates.
func (m *Machine) requestBestApprovals(s *step, candidates []*worker) {
	if !s.mayRequest(m.nowMS) || len(candidates) == 0 {
		return
	}
	if !m.approvers.CanSend(s.job.queue.Approval.BaseMS, m.approvalOverdue(s), m.nowMS) || m.yieldsApprovers(s) {
		m.waitForApprover(s)
		return
	}
	m.requestApprovals(s, m.bestCandidates(s, candidates))
}

// bestCandidates returns the candidates that a request names. It reorders the list.
func (m *Machine) bestCandidates(s *step, candidates []*worker) []*worker {
	if !s.spec.Gang {
		candidates = sampleCandidates(s, candidates)
	}
	m.sortCandidates(s, candidates)
	return candidates[:min(m.approvalCount(s, candidates), len(candidates))]
}

// requestApprovals requests approvals for these workers, unless a request of the step is in
// progress.
func (m *Machine) requestApprovals(s *step, workers []*worker) {
	if s.approvalPending || m.nowMS < s.nextApprovalMS || len(workers) == 0 {
		return
	}
	if m.yieldsApprovers(s) {
		m.waitForApprover(s)
		return
	}
	q := s.job.queue
	ids := make([]domain.WorkerID, 0, len(workers))
	for _, w := range workers[:min(len(workers), MaxApprovalWorkers)] {
		ids = append(ids, w.id)
	}
	expectedMS := q.Approval.requestMS(len(ids))
	grant, ok := m.approvers.Acquire(expectedMS, m.approvalOverdue(s), m.nowMS)
	if !ok {
		m.waitForApprover(s)
		return
	}
	if s == m.expiredTurn.step {
		m.expiredTurn = expiredTurn{lastMS: m.nowMS}
	}
	s.approvalPending = true
	s.approvalMS += expectedMS
	if m.fair != nil {
		s.job.team.approvalMS += float32(expectedMS)
	}
	m.out.Approvals = append(m.out.Approvals, ApprovalRequest{
		Step: StepID{s.job.id, s.occurrence.number, s.number}, Queue: q.Name, Workers: ids, Grant: grant, WaitedMS: s.approverWaitMS(m.nowMS),
	})
}

// requestMS returns how long the service takes for a request that names so many workers.
func (a *ApprovalPolicy) requestMS(workers int) float64 {
	return a.BaseMS + a.PerWorkerMS*float64(workers)
}

// waitForApprover schedules a pass for when an instance may be free to send the request. Passes
// visit steps in scheduling order, so the most urgent waiting step goes first.
func (m *Machine) waitForApprover(s *step) {
	if s.approverWaitSinceMS == 0 {
		s.approverWaitSinceMS = m.nowMS
	}
	// Most waiting steps come here in each pass. A write would have the memory of all of them written back.
	if s.waitReason != waitApprover {
		s.waitReason = waitApprover
	}
	m.nextApproverMS, _ = m.approvers.NextSendMS(m.nowMS)
}

// approverWaitMS returns how long the step has waited for an instance.
func (s *step) approverWaitMS(nowMS int64) int64 {
	if s.approverWaitSinceMS == 0 {
		return 0
	}
	return nowMS - s.approverWaitSinceMS
}

func (m *Machine) approvalOverdue(s *step) bool {
	if m.cfg.Features.ApprovalPlanning {
		return s.approverWaitMS(m.nowMS) >= overduePlannedMS
	}
	return s.approverWaitMS(m.nowMS) >= overdueApprovalMS
}

// remainingApprovalMS estimates how long the service is still needed for the step's waiting tasks.
func (m *Machine) remainingApprovalMS(s *step) float64 {
	return max(s.job.queue.Approval.BaseMS, m.statsOf(s.job.queue).stepMS-s.approvalMS)
}

// observeApprovals updates the statistics once all tasks of the step are placed.
func (m *Machine) observeApprovals(s *step) {
	if s.approvalMS == 0 {
		return
	}
	st := m.statsOf(s.job.queue)
	st.stepMS += (s.approvalMS - st.stepMS) * approvalStepWeight
	s.approvalMS = 0
}

// SetApprovers replaces the addresses of the instances that send approval requests.
func (m *Machine) SetApprovers(addresses []string) {
	m.approvers.SetInstances(addresses)
	m.needsPass = true
}

// candidate is a worker with its place in the order for an approval request.
type candidate struct {
	key uint64
	w   *worker
}

// freeLevels is the number of levels into which free CPU is divided when workers are chosen for
// a request.
const freeLevels = 4

// sortCandidates puts workers with enough free resources first, then those known to be approved,
// then fast ones for urgent steps, then those with the most free CPU. Ties are broken by a hash that depends on the step, so that
// concurrent requests of different steps name different workers.
func (m *Machine) sortCandidates(s *step, candidates []*worker) {
	need := s.spec.Reserved()
	seed := s.hashSeed()
	list := m.candidates[:0]
	for _, w := range candidates {
		free := m.freeFor(s, w)
		key := candidateKey(need.Fits(free) && !m.breaksHold(s, w, need), s.verdict(w) == verdictApproved, m.preferredSpeed(s, w),
			free.CPUMilli*freeLevels/max(1, w.capacity.CPUMilli), mixSlot(seed, w.slot))
		list = append(list, candidate{key, w})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	for i, c := range list {
		candidates[i] = c.w
	}
	clear(list)
	m.candidates = list[:0]
}

// candidateKey packs the keys of a candidate into one number, the lowest of which comes first: the fleet is sorted for each request. Each part is
// far within its bits: speed levels are a few dozen at most, and levels of free CPU are below zero only by what is reserved above the capacity.
func candidateKey(fits, approved bool, speed int, freeLevel int64, hash uint32) uint64 {
	const most = 1<<15 - 1
	key := uint64(hash) | uint64(most/2-max(-most/2, min(most/2, freeLevel)))<<32 | uint64(most/2-max(-most/2, min(most/2, speed)))<<47
	if !approved {
		key |= 1 << 62
	}
	if !fits {
		key |= 1 << 63
	}
	return key
}

// hashSeed returns a seed that differs between steps.
func (s *step) hashSeed() uint32 {
	seed := uint32(s.number)
	for _, c := range []byte(s.job.id) {
		seed = (seed ^ uint32(c)) * fnvPrime
	}
	return seed
}

// mixSlot returns a number that differs between steps and worker slots. After one multiplication, neighbouring slots would give neighbouring numbers.
func mixSlot(seed uint32, slot int) uint32 { return (seed ^ uint32(slot)) * fnvPrime * fnvPrime }

// maxCandidates bounds the workers that are compared for tasks that start independently.
const maxCandidates = 64

// sampleCandidates reduces the list to the workers known to be approved and some of the others.
func sampleCandidates(s *step, candidates []*worker) []*worker {
	if len(candidates) <= maxCandidates {
		return candidates
	}
	list := make([]*worker, 0, maxCandidates)
	for _, w := range candidates {
		if s.verdict(w) == verdictApproved && len(list) < maxCandidates {
			list = append(list, w)
		}
	}
	first := int(s.hashSeed() % uint32(len(candidates)))
	for i := range candidates {
		w := candidates[(first+i)%len(candidates)]
		if len(list) >= maxCandidates {
			break
		}
		if s.verdict(w) != verdictApproved {
			list = append(list, w)
		}
	}
	return list
}

const fnvPrime = 16777619

// approvalCount returns how many workers to name so that enough of them are approved for the
// step's waiting tasks.
func (m *Machine) approvalCount(s *step, candidates []*worker) int {
	rate := max(0.05, m.statsOf(s.job.queue).rate)
	need := s.spec.Reserved()
	surplus := candidateSurplus
	if s.spec.Gang {
		surplus = gangCandidateSurplus
	}
	expectedPercent, workers := 0, 0
	for _, w := range candidates {
		fits := m.countFitting(s, w, need)
		if fits == 0 {
			continue
		}
		expected := float64(fits) * rate
		if s.verdict(w) == verdictApproved {
			expected = float64(fits)
		}
		expectedPercent += int(math.Ceil(expected * 100))
		workers++
		if float64(expectedPercent)/100 >= float64(s.waiting)*surplus {
			break
		}
	}
	least := max(int(math.Ceil(2/rate)), lowCostCount(s, rate))
	return min(MaxApprovalWorkers, max(workers+extraCandidates, least))
}

// lowCostCount returns how many workers can be named in a small fraction of the request's
// fixed duration.
func lowCostCount(s *step, rate float64) int {
	policy := s.job.queue.Approval
	if policy.PerWorkerMS <= 0 {
		return MaxApprovalWorkers
	}
	share := namingTimeShare
	if s.spec.Gang {
		share = min(maxGangNamingTimeShare, gangNamingTimeShare/rate)
	}
	return int(policy.BaseMS * share / policy.PerWorkerMS)
}

func (m *Machine) countFitting(s *step, w *worker, need domain.Resources) int {
	most := s.waiting
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-s.tasksPerWorker[w.id])
	}
	return fitsIn(need, m.freeFor(s, w), most)
}

// Approval is one approved worker of a response.
type Approval struct {
	Worker domain.WorkerID
	Ticket string
}

// ApprovalFailed handles a request that was not answered.
func (m *Machine) ApprovalFailed(r ApprovalRequest) {
	m.approvers.Failed(r.Grant, m.nowMS)
	if s := m.finishRequest(r.Step); s != nil {
		s.nextApprovalMS = m.nowMS + approvalRetryDelayMS
	}
}

// finishRequest marks a request as finished and returns its step, or nil if the step no longer
// needs approvals.
func (m *Machine) finishRequest(id StepID) *step {
	m.needsPass = true
	s := m.findStep(id)
	if s == nil || s.job.state.Terminal() {
		return nil
	}
	s.approvalPending = false
	s.approverWaitSinceMS = 0
	return s
}

// ApprovalAnswered handles the response to a request: the approved workers, and for how long the
// approvals are valid.
func (m *Machine) ApprovalAnswered(r ApprovalRequest, approved []Approval, validMS int64) {
	m.approvers.Answered(r.Grant, m.nowMS)
	s := m.finishRequest(r.Step)
	if s == nil {
		return
	}
	s.nextDiscoveryMS = m.nowMS + minDiscoveryIntervalMS
	s.approvalAnswered = true
	if s.open == 0 {
		return
	}
	if s.tickets == nil {
		s.tickets = make(map[int]approval, len(approved))
	}
	s.verdicts = append(s.verdicts, make([]verdict, max(0, m.slotCount-len(s.verdicts)))...)
	undecided, newlyApproved := 0, 0
	known := make(map[domain.WorkerID]bool, len(r.Workers))
	for _, id := range r.Workers {
		if w, ok := m.workers[id]; ok {
			if known[id] = s.verdicts[w.slot] != verdictUnknown; !known[id] {
				undecided++
			}
			s.verdicts[w.slot] = verdictDenied
		}
	}
	for _, g := range approved {
		w, ok := m.workers[g.Worker]
		if !ok {
			continue
		}
		s.verdicts[w.slot] = verdictApproved
		if !known[w.id] {
			newlyApproved++
		}
		// The ticket's validity began before the response arrived.
		s.tickets[w.slot] = approval{ticket: g.Ticket, workerStartedMS: w.startedMS, expiresMS: m.nowMS + validMS - approvalTransitMS}
	}
	// Requests for workers that are known to be approved say nothing about the others.
	if undecided > 0 {
		st := m.statsOf(s.job.queue)
		st.rate += (float64(newlyApproved)/float64(undecided) - st.rate) * approvalRateWeight
	}
}

// approvalTransitMS bounds the transit time of a response.
const approvalTransitMS = 60
