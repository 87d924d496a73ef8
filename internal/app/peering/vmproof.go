package peering

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// vmListLag is the lag of the platform's list. A VM that is absent for this
// time is gone.
const vmListLag = 30 * time.Second

// vmTracker derives proofs of death from the platform's list. A VM has to be
// seen before its absence counts, since the list lags behind new VMs too.
type vmTracker struct {
	mu     sync.Mutex
	states map[vmKey]vmState
}

type vmKey struct {
	id          domain.InstanceID
	incarnation uint64
}

type vmState struct {
	seen        bool
	absentSince time.Time
}

// ObserveVMs takes a list that the platform returned and notes members whose
// VMs were dropped from it. A list without the VM of this instance is not
// used, since it is evidently wrong.
func (p *Service) ObserveVMs(ctx context.Context, vms []domain.VM) error {
	if !listed(vms, p.settings.record()) {
		return nil
	}
	for _, m := range p.vms.dropped(vms, p.List(), p.deps.Clock.Now()) {
		if err := p.MarkProvenDead(ctx, m.ID, m.Incarnation); err != nil {
			return err
		}
	}
	return nil
}

// dropped returns the members whose VMs have been absent for the lag.
func (t *vmTracker) dropped(vms []domain.VM, members []membership.Member, now time.Time) []membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make(map[vmKey]vmState, len(members))
	var dropped []membership.Member
	for _, m := range members {
		if m.State.Departed() {
			continue
		}
		key := vmKey{id: m.ID, incarnation: m.Incarnation}
		state := t.states[key]
		if listed(vms, m.Record) {
			state = vmState{seen: true}
		} else if state.absentSince.IsZero() {
			state.absentSince = now
		}
		if state.seen && !state.absentSince.IsZero() && now.Sub(state.absentSince) >= vmListLag {
			dropped = append(dropped, m)
		}
		states[key] = state
	}
	t.states = states
	return dropped
}

// listed reports whether the list has the VM of the instance, by its ID or by
// one of its addresses.
func listed(vms []domain.VM, r membership.Record) bool {
	for _, vm := range vms {
		sameAddress := vm.Address != "" && (vm.Address == r.Address || vm.Address == r.RequestAddress)
		if vm.ID == string(r.ID) || sameAddress {
			return true
		}
	}
	return false
}
