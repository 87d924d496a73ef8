package policy

import (
	"math"

	"auburnpier/internal/domain"
)

// ratio returns the dominant share of the team over the fleet, as a multiple
// of its nominal share. A team without a share that runs something is
// infinitely above it.
func (q *queue) ratio(t *team) float64 {
	dominant := t.running.Add(t.outside).DominantShare(q.total)
	if dominant <= 0 {
		return 0
	}
	if t.share <= 0 {
		return math.MaxFloat64
	}
	return dominant * q.shares / t.share
}

func (q *queue) markTeam(t *team) {
	if !t.dirty {
		t.dirty = true
		q.dirtyTeams = append(q.dirtyTeams, t)
	}
}

func (q *queue) markGroup(g *group) {
	if !g.dirty {
		g.dirty = true
		q.dirtyGroups = append(q.dirtyGroups, g)
	}
}

func (q *queue) touch(g *group) {
	if !g.touched {
		g.touched = true
		q.touched = append(q.touched, g)
	}
}

// refreshAll is called when a change concerns every team. The order in which
// teams are refreshed has no effect on the result.
func (q *queue) refreshAll() {
	for _, t := range q.teams {
		q.unpark(t)
		for _, g := range t.groups {
			q.markGroup(g)
		}
		q.markTeam(t)
	}
}

// unpark lists the groups again that exceeded the limit.
func (q *queue) unpark(t *team) {
	for _, g := range t.parked {
		g.parked = false
		q.markGroup(g)
	}
	t.parked = t.parked[:0]
}

// refresh brings every heap in line with the changes since the last call.
func (q *queue) refresh() {
	for _, g := range q.dirtyGroups {
		g.dirty = false
		q.relist(g)
	}
	q.dirtyGroups = q.dirtyGroups[:0]
	for _, t := range q.dirtyTeams {
		t.dirty = false
		t.ratio = q.ratio(t)
		for c := range t.classes {
			q.rerank(t, class(c))
		}
	}
	q.dirtyTeams = q.dirtyTeams[:0]
}

// relist puts the group into the heap of its class, or takes it out where it
// has nothing to offer in this round.
func (q *queue) relist(g *group) {
	if g.empty() {
		q.unlist(g)
		q.aging.remove(g)
		if g.team.groups[g.key] == g {
			delete(g.team.groups, g.key)
		}
		return
	}
	e := g.current(q.round)
	if e == nil || g.parked || g.blocked == q.round {
		q.unlist(g)
		return
	}
	now := g.key.class.aged(q.now.Sub(e.item.Enqueued), q.options.AgingStep)
	if g.listed && g.class != now {
		q.unlist(g)
	}
	g.class = now
	g.first = e
	g.listed = true
	g.team.classes[now].update(g)
	q.rerank(g.team, now)
	q.scheduleAging(g, e)
}

func (q *queue) unlist(g *group) {
	if !g.listed {
		return
	}
	g.listed = false
	g.team.classes[g.class].remove(g)
	q.rerank(g.team, g.class)
}

func (q *queue) scheduleAging(g *group, e *entry) {
	at, ok := g.key.class.nextAging(g.class, e.item.Enqueued, q.options.AgingStep)
	if !ok {
		q.aging.remove(g)
		return
	}
	g.ages = at
	q.aging.update(g)
}

// rerank puts the team where it belongs among the teams of the class.
func (q *queue) rerank(t *team, c class) {
	g, ok := t.classes[c].top()
	if !ok || !t.present {
		q.classes[c].remove(t)
		return
	}
	waitingSince := g.first.item.Enqueued.Sub(q.origin)
	w := q.options.Weights
	t.rank[c] = w.Share*t.ratio + w.Waiting*float64(waitingSince)/float64(q.options.WaitingScale)
	q.classes[c].update(t)
}

// frontier keeps the smallest needs for which there was no room in a round.
type frontier struct {
	list []failure
}

type failure struct {
	size       domain.Resources
	gang       int
	constraint string
}

func (f *frontier) reset() { f.list = f.list[:0] }

func (f *frontier) add(k groupKey) {
	if !f.covers(k) {
		f.list = append(f.list, failure{size: k.size, gang: k.gang, constraint: k.constraint})
	}
}

// covers reports whether a job that needs no more had no room.
func (f *frontier) covers(k groupKey) bool {
	for i := range f.list {
		l := &f.list[i]
		if l.gang <= k.gang && l.size.Fits(k.size) && l.constraint == k.constraint {
			return true
		}
	}
	return false
}
