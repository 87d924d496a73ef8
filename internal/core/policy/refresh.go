package policy

import (
	"math"

	"auburnpier/internal/domain"
)

// ratio returns the dominant share of what the team runs over the fleet and of
// more, as a multiple of its nominal share. A team without a share that runs something is
// infinitely above it.
func (q *queue) ratio(t *team, more domain.Resources) float64 {
	dominant := t.running.Add(t.outside).Add(more).DominantShare(q.total)
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
		t.ratio = q.ratio(t, domain.Resources{})
		t.below = t.ratio < q.level
		q.rerankAll(t)
	}
	q.dirtyTeams = q.dirtyTeams[:0]
}

// relist puts the group into the heap of its class, or takes it out where it
// has nothing to offer in this round.
func (q *queue) relist(g *group) {
	if g.empty() {
		q.unlist(g)
		q.aging.remove(g)
		q.retire(g)
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
	if !g.listed {
		g.listed = true
		g.team.listed[g.key.class]++
	}
	g.class = now
	g.first = e
	g.team.classes[now].update(g)
	q.markTeam(g.team)
	q.scheduleAging(g, e)
}

func (q *queue) unlist(g *group) {
	if g.listed {
		g.leave()
		q.markTeam(g.team)
	}
}

// leave takes the group out of the heap of its class. The caller reranks the team.
func (g *group) leave() {
	g.listed = false
	g.team.listed[g.key.class]--
	g.team.classes[g.class].remove(g)
}

func (q *queue) scheduleAging(g *group, e *entry) {
	at, ok := g.key.class.nextAging(g.class, e.item.Enqueued, q.options.AgingStep)
	if !ok {
		q.aging.remove(g)
		return
	}
	if g.agingPosition == 0 || !g.ages.Equal(at) {
		g.ages = at
		q.aging.update(g)
	}
}

// findLevel sets the level for the round. Where many teams leave their share
// unused, the others are above theirs, and the level tells which of them are
// behind the rest.
func (q *queue) findLevel() {
	q.leveled = q.round
	running, shares := 0.0, 0.0
	for _, t := range q.ordered {
		if t.contends() && t.share > 0 {
			running += t.ratio * t.share
			shares += t.share
		}
	}
	q.level = 1
	if shares > 0 {
		q.level = max(1, running/shares)
	}
	for _, t := range q.ordered {
		below := t.ratio < q.level
		if below != t.below {
			t.below = below
			if t.contends() {
				q.rerankAll(t)
			}
		}
	}
}

// rerankAll reranks the team in every class.
func (q *queue) rerankAll(t *team) {
	for c := range classes {
		q.rerank(t, c)
	}
}

// rerank puts the team where it belongs among the teams of the class.
func (q *queue) rerank(t *team, c class) {
	g := t.candidate(c)
	if g == nil || !t.present {
		q.classes[c].remove(t)
		t.offer[c] = nil
		return
	}
	t.offer[c] = g
	t.rank[c] = q.rank(t.ratio)
	t.since[c] = g.first.item.Enqueued
	q.classes[c].update(t)
}

// rank returns the order of a team in a class. Ratios in the same band of
// width Waiting/Share have the same rank, so that age decides between them. The
// band bounds the distance from share that waiting time can cause.
func (q *queue) rank(ratio float64) float64 {
	w := q.options.Weights
	if w.Share <= 0 {
		return 0
	}
	if w.Waiting <= 0 {
		return ratio
	}
	return math.Floor(ratio * w.Share / w.Waiting)
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
