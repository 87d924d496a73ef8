package policy

import (
	"time"

	"auburnpier/internal/domain"
)

func (q *queue) Begin(now time.Time) {
	q.now = now
	q.round++
	q.noRoom.reset()
	for _, g := range q.touched {
		g.touched = false
		g.cursor = 0
		q.markGroup(g)
	}
	q.touched = q.touched[:0]
	for {
		g, ok := q.aging.top()
		if !ok || g.ages.After(now) {
			return
		}
		q.aging.remove(g)
		q.markGroup(g)
	}
}

func (q *queue) Next() (Item, bool) {
	q.refresh()
	if q.leveled != q.round {
		q.findLevel()
	}
	for c := range q.classes {
		for {
			t, ok := q.classes[c].top()
			if !ok {
				break
			}
			if q.clear(t, class(c)) {
				// The team may stand behind another one now.
				q.rerankAll(t)
				continue
			}
			return t.offer[c].first.item, true
		}
	}
	return Item{}, false
}

// clear takes groups that cannot be offered now off the heaps of the team,
// until it has another one to offer in the class. It reports whether there was any.
func (q *queue) clear(t *team, c class) bool {
	cleared := false
	for g := t.candidate(c); g != nil && !q.offers(g); g = t.candidate(c) {
		cleared = true
	}
	return cleared
}

// offers reports whether the group has a job to offer, and takes it off its
// heap otherwise. The caller reranks the team.
func (q *queue) offers(g *group) bool {
	switch {
	case !g.need.Fits(g.team.room()):
		g.parked = true
		g.team.parked = append(g.team.parked, g)
	case q.noRoom.covers(g.key):
		g.blocked = q.round
		q.touch(g)
	default:
		return true
	}
	g.leave()
	return false
}

func (q *queue) Pass(job domain.JobID, reason WaitReason) {
	e := q.jobs[job]
	if e == nil {
		return
	}
	e.passed, e.reason = q.round, reason
	g := e.group
	q.touch(g)
	if reason == WaitNoRoom {
		q.noRoom.add(g.key)
		g.blocked = q.round
		q.unlist(g)
		return
	}
	q.markGroup(g)
}

func (q *queue) Why(job domain.JobID) WaitReason {
	e := q.jobs[job]
	switch {
	case e == nil:
		return WaitBehind
	case e.group.parked:
		return WaitTeamLimit
	case q.recent(e.passed):
		return e.reason
	case q.recent(e.group.blocked):
		return WaitNoRoom
	default:
		return WaitBehind
	}
}

// recent reports whether the round is the current one or the one before it,
// so that the reason stays known between rounds.
func (q *queue) recent(round uint64) bool {
	return round > 0 && round+1 >= q.round
}
