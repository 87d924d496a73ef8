package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// team is the state of a team in the queue.
type team struct {
	id               domain.TeamID
	present          bool
	share            float64
	limit            domain.Resources
	running          domain.Resources
	runningElsewhere domain.Resources
	groups           map[groupKey]*group
	parked           []*group
	// groupHeaps holds the listed groups by effective class, the one with the oldest job on top.
	groupHeaps  [classCount]heap[*group]
	heapIndexes [classCount]int
	// listedByClass is the number of listed groups by class before aging.
	listedByClass [classCount]int
	// ratio is the dominant share divided by the nominal share; 1 means exactly at the share.
	ratio float64
	// belowFairRatio is set while ratio is below the fair ratio of the queue.
	belowFairRatio bool
	// offered is the group that the team offers in a class. Teams of a class are ordered by
	// rank, lower first, then by oldest, when the oldest job of the offered group was
	// enqueued. The three change only together with the team's position in the heap.
	offered [classCount]*group
	rank    [classCount]float64
	oldest  [classCount]time.Time
	dirty   bool
}

func newTeam(id domain.TeamID) *team {
	t := &team{id: id, groups: make(map[groupKey]*group)}
	for c := range t.groupHeaps {
		t.groupHeaps[c] = heap[*group]{
			less:  func(a, b *group) bool { return compareEntries(a.nextEntry, b.nextEntry) < 0 },
			index: func(g *group) *int { return &g.heapIndex },
		}
	}
	return t
}

// less orders teams within a class by rank, then by the age of the oldest offered job, then by ID.
func (t *team) less(other *team, c class) bool {
	if t.rank[c] != other.rank[c] {
		return t.rank[c] < other.rank[c]
	}
	if !t.oldest[c].Equal(other.oldest[c]) {
		return t.oldest[c].Before(other.oldest[c])
	}
	return t.id < other.id
}

// contends reports whether the team is configured and has a listed group, that is, a job
// that its limit permits to start in this round.
func (t *team) contends() bool {
	return t.present && t.listedByClass != [classCount]int{}
}

// offerFor returns the group that the team offers in the class, or nil. A team below the
// fair ratio offers aged groups in the class to which they have risen. A team at or
// above it offers a group only in classes in which it has one without aging; aging
// then only decides which of its groups comes first.
func (t *team) offerFor(c class) *group {
	if t.belowFairRatio {
		g, _ := t.groupHeaps[c].top()
		return g
	}
	if t.listedByClass[c] == 0 {
		return nil
	}
	for first := range c + 1 {
		if g, ok := t.groupHeaps[first].top(); ok {
			return g
		}
	}
	return nil
}

// headroom returns how much the team may still start in this partition.
func (t *team) headroom() domain.Resources {
	return t.limit.Sub(t.running)
}
