package allotment

import (
	"slices"

	"auburnpier/internal/domain"
)

// Outside returns what each team holds in all other partitions. The scheduler needs it
// to compare the teams' use with their shares of the whole fleet.
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

// InstancesOf returns the sorted names of the region's instances that are registered as
// holders, including revoked ones.
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

// Revoked reports whether the holder is revoked in the document.
func (l *Ledger) Revoked(holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doc.Holders[holder].Revoked
}
