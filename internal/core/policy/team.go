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
	// ratio is the dominant share over the nominal share; one is at the share.
	ratio float64
	// rank orders teams in a class; lower is first.
	rank  [classes]float64
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
	a, b := t.oldest(c), o.oldest(c)
	if !a.Equal(b) {
		return a.Before(b)
	}
	return t.id < o.id
}

// oldest returns when the oldest listed job of the class was enqueued.
func (t *team) oldest(c class) time.Time {
	g, ok := t.classes[c].top()
	if !ok {
		return time.Time{}
	}
	return g.first.item.Enqueued
}

// room returns what the team may still start here.
func (t *team) room() domain.Resources {
	return t.limit.Sub(t.running)
}
