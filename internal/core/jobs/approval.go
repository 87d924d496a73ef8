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
	approvalSurplus = 1.4
	// gangApprovalSurplus is the same for gangs. All members need room at once, so
	// a gang finds it sooner among more approved workers; naming them costs a
	// part of a second of its objective of many.
	gangApprovalSurplus = 3
	approvalExtra       = 2
	// cheapShare of a request's fixed duration may go into naming workers. The
	// next request for the same step would cost the fixed part again.
	cheapShare = 0.25
	// gangCheapShare is the same for gangs, which need room at many workers at once.
	gangCheapShare = 0.5
	// MaxApprovalWorkers is the most workers that one request names.
	MaxApprovalWorkers = 100
	// approvalMarginMS is the way of a start order that uses an approval.
	approvalMarginMS = 120
	// approvalRetryMS is the pause after a request that was refused or unanswered.
	approvalRetryMS = 100
	// approvalAgainMS is the least time between requests for the same step.
	approvalAgainMS = 120
)

func (m *Machine) statsOf(q *Queue) *approvalStats {
	st, ok := m.approvals[q.Name]
	if !ok {
		st = &approvalStats{rate: initialApprovalRate}
		m.approvals[q.Name] = st
	}
	return st
}

// approved reports whether the step holds a usable approval for the worker.
func (m *Machine) approved(s *step, w *worker) bool {
	if s.job.queue.Approval == nil {
		return true
	}
	a := s.ticket(w)
	return a.bornMS == w.bornMS && a.expiresMS > m.nowMS+approvalMarginMS
}

func (s *step) forgetTicket(w *worker) {
	delete(s.tickets, w.slot)
}

// mayBeApproved reports whether the step was not denied the worker. The
// verdict on a worker never changes.
func (s *step) mayBeApproved(w *worker) bool {
	return s.verdict(w) != verdictBad
}

// askApproval requests approvals for the workers that suit the step best.
func (m *Machine) askApproval(s *step, suits []*worker) {
	if s.asking || m.nowMS < s.askAgainMS || len(suits) == 0 {
		return
	}
	if !m.approvers.Has(s.job.queue.Approval.BaseMS, m.nowMS) {
		m.awaitApprover(s)
		return
	}
	if !s.spec.Gang {
		suits = someOf(s, suits)
	}
	m.orderCandidates(s, suits)
	m.askFor(s, suits[:min(m.approvalCount(s, suits), len(suits))])
}

// askFor requests approvals for these workers, unless a request is under way.
func (m *Machine) askFor(s *step, workers []*worker) {
	if s.asking || m.nowMS < s.askAgainMS || len(workers) == 0 {
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
		m.awaitApprover(s)
		return
	}
	s.asking = true
	m.out.Approvals = append(m.out.Approvals, ApprovalRequest{
		Step: StepID{s.job.id, s.occ.number, s.number}, Queue: q.Name, Workers: ids, Grant: grant, WaitedMS: s.approverWaitMS(m.nowMS),
	})
}

// awaitApprover has the step ask again once an instance may be free. Steps ask
// in their order, so the most urgent of those that wait is the next.
func (m *Machine) awaitApprover(s *step) {
	if s.wantsMS == 0 {
		s.wantsMS = m.nowMS
	}
	s.waitReason = waitApprover
	m.approverAtMS, _ = m.approvers.NextMS(m.nowMS)
}

// approverWaitMS is how long the step has waited for an instance.
func (s *step) approverWaitMS(nowMS int64) int64 {
	if s.wantsMS == 0 {
		return 0
	}
	return nowMS - s.wantsMS
}

// SetApprovers replaces the instances through which the approval service is
// asked, by address.
func (m *Machine) SetApprovers(addresses []string) {
	m.approvers.SetInstances(addresses)
	m.needsPass = true
}

// candidate is a worker with what decides whether to name it in a request.
type candidate struct {
	w     *worker
	fits  bool
	good  bool
	level int64
	mixed uint32
}

// roomLevels is how finely free room is told apart when workers are chosen for a request.
const roomLevels = 4

// orderCandidates puts workers with room first, then those known to be
// approved, then those with most room. Steps that ask at the same time name
// different ones of many like workers.
func (m *Machine) orderCandidates(s *step, suits []*worker) {
	need := s.spec.Reserved()
	seed := s.seed()
	list := make([]candidate, len(suits))
	for i, w := range suits {
		free := m.freeFor(s, w)
		list[i] = candidate{w: w, fits: need.Fits(free), good: s.verdict(w) == verdictGood,
			level: free.CPUMilli * roomLevels / max(1, w.capacity.CPUMilli),
			mixed: (seed ^ uint32(w.slot)) * fnvPrime * fnvPrime}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBools(a.fits, b.fits), compareBools(a.good, b.good), cmp.Compare(b.level, a.level),
			cmp.Compare(a.mixed, b.mixed))
	})
	for i, c := range list {
		suits[i] = c.w
	}
}

