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

// rejectionTally counts workers by reason, in the order of reasonOrder. Other
// reasons, which callers pass to Exclude, follow in the order of first occurrence.
type rejectionTally struct {
	known [len(reasonOrder)]int
	other []Rejection
}

func (t *rejectionTally) add(reason RejectReason, workers int) {
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

func (t *rejectionTally) rejections() []Rejection {
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

// noFit builds the error for n members that cannot be placed.
func (x *index) noFit(q *query, n int, span bool) *NoFitError {
	var t rejectionTally
	for _, z := range x.zones {
		if !q.allowsZone(z.id) {
			t.add(RejectZone, z.workers)
			continue
		}
		x.tallyZone(z, q, &t)
	}
	e := &NoFitError{Rejections: t.rejections()}
	if !x.fitsWhenEmpty(q, q.Size, n, span) {
		e.NeverFits = true
		e.NearestSize = x.nearestFittingSize(q, n, span)
	}
	return e
}

func (x *index) tallyZone(z *zone, q *query, t *rejectionTally) {
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
		// tallyGrid counted workers with a hold by their unheld capacity; replace that reason.
		w := &x.bySlot[slot]
		t.add(tallyGridReason(slot, w, q), -1)
		t.add(rejectReason(slot, w, q), 1)
	}
}

// tallyGridReason returns the reason under which tallyGrid counted the worker.
func tallyGridReason(slot int32, w *worker, q *query) RejectReason {
	switch row, col := int(w.row), int(w.col); {
	case row < q.minRow:
		return RejectCPU
	case row > q.minRow && col < q.minCol:
		return RejectMemory
	default:
		return rejectReason(slot, w, q)
	}
}

// tallyGrid counts whole rows and cells below the requested size, and checks workers
// one by one only in the remaining cells.
func (x *index) tallyGrid(g *grid, q *query, t *rejectionTally) {
	for rows := g.rowMask; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		if row < q.minRow {
			t.add(RejectCPU, g.rowSize[row])
			continue
		}
		for cols := g.colMask[row]; cols != 0; cols &= cols - 1 {
			col := bits.TrailingZeros32(cols)
			if row > q.minRow && col < q.minCol {
				t.add(RejectMemory, len(g.cells[row][col]))
				continue
			}
			for _, slot := range g.cells[row][col] {
				t.add(rejectReason(slot, &x.bySlot[slot], q), 1)
			}
		}
	}
}

func (x *index) tallyEach(g *grid, q *query, t *rejectionTally) {
	for rows := g.rowMask; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros32(rows)
		for cols := g.colMask[row]; cols != 0; cols &= cols - 1 {
			for _, slot := range g.cells[row][bits.TrailingZeros32(cols)] {
				t.add(rejectReason(slot, &x.bySlot[slot], q), 1)
			}
		}
	}
}

// fitsWhenEmpty reports whether n members of size would fit the allowed zones if all workers were empty.
func (x *index) fitsWhenEmpty(q *query, size domain.Resources, n int, span bool) bool {
	sum := 0
	for _, z := range x.zones {
		if !q.allowsZone(z.id) {
			continue
		}
		members := z.maxMembers(size, n)
		if members >= n {
			return true
		}
		sum += members
	}
	return span && sum >= n
}

// maxTriedMembersPerWorker bounds how many equal parts of a worker are tried as the size of a gang member.
const maxTriedMembersPerWorker = 256

// nearestFittingSize returns the largest size, at most the requested one in each
// component, of which n members fit empty workers. Sizes are compared by the sum
// of the fractions of the requested components that they provide.
func (x *index) nearestFittingSize(q *query, n int, span bool) domain.Resources {
	var best domain.Resources
	bestSum := 0.0
	for _, z := range x.zones {
		if !q.allowsZone(z.id) {
			continue
		}
		for _, s := range z.capacityClasses {
			for k := 1; k <= min(n, maxTriedMembersPerWorker); k++ {
				size := q.Size.Min(divideResources(s.capacity, int64(k)))
				if !x.fitsWhenEmpty(q, size, n, span) {
					continue
				}
				if sum := fractionSum(size, q.Size); sum > bestSum {
					best, bestSum = size, sum
				}
				break
			}
		}
	}
	return best
}

func divideResources(r domain.Resources, by int64) domain.Resources {
	return domain.Resources{
		CPUMilli:     r.CPUMilli / by,
		MemoryMB:     r.MemoryMB / by,
		Accelerators: r.Accelerators / by,
	}
}

func fractionSum(size, of domain.Resources) float64 {
	return fraction(size.CPUMilli, of.CPUMilli) + fraction(size.MemoryMB, of.MemoryMB) +
		fraction(size.Accelerators, of.Accelerators)
}
