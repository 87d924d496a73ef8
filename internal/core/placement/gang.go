package placement

import "math/bits"

func (x *index) PlaceGang(r Request, n int, span bool) ([]workerID, error) {
	q := x.newQuery(r)
	if span {
		if x.roomFor(q, nil, n) < n {
			return nil, x.noFit(q, n, span)
		}
		return x.placeMembers(q, nil, n), nil
	}
	for _, z := range x.zones {
		if q.allows(z.id) && x.roomFor(q, z, n) >= n {
			return x.placeMembers(q, z, n), nil
		}
	}
	return nil, x.noFit(q, n, span)
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
					if h := x.bySlot[slot].hold; h != nil && h.passes(q.Request) {
						// Counted above with the room that the hold keeps.
						continue
					}
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
	return copies(q.Size, q.roomOn(w), n)
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
