package requestplane

import (
	"math"
	"sync"

	"auburnpier/internal/domain"
)

// StaticSlots is a fixed allotment of slots, for a single instance. The zero value
// holds every slot of every server.
type StaticSlots struct {
	mu          sync.Mutex
	amounts     map[domain.BackendID]int
	noAuthority bool
}

var _ Slots = (*StaticSlots)(nil)

// Set sets the number of slots held of the server. After the first call, servers
// that were not set have no slots.
func (s *StaticSlots) Set(server domain.BackendID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.amounts == nil {
		s.amounts = make(map[domain.BackendID]int)
	}
	s.amounts[server] = n
}

// SetAuthority sets what Authority reports.
func (s *StaticSlots) SetAuthority(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noAuthority = !held
}

// Held implements Slots.
func (s *StaticSlots) Held(server domain.BackendID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.amounts == nil {
		return math.MaxInt
	}
	return s.amounts[server]
}

// Authority implements Slots.
func (s *StaticSlots) Authority() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.noAuthority
}

// StaticTeamLimits is a fixed set of limits. A team that is not set has no limit.
type StaticTeamLimits struct {
	mu      sync.Mutex
	amounts map[domain.TeamID]int64
}

var _ TeamLimits = (*StaticTeamLimits)(nil)

// Set allows the team n requests in flight.
func (l *StaticTeamLimits) Set(team domain.TeamID, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.amounts == nil {
		l.amounts = make(map[domain.TeamID]int64)
	}
	l.amounts[team] = n
}

// MaxInFlight implements TeamLimits.
func (l *StaticTeamLimits) MaxInFlight(team domain.TeamID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.amounts[team]
	if !ok {
		return math.MaxInt64
	}
	return n
}
