package sched

import (
	"cmp"
	"slices"

	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// team is the partition's state of a team.
type team struct {
	id domain.TeamID
	// known is set while the team is in the current table.
	known bool
	share float64
	limit domain.Resources
	// allotted is set once this process knows the team's allotment. Until then, no work of
	// the team starts, and none is stopped for exceeding the allotment.
	allotted         bool
	allotment        domain.Resources
	runningElsewhere domain.Resources
	// running is the sum of reservations, each from the decision to start until the end is proven.
	running domain.Resources
	// demand is the sum of the reservations that waiting tasks need.
	demand       domain.Resources
	waitingTasks int
	requested    domain.Resources
}

// bound returns the most resources that the partition may use for the team.
func (t *team) bound() domain.Resources {
	if !t.known {
		return domain.Resources{}
	}
	return t.limit.Min(t.allotment)
}

// limitEnforced reports whether work above the bound is stopped.
func (t *team) limitEnforced() bool { return t.allotted || !t.known }

// team returns the entry of a team and adds it if it is missing. The team need not be in the table.
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

// teamsChanged replaces the team table. Jobs of teams that were removed are cancelled.
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
	m.updateQueueTeams()
	var orphaned []*job
	for _, j := range m.open {
		if !j.State.Terminal() && !j.Cancelled && !m.team(j.Team).known {
			orphaned = append(orphaned, j)
		}
	}
	m.cancelJobs(orphaned, "the team was deleted")
	m.enforceLimits()
}

func (m *Machine) allotmentsChanged(e AllotmentsChanged) {
	for _, a := range e.Allotments {
		t := m.team(a.Team)
		t.allotted = true
		t.allotment = a.Amount
		t.runningElsewhere = a.RunningElsewhere
		m.queue.SetRunningElsewhere(a.Team, a.RunningElsewhere)
	}
	m.updateQueueTeams()
	m.enforceLimits()
}

// updateQueueTeams passes the team table with the current bounds to the queue.
func (m *Machine) updateQueueTeams() {
	rows := make([]policy.Team, 0, len(m.teamOrder))
	for _, t := range m.teamOrder {
		if t.known {
			rows = append(rows, policy.Team{ID: t.id, Share: t.share, Limit: t.bound()})
		}
	}
	m.queue.SetTeams(rows)
	m.needsRound = true
}

// enforceLimits stops work that exceeds lowered limits: batch attempts first, then gangs, then
// replicas, and the newest first within each kind.
func (m *Machine) enforceLimits() {
	if !m.teamsKnown {
		return
	}
	var above map[domain.TeamID]domain.Resources
	for _, t := range m.teamOrder {
		if t.running.Fits(t.bound()) || !t.limitEnforced() {
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
		return cmp.Compare(stopOrder(a.j.Spec.Kind), stopOrder(b.j.Spec.Kind))
	})
	for _, a := range list {
		excess, ok := above[a.j.Team]
		if !ok || a.cause != CauseNone || !reducesExcess(a.Reservation, excess) {
			continue
		}
		above[a.j.Team] = excess.Sub(a.Reservation)
		m.requestEnd(a, CauseLimit)
	}
}

// stopOrder returns the position of a job kind in the order in which a lowered limit stops work.
func stopOrder(k domain.JobKind) int {
	switch k {
	case domain.JobBatch:
		return 0
	case domain.JobGang:
		return 1
	}
	return 2
}

// reducesExcess reports whether releasing size reduces a component that exceeds the limit.
func reducesExcess(size, excess domain.Resources) bool {
	return (excess.CPUMilli > 0 && size.CPUMilli > 0) ||
		(excess.MemoryMB > 0 && size.MemoryMB > 0) ||
		(excess.Accelerators > 0 && size.Accelerators > 0)
}

// requestAllotments reports the allotment that each team could use here, if it changed.
func (m *Machine) requestAllotments() {
	for _, t := range m.teamOrder {
		want := t.running.Max(t.running.Add(t.demand).Min(t.limit))
		if want == t.requested {
			continue
		}
		t.requested = want
		m.out.allotmentRequests = append(m.out.allotmentRequests, AllotmentRequest{Team: t.id, Amount: want})
	}
}
