package placement

import (
	"math"
	"math/bits"
)

// maxScoredPerCell bounds the number of workers scored per grid cell. Workers of one
// cell have nearly the same free capacity, so scoring more of them adds little.
const maxScoredPerCell = 2

const noSlot int32 = -1

// scoredWorker is the best worker found so far.
type scoredWorker struct {
	slot  int32
	score float64
}

func (x *index) Place(r Request) (workerID, error) {
	q := x.newQuery(r)
	slot := x.selectWorker(q, nil)
	if slot == noSlot {
		return "", x.noFit(q, 1, true)
	}
	return x.bySlot[slot].id, nil
}

// selectWorker returns the best worker, or noSlot. If onlyZone is set, other zones are ignored.
func (x *index) selectWorker(q *query, onlyZone *zone) int32 {
	if q.replicas == nil || onlyZone != nil {
		return x.selectAmongZones(q, onlyZone, math.MaxInt32)
	}
	for level := x.nextReplicaCount(q, -1); level != math.MaxInt32; level = x.nextReplicaCount(q, level) {
		if slot := x.selectAmongZones(q, nil, level); slot != noSlot {
			return slot
		}
	}
	return noSlot
}

// nextReplicaCount returns the lowest number of replicas above the given one in any allowed zone,
// or math.MaxInt32 if there is none.
func (x *index) nextReplicaCount(q *query, above int32) int32 {
	lowest := int32(math.MaxInt32)
	for _, z := range x.zones {
		if n := q.replicas.inZone(z); n > above && q.allowsZone(z.id) {
			lowest = min(lowest, n)
		}
	}
	return lowest
}

// selectAmongZones returns the best worker of the allowed zones that run exactly
// replicaCount replicas; math.MaxInt32 matches any number.
func (x *index) selectAmongZones(q *query, onlyZone *zone, replicaCount int32) int32 {
	best := scoredWorker{slot: noSlot}
	for pass := range 2 {
		for _, z := range x.zones {
			if onlyZone != nil && z != onlyZone || !q.allowsZone(z.id) {
				continue
			}
			if replicaCount != math.MaxInt32 && q.replicas.inZone(z) != replicaCount {
				continue
			}
			x.searchZone(z, q, pass, &best)
		}
		if best.slot != noSlot {
			break
		}
	}
	return best.slot
}

// searchZone considers workers without accelerators in the first pass and those with
// accelerators in the second, so that accelerators stay available to tasks that
// need them.
func (x *index) searchZone(z *zone, q *query, pass int, best *scoredWorker) {
	accelerated := pass == 1
	if accelerated || q.Size.Accelerators == 0 {
		g := &z.plain
		if accelerated {
			g = &z.accelerated
		}
		x.searchGrid(g, q, best)
	}
	for _, slot := range z.held {
		w := &x.bySlot[slot]
		if (w.capacity.Accelerators > 0) == accelerated && w.hold.admits(q.Request) {
			x.consider(slot, q, best)
		}
	}
}

func (x *index) searchGrid(g *grid, q *query, best *scoredWorker) {
	for rows := bitsFrom(g.rowMask, q.minRow); rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		for cols := bitsFrom(g.colMask[row], q.minCol); cols != 0; cols &= cols - 1 {
			x.searchCell(g.cells[row][bits.TrailingZeros32(cols)], q, best)
		}
	}
}

func (x *index) searchCell(cell []int32, q *query, best *scoredWorker) {
	found := 0
	for _, slot := range cell {
		if !x.consider(slot, q, best) {
			continue
		}
		if q.replicas != nil && q.replicas.racks.get(x.bySlot[slot].rack) > 0 {
			// The cell may also contain workers on racks without replicas.
			continue
		}
		found++
		if found == maxScoredPerCell {
			return
		}
	}
}

// consider reports whether the worker passes the filters, and records it if it is
// the best so far. Equal scores are ordered by worker ID.
func (x *index) consider(slot int32, q *query, best *scoredWorker) bool {
	w := &x.bySlot[slot]
	if rejectReason(slot, w, q) != "" {
		return false
	}
	score := x.scorer.score(slot, w, q)
	switch {
	case best.slot == noSlot || score > best.score:
	case score == best.score && w.id < x.bySlot[best.slot].id:
	default:
		return true
	}
	*best = scoredWorker{slot: slot, score: score}
	return true
}
