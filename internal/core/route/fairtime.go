package route

import (
	"time"

	"auburnpier/internal/domain"
)

// startCharge is the slot time charged to a team when a request starts. The
// rest is charged when the request ends and its slot time is known.
const startCharge = time.Millisecond

// Start charges a team for a request that takes a slot now and counts it as running.
func (q *FairQueue) Start(id domain.TeamID, share float64) {
	t := q.team(id, share)
	if t.waiting == 0 && t.running == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.running++
	t.virtualTime += startCharge.Seconds() / t.share
}

// Finish charges the rest of the slot time of a request that was started before.
func (q *FairQueue) Finish(id domain.TeamID, used time.Duration) {
	t := q.teams[id]
	if t == nil {
		return
	}
	t.running--
	if used > startCharge {
		t.virtualTime += (used - startCharge).Seconds() / t.share
	}
	q.removeIfIdle(t)
}

// Running returns the number of slots that the team uses.
func (q *FairQueue) Running(id domain.TeamID) int {
	t := q.teams[id]
	if t == nil {
		return 0
	}
	return t.running
}

// EachRunning calls visit for each team that uses slots, in unspecified order.
func (q *FairQueue) EachRunning(visit func(domain.TeamID, int)) {
	for id, t := range q.teams {
		if t.running > 0 {
			visit(id, t.running)
		}
	}
}

// before orders teams by virtual time, and by ID to make the order total.
func (t *teamState) before(o *teamState) bool {
	if t.virtualTime != o.virtualTime {
		return t.virtualTime < o.virtualTime
	}
	return t.id < o.id
}

func (t *teamState) oldestReady(ready func(*Item) bool) *Item {
	var best *Item
	for _, l := range t.lists {
		it := l.first
		if it == nil || (best != nil && it.seq > best.seq) {
			continue
		}
		if ready(it) {
			best = it
		}
	}
	return best
}

// evictionByLength returns the newest item of the queue that belongs to the team with
// the most items in the queue relative to its share, or nil if that is the arriving team.
func (q *FairQueue) evictionByLength(arriving *teamState, queue domain.QueueID) *Item {
	var victim *itemList
	most := float64(arriving.lengthOf(queue)+1) / arriving.share
	for _, t := range q.active {
		if t == arriving {
			continue
		}
		l := t.findList(queue)
		if l == nil || l.length == 0 {
			continue
		}
		backlog := float64(l.length) / t.share
		if backlog > most || (victim != nil && backlog == most && t.id < victim.team.id) {
			most, victim = backlog, l
		}
	}
	if victim == nil {
		return nil
	}
	return victim.last
}

// evictionByBytes returns the newest item of the team with the most bytes in all queues
// relative to its share, or nil if that is the arriving team.
func (q *FairQueue) evictionByBytes(arriving *teamState, bytes int64) *Item {
	var victim *teamState
	most := float64(arriving.bytes+bytes) / arriving.share
	for _, t := range q.active {
		if t == arriving {
			continue
		}
		backlog := float64(t.bytes) / t.share
		if backlog > most || (victim != nil && backlog == most && t.id < victim.id) {
			most, victim = backlog, t
		}
	}
	if victim == nil {
		return nil
	}
	return victim.newest()
}

func (q *FairQueue) evict(it *Item) *Item {
	q.Remove(it)
	return it
}

func (t *teamState) newest() *Item {
	var best *Item
	for _, l := range t.lists {
		if l.last != nil && (best == nil || l.last.seq > best.seq) {
			best = l.last
		}
	}
	return best
}

func (t *teamState) findList(queue domain.QueueID) *itemList {
	for _, l := range t.lists {
		if l.queue == queue {
			return l
		}
	}
	return nil
}

func (t *teamState) lengthOf(queue domain.QueueID) int {
	l := t.findList(queue)
	if l == nil {
		return 0
	}
	return l.length
}

func (t *teamState) ensureList(queue domain.QueueID) *itemList {
	l := t.findList(queue)
	if l == nil {
		l = &itemList{team: t, queue: queue}
		t.lists = append(t.lists, l)
	}
	return l
}

func (l *itemList) append(it *Item) {
	it.list = l
	it.prev = l.last
	it.next = nil
	if l.last != nil {
		l.last.next = it
	} else {
		l.first = it
	}
	l.last = it
	l.length++
}

func (l *itemList) unlink(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		l.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		l.last = it.prev
	}
	it.prev, it.next, it.list = nil, nil, nil
	l.length--
}
