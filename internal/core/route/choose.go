package route

import (
	"time"

	"auburnpier/internal/domain"
)

const (
	// zoneCost and regionCost are the round-trip times to another availability zone
	// and to another region of the cell, which add to the latency of each request.
	zoneCost   = 2 * time.Millisecond
	regionCost = 40 * time.Millisecond
	// minLatency keeps the load in the cost while no latency is known.
	minLatency = time.Millisecond
	// retryCost makes the server on which a request failed the last choice for it.
	retryCost = time.Hour
)

// HeldSlots returns how many slots of a server this instance may use.
type HeldSlots func(domain.BackendID) int

// Choose returns the server with the lowest cost among those with a free slot for a
// request of the queue, or nil. Leaving and ejected servers are never chosen. The server
// avoid, on which the request failed before, is the last choice.
func (t *Table) Choose(queue domain.QueueID, held HeldSlots, avoid *Server, now time.Time) *Server {
	var best *Server
	var bestCost time.Duration
	for _, s := range t.servers {
		slots := t.usableSlots(s, queue, held, now)
		if s.InUse >= slots {
			continue
		}
		extra := t.networkCost(s)
		if s == avoid {
			extra += retryCost
		}
		// Skip computing the latency's decay if even the lowest latency costs too much.
		if best != nil && loadedLatency(minLatency, slots, s.InUse)+extra >= bestCost {
			continue
		}
		cost := s.expectedLatency(queue, slots, now) + extra
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// expectedLatency returns the estimated time to a response, without the network, if so many slots may be used.
func (s *Server) expectedLatency(queue domain.QueueID, slots int, now time.Time) time.Duration {
	return loadedLatency(max(s.Latency(queue, now), minLatency), slots, s.InUse)
}

// usableSlots returns how many slots of the server requests of the queue may use now,
// including those in use. It is zero if the server must not be chosen.
func (t *Table) usableSlots(s *Server, queue domain.QueueID, held HeldSlots, now time.Time) int {
	if s.Info.Leaving || s.InUse >= s.Info.Slots || !s.Serves(queue) {
		return 0
	}
	s.health.advance(now)
	if s.health.ejected(now) {
		return 0
	}
	slots := min(held(s.Info.ID), s.Info.Slots)
	if s.health.condition == Probation {
		// A server on probation runs one request at a time.
		return min(slots, 1)
	}
	return slots
}

// loadedLatency estimates the time to a response: the observed latency, scaled up by the
// fraction of the slots in use.
func loadedLatency(latency time.Duration, slots, inUse int) time.Duration {
	return latency * time.Duration(slots+inUse) / time.Duration(slots)
}

func (t *Table) networkCost(s *Server) time.Duration {
	if s.Info.Location.Region != t.self.Region {
		return regionCost
	}
	if s.Info.Location.Zone != t.self.Zone {
		return zoneCost
	}
	return 0
}

// FreeSlots returns the number of slots that requests of the queue could take now.
func (t *Table) FreeSlots(queue domain.QueueID, held HeldSlots, now time.Time) int {
	n := 0
	for _, s := range t.servers {
		n += max(t.usableSlots(s, queue, held, now)-s.InUse, 0)
	}
	return n
}

// AcquireSlot marks a slot of the server as in use.
func (t *Table) AcquireSlot(s *Server) { s.InUse++ }

// ReleaseSlot releases a slot of the server.
func (t *Table) ReleaseSlot(s *Server) { s.InUse-- }
