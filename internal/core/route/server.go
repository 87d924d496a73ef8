package route

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// ServerInfo is what the platform's list tells about a backend server.
type ServerInfo struct {
	ID             domain.BackendID
	Address        string
	Location       domain.Location
	Slots          int
	MaxConnections int
	Leaving        bool
	Queues         []domain.QueueID
}

// FromVM returns the backend server of a list row. Each slot needs a connection,
// so a server with fewer connections than slots has fewer slots.
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

// Server is the state of one backend server at this instance.
type Server struct {
	Info ServerInfo
	// InUse counts the slots in use, those of cancelled requests included.
	InUse   int
	latency map[domain.QueueID]*PeakLatency
	health  health
	gone    bool
}

// Serves reports whether the server serves the queue. A server without a list
// of queues serves all.
func (s *Server) Serves(queue domain.QueueID) bool {
	return len(s.Info.Queues) == 0 || slices.Contains(s.Info.Queues, queue)
}

// Latency returns the average answer time of the queue's requests.
func (s *Server) Latency(queue domain.QueueID, now time.Time) time.Duration {
	l := s.latency[queue]
	if l == nil {
		return 0
	}
	return l.Value(now)
}

// Gone reports whether the platform's list no longer has the server.
func (s *Server) Gone() bool { return s.gone }

func (s *Server) observe(queue domain.QueueID, now time.Time, sample time.Duration) {
	l := s.latency[queue]
	if l == nil {
		l = &PeakLatency{}
		s.latency[queue] = l
	}
	l.Observe(now, sample)
}
