package placement

import (
	"slices"

	"auburnpier/internal/domain"
)

// query is a request with what is derived from it once.
type query struct {
	*Request
	// row and col are the lowest grid cell with workers large enough.
	row, col int
	// avoid holds the slots of the workers to avoid.
	avoid []int32
	// spread tells where replicas run. It is nil where none runs or none is asked for.
	spread *jobCounts
}

// roomOn returns the room of a worker that the request may use.
func (q *query) roomOn(w *node) domain.Resources {
	if w.hold == nil || w.hold.passes(q.Request) {
		return w.free
	}
	return w.open()
}

// filter decides whether a worker can take a request at all. A filter looks
// at one reason, changes nothing, and gives the same answer for the same
// worker, room and request. The room is what the request may use of the
// worker. The first filter that rejects a worker names the reason.
type filter interface {
	reason() RejectReason
	passes(slot int32, w *node, room domain.Resources, q *query) bool
}

// workerFilters are applied to workers of allowed zones that are not excluded, in this order.
var workerFilters = [...]filter{reservedFilter{}, acceleratorFilter{}, cpuFilter{}, memoryFilter{}, avoidFilter{}}

// reservedFilter rejects a worker that has the room, but keeps it for a gang.
type reservedFilter struct{}

func (reservedFilter) reason() RejectReason { return RejectReserved }
func (reservedFilter) passes(_ int32, w *node, room domain.Resources, q *query) bool {
	return w.hold == nil || q.Size.Fits(room) || !q.Size.Fits(w.free)
}

type acceleratorFilter struct{}

func (acceleratorFilter) reason() RejectReason { return RejectAccelerators }
func (acceleratorFilter) passes(_ int32, _ *node, room domain.Resources, q *query) bool {
	return q.Size.Accelerators <= room.Accelerators
}

type cpuFilter struct{}

func (cpuFilter) reason() RejectReason { return RejectCPU }
func (cpuFilter) passes(_ int32, _ *node, room domain.Resources, q *query) bool {
	return q.Size.CPUMilli <= room.CPUMilli
}

type memoryFilter struct{}

func (memoryFilter) reason() RejectReason { return RejectMemory }
func (memoryFilter) passes(_ int32, _ *node, room domain.Resources, q *query) bool {
	return q.Size.MemoryMB <= room.MemoryMB
}

type avoidFilter struct{}

func (avoidFilter) reason() RejectReason { return RejectAvoided }
func (avoidFilter) passes(slot int32, _ *node, _ domain.Resources, q *query) bool {
	return !slices.Contains(q.avoid, slot)
}

// rejectedBy returns the reason of the first filter that rejects the worker, or an empty one.
func rejectedBy(slot int32, w *node, q *query) RejectReason {
	room := q.roomOn(w)
	for _, f := range workerFilters {
		if !f.passes(slot, w, room, q) {
			return f.reason()
		}
	}
	return ""
}

// newQuery prepares the query of the index, which is reused by each call.
func (x *index) newQuery(r Request) *query {
	x.avoid = x.avoid[:0]
	for _, id := range r.Avoid {
		if slot, known := x.slots[id]; known {
			x.avoid = append(x.avoid, slot)
		}
	}
	x.request = r
	x.query = query{
		Request: &x.request,
		row:     bucketOf(r.Size.CPUMilli, cpuUnitMilli),
		col:     bucketOf(r.Size.MemoryMB, memoryUnitMB),
		avoid:   x.avoid,
	}
	if r.Spread != "" {
		x.query.spread = x.jobs[r.Spread]
	}
	return &x.query
}

// allows reports whether the request may run in the zone.
func (q *query) allows(id domain.ZoneID) bool {
	return len(q.Zones) == 0 || slices.Contains(q.Zones, id)
}
