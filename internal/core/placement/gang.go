package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"auburnpier/internal/domain"
)

func (x *index) PlaceGang(r Request, n int, span bool) ([]workerID, error) {
	q := x.newQuery(&r)
	if span {
		if x.roomFor(&q, nil, n) < n {
			return nil, x.noFit(&q, n, span)
		}
		return x.placeMembers(&q, nil, n), nil
	}
	for _, z := range x.zones {
		if q.allows(z.id) && x.roomFor(&q, z, n) >= n {
			return x.placeMembers(&q, z, n), nil
		}
	}
	return nil, x.noFit(&q, n, span)
}

// roomFor returns how many members fit now, in zone only where it is set, at most n.
func (x *index) roomFor(q *query, only *zone, n int) int {
	sum := 0
	for _, z := range x.zones {
		if only != nil && z != only || !q.allows(z.id) {
			continue
		}
		sum += x.zoneRoom(z, q, n-sum)
	}
	return sum
}

func (x *index) zoneRoom(z *zone, q *query, n int) int {
	sum := 0
	for _, slot := range z.held {
		if x.bySlot[slot].hold.passes(q.Request) {
			sum += x.workerRoom(slot, q, n-sum)
		}
	}
	for _, g := range [...]*grid{&z.plain, &z.accelerated} {
		for rows := from(g.rows, q.row); rows != 0 && sum < n; rows &= rows - 1 {
			row := bits.TrailingZeros32(rows)
			for cols := from(g.cols[row], q.col); cols != 0 && sum < n; cols &= cols - 1 {
				for _, slot := range g.cells[row][bits.TrailingZeros32(cols)] {
					sum += x.workerRoom(slot, q, n-sum)
				}
			}
		}
	}
	return sum
}

func (x *index) workerRoom(slot int32, q *query, n int) int {
	w := &x.bySlot[slot]
	if rejectedBy(slot, w, q) != "" {
		return 0
	}
	return copies(q.Size, w.free, n)
}

// placeMembers chooses a worker for each of n members. The caller made sure
// that all fit; members have one size, so no choice takes the room of another.
func (x *index) placeMembers(q *query, only *zone, n int) []workerID {
	workers := make([]workerID, 0, n)
	slots := make([]int32, 0, n)
	for range n {
		slot := x.choose(q, only)
		x.setFree(slot, x.bySlot[slot].free.Sub(q.Size))
		slots = append(slots, slot)
		workers = append(workers, x.bySlot[slot].id)
	}
	for _, slot := range slots {
		x.setFree(slot, x.bySlot[slot].free.Add(q.Size))
	}
	return workers
}

// candidate is a worker that a gang may reserve.
type candidate struct {
	slot    int32
	members int
	// busy is the dominant fraction that must still free up.
	busy float64
}

func (x *index) GangCandidates(r Request, n int, span bool) ([]workerID, bool) {
	q := x.newQuery(&r)
	if span {
		list, _, ok := x.emptiest(&q, nil, n)
		return x.ids(list), ok
	}
	var best []candidate
	lowest, found := 0.0, false
	for _, z := range x.zones {
		list, busy, ok := x.emptiest(&q, z, n)
		if ok && (!found || busy < lowest) {
			best, lowest, found = list, busy, true
		}
	}
	return x.ids(best), found
}

// emptiest returns the emptiest workers that hold n members when they are
// empty, with the sum of what must free up on them.
func (x *index) emptiest(q *query, only *zone, n int) ([]candidate, float64, bool) {
	var all []candidate
	for slot := range x.bySlot {
		if c, ok := x.candidate(int32(slot), q, only, n); ok {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.busy, b.busy), cmp.Compare(x.bySlot[a.slot].id, x.bySlot[b.slot].id))
	})
	busy, members := 0.0, 0
	for i, c := range all {
		busy += c.busy
		members += c.members
		if members >= n {
			return all[:i+1], busy, true
		}
	}
	return nil, 0, false
}

func (x *index) candidate(slot int32, q *query, only *zone, n int) (candidate, bool) {
	w := &x.bySlot[slot]
	if !w.live || w.excluded != "" || only != nil && w.zone != only || !q.allows(w.zone.id) {
		return candidate{}, false
	}
	if w.hold != nil && !q.IgnoreReservations && w.hold.job != q.Holder || slices.Contains(q.avoid, slot) {
		return candidate{}, false
	}
	members := copies(q.Size, w.capacity, n)
	if members == 0 {
		return candidate{}, false
	}
	used := w.capacity.Sub(w.free)
	return candidate{slot: slot, members: members, busy: used.DominantShare(w.capacity)}, true
}

func (x *index) ids(list []candidate) []workerID {
	ids := make([]domain.WorkerID, 0, len(list))
	for _, c := range list {
		ids = append(ids, x.bySlot[c.slot].id)
	}
	return ids
}
