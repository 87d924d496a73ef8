package sched

import (
	"cmp"
	"container/heap"
	"slices"
)

// timer wakes a task at the end of its backoff.
type timer struct {
	at   int64
	j    *job
	task int
}

// timerHeap orders timers by time, then by job and task.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, k int) bool {
	a, b := h[i], h[k]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.j.Seq, b.j.Seq), cmp.Compare(a.task, b.task)) < 0
}

func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// taskWaits files a waiting task as ready, or sets the timer of its backoff.
func (m *Machine) taskWaits(j *job, i int) {
	t := &j.Tasks[i]
	if t.NotBeforeMS > m.now {
		heap.Push(&m.timers, timer{t.NotBeforeMS, j, i})
		return
	}
	m.taskReady(j, i)
}

// taskReady lists a waiting task whose backoff is over.
func (m *Machine) taskReady(j *job, i int) {
	switch {
	case j.isGang():
	case j.Tasks[i].Restart:
		j.restarts = append(j.restarts, i)
	default:
		j.fresh = append(j.fresh, i)
	}
	m.touch(j)
}

func (m *Machine) fireTimers() {
	for len(m.timers) > 0 && m.timers[0].at <= m.now {
		t := heap.Pop(&m.timers).(timer)
		if t.j.State.Terminal() || t.j.Tasks[t.task].State != taskWaiting || t.j.Tasks[t.task].NotBeforeMS != t.at {
			continue
		}
		m.taskReady(t.j, t.task)
	}
}

// touch marks a job whose place in the queue may have changed.
func (m *Machine) touch(j *job) {
	m.dirty = true
	if j.touched {
		return
	}
	j.touched = true
	m.touched = append(m.touched, j)
}

// sortedKeys returns the keys of a map in order, so that no decision depends on map order.
func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K {
	keys := make([]K, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
