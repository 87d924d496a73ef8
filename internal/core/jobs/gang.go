package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// Parameters of gang scheduling.
const (
	// gangRepairShare is the fraction of GangWaitMS in which a refused member may be placed on
	// another worker. After that the gang is stopped.
	gangRepairShare = 0.5
	// holdMS is how long capacity is held for a gang before it is planned again.
	holdMS = 3000
	// minHolds and workersPerHold limit the number of gangs that hold capacity at the same time,
	// and so what they withhold from other steps.
	minHolds       = 6
	workersPerHold = 10
	// maxSameRackWaitMS bounds how long a gang that is faster within one rack waits for one.
	maxSameRackWaitMS = 2000
	// minPreemptionIntervalMS is the minimum time between preemptions for one gang.
	minPreemptionIntervalMS = 1200
)

// gangCanStart reports whether all members are startable and the team's limit permits the gang.
func (m *Machine) gangCanStart(s *step, blocked map[*team]bool) bool {
	j := s.job
	for _, t := range s.active {
		if !m.startable(t) {
			return false
		}
	}
	if !m.mayActivate(s.open - len(s.active)) {
		s.waitReason = waitMemory
		return false
	}
	total := s.spec.Need.Scale(int64(s.open))
	if !j.team.withinLimit(total) && !(j.team.used.IsZero() && j.team.maxUnreported.IsZero() && j.team.fitsLimitAlone(total, m.cfg.LimitOvershoot)) {
		s.waitReason = waitTeamLimit
		if !j.team.fitsLimitAlone(total, 0) {
			// It can only start while the team runs nothing else, so no other step of the team is
			// started.
			s.waitReason = waitTooLarge
			blocked[j.team] = true
		}
		return false
	}
	if !j.team.leavesRoomForUrgent(s, total) && !j.team.used.IsZero() {
		s.waitReason = waitTeamUrgent
		return false
	}
	return true
}

// placeGang starts either all members of a gang or none.
func (m *Machine) placeGang(s *step) {
	m.mayStartGang(true)
	plan := m.planGang(s, m.approved, m.freeFor)
	m.mayStartGang(false)
	if plan != nil {
		if !s.job.durable {
			s.waitReason = waitNotStored
			m.holdPlan(s, plan)
			return
		}
		m.startGang(s, plan)
		return
	}
	m.prepareGang(s)
}

// gangPlan lists the worker for each member to start.
type gangPlan []*worker

// distinctWorkers returns the workers of the plan without duplicates.
func distinctWorkers(plan gangPlan) []*worker {
	var list []*worker
	for _, w := range plan {
		if !slices.Contains(list, w) {
			list = append(list, w)
		}
	}
	return list
}

type freeFunc func(s *step, w *worker) domain.Resources

// planGang finds a worker for each member. If the step is faster within one rack, it spreads over several
// only after sameRackWaitMS.
func (m *Machine) planGang(s *step, approved func(*step, *worker) bool, freeOn freeFunc) gangPlan {
	if !s.spec.SameRack {
		return m.planOn(s, m.usableFor(s), approved, freeOn)
	}
	racks := m.racksOf(s)
	planRack := func(wanted bool) gangPlan {
		for _, r := range racks {
			if (r.rack == s.spec.DataRack) != wanted {
				continue
			}
			if plan := m.planOn(s, r.workers, approved, freeOn); plan != nil {
				return plan
			}
		}
		return nil
	}
	// The rack of the data comes first.
	if plan := planRack(true); plan != nil {
		return plan
	}
	if plan := planRack(false); plan != nil {
		return plan
	}
	if m.nowMS-s.readyMS < m.sameRackWaitMS(s) {
		return nil
	}
	return m.planOn(s, m.usableFor(s), approved, freeOn)
}

// rackWorkers lists the usable workers of a rack.
type rackWorkers struct {
	rack domain.RackID
	// speed is the mean speed level of the workers, rounded, or zero unless speeds are learned.
	speed   int
	workers []*worker
}

// racksOf returns the racks of the workers that the step may use, the fastest first. The usable workers do not change within a pass, so they are
// divided once.
func (m *Machine) racksOf(s *step) []rackWorkers {
	p := m.passOf(s)
	if p.racks == nil {
		p.racks = m.divideByRack(p.usable)
	}
	return p.racks
}

