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
		if !t.eligible(s, queue, held, now) {
			continue
		}
		cost := t.cost(s, queue, held, now)
		if s == avoid {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (t *Table) eligible(s *Server, queue domain.QueueID, held Held, now time.Time) bool {
	if s.Info.Leaving || !s.Serves(queue) {
		return false
	}
	if s.InUse >= min(held(s.Info.ID), s.Info.Slots) {
		return false
	}
	s.health.advance(now)
	if s.health.ejected(now) {
		return false
	}
	// A server on probation runs one request at a time.
	return s.health.condition != Probation || s.InUse == 0
}

// cost estimates the time until the answer: the observed latency scaled by the
// part of the slots in use, and the way there.
func (t *Table) cost(s *Server, queue domain.QueueID, held Held, now time.Time) time.Duration {
	slots := min(held(s.Info.ID), s.Info.Slots)
	latency := max(s.Latency(queue, now), latencyFloor)
	loaded := latency * time.Duration(slots+s.InUse) / time.Duration(slots)
	return loaded + t.wayCost(s)
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
		if t.eligible(s, queue, held, now) {
			n += min(held(s.Info.ID), s.Info.Slots) - s.InUse
		}
	}
	return n
}

// Begin takes a slot of the server.
func (t *Table) Begin(s *Server) { s.InUse++ }

// End gives the slot back.
func (t *Table) End(s *Server) { s.InUse-- }
