package requestplane

import (
	"math"
	"sync"

	"auburnpier/internal/domain"
)

// StaticSlots holds fixed amounts, for a single instance. The zero value holds
// every slot of every server.
type StaticSlots struct {
	mu      sync.Mutex
	amounts map[domain.BackendID]int
	used    map[domain.BackendID]int
	lost    bool
}

var _ Slots = (*StaticSlots)(nil)

// Set holds n slots of the server, and from then on only what was set.
func (s *StaticSlots) Set(server domain.BackendID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.amounts == nil {
		s.amounts = make(map[domain.BackendID]int)
	}
	s.amounts[server] = n
}

// SetAuthority grants or withdraws the authority.
func (s *StaticSlots) SetAuthority(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = !held
}

// Acquire implements Slots.
func (s *StaticSlots) Acquire(server domain.BackendID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.used[server] >= s.held(server) {
		return false
	}
	if s.used == nil {
		s.used = make(map[domain.BackendID]int)
	}
	s.used[server]++
	return true
}

// Release implements Slots.
func (s *StaticSlots) Release(server domain.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[server]--
}

// Held implements Slots.
func (s *StaticSlots) Held(server domain.BackendID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held(server)
}

func (s *StaticSlots) held(server domain.BackendID) int {
	if s.amounts == nil {
		return math.MaxInt
	}
	return s.amounts[server]
}

// Authority implements Slots.
func (s *StaticSlots) Authority() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

// StaticTeamLimits holds fixed amounts. A team without one has no limit.
type StaticTeamLimits struct {
	mu      sync.Mutex
	amounts map[domain.TeamID]int64
	used    map[domain.TeamID]int64
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

// Acquire implements TeamLimits.
func (l *StaticTeamLimits) Acquire(team domain.TeamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used[team] >= l.allowed(team) {
		return false
	}
	if l.used == nil {
		l.used = make(map[domain.TeamID]int64)
	}
	l.used[team]++
	return true
}

// Release implements TeamLimits.
func (l *StaticTeamLimits) Release(team domain.TeamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[team]--
}

// Allowed implements TeamLimits.
func (l *StaticTeamLimits) Allowed(team domain.TeamID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowed(team)
}

func (l *StaticTeamLimits) allowed(team domain.TeamID) int64 {
	n, ok := l.amounts[team]
	if !ok {
		return math.MaxInt64
	}
	return n
}
