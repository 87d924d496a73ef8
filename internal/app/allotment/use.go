package allotment

import (
	"maps"
	"math"
	"slices"
	"time"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/domain"
)

// AuthorityTime is how long an instance may use its request allotments and
// slots after the last proof that it still holds them.
const AuthorityTime = 6 * time.Second

// Authority reports whether the instance may use what it holds: it read within
// the last 6 s from the store that it holds it, or a peer of its region that
// does not bar it acknowledged a ping sent within the last 6 s.
func (l *Ledger) Authority() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo := l.instance()
	return lo != nil && l.authorized(lo)
}

// authorized is always true for partitions, whose use the journal fences.
func (l *Ledger) authorized(lo *local) bool {
	if l.broken || l.doc.Authorize(lo.holder, lo.epoch) != nil {
		return false
	}
	if lo.base == "" {
		return true
	}
	proof := l.read
	if l.vouched != nil {
		proof = later(proof, l.vouched())
	}
	return !proof.IsZero() && l.clock.Now().Sub(proof) <= AuthorityTime
}

// instance returns the holder that stands for this instance, or nil.
func (l *Ledger) instance() *local {
	for _, lo := range l.locals {
		if lo.base != "" {
			return lo
		}
	}
	return nil
}

func (l *Ledger) names() []string { return slices.Sorted(maps.Keys(l.locals)) }

// UnitUse is the use of requests of a team or of slots of a backend server.
type UnitUse struct {
	InUse int64
	// Waiting is the work that waits for a unit, where it is known.
	Waiting int64
}

// Held returns the units of the item that the instance may have in use now. No
// work starts above it, but work that runs may exceed it. It is zero without
// authority and while the item is above a lowered limit.
func (l *Ledger) Held(item string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo := l.instance()
	if lo == nil || !l.authorized(lo) {
		return 0
	}
	u := lo.usage(item)
	if u.allowance.Frozen {
		return 0
	}
	if u.allowance.Amount.IsZero() && l.byPeak && !u.wanted {
		l.wake()
	}
	u.wanted = true
	return u.allowance.Amount[0]
}

// Ask states the units that the instance can use, those in use included, such
// as the slots of a backend server that it was chosen for.
func (l *Ledger) Ask(item string, units int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lo := l.instance(); lo != nil {
		lo.usage(item).asked = allot.Units(units)
	}
}

// TeamRequests tells the request plane what the teams may have in flight here.
type TeamRequests struct{ *Ledger }

// MaxInFlight returns the requests that the team may have in flight here. Requests
// of open queues have no team and no limit.
func (r TeamRequests) MaxInFlight(team domain.TeamID) int64 {
	if team == "" {
		return math.MaxInt64
	}
	return r.Ledger.Held(string(team))
}

// ServerSlots tells the request plane which slots of backend servers it may use.
type ServerSlots struct{ *Ledger }

// Held returns the slots of the server that the instance may use now.
func (s ServerSlots) Held(server domain.BackendID) int {
	return int(s.Ledger.Held(string(server)))
}

// TaskUse is what a partition has reserved for a team and what it could use.
type TaskUse struct {
	InUse  domain.Resources
	Demand domain.Resources
}

// TaskAllowance is what a team may have reserved in a partition.
type TaskAllowance struct {
	Amount domain.Resources
	// Frozen tells that nothing of the team may start.
	Frozen bool
}

// TeamResources tells the task plane what the teams may have reserved in a
// partition.
type TeamResources interface {
	// Allowances returns the present allowances and their generation. They are
	// empty where another owner took the partition over.
	Allowances(partition domain.PartitionID) (uint64, map[domain.TeamID]TaskAllowance)
	// Report states the use of every team, after all plans that were made on
	// allowances before the generation have been counted in. Amounts are given
	// to other partitions only after a report of the generation that lowered
	// them.
	Report(partition domain.PartitionID, generation uint64, uses map[domain.TeamID]TaskUse)
}

var _ TeamResources = (*Ledger)(nil)

// Allowances implements TeamResources.
func (l *Ledger) Allowances(partition domain.PartitionID) (uint64, map[domain.TeamID]TaskAllowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo, ok := l.locals[string(partition)]
	if !ok || !l.authorized(lo) {
		return 0, nil
	}
	list := make(map[domain.TeamID]TaskAllowance, len(lo.items))
	for item, u := range lo.items {
		list[domain.TeamID(item)] = TaskAllowance{Amount: u.allowance.Amount.Resources(), Frozen: u.allowance.Frozen}
	}
	return lo.generation, list
}

// Report implements TeamResources.
func (l *Ledger) Report(partition domain.PartitionID, generation uint64, uses map[domain.TeamID]TaskUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo, ok := l.locals[string(partition)]
	if !ok {
		return
	}
	for team := range uses {
		lo.usage(string(team))
	}
	for item, u := range lo.items {
		use := uses[domain.TeamID(item)]
		u.inUse = allot.FromResources(use.InUse)
		u.asked = allot.FromResources(use.Demand)
		if generation == lo.generation {
			u.exposed = u.allowance.Amount
		}
	}
}
