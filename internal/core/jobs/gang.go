package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// Figures of gangs.
const (
	// gangRepairShare of the time that members wait for each other is how long one
	// that was refused may be placed elsewhere before the gang is stopped.
	gangRepairShare = 0.5
	// reservationMS is how long room is kept for a gang before the plan is made anew.
	holdMS = 3000
	// minReservations and workersPerReservation bound the room that waiting gangs take from others.
	minHolds       = 6
	workersPerHold = 10
	// preemptAgainMS is the least time between preemptions for one gang.
	minPreemptionIntervalMS = 1200
)

// gangMayStart reports whether neither the team's limit nor the state of a
// member keeps a gang from its start.
func (m *Machine) gangCanStart(s *step, blocked map[*team]bool) bool {
	j := s.job
	for _, t := range s.tasks {
		if !m.startable(t) {
			return false
		}
	}
	total := s.spec.Need.Scale(int64(s.open))
	if !j.team.withinLimit(total) && !(j.team.used.IsZero() && j.team.maxUnreported.IsZero() && j.team.fitsLimitAlone(total, m.cfg.LimitOvershoot)) {
		s.waitReason = waitTeamLimit
		if !j.team.fitsLimitAlone(total, 0) {
			// It starts once the team runs nothing else, so nothing else is started.
			s.waitReason = waitTooWide
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

// placeGang starts all members of a gang or none.
func (m *Machine) placeGang(s *step) {
	if plan := m.planGang(s, m.approved, m.freeFor); plan != nil {
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

// gangPlan gives the worker of each open member.
type gangPlan []*worker

// distinct returns the workers of the plan, each once.
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

// planGang finds a worker for each member, in one rack where the step wants that.
func (m *Machine) planGang(s *step, approved func(*step, *worker) bool, room freeFunc) gangPlan {
	if !s.spec.SameRack {
		return m.planInRack(s, "", approved, room)
	}
	var racks []domain.RackID
	for _, w := range m.usableFor(s) {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	slices.SortFunc(racks, func(a, b domain.RackID) int {
		if (a == s.spec.DataRack) != (b == s.spec.DataRack) {
			if a == s.spec.DataRack {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	for _, rack := range racks {
		if plan := m.planInRack(s, rack, approved, room); plan != nil {
			return plan
		}
	}
	return nil
}

type gangSlot struct {
	w     *worker
	count int
	cost  float64
}

func (m *Machine) planInRack(s *step, rack domain.RackID, approved func(*step, *worker) bool, room freeFunc) gangPlan {
	need := s.spec.Reserved()
	var slots []gangSlot
	total := 0
	for _, w := range m.usableFor(s) {
		if rack != "" && w.rack != rack || !w.hasLabel(s.spec.Label) || !approved(s, w) {
			continue
		}
		free := room(s, w)
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
		slots = append(slots, gangSlot{w, n, m.cost(s, w, free.Sub(need.Scale(int64(n))))})
	}
	if total < s.open {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b gangSlot) int { return cmp.Compare(a.cost, b.cost) })
	plan := make(gangPlan, 0, s.open)
	for _, slot := range slots {
		for i := 0; i < slot.count && len(plan) < s.open; i++ {
			plan = append(plan, slot.w)
		}
	}
	return plan
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
	number := max(s.gangRun, m.firstRunNumber(s.job))
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
	}
	s.gangRun = number + 1
	s.gangPlacedMS = m.nowMS
	s.gangMemberEnded = false
	i := 0
	for _, t := range s.tasks {
		if t.phase == taskWaiting {
			m.start(t, plan[i], s.gangRun)
			i++
		}
	}
	m.releaseHold(s)
}

// repairGang places members that were refused while the others wait for them,
// and stops a gang that cannot be completed.
func (m *Machine) repairGang(s *step) {
	repairMS := int64(float64(m.cfg.GangWaitMS) * gangRepairShare)
	repairable := !s.gangMemberEnded && m.nowMS-s.gangPlacedMS < repairMS
	for _, t := range s.tasks {
		for _, r := range t.runs {
			repairable = repairable && r.phase != runStopping && r.number == s.gangRun
		}
	}
	for _, t := range s.tasks {
		if t.phase != taskWaiting || !repairable || !m.startable(t) {
			continue
		}
		w := m.pick(s)
		if w == nil {
			break
		}
		m.start(t, w, s.gangRun)
	}
	if s.waiting > 0 && m.nowMS-s.gangPlacedMS >= repairMS {
		m.stopStep(s, "member missing")
	}
}

// gangStopSlackMS is what a stop may take on its way, besides the worker's own time.
const gangStopMarginMS = 500

// gangFails reports whether a member is still missing when the gang has to be
// stopped, so that none of its members ends alone. It does not depend on
// passes, which may leave out a gang among many steps, nor on reports.
func (m *Machine) gangIncomplete(s *step) bool {
	age := m.nowMS - s.gangPlacedMS
	if s.gangPlacedMS == 0 || age < m.cfg.GangWaitMS-m.cfg.StopMS-gangStopMarginMS || age > m.cfg.GangWaitMS {
		return false
	}
	for _, t := range s.tasks {
		present := t.phase == taskDone || slices.ContainsFunc(t.runs, func(r *run) bool {
			return r.number == s.gangRun && r.confirmedMS > 0
		})
		if !present {
			return true
		}
	}
	return false
}

// hold keeps the room of a plan from steps that come later in this pass.
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

// prepareGang asks for approvals, keeps room, and preempts where that helps.
func (m *Machine) prepareGang(s *step) {
	s.waitReason = waitApproval
	if s.job.queue.Approval != nil {
		if s.approvalPending && s.hold != nil && m.nowMS < s.holdUntilMS {
			m.applyHold(s)
			return
		}
		if plan := m.planGang(s, approvedOrExempt, m.freeFor); plan != nil {
			// The same room is kept until the approvals for just these workers arrive.
			m.holdFor(s, plan)
			m.applyHold(s)
			m.requestApprovals(s, distinctWorkers(plan))
			return
		}
		if !s.approvalAnswered || m.countUndecided(s) > 0 {
			m.requestBestApprovals(s, m.candidateWorkers(s, notDenied))
			if !s.approvalAnswered {
				return
			}
		}
	}
	s.waitReason = waitNoApproval
	if m.nowMS-s.lastPreemptionMS >= minPreemptionIntervalMS {
		if plan := m.planGang(s, approvedOrExempt, m.freeByPreemption); plan != nil && s.job.durable {
			m.preempt(s, plan)
			s.lastPreemptionMS = m.nowMS
			m.holdFor(s, plan)
			if s.job.queue.Approval != nil {
				// The approvals arrive about when the room is free.
				m.requestApprovals(s, distinctWorkers(plan))
			}
		}
	}
	if s.hold == nil || m.nowMS >= s.holdUntilMS {
		m.releaseHold(s)
		if m.countHolds() < max(minHolds, len(m.usableFor(s))/workersPerHold) {
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

// holdReservation keeps the reserved room from steps that come later in this pass.
func (m *Machine) applyHold(s *step) {
	for w, r := range s.hold {
		w.heldInPass = w.heldInPass.Add(r)
	}
}

func (m *Machine) candidateWorkers(s *step, ok func(*step, *worker) bool) []*worker {
	var list []*worker
	for _, w := range m.usableFor(s) {
		if w.hasLabel(s.spec.Label) && ok(s, w) && s.spec.Reserved().Fits(w.capacity) {
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

func (m *Machine) countHolds() int {
	n := 0
	for _, s := range m.ready {
		if s.hold != nil {
			n++
		}
	}
	return n
}

func (m *Machine) holdFor(s *step, plan gangPlan) {
	s.hold = make(map[*worker]domain.Resources)
	for _, w := range plan {
		s.hold[w] = s.hold[w].Add(s.spec.Reserved())
	}
	s.holdUntilMS = m.nowMS + holdMS
}

func (m *Machine) releaseHold(s *step) { s.hold = nil }

// preemptable reports whether a run may be stopped for the step: its job is
// less urgent, its progress is saved, and it is not a gang member.
func (m *Machine) preemptable(s *step, r *run) bool {
	victim := r.task.step
	// A step that comes later in the order would lose the room again at once.
	return s.rank <= m.rank(victim) && r.phase == runConfirmed && victim.job.queue.Priority > s.job.queue.Priority &&
		victim.spec.Checkpointable && !victim.spec.Gang && !victim.spec.Lasting
}

// freeByPreemption is the room after all preemptable runs have been stopped.
func (m *Machine) freeByPreemption(s *step, w *worker) domain.Resources {
	free := m.freeFor(s, w)
	for _, r := range w.runs {
		if m.preemptable(s, r) || r.phase == runStopping {
			free = free.Add(r.reserved)
		}
	}
	return free
}

// freeInTime is the room once everything short of a lasting task has ended.
func (m *Machine) freeAfterFiniteTasks(s *step, w *worker) domain.Resources {
	free := w.capacity.Sub(w.heldInPass)
	for _, r := range w.runs {
		if r.task.step.spec.Lasting {
			free = free.Sub(r.reserved)
		}
	}
	return free
}

// preempt stops the fewest runs that make room for the plan.
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
			return cmp.Or(cmp.Compare(b.reserved.CPUMilli, a.reserved.CPUMilli), compareTasks(a.task.id(), b.task.id()))
		})
		for _, r := range victims {
			if need.Fits(free) {
				break
			}
			free = free.Add(r.reserved)
			m.stopRun(r, "preempted by "+string(s.job.id))
		}
	}
}
