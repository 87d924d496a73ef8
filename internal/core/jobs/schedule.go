package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// Ranks of waiting steps, before priority and deadline.
const (
	rankNormal int64 = iota
	rankOverRate
	// rankLate steps cannot meet the objective any more but earn something.
	rankLate
	rankExpired
)

// lateFactor times the objective is how late a result is still of use.
const usefulLatenessFactor = 3

// rank orders a waiting step.
func (m *Machine) rank(s *step) int64 {
	j := s.job
	if s.spec.Lasting {
		return rankNormal
	}
	remaining := s.spec.EstimateMS
	switch {
	case m.nowMS+remaining > s.occurrence.deadlineMS+(usefulLatenessFactor-1)*j.objectiveMS():
		return rankExpired
	case m.nowMS+remaining > s.occurrence.deadlineMS:
		return rankLate
	case j.overRate:
		return rankOverRate
	}
	return rankNormal
}

// Tiers of waiting steps, before priority.
const (
	// tierHurried steps miss their objective if they wait much longer.
	tierUrgent int64 = iota
	// tierPatient steps have time left, or are late, or beyond their team's rate.
	tierDeferrable
	tierExpired
)

// Figures of the time that a step has to spare.
const (
	// hurriedShare of the time to spare at the beginning is when a step is hurried.
	urgentSlackShare = 0.5
	// hurriedMS is the time to spare under which a step is always hurried. Room
	// and approvals may take that long when all is full.
	urgentSlackMS = 2000
)

// tier orders a waiting step of a rank. Work that has time to spare yields to
// short work of any kind until half of that time is used up. Gangs do not: they
// need it to gather approvals and room. A team that sends more than its weight
// grants makes no other late.
func (m *Machine) tier(s *step, rank int64) int64 {
	switch {
	case rank == rankExpired:
		return tierExpired
	case rank != rankNormal:
		return tierDeferrable
	case s.spec.Lasting || s.spec.Gang:
		return tierUrgent
	}
	spare := s.occurrence.deadlineMS - m.nowMS - s.spec.EstimateMS
	initial := s.job.objectiveMS() - s.job.criticalPathMS
	if spare < max(urgentSlackMS, int64(urgentSlackShare*float64(initial))) {
		return tierUrgent
	}
	return tierDeferrable
}

// passIntervalMS is the least time between placement passes. Changes in
// between are placed together.
const passIntervalMS = 8

// Bounds of one pass. Steps that come later in the order wait for the next one.
const (
	// scansTimesWorkers bounds the work of a pass whatever the size of the fleet.
	scansTimesWorkers = 42_000
	minScansPerPass   = 60
	maxScansPerPass   = 400
	// gangsTimesWorkers bounds the gangs of a pass in the same way, and
	// workersPerGang lets a large fleet place more.
	gangsTimesWorkers = 10_000
	minGangsPerPass   = 10
	workersPerGang    = 10
)

// servicePass is what a placement pass knows of a service's workers.
type servicePass struct {
	usable []*worker
	// most is the largest free amount of each component on any worker.
	maxFree domain.Resources
	stale   bool
	scans   int
	gangs   int
}

// Schedule places waiting tasks. It does nothing where nothing has changed.
func (m *Machine) Schedule() {
	if !m.needsPass || m.nowMS-m.lastPassMS < passIntervalMS && m.lastPassMS > 0 {
		return
	}
	m.needsPass = false
	m.lastPassMS = m.nowMS
	if len(m.ready) == 0 {
		return
	}
	for _, s := range m.ready {
		s.rank = m.rank(s)
		s.tier = m.tier(s, s.rank)
	}
	slices.SortStableFunc(m.ready, compareSteps)
	m.servicePasses = make(map[string]*servicePass)
	for _, w := range m.sortedWorkers {
		w.heldInPass = domain.Resources{}
	}
	m.boundUnreported()
	m.sumDemand()
	blocked := make(map[*team]bool)
	for _, s := range slices.Clone(m.ready) {
		if s.ready {
			m.placeStep(s, blocked)
		}
	}
	kept := m.ready[:0]
	for _, s := range m.ready {
		if s.waiting > 0 {
			kept = append(kept, s)
			continue
		}
		s.ready = false
		m.releaseHold(s)
	}
	m.ready = kept
}

func (m *Machine) passOf(s *step) *servicePass {
	service := s.job.queue.Service
	p, ok := m.servicePasses[service]
	if !ok {
		p = &servicePass{stale: true}
		for _, w := range m.sortedWorkers {
			if w.service == service && m.usable(w) {
				p.usable = append(p.usable, w)
			}
		}
		m.servicePasses[service] = p
	}
	if p.stale {
		p.stale = false
		p.maxFree = domain.Resources{}
		for _, w := range p.usable {
			p.maxFree = p.maxFree.Max(m.freeFor(s, w))
		}
	}
	return p
}

// usableFor returns the workers that may get work of the step's service.
func (m *Machine) usableFor(s *step) []*worker { return m.passOf(s).usable }

