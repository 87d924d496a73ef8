package route

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// ServerInfo describes a backend server as the platform lists it.
type ServerInfo struct {
	ID             domain.BackendID
	Address        string
	Location       domain.Location
	Slots          int
	MaxConnections int
	Leaving        bool
	Queues         []domain.QueueID
}

// FromVM returns the backend server that runs on a VM. Each slot needs a connection,
// so the slots are limited to the server's maximum number of connections.
func FromVM(vm domain.VM) ServerInfo {
	slots := vm.Slots
	if vm.MaxConnections > 0 {
		slots = min(slots, vm.MaxConnections)
	}
	return ServerInfo{
		ID:             domain.BackendID(vm.ID),
		Address:        vm.Address,
		Location:       vm.Location,
		Slots:          slots,
		MaxConnections: vm.MaxConnections,
		Leaving:        vm.Leaving,
		Queues:         vm.Queues,
	}
}

// Server is the state of one backend server as this instance sees it.
type Server struct {
	Info ServerInfo
	// InUse counts the slots in use, including those held for cancelled requests.
	InUse   int
	latency map[domain.QueueID]*PeakLatency
	health  health
	removed bool
}

// Serves reports whether the server serves the queue. A server without a list
// of queues serves all.
func (s *Server) Serves(queue domain.QueueID) bool {
	return len(s.Info.Queues) == 0 || slices.Contains(s.Info.Queues, queue)
}

// Latency returns the average latency of the queue's requests, or zero if unknown.
func (s *Server) Latency(queue domain.QueueID, now time.Time) time.Duration {
	l := s.latency[queue]
	if l == nil {
		return 0
	}
	return l.Value(now)
}

// Removed reports whether the platform no longer lists the server at its address.
func (s *Server) Removed() bool { return s.removed }

func (s *Server) observe(queue domain.QueueID, now time.Time, sample time.Duration) {
	l := s.latency[queue]
	if l == nil {
		l = &PeakLatency{}
		s.latency[queue] = l
	}
	l.Observe(now, sample)
}
