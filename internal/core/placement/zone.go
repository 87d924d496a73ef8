package placement

import (
	"slices"
	"strings"

	"auburnpier/internal/domain"
)

// zone indexes the workers of one availability zone.
type zone struct {
	id      domain.ZoneID
	workers int
	// plain holds the workers without accelerators and accelerated the others, so that
	// tasks that need no accelerators consider the latter last.
	plain, accelerated grid
	held               []int32 // sorted
	excluded           []Rejection
	capacityClasses    []capacityClass
}

// capacityClass is a distinct worker capacity in a zone.
type capacityClass struct {
	capacity domain.Resources
	workers  int
}

func compareZone(z *zone, id domain.ZoneID) int {
	return strings.Compare(string(z.id), string(id))
}

func (z *zone) gridOf(w *worker) *grid {
	if w.capacity.Accelerators > 0 {
		return &z.accelerated
	}
	return &z.plain
}

func (z *zone) addHeld(slot int32) {
	at, _ := slices.BinarySearch(z.held, slot)
	z.held = slices.Insert(z.held, at, slot)
}

func (z *zone) removeHeld(slot int32) {
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

func (z *zone) addCapacityClass(capacity domain.Resources) {
	for i := range z.capacityClasses {
		if z.capacityClasses[i].capacity == capacity {
			z.capacityClasses[i].workers++
			return
		}
	}
	z.capacityClasses = append(z.capacityClasses, capacityClass{capacity: capacity, workers: 1})
}

func (z *zone) removeCapacityClass(capacity domain.Resources) {
	at := slices.IndexFunc(z.capacityClasses, func(s capacityClass) bool { return s.capacity == capacity })
	z.capacityClasses[at].workers--
	if z.capacityClasses[at].workers == 0 {
		z.capacityClasses = slices.Delete(z.capacityClasses, at, at+1)
	}
}

// maxMembers returns how many tasks of size fit the zone if all its workers are empty, at most limit.
func (z *zone) maxMembers(size domain.Resources, limit int) int {
	sum := 0
	for _, s := range z.capacityClasses {
		sum += min(fitCount(size, s.capacity, limit)*s.workers, limit)
	}
	return min(sum, limit)
}

// fitCount returns how many tasks of size fit into the available capacity, at most limit.
func fitCount(size, available domain.Resources, limit int) int {
	if !size.Fits(available) || available.IsNegative() {
		return 0
	}
	n := int64(limit)
	if size.CPUMilli > 0 {
		n = min(n, available.CPUMilli/size.CPUMilli)
	}
	if size.MemoryMB > 0 {
		n = min(n, available.MemoryMB/size.MemoryMB)
	}
	if size.Accelerators > 0 {
		n = min(n, available.Accelerators/size.Accelerators)
	}
	return int(n)
}
