package route

import (
	"time"

	"auburnpier/internal/domain"
)

const (
	// zoneCost and regionCost are the round trips to another availability zone
	// and another region of the cell, which each request pays.
	zoneCost   = 2 * time.Millisecond
	regionCost = 40 * time.Millisecond
	// latencyFloor keeps the load in the score while no latency is known.
	latencyFloor = time.Millisecond
	// avoidCost makes a server the last choice for a request that failed there.
	avoidCost = time.Hour
)

// Held tells how many slots of a server this instance may use.
type Held func(domain.BackendID) int

// Choose returns the best server with a free slot for a request of the queue,
// or nil. Leaving and ejected servers are never chosen. The server avoid, on
// which the request failed before, is the last choice.
func (t *Table) Choose(queue domain.QueueID, held Held, avoid *Server, now time.Time) *Server {
	var best *Server
	var bestCost time.Duration
	for _, s := range t.servers {
		slots := t.usable(s, queue, held, now)
		if s.InUse >= slots {
			continue
		}
		extra := t.wayCost(s)
		if s == avoid {
			extra += avoidCost
		}
		// The decay of the latency is only computed where it can matter.
		if best != nil && loaded(latencyFloor, slots, s.InUse)+extra >= bestCost {
			continue
		}
		latency := max(s.Latency(queue, now), latencyFloor)
		cost := loaded(latency, slots, s.InUse) + extra
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// usable returns the slots of the server that requests of the queue may use
// now, those in use included. It is zero where the server must not be chosen.
func (t *Table) usable(s *Server, queue domain.QueueID, held Held, now time.Time) int {
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

// loaded estimates the time until the answer: the observed latency scaled by
// the part of the slots in use.
func loaded(latency time.Duration, slots, inUse int) time.Duration {
	return latency * time.Duration(slots+inUse) / time.Duration(slots)
}

func (t *Table) wayCost(s *Server) time.Duration {
	if s.Info.Location.Region != t.self.Region {
		return regionCost
	}
	if s.Info.Location.Zone != t.self.Zone {
		return zoneCost
	}
	return 0
}

// Free returns the slots that requests of the queue could take now.
func (t *Table) Free(queue domain.QueueID, held Held, now time.Time) int {
	n := 0
	for _, s := range t.servers {
		n += max(t.usable(s, queue, held, now)-s.InUse, 0)
	}
	return n
}

// Begin takes a slot of the server.
func (t *Table) Begin(s *Server) { s.InUse++ }

// End gives the slot back.
func (t *Table) End(s *Server) { s.InUse-- }
