package placement

import (
	"slices"

	"auburnpier/internal/domain"
)

// count is the number of tasks of a job on a worker or rack.
type count struct {
	key   int32
	tasks int32
}

// countList is a list of counts sorted by key.
type countList []count

// jobCounts records where the tasks of a job run.
type jobCounts struct {
	workers countList // by slot
	racks   countList // by rack number
	zones   []zoneCount
	// inline is the initial storage of the lists. It suffices for one running task, as
	// most jobs have, without further allocations.
	inline struct {
		worker, rack [1]count
		zone         [1]zoneCount
	}
}

func newJobCounts() *jobCounts {
	j := &jobCounts{}
	j.workers = j.inline.worker[:0]
	j.racks = j.inline.rack[:0]
	j.zones = j.inline.zone[:0]
	return j
}

type zoneCount struct {
	zone  *zone
	tasks int32
}

func (c countList) find(key int32) (int, bool) {
	return slices.BinarySearchFunc(c, key, func(e count, k int32) int { return int(e.key) - int(k) })
}

func (c countList) get(key int32) int32 {
	if at, ok := c.find(key); ok {
		return c[at].tasks
	}
	return 0
}

func (c countList) add(key, by int32) countList {
	at, ok := c.find(key)
	if !ok {
		return slices.Insert(c, at, count{key: key, tasks: by})
	}
	c[at].tasks += by
	if c[at].tasks == 0 {
		return slices.Delete(c, at, at+1)
	}
	return c
}

func (j *jobCounts) inZone(z *zone) int32 {
	for _, c := range j.zones {
		if c.zone == z {
			return c.tasks
		}
	}
	return 0
}

func (j *jobCounts) addInZone(z *zone, by int32) {
	for i := range j.zones {
		if j.zones[i].zone == z {
			j.zones[i].tasks += by
			return
		}
	}
	j.zones = append(j.zones, zoneCount{zone: z, tasks: by})
}

func (j *jobCounts) add(slot int32, w *worker, by int32) {
	j.workers = j.workers.add(slot, by)
	j.racks = j.racks.add(w.rack, by)
	j.addInZone(w.zone, by)
}

func (x *index) Reserve(id workerID, job jobID, size domain.Resources) bool {
	slot, known := x.slots[id]
	if !known || !size.Fits(x.bySlot[slot].free) {
		return false
	}
	x.reserveOn(slot, job, size)
	return true
}

func (x *index) ForceReserve(id workerID, job jobID, size domain.Resources) {
	if slot, known := x.slots[id]; known {
		x.reserveOn(slot, job, size)
	}
}

func (x *index) Release(id workerID, job jobID, size domain.Resources) {
	slot, known := x.slots[id]
	if !known {
		return
	}
	j := x.countsByJob[job]
	if j == nil || j.workers.get(slot) == 0 {
		// The worker was removed and re-added since the reservation was made.
		return
	}
	j.add(slot, &x.bySlot[slot], -1)
	if len(j.workers) == 0 {
		delete(x.countsByJob, job)
	}
	x.reserved = x.reserved.Sub(size)
	x.setFreeCapacity(slot, x.bySlot[slot].free.Add(size))
}

func (x *index) reserveOn(slot int32, job jobID, size domain.Resources) {
	j := x.countsByJob[job]
	if j == nil {
		j = newJobCounts()
		x.countsByJob[job] = j
	}
	w := &x.bySlot[slot]
	j.add(slot, w, 1)
	x.reserved = x.reserved.Add(size)
	if w.hold != nil && w.hold.job == job {
		w.heldBack = w.heldBack.Sub(size).Max(domain.Resources{})
	}
	x.setFreeCapacity(slot, x.bySlot[slot].free.Sub(size))
}

// relocateCounts updates the rack and zone counts of all jobs when a worker changes location.
func (x *index) relocateCounts(slot int32, to domain.Location) {
	w := &x.bySlot[slot]
	zone, rack := x.getOrCreateZone(to.Zone), x.rackNumber(to)
	if zone == w.zone && rack == w.rack {
		return
	}
	for _, j := range x.countsByJob {
		if n := j.workers.get(slot); n > 0 {
			j.racks = j.racks.add(w.rack, -n).add(rack, n)
			j.addInZone(w.zone, -n)
			j.addInZone(zone, n)
		}
	}
}

// removeCounts removes the worker from the counts of all jobs. It scans every job, because
// workers are rarely removed.
func (x *index) removeCounts(slot int32) {
	w := &x.bySlot[slot]
	for id, j := range x.countsByJob {
		n := j.workers.get(slot)
		if n == 0 {
			continue
		}
		j.add(slot, w, -n)
		if len(j.workers) == 0 {
			delete(x.countsByJob, id)
		}
	}
}
