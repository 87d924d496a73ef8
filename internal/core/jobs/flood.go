package jobs

import "auburnpier/internal/domain"

// While a team floods the cell, its tasks run only in room that the other teams leave unused for longer than a moment. Without that, each gap between two
// of their jobs fills up with tasks that run for seconds, and what the others submit then is late.

// leavesRoomForOthers reports whether so many tasks of the step may start now. Work of a flooding team that already has its share must not raise the use,
// with the room held for gangs, above the one from which on capacity is short.
func (m *Machine) leavesRoomForOthers(s *step, p *servicePass, tasks int) bool {
	if s.class != behindUseful || !m.hasShare(s.job.team, p) {
		return true
	}
	need := int64(tasks) * s.spec.Reserved().CPUMilli
	if float64(p.usedMilli+p.heldMilli+need) <= minUseForShares*float64(p.capacityMilli) {
		return true
	}
	m.fair.heldBackMS[s.job.queue.Service] = m.nowMS
	s.waitReason = waitShares
	return false
}

// hasShare reports whether the team uses at least its share of the service's CPU.
func (m *Machine) hasShare(t *team, p *servicePass) bool {
	return float64(t.used.CPUMilli) >= float64(t.share)*float64(p.capacityMilli)
}

// yieldsRoom reports whether the run is of a flooding team and may be stopped for a step of a team within its share that is not late.
func (m *Machine) yieldsRoom(s *step, r *run) bool {
	if m.fair == nil || !m.fair.flooding || r.phase != runConfirmed {
		return false
	}
	victim := r.task.step
	return victim.job.team.flooding && !victim.spec.LongRunning && s.rank == rankNormal && !s.job.team.overShare &&
		m.sharesApply(victim.job.queue.Service) && m.hasShare(victim.job.team, m.passOf(victim))
}

// freeByYielding returns what is free on the worker once all runs of flooding teams are stopped.
func (m *Machine) freeByYielding(s *step, w *worker) domain.Resources {
	free := m.freeFor(s, w)
	for _, r := range w.runs {
		if r.phase == runStopping || m.yieldsRoom(s, r) {
			free = free.Add(r.reserved)
		}
	}
	return free
}

// makeRoom stops runs of flooding teams on approved workers for the waiting tasks of an urgent step that find no room. Gangs are stopped only for
// other gangs, because each loses all of its members.
func (m *Machine) makeRoom(s *step, p *servicePass) {
	if m.fair == nil || !m.fair.flooding || s.tier != tierUrgent || s.spec.LongRunning || s.rank != rankNormal || s.job.team.overShare || !s.job.durable ||
		!m.sharesApply(s.job.queue.Service) {
		return
	}
	p.scans++
	need, left := s.spec.Reserved(), s.waiting
	for _, w := range p.usable {
		if left == 0 {
			return
		}
		if !approvedOrExempt(s, w) || m.unfitReason(s, w, need, w.capacity) != notExcluded {
			continue
		}
		left -= m.makeRoomOn(s, w, left)
	}
}

// makeRoomOn makes room for at most so many tasks of the step, and returns for how many there will be room.
func (m *Machine) makeRoomOn(s *step, w *worker, most int) int {
	free := m.freeFor(s, w)
	var victims []*run
	for _, r := range w.sortedRuns() {
		switch {
		case r.phase == runStopping:
			free = free.Add(r.reserved)
		case !r.task.step.spec.Gang && m.yieldsRoom(s, r):
			victims = append(victims, r)
		}
	}
	need := s.spec.Reserved()
	room := free
	for _, r := range victims {
		room = room.Add(r.reserved)
	}
	most = fitsIn(need, room, most)
	wanted := need.Scale(int64(most))
	for _, r := range victims {
		if wanted.Fits(free) {
			break
		}
		free = free.Add(r.reserved)
		m.stopRun(r, "preempted by "+string(s.job.id))
	}
	return most
}
