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
			g := t.offer[c]
			if q.offers(g) {
				return g.first.item, true
			}
		}
	}
	return Item{}, false
}

// offers reports whether the group has a job to offer, and takes it off its heap otherwise.
func (q *queue) offers(g *group) bool {
	if !g.need.Fits(g.team.room()) {
		g.parked = true
		g.team.parked = append(g.team.parked, g)
		q.unlist(g)
		return false
	}
	if q.noRoom.covers(g.key) {
		q.block(g)
		return false
	}
	return true
}

func (q *queue) block(g *group) {
	g.blocked = q.round
	q.touch(g)
	q.unlist(g)
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
		q.block(g)
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
