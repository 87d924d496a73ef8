package allotment

import (
	"maps"
	"sync"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/domain"
)

// Assigner decides which backend servers' slots this instance asks for. Each
// server's slots are to be held by one live instance of its region.
type Assigner struct {
	self domain.InstanceID

	mu      sync.Mutex
	servers map[domain.BackendID]int64
	ledger  *Ledger
}

// NewAssigner returns an assigner without servers. Its Limits go into the
// Config of the ledger, which is then given to Bind.
func NewAssigner(self domain.InstanceID) *Assigner { return &Assigner{self: self} }

// Bind sets the ledger of the region's slots. It is called before Update.
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

// Update takes the listed servers of the region with their slots, and the live
// instances of the region, this one included. A server that is not listed any
// more is asked for no longer.
func (a *Assigner) Update(servers map[domain.BackendID]int64, live []domain.InstanceID) {
	names := make([]string, 0, len(live))
	for _, id := range live {
		names = append(names, string(id))
	}
	a.mu.Lock()
	gone := a.servers
	a.servers = maps.Clone(servers)
	a.mu.Unlock()
	for id := range gone {
		if _, ok := servers[id]; !ok {
			a.ledger.Ask(string(id), 0)
		}
	}
	chosen := rendezvous.Divide(serverNames(servers), names)
	for id, slots := range servers {
		if chosen[string(id)] != string(a.self) {
			slots = 0
		}
		a.ledger.Ask(string(id), slots)
	}
}

func serverNames(servers map[domain.BackendID]int64) []string {
	names := make([]string, 0, len(servers))
	for id := range servers {
		names = append(names, string(id))
	}
	return names
}
