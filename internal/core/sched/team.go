package sched

import (
	"cmp"
	"slices"

	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// team is what the partition knows of a team.
type team struct {
	id domain.TeamID
	// known tells that the current table has the team.
	known bool
	share float64
	limit domain.Resources
	// allotted tells that the allotment is known to this process. Until then
	// nothing starts, and nothing is stopped for being above it.
	allotted bool
	allot    domain.Resources
	outside  domain.Resources
	// running is the sum of reservations, from the decision to the proof of the end.
	running domain.Resources
	// demand is the size of what waits here.
	demand  domain.Resources
	waiting int
	wished  domain.Resources
}

// bound is the most that the partition may run for the team.
func (t *team) bound() domain.Resources {
	if !t.known {
		return domain.Resources{}
	}
	return t.limit.Min(t.allot)
}

// enforced reports whether work above the bound is stopped.
func (t *team) enforced() bool { return t.allotted || !t.known }

// team returns the entry of a team, which may be unknown to the table.
func (m *Machine) team(id domain.TeamID) *team {
	if t, ok := m.teams[id]; ok {
		return t
	}
	t := &team{id: id}
	m.teams[id] = t
	at, _ := slices.BinarySearchFunc(m.teamOrder, t, func(a, b *team) int { return cmp.Compare(a.id, b.id) })
	m.teamOrder = slices.Insert(m.teamOrder, at, t)
	return t
}

func (m *Machine) charge(id domain.TeamID, size domain.Resources) {
	t := m.team(id)
	t.running = t.running.Add(size)
	m.queue.Charge(id, size)
}

func (m *Machine) refund(id domain.TeamID, size domain.Resources) {
	t := m.team(id)
	t.running = t.running.Sub(size)
	m.queue.Refund(id, size)
}

// teamsChanged replaces the table. Jobs of teams that are gone end cancelled.
func (m *Machine) teamsChanged(e TeamsChanged) {
	for _, t := range m.teamOrder {
		t.known = false
	}
	for _, row := range e.Teams {
		t := m.team(row.ID)
		t.known = true
		t.share = row.Share
		t.limit = row.Limit
	}
	m.teamsKnown = true
	m.setTeams()
	var lost []*job
	for _, j := range m.open {
		if !j.State.Terminal() && !j.Cancelled && !m.team(j.Team).known {
			lost = append(lost, j)
		}
	}
	m.cancelJobs(lost, "the team was deleted")
	m.enforceLimits()
}

func (m *Machine) allotmentsChanged(e AllotmentsChanged) {
	for _, a := range e.Allotments {
		t := m.team(a.Team)
		t.allotted = true
		t.allot = a.Amount
		t.outside = a.Outside
		m.queue.SetRunningElsewhere(a.Team, a.Outside)
	}
	m.setTeams()
	m.enforceLimits()
}

// setTeams passes the table to the queue.
func (m *Machine) setTeams() {
	rows := make([]policy.Team, 0, len(m.teamOrder))
	for _, t := range m.teamOrder {
		if t.known {
			rows = append(rows, policy.Team{ID: t.id, Share: t.share, Limit: t.bound()})
		}
	}
	m.queue.SetTeams(rows)
	m.dirty = true
}

// enforceLimits stops work above lowered limits. Batch attempts go first, the newest of them first.
func (m *Machine) enforceLimits() {
	if !m.teamsKnown {
		return
	}
	var above map[domain.TeamID]domain.Resources
	for _, t := range m.teamOrder {
		if t.running.Fits(t.bound()) || !t.enforced() {
			continue
		}
		if above == nil {
			above = make(map[domain.TeamID]domain.Resources)
		}
		above[t.id] = t.running.Sub(t.bound())
	}
	if above == nil {
		return
	}
	list := m.sortedAttempts()
	for _, a := range list {
		if a.cause != CauseNone {
			above[a.j.Team] = above[a.j.Team].Sub(a.Reservation)
		}
	}
	slices.Reverse(list)
	slices.SortStableFunc(list, func(a, b *attempt) int {
		return cmp.Compare(stopRank(a.j.Spec.Kind), stopRank(b.j.Spec.Kind))
	})
	for _, a := range list {
		excess, ok := above[a.j.Team]
		if !ok || a.cause != CauseNone || !reduces(a.Reservation, excess) {
			continue
		}
		above[a.j.Team] = excess.Sub(a.Reservation)
		m.requestEnd(a, CauseLimit)
	}
}

// stopRank orders kinds of jobs by how early a lowered limit stops them.
func stopRank(k domain.JobKind) int {
	switch k {
	case domain.JobBatch:
		return 0
	case domain.JobGang:
		return 1
	}
	return 2
}

// reduces reports whether giving back size lowers a component that is above the limit.
func reduces(size, excess domain.Resources) bool {
	return (excess.CPUMilli > 0 && size.CPUMilli > 0) ||
		(excess.MemoryMB > 0 && size.MemoryMB > 0) ||
		(excess.Accelerators > 0 && size.Accelerators > 0)
}

// wishes tells the allotment that each team could use here, where it changed.
func (m *Machine) wishes() {
	for _, t := range m.teamOrder {
		want := t.running.Max(t.running.Add(t.demand).Min(t.limit))
		if want == t.wished {
			continue
		}
		t.wished = want
		m.out.wishes = append(m.out.wishes, Wish{Team: t.id, Amount: want})
	}
}
