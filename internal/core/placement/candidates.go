package placement

import (
	"container/heap"
	"slices"

	"auburnpier/internal/domain"
)

// candidate is a worker that a gang may reserve for one more member.
type candidate struct {
	slot int32
	id   workerID
	// members is the number of members with the next one, of at most limit.
	members, limit int
	// deficit is the dominant fraction of the worker that has to free up for
	// all members, and more the part of it that the next one adds.
	deficit, more float64
}

// candidateHeap has the candidate on top for whose next member the least has to free up.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }
func (h candidateHeap) Less(a, b int) bool {
	return h[a].more < h[b].more || h[a].more == h[b].more && h[a].id < h[b].id
}
func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *candidateHeap) Push(c any)   { *h = append(*h, c.(candidate)) }
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// GangCandidates looks at all workers of the allowed zones. It is called once
// for a gang that waited long, not for each decision.
func (x *index) GangCandidates(r Request, n int, span bool) ([]workerID, bool) {
	q := x.newQuery(r)
	if span {
		list, _, ok := x.cheapest(q, nil, n)
		return list, ok
	}
	var best []workerID
	lowest, found := 0.0, false
	for _, z := range x.zones {
		list, deficit, ok := x.cheapest(q, z, n)
		if ok && (!found || deficit < lowest) {
			best, lowest, found = list, deficit, true
		}
	}
	return best, found
}

// cheapest returns a worker for each of n members, and the sum of what has to
// free up for them.
func (x *index) cheapest(q *query, only *zone, n int) ([]workerID, float64, bool) {
	var h candidateHeap
	for slot := range x.bySlot {
		if c, ok := x.candidate(int32(slot), q, only, n); ok {
			h = append(h, c)
		}
	}
	heap.Init(&h)
	workers := make([]workerID, 0, n)
	sum := 0.0
	for len(workers) < n && len(h) > 0 {
		c := &h[0]
		workers = append(workers, c.id)
		sum += c.more
		if c.members == c.limit {
			heap.Pop(&h)
			continue
		}
		x.addMember(c, q)
		heap.Fix(&h, 0)
	}
	return workers, sum, len(workers) == n
}

func (x *index) candidate(slot int32, q *query, only *zone, n int) (candidate, bool) {
	w := &x.bySlot[slot]
	if !w.live || w.excluded != "" || only != nil && w.zone != only || !q.allows(w.zone.id) {
		return candidate{}, false
	}
	if w.hold != nil && !w.hold.passes(q.Request) || slices.Contains(q.avoid, slot) {
		return candidate{}, false
	}
	c := candidate{slot: slot, id: w.id, limit: copies(q.Size, w.capacity, n)}
	if c.limit == 0 {
		return candidate{}, false
	}
	x.addMember(&c, q)
	return c, true
}

// addMember counts one more member and what has to free up for it.
func (x *index) addMember(c *candidate, q *query) {
	w := &x.bySlot[c.slot]
	c.members++
	lacking := q.Size.Scale(int64(c.members)).Sub(w.free).Max(domain.Resources{})
	deficit := lacking.DominantShare(w.capacity)
	c.more = deficit - c.deficit
	c.deficit = deficit
}
