package placement

import (
	"slices"

	"auburnpier/internal/domain"
)

type (
	workerID = domain.WorkerID
	jobID    = domain.JobID
)

type rackKey struct {
	zone domain.ZoneID
	rack domain.RackID
}

// worker is the state of one worker in the index.
type worker struct {
	id       workerID
	zone     *zone
	rack     int32
	capacity domain.Resources
	free     domain.Resources
	excluded RejectReason
	hold     *hold
	// heldBack is the capacity that the hold keeps free.
	heldBack domain.Resources
	// row and col are the grid cell of the worker while indexed is set.
	row, col int8
	indexed  bool
	live     bool
}

// index implements Index. Workers that can be selected are in the grids of their
// zone, by their free capacity without what is held back. Workers with a hold are
// also in the held list of their zone. Excluded workers are only counted.
type index struct {
	bySlot      []worker
	freeSlots   []int32
	slots       map[workerID]int32
	zones       []*zone // sorted by ID
	racks       map[rackKey]int32
	countsByJob map[jobID]*jobCounts
	holds       map[jobID]*hold
	scorer      scorer
	total       domain.Resources
	reserved    domain.Resources
	// request, query and avoidSlots are reused by each query so that a decision does not
	// allocate.
	request    Request
	query      query
	avoidSlots []int32
}

func (x *index) Upsert(n Worker) {
	slot, known := x.slots[n.ID]
	if !known {
		slot = x.allocateSlot()
		x.slots[n.ID] = slot
		x.bySlot[slot] = worker{id: n.ID, live: true}
	}
	w := &x.bySlot[slot]
	used := w.capacity.Sub(w.free)
	if known {
		x.detach(slot)
		w.zone.removeCapacityClass(w.capacity)
		x.total = x.total.Sub(w.capacity)
		x.relocateCounts(slot, n.Location)
	}
	w.zone = x.getOrCreateZone(n.Location.Zone)
	w.rack = x.rackNumber(n.Location)
	w.capacity = n.Capacity
	w.free = n.Capacity.Sub(used)
	w.zone.addCapacityClass(w.capacity)
	x.total = x.total.Add(w.capacity)
	x.attach(slot)
}

func (x *index) Remove(id workerID) {
	slot, known := x.slots[id]
	if !known {
		return
	}
	w := &x.bySlot[slot]
	x.detach(slot)
	w.zone.removeCapacityClass(w.capacity)
	x.total = x.total.Sub(w.capacity)
	x.reserved = x.reserved.Sub(w.capacity.Sub(w.free))
	x.removeCounts(slot)
	if w.hold != nil {
		w.hold.removeSlot(slot)
	}
	delete(x.slots, id)
	*w = worker{}
	x.freeSlots = append(x.freeSlots, slot)
}

func (x *index) Exclude(id workerID, reason RejectReason) {
	slot, known := x.slots[id]
	if !known {
		return
	}
	x.detach(slot)
	x.bySlot[slot].excluded = reason
	x.attach(slot)
}

func (x *index) Free(id workerID) (domain.Resources, bool) {
	slot, known := x.slots[id]
	if !known {
		return domain.Resources{}, false
	}
	return x.bySlot[slot].free, true
}

func (x *index) Total() domain.Resources { return x.total }

func (x *index) Reserved() domain.Resources { return x.reserved }

func (x *index) allocateSlot() int32 {
	if last := len(x.freeSlots) - 1; last >= 0 {
		slot := x.freeSlots[last]
		x.freeSlots = x.freeSlots[:last]
		return slot
	}
	x.bySlot = append(x.bySlot, worker{})
	return int32(len(x.bySlot) - 1)
}

func (x *index) getOrCreateZone(id domain.ZoneID) *zone {
	at, found := slices.BinarySearchFunc(x.zones, id, compareZone)
	if found {
		return x.zones[at]
	}
	z := &zone{id: id}
	x.zones = slices.Insert(x.zones, at, z)
	return z
}

func (x *index) rackNumber(l domain.Location) int32 {
	key := rackKey{zone: l.Zone, rack: l.Rack}
	rack, known := x.racks[key]
	if !known {
		rack = int32(len(x.racks))
		x.racks[key] = rack
	}
	return rack
}

// attach adds the worker to the structures of its zone that queries search.
func (x *index) attach(slot int32) {
	w := &x.bySlot[slot]
	z := w.zone
	z.workers++
	switch {
	case w.excluded != "":
		z.countExcluded(w.excluded, 1)
	default:
		if w.hold != nil {
			z.addHeld(slot)
		}
		w.row, w.col = w.gridCell()
		w.indexed = true
		z.gridOf(w).add(int(w.row), int(w.col), slot)
	}
}

// unheld returns the free capacity that is not held back. Components may be negative.
func (w *worker) unheld() domain.Resources {
	return w.free.Sub(w.heldBack)
}

// gridCell returns the grid cell that matches the unheld capacity of the worker.
func (w *worker) gridCell() (row, col int8) {
	unheld := w.unheld()
	return int8(bucketOf(unheld.CPUMilli, cpuUnitMilli)), int8(bucketOf(unheld.MemoryMB, memoryUnitMB))
}

// detach reverses attach.
func (x *index) detach(slot int32) {
	w := &x.bySlot[slot]
	z := w.zone
	z.workers--
	switch {
	case w.excluded != "":
		z.countExcluded(w.excluded, -1)
	default:
		if w.hold != nil {
			z.removeHeld(slot)
		}
		z.gridOf(w).remove(int(w.row), int(w.col), slot)
		w.indexed = false
	}
}

// setFreeCapacity sets the free capacity and moves the worker to the matching grid cell.
func (x *index) setFreeCapacity(slot int32, free domain.Resources) {
	w := &x.bySlot[slot]
	w.free = free
	x.reindex(slot)
}

// reindex moves the worker to the grid cell that matches its unheld capacity.
func (x *index) reindex(slot int32) {
	w := &x.bySlot[slot]
	if !w.indexed {
		return
	}
	row, col := w.gridCell()
	if row == w.row && col == w.col {
		return
	}
	g := w.zone.gridOf(w)
	g.remove(int(w.row), int(w.col), slot)
	g.add(int(row), int(col), slot)
	w.row, w.col = row, col
}
