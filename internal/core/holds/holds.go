// Package holds accounts for capacity that a scheduler keeps free for jobs that
// have waited long, and estimates when that capacity becomes available. It
// performs no I/O and reads no clock.
package holds

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// MaxTasksPerJob bounds the number of tasks for which a job, other than a gang, holds
// capacity at once.
const MaxTasksPerJob = 8

// Ledger records the capacity that jobs hold, in total and by team. Held capacity
// stays idle until enough of it is free, so the total is bounded.
type Ledger struct {
	held   domain.Resources
	byTeam map[domain.TeamID]domain.Resources
}

// NewLedger returns an empty ledger.
func NewLedger() Ledger {
	return Ledger{byTeam: make(map[domain.TeamID]domain.Resources)}
}

// Allows reports whether size may be held in addition, where the total held may not
// exceed the fraction limit of total in its dominant resource.
func (l *Ledger) Allows(size, total domain.Resources, limit float64) bool {
	return l.held.Add(size).DominantShare(total) <= limit
}

// HeldByTeam returns what jobs of the team hold, including capacity outside the bound.
func (l *Ledger) HeldByTeam(team domain.TeamID) domain.Resources { return l.byTeam[team] }

// Add records size as held within the bound; Remove reverses it.
func (l *Ledger) Add(team domain.TeamID, size domain.Resources) {
	l.held = l.held.Add(size)
	l.AddUnbounded(team, size)
}

// Remove reverses Add.
func (l *Ledger) Remove(team domain.TeamID, size domain.Resources) {
	l.held = l.held.Sub(size)
	l.RemoveUnbounded(team, size)
}

// AddUnbounded records size for the team but not in the bounded total; RemoveUnbounded
// reverses it.
func (l *Ledger) AddUnbounded(team domain.TeamID, size domain.Resources) {
	l.byTeam[team] = l.byTeam[team].Add(size)
}

// RemoveUnbounded reverses AddUnbounded.
func (l *Ledger) RemoveUnbounded(team domain.TeamID, size domain.Resources) {
	remaining := l.byTeam[team].Sub(size)
	if remaining.IsZero() {
		delete(l.byTeam, team)
		return
	}
	l.byTeam[team] = remaining
}

// TaskEnd is the expected end of a task and the resources that it frees.
type TaskEnd struct {
	At   time.Time
	Size domain.Resources
}

// WorkerCapacity is the free capacity of one worker and the ends expected there.
type WorkerCapacity struct {
	Free domain.Resources
	Ends []TaskEnd
}

// ExpectedStart returns when each listed worker should have free capacity for size,
// multiplied by how often it is listed. It returns the zero time if that is unknown
// or should already have happened.
func ExpectedStart(now time.Time, size domain.Resources, workers []domain.WorkerID, capacityOf func(domain.WorkerID) WorkerCapacity) time.Time {
	memberCount := make(map[domain.WorkerID]int64, len(workers))
	start := now
	for _, id := range workers {
		memberCount[id]++
		at, ok := capacityOf(id).availableAt(now, size.Scale(memberCount[id]))
		if !ok {
			return time.Time{}
		}
		if at.After(start) {
			start = at
		}
	}
	return start
}

// availableAt returns when need fits into the free capacity, which is now if it
// already does. It returns false if the expected ends do not free enough, or if the
// decisive one is overdue.
func (c WorkerCapacity) availableAt(now time.Time, need domain.Resources) (time.Time, bool) {
	if need.Fits(c.Free) {
		return now, true
	}
	ends := slices.Clone(c.Ends)
	slices.SortStableFunc(ends, func(a, b TaskEnd) int { return a.At.Compare(b.At) })
	free := c.Free
	for _, e := range ends {
		if free = free.Add(e.Size); need.Fits(free) {
			return e.At, e.At.After(now)
		}
	}
	return time.Time{}, false
}