func compareSteps(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.occurrence.deadlineMS, b.occurrence.deadlineMS),
		cmp.Compare(a.job.id, b.job.id),
		cmp.Compare(a.number, b.number),
	)
}

// countDemand sums what the teams' useful steps wait for.
func (m *Machine) sumDemand() {
	for _, t := range m.teams {
		clear(t.demand)
	}
	for _, s := range m.ready {
		if t := s.job.team; s.tier != tierExpired && !s.spec.Lasting {
			d := t.demand[s.job.queue.Priority]
			d.need = d.need.Add(s.spec.Need.Scale(int64(s.waiting)))
			d.tasks += s.waiting
			d.sumMS += int64(s.waiting) * s.spec.EstimateMS
			t.demand[s.job.queue.Priority] = d
		}
	}
}

// countUnseen bounds what each team may run on workers that have not reported
// since the takeover: no more than its recovered tasks that are not accounted
// for, and no more than those workers hold.
func (m *Machine) boundUnreported() {
	for _, t := range m.teams {
		t.maxUnreported = domain.Resources{}
	}
	if len(m.suspects) == 0 {
		return
	}
	for _, s := range m.ready {
		if j := s.job; j.recovered && !j.state.Terminal() {
			j.team.maxUnreported = j.team.maxUnreported.Add(s.spec.Need.Scale(int64(s.waiting)))
		}
	}
	room := m.suspectCapacity()
	for _, t := range m.teams {
		t.maxUnreported = t.maxUnreported.Min(room)
	}
}

// suspectRoom is the capacity of the workers that have not reported. One that is
// not listed any more counts as the largest worker.
func (m *Machine) suspectCapacity() domain.Resources {
	var room, largest domain.Resources
	for _, w := range m.sortedWorkers {
		largest = largest.Max(w.capacity)
	}
	for id := range m.suspects {
		if w, ok := m.workers[id]; ok {
			room = room.Add(w.capacity)
			continue
		}
		room = room.Add(largest)
	}
	return room
}

// placeStep places what it can of one step and asks for approvals.
func (m *Machine) placeStep(s *step, blocked map[*team]bool) {
	j := s.job
	if j.state.Terminal() || s.waiting == 0 {
		return
	}
	if j.recovered && len(m.suspects) > 0 {
		s.waitReason = waitSuspects
		return
	}
	p := m.passOf(s)
	s.waitReason = waitTurn
	if p.scans >= min(maxScansPerPass, max(minScansPerPass, scansTimesWorkers/max(1, len(p.usable)))) {
		return
	}
	if s.spec.Gang {
		if s.waiting < s.open {
			s.waitReason = waitRepair
			m.repairGang(s)
			p.stale = true
			return
		}
		// A gang that its team's limit keeps back takes no other's turn.
		if !m.gangCanStart(s, blocked) {
			return
		}
		if p.gangs++; p.gangs <= gangsPerPass(len(p.usable)) {
			p.scans++
			m.placeGang(s)
			p.stale = true
		}
		return
	}
	if blocked[j.team] {
		s.waitReason = waitTeamLimit
		return
	}
	s.waitReason = waitRoom
	if !s.spec.Reserved().Fits(p.maxFree) {
		return
	}
	p.scans++
	p.stale = true
	for _, t := range s.tasks {
		if t.phase != taskWaiting || !m.startable(t) {
			continue
		}
		if !j.team.withinLimit(s.spec.Need) {
			blocked[j.team] = true
			s.waitReason = waitTeamLimit
			return
		}
		if !j.team.leavesRoomForUrgent(s, s.spec.Need) {
			s.waitReason = waitTeamUrgent
			return
		}
		w := m.pick(s)
		if w == nil || !j.durable {
			break
		}
		m.start(t, w, max(t.lastRun, m.firstRunNumber(j))+1)
	}
	if s.waiting > 0 {
		m.reserveForWaiting(s)
	}
}

func gangsPerPass(workers int) int {
	return max(minGangsPerPass, workers/workersPerGang, gangsTimesWorkers/max(1, workers))
}

// startable reports whether nothing keeps a waiting task from its next run.
func (m *Machine) startable(t *task) bool {
	return m.nowMS >= t.notBeforeMS && t.abandonedVersion <= t.step.job.storedVersion
}

// epochRun is the number that runs of this owner are higher than. Runs of
// former owners are not stored, so each later epoch begins a range of its own.
func (m *Machine) firstRunNumber(j *job) int {
	return int(m.cfg.Epoch-j.epoch) * runsPerEpoch
}

// runsPerEpoch is above the starts of one task that an owner makes.
const runsPerEpoch = 1000

// freeFor returns the room of a worker that the step may use: what is free less
// what steps earlier in the order claim.
func (m *Machine) freeFor(_ *step, w *worker) domain.Resources {
	return w.free().Sub(w.heldInPass)
}

