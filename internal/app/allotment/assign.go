package allotment

import (
	"maps"
	"sync"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/domain"
)

// Assigner decides for which backend servers this instance requests slots. All slots
// of a server should be held by one live instance of its region.
type Assigner struct {
	self domain.InstanceID

	mu      sync.Mutex
	servers map[domain.BackendID]int64
	ledger  *Ledger
}

// NewAssigner returns an assigner without servers. Pass its Limits method in the
// Config of the ledger, then pass the ledger to Bind.
func NewAssigner(self domain.InstanceID) *Assigner { return &Assigner{self: self} }

// Bind sets the ledger of the region's slots. It must be called before Update.
func (a *Assigner) Bind(l *Ledger) { a.ledger = l }

// Limits returns the slots of the listed servers.
func (a *Assigner) Limits() allot.Limits {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := allot.Limits{FromList: true, Items: make(map[string]allot.Vector, len(a.servers))}
	for id, slots := range a.servers {
		limits.Items[string(id)] = allot.Units(slots)
	}
	return limits
}

// Update sets the listed servers of the region with their slots, and the live
// instances of the region, including this one. The demand for a server that is no
// longer listed becomes zero.
func (a *Assigner) Update(servers map[domain.BackendID]int64, live []domain.InstanceID) {
	names := make([]string, 0, len(live))
	for _, id := range live {
		names = append(names, string(id))
	}
	a.mu.Lock()
	previous := a.servers
	a.servers = maps.Clone(servers)
	a.mu.Unlock()
	for id := range previous {
		if _, ok := servers[id]; !ok {
			a.ledger.SetDemand(string(id), 0)
		}
	}
	chosen := rendezvous.Divide(serverNames(servers), names)
	for id, slots := range servers {
		if chosen[string(id)] != string(a.self) {
			slots = 0
		}
		a.ledger.SetDemand(string(id), slots)
	}
}

func serverNames(servers map[domain.BackendID]int64) []string {
	names := make([]string, 0, len(servers))
	for id := range servers {
		names = append(names, string(id))
	}
	return names
}
