package peering

import (
	"sync"
	"time"

	"auburnpier/internal/core/membership"
)

// statements holds the latest values that the other parts state about this
// instance. The membership loop takes them over before each step. A statement
// therefore holds for each ping that arrives after the call returned; an
// acknowledgement under way confirms only the time at which its ping was sent.
type statements struct {
	mu     sync.Mutex
	latest stated
	dirty  bool
	// wake has room for one signal, which stands for any number of changes.
	wake chan struct{}
}

type stated struct {
	version      uint64
	storeVersion uint64
	storeBegan   time.Time
	editInFlight bool
	vouches      bool
	draining     bool
	slots        []membership.QueueSlots
	partitions   []membership.OwnedPartition
}

func newStatements() *statements {
	return &statements{wake: make(chan struct{}, 1)}
}

func (s *statements) set(change func(*stated)) {
	s.mu.Lock()
	change(&s.latest)
	s.dirty = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
		// A signal is waiting already.
	}
}

// SetConfigVersion states the version in force.
func (s *statements) SetConfigVersion(version uint64) {
	s.set(func(v *stated) { v.version = max(v.version, version) })
}

// SetEditInFlight states whether an edit may have reached the store.
func (s *statements) SetEditInFlight(inFlight bool) {
	s.set(func(v *stated) { v.editInFlight = inFlight })
}

// StoreConfirmed states that a store call that began at the time showed the version.
func (s *statements) StoreConfirmed(version uint64, began time.Time) {
	s.set(func(v *stated) {
		if version >= v.storeVersion && began.After(v.storeBegan) {
			v.storeVersion, v.storeBegan = version, began
		}
	})
}

// SetConfirmsAuthority states whether acknowledgements count for the authority of the region.
func (s *statements) SetConfirmsAuthority(vouches bool) {
	s.set(func(v *stated) { v.vouches = vouches })
}

// SetSlots states the free slots.
func (s *statements) SetSlots(slots []membership.QueueSlots) {
	slots = append([]membership.QueueSlots(nil), slots...)
	s.set(func(v *stated) { v.slots = slots })
}

// SetDraining states that this instance is about to leave.
func (s *statements) SetDraining(draining bool) {
	s.set(func(v *stated) { v.draining = draining })
}

// SetPartitions states the partitions that this instance owns.
func (s *statements) SetPartitions(partitions []membership.OwnedPartition) {
	partitions = append([]membership.OwnedPartition(nil), partitions...)
	s.set(func(v *stated) { v.partitions = partitions })
}

// apply passes changed statements to the node. The version in force comes
// before the end of an edit, so that no datagram states neither of them.
func (s *statements) apply(n *membership.Node) {
	s.mu.Lock()
	v, dirty := s.latest, s.dirty
	s.dirty = false
	s.mu.Unlock()
	if !dirty {
		return
	}
	n.SetConfigVersion(v.version)
	if !v.storeBegan.IsZero() {
		n.StoreConfirmed(v.storeVersion, v.storeBegan)
	}
	n.SetEditInFlight(v.editInFlight)
	n.SetConfirmsAuthority(v.vouches)
	n.SetSlots(v.slots)
	n.SetDraining(v.draining)
	n.SetPartitions(v.partitions)
}
