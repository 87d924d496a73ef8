package route

import (
	"time"

	"auburnpier/internal/domain"
)

// minShare keeps the virtual time of a team without a share finite.
const minShare = 1e-6

// Item is one waiting request. It is in at most one FairQueue.
type Item struct {
	Team  domain.TeamID
	Queue domain.QueueID
	// Share is the team's weight.
	Share float64
	// Bytes is the memory that the waiting request holds.
	Bytes    int64
	Deadline time.Time
	// Avoid is the server on which the request failed before, or nil.
	Avoid *Server
	// Owner is the caller's own record of the request.
	Owner any

	seq        uint64
	list       *itemList
	prev, next *Item
}

// Queued reports whether the item waits in a queue.
func (it *Item) Queued() bool { return it.list != nil }

// Bounds limits what waits.
type Bounds struct {
	// Waiting bounds the items of the item's queue.
	Waiting int
	// Bytes bounds the bytes of all items.
	Bytes int64
}

// FairQueue orders waiting requests by start-time fair queuing: each team has a
// virtual time that grows by the slot time it used divided by its share, and
// the team that is furthest behind runs next. Within a team the oldest
// request of a queue that can run goes first.
type FairQueue struct {
	teams   map[domain.TeamID]*teamState
	active  []*teamState // teams with waiting items, in no order that matters
	waiting map[domain.QueueID]int
	total   int
	bytes   int64
	virtual float64 // virtual time of the last item that was started
	seq     uint64
}

// teamState is what the queue knows of one team.
type teamState struct {
	id      domain.TeamID
	share   float64
	virtual float64
	lists   []*itemList // one for each queue that the team used
	waiting int
	bytes   int64
	running int
	slot    int // index in active, or -1
}

// itemList holds the waiting items of one team and queue, oldest first.
type itemList struct {
	team        *teamState
	queue       domain.QueueID
	first, last *Item
	length      int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{
		teams:   make(map[domain.TeamID]*teamState),
		waiting: make(map[domain.QueueID]int),
	}
}

// Len returns the number of waiting items.
func (q *FairQueue) Len() int { return q.total }

// Bytes returns the bytes of the waiting items.
func (q *FairQueue) Bytes() int64 { return q.bytes }

// Waiting returns the number of waiting items of a queue.
func (q *FairQueue) Waiting(queue domain.QueueID) int { return q.waiting[queue] }

// Push adds an item. Where a bound is reached, the team with the largest
// backlog for its share gives up its newest item: either an item of another
// team is evicted and returned, or it is this team's turn and Push reports
// false. A flood of one team therefore never keeps another team out.
func (q *FairQueue) Push(it *Item, bounds Bounds) (evicted []*Item, ok bool) {
	team := q.team(it.Team, it.Share)
	for q.waiting[it.Queue] >= bounds.Waiting {
		victim := q.longest(team, it.Queue)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, q.evict(victim))
	}
	for q.bytes+it.Bytes > bounds.Bytes {
		victim := q.heaviest(team, it.Bytes)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, q.evict(victim))
	}
	q.insert(team, it)
	return evicted, true
}

// Remove takes an item out that is no longer wanted. It has no effect on an
// item that does not wait.
func (q *FairQueue) Remove(it *Item) {
	if it.list == nil {
		return
	}
	l := it.list
	l.unlink(it)
	t := l.team
	t.waiting--
	t.bytes -= it.Bytes
	q.waiting[l.queue]--
	q.total--
	q.bytes -= it.Bytes
	if t.waiting == 0 {
		q.deactivate(t)
	}
}

// Next returns the item that should run next among those for which ready
// reports true, and leaves it in the queue. It asks ready at most once for
// each team and queue. It returns nil where none is ready.
func (q *FairQueue) Next(ready func(*Item) bool) *Item {
	var best *Item
	var bestTeam *teamState
	for _, t := range q.active {
		if bestTeam != nil && !t.before(bestTeam) {
			continue
		}
		if it := t.oldestReady(ready); it != nil {
			best, bestTeam = it, t
		}
	}
	return best
}

// Expired removes and returns the items whose deadline has passed.
func (q *FairQueue) Expired(now time.Time) []*Item {
	var expired []*Item
	for _, t := range q.active {
		for _, l := range t.lists {
			for it := l.first; it != nil; it = it.next {
				if !now.Before(it.Deadline) {
					expired = append(expired, it)
				}
			}
		}
	}
	for _, it := range expired {
		q.Remove(it)
	}
	return expired
}

func (q *FairQueue) insert(t *teamState, it *Item) {
	if t.waiting == 0 {
		t.virtual = max(t.virtual, q.virtual)
		t.slot = len(q.active)
		q.active = append(q.active, t)
	}
	q.seq++
	it.seq = q.seq
	t.list(it.Queue).append(it)
	t.waiting++
	t.bytes += it.Bytes
	q.waiting[it.Queue]++
	q.total++
	q.bytes += it.Bytes
}

func (q *FairQueue) deactivate(t *teamState) {
	last := q.active[len(q.active)-1]
	q.active[t.slot] = last
	last.slot = t.slot
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	t.slot = -1
	q.forget(t)
}

// forget drops a team that neither waits nor runs and has no virtual time to
// make up for, so that memory does not grow with the teams ever seen.
func (q *FairQueue) forget(t *teamState) {
	if t.waiting == 0 && t.running == 0 && t.virtual <= q.virtual {
		delete(q.teams, t.id)
	}
}

func (q *FairQueue) team(id domain.TeamID, share float64) *teamState {
	t := q.teams[id]
	if t == nil {
		t = &teamState{id: id, slot: -1}
		q.teams[id] = t
	}
	t.share = max(share, minShare)
	return t
}
