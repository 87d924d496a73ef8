package policy

import (
	"math"

	"auburnpier/internal/domain"
)

// ratio returns the dominant share, over the whole fleet, of what the team runs plus more,
// as a multiple of its nominal share. For a team without a share that runs something
// it returns MaxFloat64.
func (q *queue) ratio(t *team, more domain.Resources) float64 {
	dominant := t.running.Add(t.runningElsewhere).Add(more).DominantShare(q.total)
	if dominant <= 0 {
		return 0
	}
	if t.share <= 0 {
		return math.MaxFloat64
	}
	return dominant * q.totalShares / t.share
}

func (q *queue) markTeamDirty(t *team) {
	if !t.dirty {
		t.dirty = true
		q.dirtyTeams = append(q.dirtyTeams, t)
	}
}

func (q *queue) markGroupDirty(g *group) {
	if !g.dirty {
		g.dirty = true
		q.dirtyGroups = append(q.dirtyGroups, g)
	}
}

func (q *queue) scheduleReset(g *group) {
	if !g.resetPending {
		g.resetPending = true
		q.resetGroups = append(q.resetGroups, g)
	}
}

// invalidateAll marks every team and group for a refresh after a change that affects all
// of them. The map's iteration order has no effect on the result.
func (q *queue) invalidateAll() {
	for _, t := range q.teams {
		q.unpark(t)
		for _, g := range t.groups {
			q.markGroupDirty(g)
		}
		q.markTeamDirty(t)
	}
}

// unpark makes the groups that exceeded the team limit eligible again.
func (q *queue) unpark(t *team) {
	for _, g := range t.parked {
		g.parked = false
		q.markGroupDirty(g)
	}
	t.parked = t.parked[:0]
}

// refresh updates all heaps for the changes since the last call.
func (q *queue) refresh() {
	for _, g := range q.dirtyGroups {
		g.dirty = false
		q.updateListing(g)
	}
	q.dirtyGroups = q.dirtyGroups[:0]
	for _, t := range q.dirtyTeams {
		t.dirty = false
		t.ratio = q.ratio(t, domain.Resources{})
		t.belowFairRatio = t.ratio < q.fairRatio
		q.updateOffers(t)
	}
	q.dirtyTeams = q.dirtyTeams[:0]
}

// updateListing puts the group into the heap of its effective class, or removes it if it
// has nothing to offer in this round.
func (q *queue) updateListing(g *group) {
	if g.empty() {
		q.unlist(g)
		q.agingHeap.remove(g)
		q.recycle(g)
		return
	}
	e := g.nextWaiting(q.round)
	if e == nil || g.parked || g.noFitRound == q.round {
		q.unlist(g)
		return
	}
	effective := g.key.class.aged(q.now.Sub(e.item.Enqueued), q.options.AgingStep)
	if g.listed && g.effectiveClass != effective {
		q.unlist(g)
	}
	if !g.listed {
		g.listed = true
		g.team.listedByClass[g.key.class]++
	}
	g.effectiveClass = effective
	g.nextEntry = e
	g.team.groupHeaps[effective].update(g)
	q.markTeamDirty(g.team)
	q.scheduleAging(g, e)
}

func (q *queue) unlist(g *group) {
	if g.listed {
		g.removeFromHeap()
		q.markTeamDirty(g.team)
	}
}

// removeFromHeap removes the group from the heap of its effective class. The caller
// updates the offers of the team.
func (g *group) removeFromHeap() {
	g.listed = false
	g.team.listedByClass[g.key.class]--
	g.team.groupHeaps[g.effectiveClass].remove(g)
}

func (q *queue) scheduleAging(g *group, e *entry) {
	at, ok := g.key.class.nextAging(g.effectiveClass, e.item.Enqueued, q.options.AgingStep)
	if !ok {
		q.agingHeap.remove(g)
		return
	}
	if g.agingHeapIndex == 0 || !g.agesAt.Equal(at) {
		g.agesAt = at
		q.agingHeap.update(g)
	}
}

// updateFairRatio computes the fair ratio of the round. When many teams leave their share
// unused, the others all exceed theirs; comparing with the fair ratio shows which of
// these are behind the rest.
func (q *queue) updateFairRatio() {
	q.fairRatioRound = q.round
	running, shares := 0.0, 0.0
	for _, t := range q.sortedTeams {
		if t.contends() && t.share > 0 {
			running += t.ratio * t.share
			shares += t.share
		}
	}
	q.fairRatio = 1
	if shares > 0 {
		q.fairRatio = max(1, running/shares)
	}
	for _, t := range q.sortedTeams {
		below := t.ratio < q.fairRatio
		if below != t.belowFairRatio {
			t.belowFairRatio = below
			if t.contends() {
				q.updateOffers(t)
			}
		}
	}
}

// updateOffers updates the offer of the team in every class.
func (q *queue) updateOffers(t *team) {
	for c := range classCount {
		q.updateOffer(t, c)
	}
}

// updateOffer updates the group that the team offers in the class, and the position of the
// team in the heap of that class.
func (q *queue) updateOffer(t *team, c class) {
	g := t.offerFor(c)
	if g == nil || !t.present {
		q.teamHeaps[c].remove(t)
		t.offered[c] = nil
		return
	}
	t.offered[c] = g
	t.rank[c] = q.rankOf(t.ratio)
	t.oldest[c] = g.nextEntry.item.Enqueued
	q.teamHeaps[c].update(t)
}

// rankOf returns the rank of a ratio within a class. Ratios in the same band of width
// Waiting/Share have the same rank, so that age decides between them. The band bounds
// how far from its share waiting time can move a team.
func (q *queue) rankOf(ratio float64) float64 {
	w := q.options.Weights
	if w.Share <= 0 {
		return 0
	}
	if w.Waiting <= 0 {
		return ratio
	}
	return math.Floor(ratio * w.Share / w.Waiting)
}

// noFitFrontier holds the minimal needs that did not fit in a round.
type noFitFrontier struct {
	minimal []failedNeed
}

type failedNeed struct {
	size       domain.Resources
	gangTasks  int
	constraint string
}

func (f *noFitFrontier) reset() { f.minimal = f.minimal[:0] }

func (f *noFitFrontier) add(k groupKey) {
	if !f.covers(k) {
		f.minimal = append(f.minimal, failedNeed{size: k.size, gangTasks: k.gangTasks, constraint: k.constraint})
	}
}

// covers reports whether a job that needs no more than k, under the same constraint, did
// not fit in this round.
func (f *noFitFrontier) covers(k groupKey) bool {
	for i := range f.minimal {
		l := &f.minimal[i]
		if l.gangTasks <= k.gangTasks && l.size.Fits(k.size) && l.constraint == k.constraint {
			return true
		}
	}
	return false
}
