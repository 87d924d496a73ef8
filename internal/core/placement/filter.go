package placement

import (
	"slices"

	"auburnpier/internal/domain"
)

// query is a request with the values derived from it once per call.
type query struct {
	*Request
	// minRow and minCol are the lowest grid cell whose workers may be large enough.
	minRow, minCol int
	// avoidSlots holds the slots of the workers to avoid.
	avoidSlots []int32
	// replicas counts the running replicas of the job to spread. It is nil if there are
	// none or if no spreading was requested.
	replicas *jobCounts
}

// availableOn returns the free capacity of a worker that the request may use.
func (q *query) availableOn(w *worker) domain.Resources {
	if w.hold == nil || w.hold.admits(q.Request) {
		return w.free
	}
	return w.unheld()
}

// filter decides whether a worker can take a request. Each filter checks for one
// reason, has no side effects, and depends only on the worker, the capacity
// available to the request, and the request. The first filter that rejects a worker
// determines the reported reason.
type filter interface {
	reason() RejectReason
	accepts(slot int32, w *worker, available domain.Resources, q *query) bool
}

// filterChain is applied, in this order, to workers of allowed zones that are not
// excluded.
var filterChain = [...]filter{holdFilter{}, acceleratorFilter{}, cpuFilter{}, memoryFilter{}, avoidFilter{}}

// holdFilter rejects a worker whose free capacity would suffice but is held for a gang.
type holdFilter struct{}

func (holdFilter) reason() RejectReason { return RejectReserved }
func (holdFilter) accepts(_ int32, w *worker, available domain.Resources, q *query) bool {
	return w.hold == nil || q.Size.Fits(available) || !q.Size.Fits(w.free)
}

type acceleratorFilter struct{}

func (acceleratorFilter) reason() RejectReason { return RejectAccelerators }
func (acceleratorFilter) accepts(_ int32, _ *worker, available domain.Resources, q *query) bool {
	return q.Size.Accelerators <= available.Accelerators
}

type cpuFilter struct{}

func (cpuFilter) reason() RejectReason { return RejectCPU }
func (cpuFilter) accepts(_ int32, _ *worker, available domain.Resources, q *query) bool {
	return q.Size.CPUMilli <= available.CPUMilli
}

type memoryFilter struct{}

func (memoryFilter) reason() RejectReason { return RejectMemory }
func (memoryFilter) accepts(_ int32, _ *worker, available domain.Resources, q *query) bool {
	return q.Size.MemoryMB <= available.MemoryMB
}

type avoidFilter struct{}

func (avoidFilter) reason() RejectReason { return RejectAvoided }
func (avoidFilter) accepts(slot int32, _ *worker, _ domain.Resources, q *query) bool {
	return !slices.Contains(q.avoidSlots, slot)
}

// rejectReason returns the reason of the first filter that rejects the worker, or an empty one.
func rejectReason(slot int32, w *worker, q *query) RejectReason {
	available := q.availableOn(w)
	for _, f := range filterChain {
		if !f.accepts(slot, w, available, q) {
			return f.reason()
		}
	}
	return ""
}

// newQuery fills the query of the index, which is reused by every call.
func (x *index) newQuery(r Request) *query {
	x.avoidSlots = x.avoidSlots[:0]
	for _, id := range r.Avoid {
		if slot, known := x.slots[id]; known {
			x.avoidSlots = append(x.avoidSlots, slot)
		}
	}
	x.request = r
	x.query = query{
		Request:    &x.request,
		minRow:     bucketOf(r.Size.CPUMilli, cpuUnitMilli),
		minCol:     bucketOf(r.Size.MemoryMB, memoryUnitMB),
		avoidSlots: x.avoidSlots,
	}
	if r.Spread != "" {
		x.query.replicas = x.countsByJob[r.Spread]
	}
	return &x.query
}

// allowsZone reports whether the request may be placed in the zone.
func (q *query) allowsZone(id domain.ZoneID) bool {
	return len(q.Zones) == 0 || slices.Contains(q.Zones, id)
}
