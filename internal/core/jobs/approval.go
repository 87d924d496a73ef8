package jobs

import (
	"cmp"
	"math"
	"slices"

	"auburnpier/internal/domain"
)

// approvalStats is what was seen of a queue's approvals.
type approvalStats struct {
	// rate is the smoothed share of workers that are approved.
	rate float64
}

// Figures of approval requests.
const (
	initialApprovalRate = 0.5
	approvalRateWeight  = 0.1
	// approvalSurplus asks for more workers than the rate makes necessary.
	candidateSurplus = 1.4
	// gangApprovalSurplus is the same for gangs. All members need room at once, so
	// a gang finds it sooner among more approved workers; naming them costs a
	// part of a second of its objective of many.
	gangCandidateSurplus = 3
	extraCandidates      = 2
	// cheapShare of a request's fixed duration may go into naming workers. The
	// next request for the same step would cost the fixed part again.
	namingTimeShare = 0.25
	// gangCheapShare is the same for gangs, which need room at many workers at once.
	gangNamingTimeShare = 0.5
	// MaxApprovalWorkers is the most workers that one request names.
	MaxApprovalWorkers = 100
	// approvalMarginMS is the way of a start order that uses an approval.
	startTransitMS = 120
	// approvalRetryMS is the pause after a request that was refused or unanswered.
	approvalRetryDelayMS = 100
	// approvalAgainMS is the least time between requests for the same step.
	minApprovalIntervalMS = 120
)

func (m *Machine) statsOf(q *Queue) *approvalStats {
	st, ok := m.approvalStats[q.Name]
	if !ok {
		st = &approvalStats{rate: initialApprovalRate}
		m.approvalStats[q.Name] = st
	}
	return st
}

// approved reports whether the step holds a usable approval for the worker.
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

// mayBeApproved reports whether the step was not denied the worker. The
// verdict on a worker never changes.
func (s *step) mayBeApproved(w *worker) bool {
	return s.verdict(w) != verdictDenied
}

// askApproval requests approvals for the workers that suit the step best.
func (m *Machine) requestBestApprovals(s *step, suits []*worker) {
	if s.approvalPending || m.nowMS < s.nextApprovalMS || len(suits) == 0 {
		return
	}
	if !m.approvers.Has(s.job.queue.Approval.BaseMS, m.nowMS) {
		m.waitForApprover(s)
		return
	}
	if !s.spec.Gang {
		suits = sampleCandidates(s, suits)
	}
	m.sortCandidates(s, suits)
	m.requestApprovals(s, suits[:min(m.approvalCount(s, suits), len(suits))])
}

// askFor requests approvals for these workers, unless a request is under way.
func (m *Machine) requestApprovals(s *step, workers []*worker) {
	if s.approvalPending || m.nowMS < s.nextApprovalMS || len(workers) == 0 {
		return
	}
	q := s.job.queue
	ids := make([]domain.WorkerID, 0, len(workers))
	for _, w := range workers[:min(len(workers), MaxApprovalWorkers)] {
		ids = append(ids, w.id)
	}
	expectedMS := q.Approval.BaseMS + q.Approval.PerWorkerMS*float64(len(ids))
	grant, ok := m.approvers.Take(expectedMS, m.nowMS)
	if !ok {
		m.waitForApprover(s)
		return
	}
	s.approvalPending = true
	m.out.Approvals = append(m.out.Approvals, ApprovalRequest{
		Step: StepID{s.job.id, s.occurrence.number, s.number}, Queue: q.Name, Workers: ids, Grant: grant, WaitedMS: s.approverWaitMS(m.nowMS),
	})
}

// awaitApprover has the step ask again once an instance may be free. Steps ask
// in their order, so the most urgent of those that wait is the next.
func (m *Machine) waitForApprover(s *step) {
	if s.approverWaitSinceMS == 0 {
		s.approverWaitSinceMS = m.nowMS
	}
	s.waitReason = waitApprover
	m.nextApproverMS, _ = m.approvers.NextMS(m.nowMS)
}

// approverWaitMS is how long the step has waited for an instance.
func (s *step) approverWaitMS(nowMS int64) int64 {
	if s.approverWaitSinceMS == 0 {
		return 0
	}
	return nowMS - s.approverWaitSinceMS
}

// SetApprovers replaces the instances through which the approval service is
// asked, by address.
func (m *Machine) SetApprovers(addresses []string) {
	m.approvers.SetInstances(addresses)
	m.needsPass = true
}

// candidate is a worker with what decides whether to name it in a request.
type candidate struct {
	w         *worker
	fits      bool
	approved  bool
	freeLevel int64
	hash      uint32
}

// roomLevels is how finely free room is told apart when workers are chosen for a request.
const freeLevels = 4

