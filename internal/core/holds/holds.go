// Package holds counts the room that a scheduler keeps for jobs that waited
// long, and estimates when that room is free. It has no I/O and no clock.
package holds

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// MaxTasks bounds the tasks of a job, other than a gang, that hold room at once.
const MaxTasks = 8

// Ledger counts what jobs hold, in all and by team. Held room is idle until
// enough of it is free, so the sum is bounded.
type Ledger struct {
	held   domain.Resources
	byTeam map[domain.TeamID]domain.Resources
}

// NewLedger returns an empty ledger.
func NewLedger() Ledger {
	return Ledger{byTeam: make(map[domain.TeamID]domain.Resources)}
}

// Allows reports whether size may be held too, where at most the fraction limit
// of the dominant resource of total is held.
func (l *Ledger) Allows(size, total domain.Resources, limit float64) bool {
	return l.held.Add(size).DominantShare(total) <= limit
}

// Team returns what jobs of the team hold, with room beyond the bound.
func (l *Ledger) Team(team domain.TeamID) domain.Resources { return l.byTeam[team] }

// Add counts size as held within the bound; Remove takes it back.
func (l *Ledger) Add(team domain.TeamID, size domain.Resources) {
	l.held = l.held.Add(size)
	l.AddBeyond(team, size)
}

// Remove takes back what Add counted.
func (l *Ledger) Remove(team domain.TeamID, size domain.Resources) {
	l.held = l.held.Sub(size)
	l.RemoveBeyond(team, size)
}

// AddBeyond counts size for the team alone; RemoveBeyond takes it back.
func (l *Ledger) AddBeyond(team domain.TeamID, size domain.Resources) {
	l.byTeam[team] = l.byTeam[team].Add(size)
}

// RemoveBeyond takes back what AddBeyond counted.
func (l *Ledger) RemoveBeyond(team domain.TeamID, size domain.Resources) {
	left := l.byTeam[team].Sub(size)
	if left.IsZero() {
		delete(l.byTeam, team)
		return
	}
	l.byTeam[team] = left
}

// End is when a task is expected to end and what it gives back.
type End struct {
	At   time.Time
	Size domain.Resources
}

// Room is one worker with its free room and the expected ends on it.
type Room struct {
	Free domain.Resources
	Ends []End
}

// ExpectedStart returns when the workers should have room for the size, as often
// as each is listed, or a zero time where that is unknown or overdue.
func ExpectedStart(now time.Time, size domain.Resources, workers []domain.WorkerID, room func(domain.WorkerID) Room) time.Time {
	needs := make(map[domain.WorkerID]int64, len(workers))
	start := now
	for _, id := range workers {
		needs[id]++
		at, ok := room(id).freeAt(now, size.Scale(needs[id]))
		if !ok {
			return time.Time{}
		}
		if at.After(start) {
			start = at
		}
	}
	return start
}

// freeAt returns when need fits, which is now where it fits already.
func (r Room) freeAt(now time.Time, need domain.Resources) (time.Time, bool) {
	if need.Fits(r.Free) {
		return now, true
	}
	ends := slices.Clone(r.Ends)
	slices.SortStableFunc(ends, func(a, b End) int { return a.At.Compare(b.At) })
	free := r.Free
	for _, e := range ends {
		if free = free.Add(e.Size); need.Fits(free) {
			return e.At, e.At.After(now)
		}
	}
	return time.Time{}, false
}
