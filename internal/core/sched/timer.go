package sched

import (
	"cmp"
	"container/heap"
	"slices"
)

// timer makes a task ready at the end of its backoff.
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

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// scheduleWaitingTask makes a waiting task ready, or sets a timer for the end of its backoff.
func (m *Machine) scheduleWaitingTask(j *job, i int) {
	t := &j.Tasks[i]
	if t.NotBeforeMS > m.nowMS {
		heap.Push(&m.timers, timer{t.NotBeforeMS, j, i})
		return
	}
	m.addReadyTask(j, i)
}

// addReadyTask adds a waiting task whose backoff is over to the job's ready tasks.
func (m *Machine) addReadyTask(j *job, i int) {
	switch {
	case j.isGang():
	case j.Tasks[i].Restart:
		j.readyRestarts = append(j.readyRestarts, i)
	default:
		j.ready = append(j.ready, i)
	}
	m.markChanged(j)
}

func (m *Machine) fireTimers() {
	for len(m.timers) > 0 && m.timers[0].at <= m.nowMS {
		t := heap.Pop(&m.timers).(timer)
		if t.j.State.Terminal() || t.j.Tasks[t.task].State != taskWaiting || t.j.Tasks[t.task].NotBeforeMS != t.at {
			continue
		}
		m.addReadyTask(t.j, t.task)
	}
}

// markChanged marks a job whose entry in the policy queue may have to change.
func (m *Machine) markChanged(j *job) {
	m.needsRound = true
	if j.changed {
		return
	}
	j.changed = true
	m.changed = append(m.changed, j)
}

// sortedKeys returns the keys of a map in order, so that no decision depends on map iteration order.
func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K {
	keys := make([]K, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
