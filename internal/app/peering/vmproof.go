package peering

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// vmListLag is the maximum lag of the platform's VM list. A VM that is absent for
// this time has been deleted.
const vmListLag = 30 * time.Second

// vmTracker derives from the platform's VM list which members are proven dead. A VM
// has to be listed once before its absence counts, because the list also lags
// behind new VMs.
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

// ObserveVMs processes a read of the platform's VM list and marks members as proven
// dead whose VMs are no longer listed. A list without the VM of this instance is
// ignored, because it is evidently wrong.
func (p *Service) ObserveVMs(ctx context.Context, vms []domain.VM) error {
	if !isListed(vms, p.settings.record()) {
		return nil
	}
	for _, m := range p.vms.absentMembers(vms, p.List(), p.deps.Clock.Now()) {
		if err := p.MarkProvenDead(ctx, m.ID, m.Incarnation); err != nil {
			return err
		}
	}
	return nil
}

// absentMembers returns the members whose VMs have been absent for vmListLag.
func (t *vmTracker) absentMembers(vms []domain.VM, members []membership.Member, now time.Time) []membership.Member {
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
		if isListed(vms, m.Record) {
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

// isListed reports whether the list contains the VM of the instance, by its ID or
// by one of its addresses.
func isListed(vms []domain.VM, r membership.Record) bool {
	for _, vm := range vms {
		sameAddress := vm.Address != "" && (vm.Address == r.Address || vm.Address == r.RequestAddress)
		if vm.ID == string(r.ID) || sameAddress {
			return true
		}
	}
	return false
}
