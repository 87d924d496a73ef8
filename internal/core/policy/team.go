package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// team is what the queue keeps of a team.
type team struct {
	id      domain.TeamID
	present bool
	share   float64
	limit   domain.Resources
	running domain.Resources
	outside domain.Resources
	groups  map[groupKey]*group
	parked  []*group
	// classes holds the listed groups, the one with the oldest job on top.
	classes   [classes]heap[*group]
	positions [classes]int
	// listed is the number of listed groups by the class that they have without aging.
	listed [classes]int
	// ratio is the dominant share over the nominal share; one is at the share.
	ratio float64
	// below tells that ratio is below the level of the queue.
	below bool
	// offer is the group that the team offers in a class. Teams of a class are
	// ordered by rank, lower first, then by since, when the oldest job of the
	// offer was enqueued. The three change only together with the position in the heap.
	offer [classes]*group
	rank  [classes]float64
	since [classes]time.Time
	dirty bool
}

func newTeam(id domain.TeamID) *team {
	t := &team{id: id, groups: make(map[groupKey]*group)}
	for c := range t.classes {
		t.classes[c] = heap[*group]{
			less:     func(a, b *group) bool { return compareEntries(a.first, b.first) < 0 },
			position: func(g *group) *int { return &g.position },
		}
	}
	return t
}

// precedes orders teams in a class by rank, then by the age of their oldest job, then by ID.
func (t *team) precedes(o *team, c class) bool {
	if t.rank[c] != o.rank[c] {
		return t.rank[c] < o.rank[c]
	}
	if !t.since[c].Equal(o.since[c]) {
		return t.since[c].Before(o.since[c])
	}
	return t.id < o.id
}

// contends reports whether the team has a group that its limit leaves room for.
func (t *team) contends() bool {
	return t.present && t.listed != [classes]int{}
}

// candidate returns the group that the team offers in the class, or nil. A team
// below its share offers aged groups in the class to which they have risen. A
// team above it takes part only in classes of which it has a group without
// aging, and aging only decides which of its groups comes first.
func (t *team) candidate(c class) *group {
	if t.below {
		g, _ := t.classes[c].top()
		return g
	}
	if t.listed[c] == 0 {
		return nil
	}
	for first := range c + 1 {
		if g, ok := t.classes[first].top(); ok {
			return g
		}
	}
	return nil
}

// room returns what the team may still start here.
func (t *team) room() domain.Resources {
	return t.limit.Sub(t.running)
}
