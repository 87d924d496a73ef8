package placement

import "math/bits"

func (x *index) PlaceGang(r Request, n int, span bool) ([]workerID, error) {
	q := x.newQuery(r)
	if span {
		if x.fittingMembers(q, nil, n) < n {
			return nil, x.noFit(q, n, span)
		}
		return x.placeMembers(q, nil, n), nil
	}
	for _, z := range x.zones {
		if q.allowsZone(z.id) && x.fittingMembers(q, z, n) >= n {
			return x.placeMembers(q, z, n), nil
		}
	}
	return nil, x.noFit(q, n, span)
}

// fittingMembers returns how many members fit now, at most n. If onlyZone is set, other zones are ignored.
func (x *index) fittingMembers(q *query, onlyZone *zone, n int) int {
	sum := 0
	for _, z := range x.zones {
		if onlyZone != nil && z != onlyZone || !q.allowsZone(z.id) {
			continue
		}
		sum += x.zoneFittingMembers(z, q, n-sum)
	}
	return sum
}

func (x *index) zoneFittingMembers(z *zone, q *query, n int) int {
	sum := 0
	for _, slot := range z.held {
		if x.bySlot[slot].hold.admits(q.Request) {
			sum += x.workerFittingMembers(slot, q, n-sum)
		}
	}
	for _, g := range [...]*grid{&z.plain, &z.accelerated} {
		for rows := bitsFrom(g.rowMask, q.minRow); rows != 0 && sum < n; rows &= rows - 1 {
			row := bits.TrailingZeros32(rows)
			for cols := bitsFrom(g.colMask[row], q.minCol); cols != 0 && sum < n; cols &= cols - 1 {
				for _, slot := range g.cells[row][bits.TrailingZeros32(cols)] {
					if h := x.bySlot[slot].hold; h != nil && h.admits(q.Request) {
						// Counted above, including the held capacity.
						continue
					}
					sum += x.workerFittingMembers(slot, q, n-sum)
				}
			}
		}
	}
	return sum
}

func (x *index) workerFittingMembers(slot int32, q *query, n int) int {
	w := &x.bySlot[slot]
	if rejectReason(slot, w, q) != "" {
		return 0
	}
	return fitCount(q.Size, q.availableOn(w), n)
}

// placeMembers selects a worker for each of n members. The caller has verified that
// all of them fit. All members have the same size, so the choice for one cannot
// make another impossible.
func (x *index) placeMembers(q *query, onlyZone *zone, n int) []workerID {
	workers := make([]workerID, 0, n)
	slots := make([]int32, 0, n)
	for range n {
		slot := x.selectWorker(q, onlyZone)
		x.setFreeCapacity(slot, x.bySlot[slot].free.Sub(q.Size))
		slots = append(slots, slot)
		workers = append(workers, x.bySlot[slot].id)
	}
	for _, slot := range slots {
		x.setFreeCapacity(slot, x.bySlot[slot].free.Add(q.Size))
	}
	return workers
}