// seed differs between steps.
func (s *step) seed() uint32 {
	seed := uint32(s.number)
	for _, c := range []byte(s.job.id) {
		seed = (seed ^ uint32(c)) * fnvPrime
	}
	return seed
}

// maxConsidered bounds the workers that are compared for tasks that start one by one.
const maxConsidered = 64

// someOf cuts the list to those known to be approved and some of the others.
func someOf(s *step, suits []*worker) []*worker {
	if len(suits) <= maxConsidered {
		return suits
	}
	list := make([]*worker, 0, maxConsidered)
	for _, w := range suits {
		if s.verdict(w) == verdictGood && len(list) < maxConsidered {
			list = append(list, w)
		}
	}
	first := int(s.seed() % uint32(len(suits)))
	for i := range suits {
		w := suits[(first+i)%len(suits)]
		if len(list) >= maxConsidered {
			break
		}
		if s.verdict(w) != verdictGood {
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
	surplus := approvalSurplus
	if s.spec.Gang {
		surplus = gangApprovalSurplus
	}
	room, workers := 0, 0
	for _, w := range suits {
		fits := m.fitCount(s, w, need)
		if fits == 0 {
			continue
		}
		expected := float64(fits) * rate
		if s.verdict(w) == verdictGood {
			expected = float64(fits)
		}
		room += int(math.Ceil(expected * 100))
		workers++
		if float64(room)/100 >= float64(s.waiting)*surplus {
			break
		}
	}
	least := max(int(math.Ceil(2/rate)), cheapCount(s))
	return min(MaxApprovalWorkers, max(workers+approvalExtra, least))
}

// cheapCount is how many workers may be named at little cost beside the fixed
// part of the request.
func cheapCount(s *step) int {
	policy := s.job.queue.Approval
	if policy.PerWorkerMS <= 0 {
		return MaxApprovalWorkers
	}
	share := cheapShare
	if s.spec.Gang {
		share = gangCheapShare
	}
	return int(policy.BaseMS * share / policy.PerWorkerMS)
}

func (m *Machine) fitCount(s *step, w *worker, need domain.Resources) int {
	most := s.waiting
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-s.perWorker[w.id])
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
	if s := m.requestEnded(r.Step); s != nil {
		s.askAgainMS = m.nowMS + approvalRetryMS
	}
}

// requestEnded returns the step of a request that is over, nil where it needs
// no approval any more.
func (m *Machine) requestEnded(id StepID) *step {
	m.needsPass = true
	s := m.findStep(id)
	if s == nil || s.job.state.Terminal() {
		return nil
	}
	s.asking = false
	s.wantsMS = 0
	return s
}

// ApprovalAnswered takes the answer to a request: the workers that are approved
// and for how long.
func (m *Machine) ApprovalAnswered(r ApprovalRequest, good []Approval, validMS int64) {
	m.approvers.Answered(r.Grant, m.nowMS)
	s := m.requestEnded(r.Step)
	if s == nil {
		return
	}
	s.askAgainMS = m.nowMS + approvalAgainMS
	s.asked = true
	if s.open == 0 {
		return
	}
	if s.tickets == nil {
		s.tickets = make(map[int]approval, len(good))
	}
	s.verdicts = append(s.verdicts, make([]verdict, max(0, m.slots-len(s.verdicts)))...)
	for _, id := range r.Workers {
		if w, ok := m.workers[id]; ok {
			s.verdicts[w.slot] = verdictBad
		}
	}
	for _, g := range good {
		w, ok := m.workers[g.Worker]
		if !ok {
			continue
		}
		s.verdicts[w.slot] = verdictGood
		// The answer took a part of the time that the ticket is valid.
		s.tickets[w.slot] = approval{ticket: g.Ticket, bornMS: w.bornMS, expiresMS: m.nowMS + validMS - approvalTransitMS}
	}
	st := m.statsOf(s.job.queue)
	st.rate += (float64(len(good))/float64(max(1, len(r.Workers))) - st.rate) * approvalRateWeight
}

// approvalTransitMS covers the way of an answer.
const approvalTransitMS = 60
