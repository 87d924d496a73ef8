package placement

import (
	"slices"

	"auburnpier/internal/domain"
)

// count is how many tasks of a job a worker, rack or zone runs.
type count struct {
	key   int32
	tasks int32
}

// counts is sorted by key.
type counts []count

// jobCounts tells where the tasks of a job run.
type jobCounts struct {
	workers counts // by slot
	racks   counts // by rack number
	zones   []zoneCount
	// first backs the lists of a job with one running task, as most jobs have.
	first struct {
		worker, rack [1]count
		zone         [1]zoneCount
	}
}

func newJobCounts() *jobCounts {
	j := &jobCounts{}
	j.workers = j.first.worker[:0]
	j.racks = j.first.rack[:0]
	j.zones = j.first.zone[:0]
	return j
}

type zoneCount struct {
	zone  *zone
	tasks int32
}

func (c counts) find(key int32) (int, bool) {
	return slices.BinarySearchFunc(c, key, func(e count, k int32) int { return int(e.key) - int(k) })
}

func (c counts) of(key int32) int32 {
	if at, ok := c.find(key); ok {
		return c[at].tasks
	}
	return 0
}

func (c counts) change(key, by int32) counts {
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

func (j *jobCounts) changeZone(z *zone, by int32) {
	for i := range j.zones {
		if j.zones[i].zone == z {
			j.zones[i].tasks += by
			return
		}
	}
	j.zones = append(j.zones, zoneCount{zone: z, tasks: by})
}

func (j *jobCounts) change(slot int32, w *node, by int32) {
	j.workers = j.workers.change(slot, by)
	j.racks = j.racks.change(w.rack, by)
	j.changeZone(w.zone, by)
}

func (x *index) Reserve(id workerID, job jobID, size domain.Resources) bool {
	slot, known := x.slots[id]
	if !known || !size.Fits(x.bySlot[slot].free) {
		return false
	}
	x.take(slot, job, size)
	return true
}

func (x *index) ForceReserve(id workerID, job jobID, size domain.Resources) {
	if slot, known := x.slots[id]; known {
		x.take(slot, job, size)
	}
}

func (x *index) Release(id workerID, job jobID, size domain.Resources) {
	slot, known := x.slots[id]
	if !known {
		return
	}
	j := x.jobs[job]
	if j == nil || j.workers.of(slot) == 0 {
		// The worker was removed and added again after the reservation.
		return
	}
	j.change(slot, &x.bySlot[slot], -1)
	if len(j.workers) == 0 {
		delete(x.jobs, job)
	}
	x.reserved = x.reserved.Sub(size)
	x.setFree(slot, x.bySlot[slot].free.Add(size))
}

func (x *index) take(slot int32, job jobID, size domain.Resources) {
	j := x.jobs[job]
	if j == nil {
		j = newJobCounts()
		x.jobs[job] = j
	}
	w := &x.bySlot[slot]
	j.change(slot, w, 1)
	x.reserved = x.reserved.Add(size)
	if w.hold != nil && w.hold.job == job {
		w.kept = w.kept.Sub(size).Max(domain.Resources{})
	}
	x.setFree(slot, x.bySlot[slot].free.Sub(size))
}

// moveCounts keeps the counts of racks and zones right where a worker moves.
func (x *index) moveCounts(slot int32, to domain.Location) {
	w := &x.bySlot[slot]
	zone, rack := x.zoneOf(to.Zone), x.rackOf(to)
	if zone == w.zone && rack == w.rack {
		return
	}
	for _, j := range x.jobs {
		if n := j.workers.of(slot); n > 0 {
			j.racks = j.racks.change(w.rack, -n).change(rack, n)
			j.changeZone(w.zone, -n)
			j.changeZone(zone, n)
		}
	}
}

// forgetCounts drops what jobs run on the worker. It looks at every job: workers are removed seldom.
func (x *index) forgetCounts(slot int32) {
	w := &x.bySlot[slot]
	for id, j := range x.jobs {
		n := j.workers.of(slot)
		if n == 0 {
			continue
		}
		j.change(slot, w, -n)
		if len(j.workers) == 0 {
			delete(x.jobs, id)
		}
	}
}
