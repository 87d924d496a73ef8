package policy

import (
	"time"

	"auburnpier/internal/domain"
)

func (q *queue) BeginRound(now time.Time) {
	q.now = now
	q.round++
	q.noFit.reset()
	for _, g := range q.resetGroups {
		g.resetPending = false
		g.cursor = g.head
		q.markGroupDirty(g)
	}
	q.resetGroups = q.resetGroups[:0]
	for {
		g, ok := q.agingHeap.top()
		if !ok || g.agesAt.After(now) {
			return
		}
		q.agingHeap.remove(g)
		q.markGroupDirty(g)
	}
}

func (q *queue) Next() (Item, bool) {
	q.refresh()
	if q.fairRatioRound != q.round {
		q.updateFairRatio()
	}
	for c := range q.teamHeaps {
		for {
			t, ok := q.teamHeaps[c].top()
			if !ok {
				break
			}
			if q.discardUnofferable(t, class(c)) {
				// The team may now rank behind another one.
				q.updateOffers(t)
				continue
			}
			return t.offered[c].nextEntry.item, true
		}
	}
	return Item{}, false
}

// discardUnofferable removes groups that cannot be offered now from the heaps of the team,
// until it has one to offer in the class. It reports whether it removed any.
func (q *queue) discardUnofferable(t *team, c class) bool {
	discarded := false
	for g := t.offerFor(c); g != nil && !q.canOffer(g); g = t.offerFor(c) {
		discarded = true
	}
	return discarded
}

// canOffer reports whether a job of the group can be offered, and otherwise removes the
// group from its heap. The caller updates the offers of the team.
func (q *queue) canOffer(g *group) bool {
	switch {
	case !g.need.Fits(g.team.headroom()):
		g.parked = true
		g.team.parked = append(g.team.parked, g)
	case q.noFit.covers(g.key):
		g.noFitRound = q.round
		q.scheduleReset(g)
	default:
		return true
	}
	g.removeFromHeap()
	return false
}

func (q *queue) Pass(job domain.JobID, reason WaitReason) {
	e := q.jobs[job]
	if e == nil {
		return
	}
	e.passedRound, e.passReason = q.round, reason
	g := e.group
	q.scheduleReset(g)
	if reason == WaitNoCapacity {
		q.noFit.add(g.key)
		g.noFitRound = q.round
		q.unlist(g)
		return
	}
	q.markGroupDirty(g)
}

func (q *queue) WaitReason(job domain.JobID) WaitReason {
	e := q.jobs[job]
	switch {
	case e == nil:
		return WaitBehind
	case e.group.parked:
		return WaitTeamLimit
	case q.isRecent(e.passedRound):
		return e.passReason
	case q.isRecent(e.group.noFitRound):
		return WaitNoCapacity
	default:
		return WaitBehind
	}
}

// isRecent reports whether the round is the current or the previous one, so that reasons
// remain available between rounds.
func (q *queue) isRecent(round uint64) bool {
	return round > 0 && round+1 >= q.round
}
