package placement

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// hold is the reservation of workers for a gang.
type hold struct {
	job   jobID
	start time.Time
	slots []int32
}

// passes reports whether the request may use workers of the hold.
func (h *hold) passes(r *Request) bool {
	if r.IgnoreReservations {
		return true
	}
	if r.Holder != "" && r.Holder == h.job {
		return true
	}
	return !r.End.IsZero() && !h.start.IsZero() && !r.End.After(h.start)
}

func (h *hold) drop(slot int32) {
	if at := slices.Index(h.slots, slot); at >= 0 {
		h.slots = slices.Delete(h.slots, at, at+1)
	}
}

func (x *index) Hold(job jobID, workers []workerID) {
	h := x.holdOf(job)
	for _, id := range workers {
		if slot, ok := x.holdWorker(h, id); ok {
			w := &x.bySlot[slot]
			w.kept = w.capacity
			x.reindex(slot)
		}
	}
}

func (x *index) HoldRoom(job jobID, size domain.Resources, workers []workerID) {
	h := x.holdOf(job)
	for _, id := range workers {
		if slot, ok := x.holdWorker(h, id); ok {
			w := &x.bySlot[slot]
			w.kept = w.kept.Add(size).Min(w.capacity)
			x.reindex(slot)
		}
	}
}

func (x *index) holdOf(job jobID) *hold {
	h := x.holds[job]
	if h == nil {
		h = &hold{job: job}
		x.holds[job] = h
	}
	return h
}

// holdWorker returns the slot of the worker, or false where it is unknown or another gang holds it.
func (x *index) holdWorker(h *hold, id workerID) (int32, bool) {
	slot, known := x.slots[id]
	if !known {
		return noSlot, false
	}
	w := &x.bySlot[slot]
	if w.hold == nil {
		x.detach(slot)
		w.hold = h
		x.attach(slot)
		h.slots = append(h.slots, slot)
	}
	return slot, w.hold == h
}

func (x *index) ExpectStart(job jobID, at time.Time) {
	if h := x.holds[job]; h != nil {
		h.start = at
	}
}

func (x *index) Unhold(job jobID) {
	h := x.holds[job]
	if h == nil {
		return
	}
	for _, slot := range h.slots {
		w := &x.bySlot[slot]
		x.detach(slot)
		w.hold, w.kept = nil, domain.Resources{}
		x.attach(slot)
	}
	delete(x.holds, job)
}
