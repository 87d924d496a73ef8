package allotment

import (
	"slices"

	"auburnpier/internal/domain"
)

// Outside returns what the teams hold in all other partitions, for nearness to
// their shares over the fleet.
func (l *Ledger) Outside(partition domain.PartitionID) map[domain.TeamID]domain.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	outside := make(map[domain.TeamID]domain.Resources, len(l.doc.Items))
	for item, it := range l.doc.Items {
		held := it.TotalHeld().Sub(it.Held[string(partition)])
		outside[domain.TeamID(item)] = held.Resources()
	}
	return outside
}

// InstancesOf returns the instances of the region that hold anything or may,
// revoked ones included, in order.
func (l *Ledger) InstancesOf(region domain.RegionID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var holders []string
	for name, h := range l.doc.Holders {
		if h.Region == string(region) {
			holders = append(holders, name)
		}
	}
	slices.Sort(holders)
	return holders
}

// Revoked reports whether the document shows the holder as revoked.
func (l *Ledger) Revoked(holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doc.Holders[holder].Revoked
}
