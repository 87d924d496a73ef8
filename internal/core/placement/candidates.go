package placement

import (
	"container/heap"
	"slices"

	"auburnpier/internal/domain"
)

// candidate is a worker that could take one more member of a gang.
type candidate struct {
	slot int32
	id   workerID
	// members counts the members on the worker including the next one. It is at most
	// maxMembers.
	members, maxMembers int
	// deficit is the capacity missing for all members, as a dominant fraction of the
	// worker, and addedDeficit the part of it that the next member adds.
	deficit, addedDeficit float64
}

// candidateHeap keeps the candidate with the smallest added deficit at the top.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }
func (h candidateHeap) Less(a, b int) bool {
	return h[a].addedDeficit < h[b].addedDeficit || h[a].addedDeficit == h[b].addedDeficit && h[a].id < h[b].id
}
func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *candidateHeap) Push(c any)   { *h = append(*h, c.(candidate)) }
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// GangCandidates scans all workers of the allowed zones. It is called once for a
// gang that has waited long, not for each decision.
func (x *index) GangCandidates(r Request, n int, span bool) ([]workerID, bool) {
	q := x.newQuery(r)
	if span {
		list, _, ok := x.leastDeficit(q, nil, n)
		return list, ok
	}
	var best []workerID
	lowestDeficit, found := 0.0, false
	for _, z := range x.zones {
		list, deficit, ok := x.leastDeficit(q, z, n)
		if ok && (!found || deficit < lowestDeficit) {
			best, lowestDeficit, found = list, deficit, true
		}
	}
	return best, found
}

// leastDeficit returns a worker for each of n members such that the least capacity
// has to become free, and the sum of their deficits.
func (x *index) leastDeficit(q *query, onlyZone *zone, n int) ([]workerID, float64, bool) {
	var h candidateHeap
	for slot := range x.bySlot {
		if c, ok := x.newCandidate(int32(slot), q, onlyZone, n); ok {
			h = append(h, c)
		}
	}
	heap.Init(&h)
	workers := make([]workerID, 0, n)
	totalDeficit := 0.0
	for len(workers) < n && len(h) > 0 {
		c := &h[0]
		workers = append(workers, c.id)
		totalDeficit += c.addedDeficit
		if c.members == c.maxMembers {
			heap.Pop(&h)
			continue
		}
		x.addMember(c, q)
		heap.Fix(&h, 0)
	}
	return workers, totalDeficit, len(workers) == n
}

func (x *index) newCandidate(slot int32, q *query, onlyZone *zone, n int) (candidate, bool) {
	w := &x.bySlot[slot]
	if !w.live || w.excluded != "" || onlyZone != nil && w.zone != onlyZone || !q.allowsZone(w.zone.id) {
		return candidate{}, false
	}
	if w.hold != nil && !w.hold.admits(q.Request) || slices.Contains(q.avoidSlots, slot) {
		return candidate{}, false
	}
	c := candidate{slot: slot, id: w.id, maxMembers: fitCount(q.Size, w.capacity, n)}
	if c.maxMembers == 0 {
		return candidate{}, false
	}
	x.addMember(&c, q)
	return c, true
}

// addMember adds one more member to the candidate and updates its deficit.
func (x *index) addMember(c *candidate, q *query) {
	w := &x.bySlot[c.slot]
	c.members++
	missing := q.Size.Scale(int64(c.members)).Sub(w.free).Max(domain.Resources{})
	deficit := missing.DominantShare(w.capacity)
	c.addedDeficit = deficit - c.deficit
	c.deficit = deficit
}
