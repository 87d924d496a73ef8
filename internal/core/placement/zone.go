package placement

import (
	"slices"
	"strings"

	"auburnpier/internal/domain"
)

// zone holds the workers of one availability zone.
type zone struct {
	id      domain.ZoneID
	workers int
	// plain holds the workers without accelerators and accelerated the others,
	// so that tasks without need of accelerators look at the others last.
	plain, accelerated grid
	held               []int32 // sorted
	excluded           []Rejection
	shapes             []shape
}

// shape is a distinct worker capacity of a zone.
type shape struct {
	capacity domain.Resources
	workers  int
}

func compareZone(z *zone, id domain.ZoneID) int {
	return strings.Compare(string(z.id), string(id))
}

func (z *zone) gridOf(w *node) *grid {
	if w.capacity.Accelerators > 0 {
		return &z.accelerated
	}
	return &z.plain
}

func (z *zone) addHeld(slot int32) {
	at, _ := slices.BinarySearch(z.held, slot)
	z.held = slices.Insert(z.held, at, slot)
}

func (z *zone) dropHeld(slot int32) {
	if at, ok := slices.BinarySearch(z.held, slot); ok {
		z.held = slices.Delete(z.held, at, at+1)
	}
}

func (z *zone) countExcluded(reason RejectReason, by int) {
	for i := range z.excluded {
		if z.excluded[i].Reason == reason {
			z.excluded[i].Workers += by
			return
		}
	}
	z.excluded = append(z.excluded, Rejection{Reason: reason, Workers: by})
}

func (z *zone) addShape(capacity domain.Resources) {
	for i := range z.shapes {
		if z.shapes[i].capacity == capacity {
			z.shapes[i].workers++
			return
		}
	}
	z.shapes = append(z.shapes, shape{capacity: capacity, workers: 1})
}

func (z *zone) dropShape(capacity domain.Resources) {
	at := slices.IndexFunc(z.shapes, func(s shape) bool { return s.capacity == capacity })
	z.shapes[at].workers--
	if z.shapes[at].workers == 0 {
		z.shapes = slices.Delete(z.shapes, at, at+1)
	}
}

// members returns how many tasks of size fit the empty workers of the zone, at most limit.
func (z *zone) members(size domain.Resources, limit int) int {
	sum := 0
	for _, s := range z.shapes {
		sum += min(copies(size, s.capacity, limit)*s.workers, limit)
	}
	return min(sum, limit)
}

// copies returns how many times size fits into room, at most limit.
func copies(size, room domain.Resources, limit int) int {
	if !size.Fits(room) || room.IsNegative() {
		return 0
	}
	n := int64(limit)
	if size.CPUMilli > 0 {
		n = min(n, room.CPUMilli/size.CPUMilli)
	}
	if size.MemoryMB > 0 {
		n = min(n, room.MemoryMB/size.MemoryMB)
	}
	if size.Accelerators > 0 {
		n = min(n, room.Accelerators/size.Accelerators)
	}
	return int(n)
}
