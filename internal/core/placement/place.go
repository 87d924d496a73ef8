package placement

import (
	"math"
	"math/bits"
)

// perCell bounds the workers that are scored in one grid cell. Workers of a
// cell have nearly the same free capacity, so more add little.
const perCell = 2

const noSlot int32 = -1

// choice is the best worker so far.
type choice struct {
	slot  int32
	score float64
}

func (x *index) Place(r Request) (workerID, error) {
	q := x.newQuery(r)
	slot := x.choose(q, nil)
	if slot == noSlot {
		return "", x.noFit(q, 1, true)
	}
	return x.bySlot[slot].id, nil
}

// choose returns the best worker, in zone only where it is set, or noSlot.
func (x *index) choose(q *query, only *zone) int32 {
	if q.spread == nil || only != nil {
		return x.chooseAmong(q, only, math.MaxInt32)
	}
	for level := x.fewestReplicas(q, -1); level != math.MaxInt32; level = x.fewestReplicas(q, level) {
		if slot := x.chooseAmong(q, nil, level); slot != noSlot {
			return slot
		}
	}
	return noSlot
}

// fewestReplicas returns the lowest number of replicas above the given one that an allowed zone has.
func (x *index) fewestReplicas(q *query, above int32) int32 {
	lowest := int32(math.MaxInt32)
	for _, z := range x.zones {
		if n := q.spread.inZone(z); n > above && q.allows(z.id) {
			lowest = min(lowest, n)
		}
	}
	return lowest
}

// chooseAmong returns the best worker of the allowed zones with the given
// number of replicas; math.MaxInt32 stands for any number.
func (x *index) chooseAmong(q *query, only *zone, replicas int32) int32 {
	best := choice{slot: noSlot}
	for pass := range 2 {
		for _, z := range x.zones {
			if only != nil && z != only || !q.allows(z.id) {
				continue
			}
			if replicas != math.MaxInt32 && q.spread.inZone(z) != replicas {
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

// searchZone looks at plain workers in the first pass and at accelerated ones
// in the second, so that accelerators are left to tasks that need them.
func (x *index) searchZone(z *zone, q *query, pass int, best *choice) {
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
		if (w.capacity.Accelerators > 0) == accelerated && w.hold.passes(q.Request) {
			x.consider(slot, q, best)
		}
	}
}

func (x *index) searchGrid(g *grid, q *query, best *choice) {
	for rows := from(g.rows, q.row); rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		for cols := from(g.cols[row], q.col); cols != 0; cols &= cols - 1 {
			x.searchCell(g.cells[row][bits.TrailingZeros32(cols)], q, best)
		}
	}
}

func (x *index) searchCell(cell []int32, q *query, best *choice) {
	found := 0
	for _, slot := range cell {
		if !x.consider(slot, q, best) {
			continue
		}
		if q.spread != nil && q.spread.racks.of(x.bySlot[slot].rack) > 0 {
			// Racks without replicas may follow in the same cell.
			continue
		}
		found++
		if found == perCell {
			return
		}
	}
}

// consider reports whether the worker passes the filters, and keeps it where
// it is the best so far. Equal scores are decided by the worker ID.
func (x *index) consider(slot int32, q *query, best *choice) bool {
	w := &x.bySlot[slot]
	if rejectedBy(slot, w, q) != "" {
		return false
	}
	score := x.scorer.score(slot, w, q)
	switch {
	case best.slot == noSlot || score > best.score:
	case score == best.score && w.id < x.bySlot[best.slot].id:
	default:
		return true
	}
	*best = choice{slot: slot, score: score}
	return true
}
