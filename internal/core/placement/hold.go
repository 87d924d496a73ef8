package placement

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// hold keeps capacity of workers free for a gang or a large job.
type hold struct {
	job           jobID
	expectedStart time.Time
	slots         []int32
}

// admits reports whether the request may use the held capacity.
func (h *hold) admits(r *Request) bool {
	if r.IgnoreHolds {
		return true
	}
	if r.Holder != "" && r.Holder == h.job {
		return true
	}
	return !r.End.IsZero() && !h.expectedStart.IsZero() && !r.End.After(h.expectedStart)
}

func (h *hold) removeSlot(slot int32) {
	if at := slices.Index(h.slots, slot); at >= 0 {
		h.slots = slices.Delete(h.slots, at, at+1)
	}
}

func (x *index) Hold(job jobID, workers []workerID) {
	h := x.getOrCreateHold(job)
	for _, id := range workers {
		if slot, ok := x.holdWorker(h, id); ok {
			w := &x.bySlot[slot]
			w.heldBack = w.capacity
			x.reindex(slot)
		}
	}
}

func (x *index) HoldCapacity(job jobID, size domain.Resources, workers []workerID) {
	h := x.getOrCreateHold(job)
	for _, id := range workers {
		if slot, ok := x.holdWorker(h, id); ok {
			w := &x.bySlot[slot]
			w.heldBack = w.heldBack.Add(size).Min(w.capacity)
			x.reindex(slot)
		}
	}
}

func (x *index) getOrCreateHold(job jobID) *hold {
	h := x.holds[job]
	if h == nil {
		h = &hold{job: job}
		x.holds[job] = h
	}
	return h
}

// holdWorker returns the slot of the worker, or false if the worker is unknown or held by another job.
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

func (x *index) SetExpectedStart(job jobID, at time.Time) {
	if h := x.holds[job]; h != nil {
		h.expectedStart = at
	}
}

func (x *index) ReleaseHold(job jobID) {
	h := x.holds[job]
	if h == nil {
		return
	}
	for _, slot := range h.slots {
		w := &x.bySlot[slot]
		x.detach(slot)
		w.hold, w.heldBack = nil, domain.Resources{}
		x.attach(slot)
	}
	delete(x.holds, job)
}
