package placement

import (
	"slices"
	"time"
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
	h := x.holds[job]
	if h == nil {
		h = &hold{job: job}
		x.holds[job] = h
	}
	for _, id := range workers {
		slot, known := x.slots[id]
		if !known || x.bySlot[slot].hold != nil {
			continue
		}
		x.detach(slot)
		x.bySlot[slot].hold = h
		x.attach(slot)
		h.slots = append(h.slots, slot)
	}
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
		x.detach(slot)
		x.bySlot[slot].hold = nil
		x.attach(slot)
	}
	delete(x.holds, job)
}
