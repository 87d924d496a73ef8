package route

import (
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// Table holds the backend servers that an instance may choose from.
type Table struct {
	self    domain.Location
	servers []*Server // sorted by ID, so that choices do not depend on map order
	byID    map[domain.BackendID]*Server
}

// NewTable returns an empty table for an instance at the location.
func NewTable(self domain.Location) *Table {
	return &Table{self: self, byID: make(map[domain.BackendID]*Server)}
}

// Update replaces the list of servers. Servers that are listed again keep their state.
func (t *Table) Update(list []ServerInfo) {
	seen := make(map[domain.BackendID]bool, len(list))
	for _, info := range list {
		seen[info.ID] = true
		t.put(info)
	}
	for id, s := range t.byID {
		if !seen[id] {
			s.removed = true
			delete(t.byID, id)
		}
	}
	t.servers = t.servers[:0]
	for _, s := range t.byID {
		t.servers = append(t.servers, s)
	}
	slices.SortFunc(t.servers, func(a, b *Server) int {
		return strings.Compare(string(a.Info.ID), string(b.Info.ID))
	})
}

// put adds or updates a server. A changed address means a different server, for which
// latencies and health start afresh.
func (t *Table) put(info ServerInfo) {
	s := t.byID[info.ID]
	if s != nil && s.Info.Address == info.Address {
		s.Info = info
		return
	}
	if s != nil {
		s.removed = true
	}
	t.byID[info.ID] = &Server{
		Info:    info,
		latency: make(map[domain.QueueID]*PeakLatency),
		health:  health{condition: Healthy},
	}
}

// Servers returns the servers sorted by ID. The slice is valid until the next Update.
func (t *Table) Servers() []*Server { return t.servers }

// Condition returns the server's present condition.
func (t *Table) Condition(s *Server, now time.Time) Condition {
	if s.Info.Leaving || s.removed {
		return Leaving
	}
	s.health.advance(now)
	return s.health.condition
}

// Serves reports whether any server that is not leaving serves the queue.
func (t *Table) Serves(queue domain.QueueID) bool {
	for _, s := range t.servers {
		if !s.Info.Leaving && s.Serves(queue) {
			return true
		}
	}
	return false
}