// orderCandidates puts workers with room first, then those known to be
// approved, then those with most room. Steps that ask at the same time name
// different ones of many like workers.
func (m *Machine) sortCandidates(s *step, suits []*worker) {
	need := s.spec.Reserved()
	seed := s.hashSeed()
	list := make([]candidate, len(suits))
	for i, w := range suits {
		free := m.freeFor(s, w)
		list[i] = candidate{w: w, fits: need.Fits(free), approved: s.verdict(w) == verdictApproved,
			freeLevel: free.CPUMilli * freeLevels / max(1, w.capacity.CPUMilli),
			hash:      (seed ^ uint32(w.slot)) * fnvPrime * fnvPrime}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBools(a.fits, b.fits), compareBools(a.approved, b.approved), cmp.Compare(b.freeLevel, a.freeLevel),
			cmp.Compare(a.hash, b.hash))
	})
	for i, c := range list {
		suits[i] = c.w
	}
}

// seed differs between steps.
func (s *step) hashSeed() uint32 {
	seed := uint32(s.number)
	for _, c := range []byte(s.job.id) {
		seed = (seed ^ uint32(c)) * fnvPrime
	}
	return seed
}

// maxConsidered bounds the workers that are compared for tasks that start one by one.
const maxCandidates = 64

// someOf cuts the list to those known to be approved and some of the others.
func sampleCandidates(s *step, suits []*worker) []*worker {
	if len(suits) <= maxCandidates {
		return suits
	}
	list := make([]*worker, 0, maxCandidates)
	for _, w := range suits {
		if s.verdict(w) == verdictApproved && len(list) < maxCandidates {
			list = append(list, w)
		}
	}
	first := int(s.hashSeed() % uint32(len(suits)))
	for i := range suits {
		w := suits[(first+i)%len(suits)]
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

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// approvalCount is how many workers to name so that the step's waiting tasks
// find enough approved ones.
func (m *Machine) approvalCount(s *step, suits []*worker) int {
	rate := max(0.05, m.statsOf(s.job.queue).rate)
	need := s.spec.Reserved()
	surplus := candidateSurplus
	if s.spec.Gang {
		surplus = gangCandidateSurplus
	}
	room, workers := 0, 0
	for _, w := range suits {
		fits := m.countFitting(s, w, need)
		if fits == 0 {
			continue
		}
		expected := float64(fits) * rate
		if s.verdict(w) == verdictApproved {
			expected = float64(fits)
		}
		room += int(math.Ceil(expected * 100))
		workers++
		if float64(room)/100 >= float64(s.waiting)*surplus {
			break
		}
	}
	least := max(int(math.Ceil(2/rate)), lowCostCount(s))
	return min(MaxApprovalWorkers, max(workers+extraCandidates, least))
}

// cheapCount is how many workers may be named at little cost beside the fixed
// part of the request.
func lowCostCount(s *step) int {
	policy := s.job.queue.Approval
	if policy.PerWorkerMS <= 0 {
		return MaxApprovalWorkers
	}
	share := namingTimeShare
	if s.spec.Gang {
		share = gangNamingTimeShare
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

// Approval is one approved worker of an answer.
type Approval struct {
	Worker domain.WorkerID
	Ticket string
}

// ApprovalFailed tells that a request had no answer.
func (m *Machine) ApprovalFailed(r ApprovalRequest) {
	m.approvers.Failed(r.Grant, m.nowMS)
	if s := m.finishRequest(r.Step); s != nil {
		s.nextApprovalMS = m.nowMS + approvalRetryDelayMS
	}
}

// requestEnded returns the step of a request that is over, nil where it needs
// no approval any more.
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

// ApprovalAnswered takes the answer to a request: the workers that are approved
// and for how long.
func (m *Machine) ApprovalAnswered(r ApprovalRequest, good []Approval, validMS int64) {
	m.approvers.Answered(r.Grant, m.nowMS)
	s := m.finishRequest(r.Step)
	if s == nil {
		return
	}
	s.nextApprovalMS = m.nowMS + minApprovalIntervalMS
	s.approvalAnswered = true
	if s.open == 0 {
		return
	}
	if s.tickets == nil {
		s.tickets = make(map[int]approval, len(good))
	}
	s.verdicts = append(s.verdicts, make([]verdict, max(0, m.slotCount-len(s.verdicts)))...)
	for _, id := range r.Workers {
		if w, ok := m.workers[id]; ok {
			s.verdicts[w.slot] = verdictDenied
		}
	}
	for _, g := range good {
		w, ok := m.workers[g.Worker]
		if !ok {
			continue
		}
		s.verdicts[w.slot] = verdictApproved
		// The answer took a part of the time that the ticket is valid.
		s.tickets[w.slot] = approval{ticket: g.Ticket, workerStartedMS: w.startedMS, expiresMS: m.nowMS + validMS - approvalTransitMS}
	}
	st := m.statsOf(s.job.queue)
	st.rate += (float64(len(good))/float64(max(1, len(r.Workers))) - st.rate) * approvalRateWeight
}

// approvalTransitMS covers the way of an answer.
const approvalTransitMS = 60
