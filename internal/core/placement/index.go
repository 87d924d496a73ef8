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

// node is a worker in the index.
type node struct {
	id       workerID
	zone     *zone
	rack     int32
	capacity domain.Resources
	free     domain.Resources
	excluded RejectReason
	hold     *hold
	// kept is what the hold keeps for the gang.
	kept domain.Resources
	// row and col are the grid cell of the worker while indexed is set.
	row, col int8
	indexed  bool
	live     bool
}

// index implements Index. Workers that can be chosen stand in the grids of
// their zone, by the room that no gang holds. Held workers also stand in a list
// of their zone, and excluded ones only in its counts.
type index struct {
	bySlot    []node
	freeSlots []int32
	slots     map[workerID]int32
	zones     []*zone // sorted by ID
	racks     map[rackKey]int32
	jobs      map[jobID]*jobCounts
	holds     map[jobID]*hold
	scorer    scorer
	total     domain.Resources
	reserved  domain.Resources
	// request, query and avoid are reused by each query, so that a decision allocates nothing.
	request Request
	query   query
	avoid   []int32
}

func (x *index) Upsert(n Node) {
	slot, known := x.slots[n.ID]
	if !known {
		slot = x.takeSlot()
		x.slots[n.ID] = slot
		x.bySlot[slot] = node{id: n.ID, live: true}
	}
	w := &x.bySlot[slot]
	used := w.capacity.Sub(w.free)
	if known {
		x.detach(slot)
		w.zone.dropShape(w.capacity)
		x.total = x.total.Sub(w.capacity)
		x.moveCounts(slot, n.Location)
	}
	w.zone = x.zoneOf(n.Location.Zone)
	w.rack = x.rackOf(n.Location)
	w.capacity = n.Capacity
	w.free = n.Capacity.Sub(used)
	w.zone.addShape(w.capacity)
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
	w.zone.dropShape(w.capacity)
	x.total = x.total.Sub(w.capacity)
	x.reserved = x.reserved.Sub(w.capacity.Sub(w.free))
	x.forgetCounts(slot)
	if w.hold != nil {
		w.hold.drop(slot)
	}
	delete(x.slots, id)
	*w = node{}
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

func (x *index) takeSlot() int32 {
	if last := len(x.freeSlots) - 1; last >= 0 {
		slot := x.freeSlots[last]
		x.freeSlots = x.freeSlots[:last]
		return slot
	}
	x.bySlot = append(x.bySlot, node{})
	return int32(len(x.bySlot) - 1)
}

func (x *index) zoneOf(id domain.ZoneID) *zone {
	at, found := slices.BinarySearchFunc(x.zones, id, compareZone)
	if found {
		return x.zones[at]
	}
	z := &zone{id: id}
	x.zones = slices.Insert(x.zones, at, z)
	return z
}

func (x *index) rackOf(l domain.Location) int32 {
	key := rackKey{zone: l.Zone, rack: l.Rack}
	rack, known := x.racks[key]
	if !known {
		rack = int32(len(x.racks))
		x.racks[key] = rack
	}
	return rack
}

// attach puts the worker where queries find it.
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
		w.row, w.col = w.cell()
		w.indexed = true
		z.gridOf(w).add(int(w.row), int(w.col), slot)
	}
}

// open returns the room that is not kept for a gang. Components may be negative.
func (w *node) open() domain.Resources {
	return w.free.Sub(w.kept)
}

// cell returns the grid cell in which the worker belongs.
func (w *node) cell() (row, col int8) {
	open := w.open()
	return int8(bucketOf(open.CPUMilli, cpuUnitMilli)), int8(bucketOf(open.MemoryMB, memoryUnitMB))
}

// detach undoes attach.
func (x *index) detach(slot int32) {
	w := &x.bySlot[slot]
	z := w.zone
	z.workers--
	switch {
	case w.excluded != "":
		z.countExcluded(w.excluded, -1)
	default:
		if w.hold != nil {
			z.dropHeld(slot)
		}
		z.gridOf(w).remove(int(w.row), int(w.col), slot)
		w.indexed = false
	}
}

// setFree changes the free capacity and moves the worker to its grid cell.
func (x *index) setFree(slot int32, free domain.Resources) {
	w := &x.bySlot[slot]
	w.free = free
	x.reindex(slot)
}

// reindex moves the worker to the grid cell of its open room.
func (x *index) reindex(slot int32) {
	w := &x.bySlot[slot]
	if !w.indexed {
		return
	}
	row, col := w.cell()
	if row == w.row && col == w.col {
		return
	}
	g := w.zone.gridOf(w)
	g.remove(int(w.row), int(w.col), slot)
	g.add(int(row), int(col), slot)
	w.row, w.col = row, col
}
