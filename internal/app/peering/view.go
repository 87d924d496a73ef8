package peering

import (
	"slices"
	"strings"
	"sync"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// counterChangesDropped counts changes that found a subscriber's channel full.
const counterChangesDropped = "peer.changes_dropped"

// view is the member list that other goroutines read. The membership loop
// alone writes it.
type view struct {
	metrics *metrics.Registry

	mu          sync.RWMutex
	self        membership.Member
	members     []membership.Member
	subscribers map[*subscriber]struct{}
}

type subscriber struct {
	name    string
	changes chan membership.Change
}

func newView(self membership.Member, m *metrics.Registry) *view {
	return &view{metrics: m, self: self, subscribers: make(map[*subscriber]struct{})}
}

// Self returns the record of this instance.
func (v *view) Self() membership.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.self
}

// List returns all known members but this instance in the order of their IDs.
func (v *view) List() []membership.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.members)
}

// Get returns the member of that ID.
func (v *view) Get(id domain.InstanceID) (membership.Member, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.self.ID == id {
		return v.self, true
	}
	i, found := slices.BinarySearchFunc(v.members, id, compareID)
	if !found {
		return membership.Member{}, false
	}
	return v.members[i], true
}

func compareID(m membership.Member, id domain.InstanceID) int {
	return strings.Compare(string(m.ID), string(id))
}

// Owner returns the live member with the highest epoch for the partition.
func (v *view) Owner(partition domain.PartitionID) (membership.Member, domain.Epoch, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var owner membership.Member
	var epoch domain.Epoch
	found := false
	consider := func(m membership.Member) {
		if m.State != membership.StateAlive && m.State != membership.StateSuspect {
			return
		}
		for _, p := range m.Partitions {
			if p.ID == partition && (!found || p.Epoch > epoch) {
				owner, epoch, found = m, p.Epoch, true
			}
		}
	}
	consider(v.self)
	for _, m := range v.members {
		consider(m)
	}
	return owner, epoch, found
}

// Subscribe returns a channel of changes and a function that releases it.
func (v *view) Subscribe(name string, capacity int) (<-chan membership.Change, func()) {
	s := &subscriber{name: name, changes: make(chan membership.Change, capacity)}
	v.mu.Lock()
	v.subscribers[s] = struct{}{}
	v.mu.Unlock()
	return s.changes, func() {
		v.mu.Lock()
		delete(v.subscribers, s)
		v.mu.Unlock()
	}
}

// publish replaces the list and passes the changes on.
func (v *view) publish(self membership.Member, members []membership.Member, changes []membership.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self, v.members = self, members
	for _, change := range changes {
		for s := range v.subscribers {
			v.deliver(s, change)
		}
	}
}

func (v *view) deliver(s *subscriber, change membership.Change) {
	select {
	case s.changes <- change:
	default:
		v.metrics.Counter(counterChangesDropped).Inc(1)
		v.metrics.Counter(counterChangesDropped + "." + s.name).Inc(1)
	}
}