// usable reports whether the worker may get work at all.
func (m *Machine) usable(w *worker) bool {
	return w.registered && w.contacted && w.inStoredMembers && w.clockKnown && w.unknownRuns == 0 && !w.draining && !w.evacuating && !w.hasTooManyWithheldEnds() &&
		m.nowMS >= w.health.avoidUntilMS && m.reportedRecently(w)
}

// silentMS is how long a worker may be unheard of before it gets no new work.
const maxReportAgeMS = 1800

// pick chooses the worker for one task of the step, or nil.
func (m *Machine) pick(s *step) *worker {
	need := s.spec.Reserved()
	var best *worker
	bestCost := 0.0
	for _, w := range m.usableFor(s) {
		free := m.freeFor(s, w)
		if !need.Fits(free) || !w.hasLabel(s.spec.Label) || !m.approved(s, w) ||
			s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w.id] >= s.spec.MaxPerWorker {
			continue
		}
		c := m.cost(s, w, free.Sub(need))
		if best == nil || c < bestCost {
			best, bestCost = w, c
		}
	}
	return best
}

// Weights of the placement cost.
const (
	slownessCost = 1.0
	farCost      = 1.0
	fitCost      = 2.0
)

// cost is lower for fast workers near the data and for a tight fit, which
// keeps large rooms for gangs.
func (m *Machine) cost(s *step, w *worker, left domain.Resources) float64 {
	c := slownessCost * w.slowness
	if s.spec.DataRack != "" && s.spec.DataRack != w.rack {
		c += farCost * (m.cfg.FarFactor - 1)
	}
	if s.spec.UsesLeftover {
		c += m.bestEffortCost(w)
	}
	if s.spec.Lasting || s.spec.UsesLeftover {
		return c - fitCost*left.DominantShare(w.capacity)
	}
	return c + fitCost*left.DominantShare(w.capacity)
}

// claim reserves room for the waiting tasks of the step in this pass and asks
// for approvals where these are missing.
func (m *Machine) reserveForWaiting(s *step) {
	need := s.spec.Reserved()
	var suits []*worker
	claimed := 0
	for _, w := range m.usableFor(s) {
		if !need.Fits(m.freeFor(s, w)) || !w.hasLabel(s.spec.Label) || !s.mayBeApproved(w) {
			continue
		}
		n := m.countFitting(s, w, need)
		if n == 0 {
			continue
		}
		if !m.approved(s, w) {
			suits = append(suits, w)
		}
		if claimed < s.waiting && s.verdict(w) == verdictApproved {
			n = min(n, s.waiting-claimed)
			w.heldInPass = w.heldInPass.Add(need.Scale(int64(n)))
			claimed += n
		}
	}
	if s.job.queue.Approval != nil && claimed < s.waiting || len(suits) > 0 && claimed > 0 {
		s.waitReason = waitApproval
		if len(suits) == 0 && !s.approvalPending {
			s.waitReason = waitNoApproval
		}
		m.requestBestApprovals(s, suits)
	}
	if !s.job.durable {
		s.waitReason = waitNotStored
	}
}

// start places a task on a worker and orders its start.
func (m *Machine) start(t *task, w *worker, number int) {
	r := m.place(t, w, number)
	r.phase = runSent
	r.placedMS = m.nowMS
	r.resendsLeft = maxStartResends
	r.startLimitClockMS = m.nowMS + w.clockOffset + m.cfg.StartLimitMS
	m.extendLease(w, m.cfg.StartLimitMS)
	m.out.Starts = append(m.out.Starts, m.startOrder(r))
	m.out.recordRun("run_start", r, "")
	if j := t.step.job; !j.started {
		j.started = true
		if !j.spec.Recurring() {
			m.out.FirstStartMS = append(m.out.FirstStartMS, max(0, m.unixMS-j.acceptedUnixMS))
		}
	}
}

// startResends is how often an unanswered start is sent again.
const maxStartResends = 4

func (m *Machine) startOrder(r *run) StartOrder {
	t, w := r.task, r.worker
	return StartOrder{
		Worker: w.id, Address: w.address, Task: t.id(), Run: r.number, Payload: t.step.job.spec.Payload,
		LimitClockMS: r.startLimitClockMS, Checkpoint: t.checkpoint, Ticket: t.step.ticket(w).ticket,
	}
}

// place reserves the room of a run.
func (m *Machine) place(t *task, w *worker, number int) *run {
	s := t.step
	r := &run{task: t, number: number, worker: w, reserved: s.spec.Reserved(), need: s.spec.Need, throttle: fullSpeed}
	w.runs[t.id()] = r
	w.used = w.used.Add(r.reserved)
	s.job.team.used = s.job.team.used.Add(r.need)
	s.tasksPerWorker[w.id]++
	if s.hold != nil {
		s.hold[w] = s.hold[w].Sub(r.reserved).Max(domain.Resources{})
	}
	t.lastRun = max(t.lastRun, number)
	t.startedRun = max(t.startedRun, number)
	t.runs = append(t.runs, r)
	if t.phase == taskWaiting {
		t.phase = taskActive
		s.waiting--
	}
	return r
}
