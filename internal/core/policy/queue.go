package policy

import (
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// queue implements Queue. Waiting jobs stand in groups of equal need, groups
// in a heap of their team for each class, and teams in a heap for each class.
// A group that exceeds the limit of its team is parked until the team has
// more room, so a round does not look at it.
type queue struct {
	options Options
	teams   map[domain.TeamID]*team
	// ordered holds the teams by ID, so that sums over them are reproducible.
	ordered []*team
	jobs    map[domain.JobID]*entry
	classes [classes]heap[*team]
	// aging holds the groups that rise by a class later.
	aging  heap[*group]
	total  domain.Resources
	shares float64
	round  uint64
	// level is the ratio that the contending teams would all have if what they
	// run were divided among them by their shares, and at least one.
	level float64
	// leveled is the round for which level holds.
	leveled uint64
	now     time.Time
	groups  int // number of groups ever created
	// spare are retired groups, which are used again.
	spare []*group
	// dirtyGroups and dirtyTeams changed since the last call of Next.
	dirtyGroups []*group
	dirtyTeams  []*team
	// touched are the groups that the next round resets.
	touched []*group
	noRoom  frontier
}

func (q *queue) SetTeams(teams []Team) {
	for _, t := range q.teams {
		t.present = false
		t.share = 0
	}
	q.shares = 0
	for _, row := range teams {
		t := q.team(row.ID)
		t.present = true
		t.share = row.Share
		t.limit = row.Limit
		q.shares += row.Share
	}
	q.refreshAll()
}

func (q *queue) SetTotal(total domain.Resources) {
	q.total = total
	q.refreshAll()
}

func (q *queue) SetOutside(id domain.TeamID, running domain.Resources) {
	t := q.team(id)
	t.outside = running
	q.markTeam(t)
}

func (q *queue) Push(item Item) {
	key := keyOf(item)
	e := q.jobs[item.Job]
	if e != nil && e.group.team.id == item.Team && e.group.key == key && e.item.Enqueued.Equal(item.Enqueued) {
		e.item = item
		return
	}
	fresh := &entry{item: item}
	if e != nil {
		fresh.passed, fresh.reason = e.passed, e.reason
		q.drop(e)
	}
	q.jobs[item.Job] = fresh
	g := q.group(q.team(item.Team), key)
	g.insert(fresh)
	q.markGroup(g)
	if fresh.passed == q.round {
		// The next round has to list the group again.
		q.touch(g)
	}
}

func (q *queue) Remove(job domain.JobID) {
	if e := q.jobs[job]; e != nil {
		q.drop(e)
		delete(q.jobs, job)
	}
}

func (q *queue) drop(e *entry) {
	e.group.drop(e)
	q.markGroup(e.group)
}

func (q *queue) Len() int { return len(q.jobs) }

func (q *queue) Charge(id domain.TeamID, size domain.Resources) {
	t := q.team(id)
	t.running = t.running.Add(size)
	q.markTeam(t)
}

func (q *queue) Refund(id domain.TeamID, size domain.Resources) {
	t := q.team(id)
	t.running = t.running.Sub(size)
	q.unpark(t)
	q.markTeam(t)
}

func (q *queue) Running(id domain.TeamID) domain.Resources {
	if t := q.teams[id]; t != nil {
		return t.running
	}
	return domain.Resources{}
}

func (q *queue) Preemptible(id domain.TeamID) bool {
	t := q.teams[id]
	if t == nil {
		return false
	}
	return q.ratio(t, domain.Resources{}) > 1
}

func (q *queue) MayHold(job domain.JobID, held domain.Resources) bool {
	e := q.jobs[job]
	if e == nil {
		return false
	}
	delay := q.options.ReservationDelay
	if q.ratio(e.group.team, held) >= q.level {
		delay *= aboveShareDelays
	}
	return q.now.Sub(e.item.Enqueued) >= delay
}

func (q *queue) team(id domain.TeamID) *team {
	t := q.teams[id]
	if t == nil {
		t = newTeam(id)
		q.teams[id] = t
		at, _ := slices.BinarySearchFunc(q.ordered, id, func(t *team, id domain.TeamID) int {
			return strings.Compare(string(t.id), string(id))
		})
		q.ordered = slices.Insert(q.ordered, at, t)
	}
	return t
}

func (q *queue) group(t *team, key groupKey) *group {
	g := t.groups[key]
	if g == nil {
		g = q.newGroup()
		g.key, g.team, g.need, g.class = key, t, key.need(), key.class
		t.groups[key] = g
	}
	return g
}

func (q *queue) newGroup() *group {
	last := len(q.spare) - 1
	if last < 0 {
		q.groups++
		return &group{number: q.groups}
	}
	g := q.spare[last]
	q.spare = q.spare[:last]
	return g
}

// maxSpareEntries bounds the list that a spare group keeps.
const maxSpareEntries = 256

// retire forgets an empty group. It is used again unless a list still refers to it.
func (q *queue) retire(g *group) {
	if g.team.groups[g.key] == g {
		delete(g.team.groups, g.key)
	}
	if g.parked || g.touched || cap(g.list) > maxSpareEntries {
		return
	}
	clear(g.list)
	*g = group{number: g.number, list: g.list[:0]}
	q.spare = append(q.spare, g)
}
