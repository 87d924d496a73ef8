package allotment

import (
	"maps"
	"math"
	"slices"
	"time"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/domain"
)

// AuthorityTime is how long an instance may use its request allotments and slots after
// the last confirmation that it still holds them.
const AuthorityTime = 6 * time.Second

// Authority reports whether the instance may use what it holds. Within the last 6 s it
// must have read the document from the store, or sent a ping that was acknowledged by a
// peer of its region that does not suppress acknowledgements to it.
func (l *Ledger) Authority() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo := l.instance()
	return lo != nil && l.authorized(lo)
}

// authorized reports whether the holder may use its amounts. Partitions need no recent
// confirmation, because the journal fences their use.
func (l *Ledger) authorized(lo *localHolder) bool {
	if l.undecodable || l.doc.Authorize(lo.holder, lo.epoch) != nil {
		return false
	}
	if lo.base == "" {
		return true
	}
	proof := l.lastRead
	if l.lastConfirmed != nil {
		proof = later(proof, l.lastConfirmed())
	}
	return !proof.IsZero() && l.clock.Now().Sub(proof) <= AuthorityTime
}

// instance returns the holder of this instance, or nil.
func (l *Ledger) instance() *localHolder {
	for _, lo := range l.localHolders {
		if lo.base != "" {
			return lo
		}
	}
	return nil
}

func (l *Ledger) localHolderNames() []string { return slices.Sorted(maps.Keys(l.localHolders)) }

// UnitUse is the use of a team's requests or of a backend server's slots.
type UnitUse struct {
	InUse int64
	// Waiting is the number of requests that wait for a unit, if known.
	Waiting int64
}

// Held returns the units of the item that the instance may currently have in use. No
// work may start above it, but running work may exceed it. It is zero without authority
// and while the item is above a lowered limit.
func (l *Ledger) Held(item string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo := l.instance()
	if lo == nil || !l.authorized(lo) {
		return 0
	}
	u := lo.item(item)
	if u.allowance.Frozen {
		return 0
	}
	if u.allowance.Amount.IsZero() && l.byPeak && !u.allowanceRead {
		l.requestRound()
	}
	u.allowanceRead = true
	return u.allowance.Amount[0]
}

// SetDemand sets the units that the instance can use, including those in use, such as the
// slots of a backend server that was assigned to it.
func (l *Ledger) SetDemand(item string, units int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lo := l.instance(); lo != nil {
		lo.item(item).reportedDemand = allot.Units(units)
	}
}

// TeamRequests provides the request plane with the teams' limits of requests in flight
// on this instance.
type TeamRequests struct{ *Ledger }

// MaxInFlight returns how many requests the team may have in flight on this instance.
// Requests of open queues have no team and no limit.
func (r TeamRequests) MaxInFlight(team domain.TeamID) int64 {
	if team == "" {
		return math.MaxInt64
	}
	return r.Ledger.Held(string(team))
}

// ServerSlots provides the request plane with the slots of backend servers that it may
// use.
type ServerSlots struct{ *Ledger }

// Held returns the number of the server's slots that the instance may currently use.
func (s ServerSlots) Held(server domain.BackendID) int {
	return int(s.Ledger.Held(string(server)))
}

// TaskUse is what a partition has reserved for a team and what the team could use.
type TaskUse struct {
	InUse  domain.Resources
	Demand domain.Resources
}

// TaskAllowance is the maximum that a team may have reserved in a partition.
type TaskAllowance struct {
	Amount domain.Resources
	// Frozen is set if no work of the team may start.
	Frozen bool
}

// TeamResources provides the task plane with the teams' allowances in a partition.
type TeamResources interface {
	// Allowances returns the generation of the current allowances and the allowances.
	// They are empty if another owner has taken over the partition.
	Allowances(partition domain.PartitionID) (uint64, map[domain.TeamID]TaskAllowance)
	// Report sets the use of every team. It must include all plans that were made on
	// allowances of earlier generations. Amounts are transferred to other partitions
	// only after a report of the generation that lowered them.
	Report(partition domain.PartitionID, generation uint64, uses map[domain.TeamID]TaskUse)
}

var _ TeamResources = (*Ledger)(nil)

// Allowances implements TeamResources.
func (l *Ledger) Allowances(partition domain.PartitionID) (uint64, map[domain.TeamID]TaskAllowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo, ok := l.localHolders[string(partition)]
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
	lo, ok := l.localHolders[string(partition)]
	if !ok {
		return
	}
	for team := range uses {
		lo.item(string(team))
	}
	for item, u := range lo.items {
		use := uses[domain.TeamID(item)]
		u.inUse = allot.FromResources(use.InUse)
		u.reportedDemand = allot.FromResources(use.Demand)
		if generation == lo.generation {
			u.maxUsable = u.allowance.Amount
		}
	}
}
