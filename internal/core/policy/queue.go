package policy

import (
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// queue implements Queue. Waiting jobs are in groups of equal need. Each team has a heap
// of groups per class, and the queue a heap of teams per class. A group that exceeds
// the limit of its team is parked until the team has more headroom, so that a round
// does not visit it.
type queue struct {
	options Options
	teams   map[domain.TeamID]*team
	// sortedTeams holds the teams by ID, so that floating-point sums over them are
	// reproducible.
	sortedTeams []*team
	jobs        map[domain.JobID]*entry
	teamHeaps   [classCount]heap[*team]
	// agingHeap holds the groups that will rise by a class, by the time at which they do.
	agingHeap   heap[*group]
	total       domain.Resources
	totalShares float64
	round       uint64
	// fairRatio is the ratio that all contending teams would have if what they run were
	// divided among them in proportion to their shares. It is at least one.
	fairRatio float64
	// fairRatioRound is the round for which fairRatio was computed.
	fairRatioRound uint64
	now            time.Time
	groupsCreated  int // number of groups ever created
	// recycledGroups holds empty groups for reuse.
	recycledGroups []*group
	// dirtyGroups and dirtyTeams have changed since the last call of Next.
	dirtyGroups []*group
	dirtyTeams  []*team
	// resetGroups are the groups to reset at the start of the next round.
	resetGroups []*group
	noFit       noFitFrontier
}

func (q *queue) SetTeams(teams []Team) {
	for _, t := range q.teams {
		t.present = false
		t.share = 0
	}
	q.totalShares = 0
	for _, row := range teams {
		t := q.getOrCreateTeam(row.ID)
		t.present = true
		t.share = row.Share
		t.limit = row.Limit
		q.totalShares += row.Share
	}
	q.invalidateAll()
}

func (q *queue) SetTotal(total domain.Resources) {
	q.total = total
	q.invalidateAll()
}

func (q *queue) SetRunningElsewhere(id domain.TeamID, running domain.Resources) {
	t := q.getOrCreateTeam(id)
	t.runningElsewhere = running
	q.markTeamDirty(t)
}

func (q *queue) Push(item Item) {
	key := groupKeyOf(item)
	e := q.jobs[item.Job]
	if e != nil && e.group.team.id == item.Team && e.group.key == key && e.item.Enqueued.Equal(item.Enqueued) {
		e.item = item
		return
	}
	replacement := &entry{item: item}
	if e != nil {
		replacement.passedRound, replacement.passReason = e.passedRound, e.passReason
		q.dropEntry(e)
	}
	q.jobs[item.Job] = replacement
	g := q.getOrCreateGroup(q.getOrCreateTeam(item.Team), key)
	g.insert(replacement)
	q.markGroupDirty(g)
	if replacement.passedRound == q.round {
		// The next round must list the group again.
		q.scheduleReset(g)
	}
}

func (q *queue) Remove(job domain.JobID) {
	if e := q.jobs[job]; e != nil {
		q.dropEntry(e)
		delete(q.jobs, job)
	}
}

func (q *queue) dropEntry(e *entry) {
	e.group.markRemoved(e)
	q.markGroupDirty(e.group)
}

func (q *queue) Len() int { return len(q.jobs) }

func (q *queue) Charge(id domain.TeamID, size domain.Resources) {
	t := q.getOrCreateTeam(id)
	t.running = t.running.Add(size)
	q.markTeamDirty(t)
}

func (q *queue) Refund(id domain.TeamID, size domain.Resources) {
	t := q.getOrCreateTeam(id)
	t.running = t.running.Sub(size)
	q.unpark(t)
	q.markTeamDirty(t)
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

func (q *queue) ShouldHold(job domain.JobID, held domain.Resources) bool {
	e := q.jobs[job]
	if e == nil {
		return false
	}
	delay := q.options.ReservationDelay
	if q.ratio(e.group.team, held) >= q.fairRatio {
		delay *= aboveShareDelayFactor
	}
	return q.now.Sub(e.item.Enqueued) >= delay
}

func (q *queue) getOrCreateTeam(id domain.TeamID) *team {
	t := q.teams[id]
	if t == nil {
		t = newTeam(id)
		q.teams[id] = t
		at, _ := slices.BinarySearchFunc(q.sortedTeams, id, func(t *team, id domain.TeamID) int {
			return strings.Compare(string(t.id), string(id))
		})
		q.sortedTeams = slices.Insert(q.sortedTeams, at, t)
	}
	return t
}

func (q *queue) getOrCreateGroup(t *team, key groupKey) *group {
	g := t.groups[key]
	if g == nil {
		g = q.allocateGroup()
		g.key, g.team, g.need, g.effectiveClass = key, t, key.need(), key.class
		t.groups[key] = g
	}
	return g
}

func (q *queue) allocateGroup() *group {
	last := len(q.recycledGroups) - 1
	if last < 0 {
		q.groupsCreated++
		return &group{sequence: q.groupsCreated}
	}
	g := q.recycledGroups[last]
	q.recycledGroups = q.recycledGroups[:last]
	return g
}

// maxRecycledEntries bounds the entry list that a recycled group retains.
const maxRecycledEntries = 256

// recycle deletes an empty group, and keeps it for reuse unless a list still refers to it.
func (q *queue) recycle(g *group) {
	if g.team.groups[g.key] == g {
		delete(g.team.groups, g.key)
	}
	if g.parked || g.resetPending || cap(g.entries) > maxRecycledEntries {
		return
	}
	clear(g.entries)
	*g = group{sequence: g.sequence, entries: g.entries[:0]}
	q.recycledGroups = append(q.recycledGroups, g)
}
