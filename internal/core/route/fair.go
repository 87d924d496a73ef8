package route

import (
	"time"

	"auburnpier/internal/domain"
)

// minShare replaces smaller shares, so that the virtual time of a team without a share
// stays finite.
const minShare = 1e-6

// Item is one waiting request. It is in at most one FairQueue.
type Item struct {
	Team  domain.TeamID
	Queue domain.QueueID
	// Share is the team's weight.
	Share float64
	// Bytes is the memory that the waiting request uses.
	Bytes    int64
	Deadline time.Time
	// Avoid is the server on which the request failed before, or nil.
	Avoid *Server
	// Data is the caller's own record of the request. FairQueue does not use it.
	Data any

	seq        uint64
	list       *itemList
	prev, next *Item
}

// Queued reports whether the item waits in a queue.
func (it *Item) Queued() bool { return it.list != nil }

// QueueLimits limits the waiting items.
type QueueLimits struct {
	// MaxItems bounds the items of the item's queue.
	MaxItems int
	// MaxBytes bounds the bytes of all items.
	MaxBytes int64
}

// FairQueue orders waiting requests by start-time fair queuing: each team has a
// virtual time that grows by the slot time it used divided by its share, and
// the team with the lowest virtual time runs next. Within a team, the oldest
// request of a queue that can run goes first.
type FairQueue struct {
	teams       map[domain.TeamID]*teamState
	active      []*teamState // teams with waiting items, unordered
	waiting     map[domain.QueueID]int
	total       int
	bytes       int64
	virtualTime float64 // highest virtual time at which an item was started
	seq         uint64
}

// teamState is the state of one team in a FairQueue.
type teamState struct {
	id          domain.TeamID
	share       float64
	virtualTime float64
	lists       []*itemList // one for each queue that the team has used
	waiting     int
	bytes       int64
	running     int
	activeIndex int // index in FairQueue.active, or -1
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

// Push adds an item. If a bound is reached, the team with the largest backlog
// relative to its share loses its newest item: either items of other teams are
// evicted and returned, or the item's own team has the largest backlog and Push
// reports false. A flood of requests of one team therefore never keeps another team out.
func (q *FairQueue) Push(it *Item, bounds QueueLimits) (evicted []*Item, ok bool) {
	team := q.team(it.Team, it.Share)
	for q.waiting[it.Queue] >= bounds.MaxItems {
		victim := q.evictionByLength(team, it.Queue)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, q.evict(victim))
	}
	for q.bytes+it.Bytes > bounds.MaxBytes {
		victim := q.evictionByBytes(team, it.Bytes)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, q.evict(victim))
	}
	q.insert(team, it)
	return evicted, true
}

// Remove removes an item. It has no effect on an item that is not queued.
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
// reports true, and leaves it in the queue. It calls ready at most once for
// each team and queue. It returns nil if no item is ready.
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
		t.virtualTime = max(t.virtualTime, q.virtualTime)
		t.activeIndex = len(q.active)
		q.active = append(q.active, t)
	}
	q.seq++
	it.seq = q.seq
	t.ensureList(it.Queue).append(it)
	t.waiting++
	t.bytes += it.Bytes
	q.waiting[it.Queue]++
	q.total++
	q.bytes += it.Bytes
}

func (q *FairQueue) deactivate(t *teamState) {
	last := q.active[len(q.active)-1]
	q.active[t.activeIndex] = last
	last.activeIndex = t.activeIndex
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	t.activeIndex = -1
	q.removeIfIdle(t)
}

// removeIfIdle deletes the state of a team that has nothing waiting or running and whose
// virtual time is not ahead, so that memory does not grow with the number of teams
// ever seen.
func (q *FairQueue) removeIfIdle(t *teamState) {
	if t.waiting == 0 && t.running == 0 && t.virtualTime <= q.virtualTime {
		delete(q.teams, t.id)
	}
}

func (q *FairQueue) team(id domain.TeamID, share float64) *teamState {
	t := q.teams[id]
	if t == nil {
		t = &teamState{id: id, activeIndex: -1}
		q.teams[id] = t
	}
	t.share = max(share, minShare)
	return t
}
