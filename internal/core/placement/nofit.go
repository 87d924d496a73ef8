package placement

import (
	"math/bits"

	"auburnpier/internal/domain"
)

// reasonOrder is the order of rejections in a *NoFitError.
var reasonOrder = [...]RejectReason{
	RejectZone, RejectLeaving, RejectQuarantined, RejectUnreachable, RejectReserved,
	RejectAccelerators, RejectCPU, RejectMemory, RejectAvoided,
}

// tally counts workers by reason, in the order of reasonOrder. Reasons of
// Exclude that are not listed there follow in the order in which they are met.
type tally struct {
	known [len(reasonOrder)]int
	other []Rejection
}

func (t *tally) add(reason RejectReason, workers int) {
	if reason == "" || workers == 0 {
		return
	}
	for i, r := range reasonOrder {
		if r == reason {
			t.known[i] += workers
			return
		}
	}
	for i := range t.other {
		if t.other[i].Reason == reason {
			t.other[i].Workers += workers
			return
		}
	}
	t.other = append(t.other, Rejection{Reason: reason, Workers: workers})
}

func (t *tally) rejections() []Rejection {
	used := len(t.other)
	for _, n := range t.known {
		if n > 0 {
			used++
		}
	}
	list := make([]Rejection, 0, used)
	for i, n := range t.known {
		if n > 0 {
			list = append(list, Rejection{Reason: reasonOrder[i], Workers: n})
		}
	}
	return append(list, t.other...)
}

// noFit explains why n members find no place.
func (x *index) noFit(q *query, n int, span bool) *NoFitError {
	var t tally
	for _, z := range x.zones {
		if !q.allows(z.id) {
			t.add(RejectZone, z.workers)
			continue
		}
		x.tallyZone(z, q, &t)
	}
	e := &NoFitError{Rejections: t.rejections()}
	if !x.everFits(q, q.Size, n, span) {
		e.Never = true
		e.Nearest = x.nearest(q, n, span)
	}
	return e
}

func (x *index) tallyZone(z *zone, q *query, t *tally) {
	for _, e := range z.excluded {
		t.add(e.Reason, e.Workers)
	}
	if q.Size.Accelerators > 0 {
		t.add(RejectAccelerators, z.plain.size)
		x.tallyEach(&z.accelerated, q, t)
		return
	}
	x.tallyGrid(&z.plain, q, t)
	x.tallyGrid(&z.accelerated, q, t)
	for _, slot := range z.held {
		// The grid counts held workers by what they keep open.
		w := &x.bySlot[slot]
		t.add(gridReason(slot, w, q), -1)
		t.add(rejectedBy(slot, w, q), 1)
	}
}

// gridReason returns the reason under which tallyGrid counts the worker.
func gridReason(slot int32, w *node, q *query) RejectReason {
	switch row, col := int(w.row), int(w.col); {
	case row < q.row:
		return RejectCPU
	case row > q.row && col < q.col:
		return RejectMemory
	default:
		return rejectedBy(slot, w, q)
	}
}

// tallyGrid counts whole rows and cells below the requested size and looks at
// single workers only from the size on.
func (x *index) tallyGrid(g *grid, q *query, t *tally) {
	for rows := g.rows; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		if row < q.row {
			t.add(RejectCPU, g.rowSize[row])
			continue
		}
		for cols := g.cols[row]; cols != 0; cols &= cols - 1 {
			col := bits.TrailingZeros32(cols)
			if row > q.row && col < q.col {
				t.add(RejectMemory, len(g.cells[row][col]))
				continue
			}
			for _, slot := range g.cells[row][col] {
				t.add(rejectedBy(slot, &x.bySlot[slot], q), 1)
			}
		}
	}
}

func (x *index) tallyEach(g *grid, q *query, t *tally) {
	for rows := g.rows; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		for cols := g.cols[row]; cols != 0; cols &= cols - 1 {
			for _, slot := range g.cells[row][bits.TrailingZeros32(cols)] {
				t.add(rejectedBy(slot, &x.bySlot[slot], q), 1)
			}
		}
	}
}

// everFits reports whether n members of size fit the allowed zones when all workers are empty.
func (x *index) everFits(q *query, size domain.Resources, n int, span bool) bool {
	sum := 0
	for _, z := range x.zones {
		if !q.allows(z.id) {
			continue
		}
		members := z.members(size, n)
		if members >= n {
			return true
		}
		sum += members
	}
	return span && sum >= n
}

// maxShrink bounds the shares of one worker that are tried for a gang.
const maxShrink = 256

// nearest returns the largest size, at most the requested one in each
// component, of which n members fit empty workers. Sizes are compared by the
// sum of the fractions of each component that they keep.
func (x *index) nearest(q *query, n int, span bool) domain.Resources {
	var best domain.Resources
	kept := 0.0
	for _, z := range x.zones {
		if !q.allows(z.id) {
			continue
		}
		for _, s := range z.shapes {
			for k := 1; k <= min(n, maxShrink); k++ {
				size := q.Size.Min(divide(s.capacity, int64(k)))
				if !x.everFits(q, size, n, span) {
					continue
				}
				if keeps := keptFraction(size, q.Size); keeps > kept {
					best, kept = size, keeps
				}
				break
			}
		}
	}
	return best
}

func divide(r domain.Resources, by int64) domain.Resources {
	return domain.Resources{
		CPUMilli:     r.CPUMilli / by,
		MemoryMB:     r.MemoryMB / by,
		Accelerators: r.Accelerators / by,
	}
}

func keptFraction(size, of domain.Resources) float64 {
	return fraction(size.CPUMilli, of.CPUMilli) + fraction(size.MemoryMB, of.MemoryMB) +
		fraction(size.Accelerators, of.Accelerators)
}