func (m *Machine) divideByRack(workers []*worker) []rackWorkers {
	var racks []rackWorkers
	indices := make(map[domain.RackID]int)
	for _, w := range workers {
		i, known := indices[w.rack]
		if !known {
			i = len(racks)
			indices[w.rack] = i
			racks = append(racks, rackWorkers{rack: w.rack})
		}
		racks[i].workers = append(racks[i].workers, w)
	}
	for i := range racks {
		r := &racks[i]
		r.speed = m.meanSpeedLevel(r.workers)
		if r.rack == "" {
			// Which workers without a rack are near each other is not known, so the members may go anywhere.
			r.workers = workers
		}
	}
	slices.SortFunc(racks, func(a, b rackWorkers) int { return cmp.Or(cmp.Compare(b.speed, a.speed), cmp.Compare(a.rack, b.rack)) })
	return racks
}

// sameRackWaitMS returns how long the step waits for a rack that has room for all members: at most as long as
// it takes longer on several racks.
func (m *Machine) sameRackWaitMS(s *step) int64 {
	return min(maxSameRackWaitMS, int64((m.cfg.OffRackFactor-1)*float64(s.estimateMS)))
}

type gangSlot struct {
	w     *worker
	count int
	cost  float64
}

// planOn finds a worker for each member among the given ones.
func (m *Machine) planOn(s *step, workers []*worker, approved func(*step, *worker) bool, freeOn freeFunc) gangPlan {
	need := s.spec.Reserved()
	slots := m.slots[:0]
	defer func() {
		clear(slots)
		m.slots = slots[:0]
	}()
	total := 0
	for _, w := range workers {
		if !w.hasLabel(s.spec.Label) || !approved(s, w) || !m.trusts(s, w) {
			continue
		}
		free := freeOn(s, w)
		if !need.Fits(free) {
			continue
		}
		n := fitsIn(need, free, s.open)
		if s.spec.MaxPerWorker > 0 {
			n = min(n, s.spec.MaxPerWorker)
		}
		if n == 0 {
			continue
		}
		total += n
		cost := m.cost(s, w, free.Sub(need.Scale(int64(n))))
		if m.breaksHold(s, w, need) {
			cost += brokenHoldCost
		}
		slots = append(slots, gangSlot{w, n, cost})
	}
	if total < s.open {
		return nil
	}
	plain := m.addSeparation(s, slots)
	sortSlots(slots)
	m.noteGangChoice(s, plain, slots)
	chosen := slots
	if m.cfg.Features.WorkerSpeeds {
		chosen = likeSpeeds(slots, s.open)
	}
	plan := make(gangPlan, 0, s.open)
	for _, slot := range chosen {
		for i := 0; i < slot.count && len(plan) < s.open; i++ {
			plan = append(plan, slot.w)
		}
	}
	return plan
}

func sortSlots(slots []gangSlot) {
	slices.SortStableFunc(slots, func(a, b gangSlot) int { return cmp.Compare(a.cost, b.cost) })
}

func fitsIn(need, free domain.Resources, most int) int {
	n := most
	if need.CPUMilli > 0 {
		n = min(n, int(free.CPUMilli/need.CPUMilli))
	}
	if need.MemoryMB > 0 {
		n = min(n, int(free.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int(free.Accelerators/need.Accelerators))
	}
	return max(n, 0)
}

func (m *Machine) startGang(s *step, plan gangPlan) {
	s.gangRun = max(s.gangRun, m.firstRunNumber(s.job), s.lastRun) + 1
	s.gangPlacedMS = m.nowMS
	s.gangMemberEnded = false
	i := 0
	s.eachWaiting(func(index int, _ *task) bool {
		m.start(m.task(s, index), plan[i], s.gangRun)
		i++
		return true
	})
	m.countChoice()
	m.releaseHold(s)
}

// repairGang places refused members again while the others wait for them, and stops a gang that
// cannot be completed in time.
func (m *Machine) repairGang(s *step) {
	repairMS := int64(float64(m.cfg.GangWaitMS) * gangRepairShare)
	repairable := !s.gangMemberEnded && m.nowMS-s.gangPlacedMS < repairMS
	for _, t := range s.active {
		for _, r := range t.runs {
			repairable = repairable && r.phase != runStopping && r.number == s.gangRun
		}
	}
	s.eachWaiting(func(index int, t *task) bool {
		if !repairable || t != nil && !m.startable(t) {
			return repairable
		}
		w, _ := m.pick(s)
		if w == nil {
			return false
		}
		m.start(m.task(s, index), w, s.gangRun)
		m.countChoice()
		return true
	})
	if s.waiting > 0 && m.nowMS-s.gangPlacedMS >= repairMS {
		m.stopStep(s, "gang member missing")
	}
}

// gangStopMarginMS covers the transit of a stop order, in addition to the worker's own time.
const gangStopMarginMS = 500

// gangIncomplete reports whether a member is still missing at the time when the gang has to be
// stopped, so that no member times out waiting for the others. It relies neither on scheduling
// passes, which may skip a gang when many steps wait, nor on worker reports.
func (m *Machine) gangIncomplete(s *step) bool {
	age := m.nowMS - s.gangPlacedMS
	if s.gangPlacedMS == 0 || age < m.cfg.GangWaitMS-m.cfg.StopMS-gangStopMarginMS || age > m.cfg.GangWaitMS {
		return false
	}
	present := s.spec.Tasks - s.open
	for _, t := range s.active {
		if t.phase != taskDone && slices.ContainsFunc(t.runs, func(r *run) bool { return r.number == s.gangRun && r.confirmedMS > 0 }) {
			present++
		}
	}
	return present < s.spec.Tasks
}

// holdPlan withholds the capacity of a plan from later steps of this pass.
func (m *Machine) holdPlan(s *step, plan gangPlan) {
	need := s.spec.Reserved()
	for _, w := range plan {
		w.heldInPass = w.heldInPass.Add(need)
	}
}

func notDenied(s *step, w *worker) bool { return s.mayBeApproved(w) }

func approvedOrExempt(s *step, w *worker) bool {
	return s.job.queue.Approval == nil || s.verdict(w) == verdictApproved
}

// prepareGang requests approvals, holds capacity, and preempts other runs if that makes room for
// the gang.
func (m *Machine) prepareGang(s *step) {
	s.waitReason = waitApproval
	if s.job.queue.Approval != nil {
		if s.approvalPending && s.hold != nil && m.nowMS < s.holdUntilMS {
			m.applyHold(s)
			return
		}
		if plan := m.planGang(s, approvedOrExempt, m.freeFor); plan != nil {
			// Hold this capacity until the approvals for just these workers arrive.
			m.holdFor(s, plan)
			m.applyHold(s)
			m.requestApprovals(s, distinctWorkers(plan))
			return
		}
	}
	// A request in flight would delay the one for the workers that are made free.
	if !s.approvalPending && m.nowMS-s.lastPreemptionMS >= minPreemptionIntervalMS && m.mayPreempt(s) {
		var plan gangPlan
		if m.fair != nil && m.fair.flooding {
			plan = m.planGang(s, approvedOrExempt, m.freeByYielding)
		}
		if plan == nil {
			plan = m.planGang(s, approvedOrExempt, m.freeByPreemption)
		}
		if plan != nil && s.job.durable {
			m.preempt(s, plan)
			s.lastPreemptionMS = m.nowMS
			m.holdFor(s, plan)
			m.applyHold(s)
			if s.job.queue.Approval != nil {
				// The approvals arrive about when the preempted runs have ended.
				m.requestApprovals(s, distinctWorkers(plan))
			}
			return
		}
	}
	if s.job.queue.Approval != nil && (!s.approvalAnswered || m.countUndecided(s) > 0) {
		if s.mayRequest(m.nowMS) {
			m.requestBestApprovals(s, m.candidateWorkers(s, notDenied))
		}
		if !s.approvalAnswered {
			return
		}
	}
	s.waitReason = waitNoApproval
	if s.hold == nil || m.nowMS >= s.holdUntilMS {
		m.releaseHold(s)
		// A gang that waits for teams within their share must not keep the others out.
		if s.class == notBehind && m.holds < m.maxHolds(s) {
			if plan := m.planGang(s, approvedOrExempt, m.freeAfterFiniteTasks); plan != nil {
				m.holdFor(s, plan)
			}
		}
	}
	if s.hold != nil {
		s.waitReason = waitHeld
	}
	m.applyHold(s)
}

// applyHold withholds the step's held capacity from later steps of this pass.
func (m *Machine) applyHold(s *step) {
	for w, r := range s.hold {
		w.heldInPass = w.heldInPass.Add(r)
	}
}

// sumHold counts the step if it holds capacity, and adds what it holds to that of all gangs on each worker. A step that comes after those of teams
// within their share holds capacity only until its approvals arrive, and is not counted.
func (m *Machine) sumHold(s *step) {
	if s.class != notBehind && !s.approvalPending {
		s.hold = nil
	}
	if s.hold == nil || s.class != notBehind {
		return
	}
	m.holds++
	if m.nowMS >= s.holdUntilMS {
		return
	}
	for w, r := range s.hold {
		w.heldForGangs = w.heldForGangs.Add(r)
	}
}

// breaksHold reports whether a task of a step without a hold would use capacity that a gang holds.
func (m *Machine) breaksHold(s *step, w *worker, need domain.Resources) bool {
	return s.hold == nil && !w.heldForGangs.IsZero() && !need.Fits(w.free().Sub(w.heldForGangs))
}

func (m *Machine) candidateWorkers(s *step, ok func(*step, *worker) bool) []*worker {
	usable := m.usableFor(s)
	list := make([]*worker, 0, len(usable))
	for _, w := range usable {
		if w.hasLabel(s.spec.Label) && ok(s, w) && m.trusts(s, w) && s.spec.Reserved().Fits(w.capacity) {
			list = append(list, w)
		}
	}
	return list
}

func (m *Machine) countUndecided(s *step) int {
	n := 0
	for _, w := range m.usableFor(s) {
		if s.verdict(w) == verdictUnknown {
			n++
		}
	}
	return n
}

// maxHolds returns how many gangs may hold capacity for seconds.
func (m *Machine) maxHolds(s *step) int {
	return max(minHolds, len(m.usableFor(s))/workersPerHold)
}

func (m *Machine) holdFor(s *step, plan gangPlan) {
	m.releaseHold(s)
	if s.class == notBehind {
		m.holds++
	}
	s.hold = make(map[*worker]domain.Resources)
	for _, w := range plan {
		s.hold[w] = s.hold[w].Add(s.spec.Reserved())
	}
	s.holdUntilMS = m.nowMS + holdMS
}

func (m *Machine) releaseHold(s *step) {
	if s.hold != nil {
		s.hold = nil
		if s.class == notBehind {
			m.holds--
		}
	}
}

// preemptable reports whether a run may be stopped for the step: its queue has a lower priority,
// its progress is saved, and it is neither a gang member nor long-running; or it is of a flooding team.
func (m *Machine) preemptable(s *step, r *run) bool {
	if r.phase != runConfirmed {
		return false
	}
	if m.yieldsRoom(s, r) {
		return true
	}
	victim := r.task.step
	if victim.job.queue.Priority <= s.job.queue.Priority || !victim.spec.Checkpointable || victim.spec.Gang || victim.spec.LongRunning {
		return false
	}
	// A step that ranks after the victim would lose the capacity to it again at once. No step ranks before rankNormal.
	return s.rank == rankNormal || s.rank <= m.rank(victim)
}

// freeByPreemption returns what is free on the worker once all preemptable runs are stopped.
func (m *Machine) freeByPreemption(s *step, w *worker) domain.Resources {
	free := m.freeFor(s, w)
	for _, r := range w.runs {
		if m.preemptable(s, r) || r.phase == runStopping {
			free = free.Add(r.reserved)
		}
	}
	return free
}

// freeAfterFiniteTasks returns what is free on the worker once all tasks other than long-running
// ones have ended.
func (m *Machine) freeAfterFiniteTasks(s *step, w *worker) domain.Resources {
	free := w.capacity.Sub(w.heldInPass)
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			free = free.Sub(r.reserved)
		}
	}
	return free
}

// preempt stops preemptable runs, the largest first and those of flooding teams last, until the plan fits. A gang is stopped as a whole.
func (m *Machine) preempt(s *step, plan gangPlan) {
	wanted := make(map[*worker]domain.Resources)
	for _, w := range plan {
		wanted[w] = wanted[w].Add(s.spec.Reserved())
	}
	for _, w := range m.sortedWorkers {
		need, ok := wanted[w]
		if !ok {
			continue
		}
		free := m.freeFor(s, w)
		var victims []*run
		for _, r := range w.runs {
			if r.phase == runStopping {
				free = free.Add(r.reserved)
			} else if m.preemptable(s, r) {
				victims = append(victims, r)
			}
		}
		slices.SortFunc(victims, func(a, b *run) int {
			return cmp.Or(domain.CompareBools(m.yieldsRoom(s, a), m.yieldsRoom(s, b)), cmp.Compare(b.reserved.CPUMilli, a.reserved.CPUMilli), compareTasks(a.task.id(), b.task.id()))
		})
		for _, r := range victims {
			if need.Fits(free) {
				break
			}
			free = free.Add(r.reserved)
			if r.phase != runStopping {
				m.stopWhole(r, "preempted by "+string(s.job.id))
			}
		}
	}
}
