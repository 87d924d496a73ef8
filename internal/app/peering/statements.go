package peering

import (
	"sync"
	"time"

	"auburnpier/internal/core/membership"
)

// selfState holds the latest values set for this instance. The membership loop
// applies them before each step, so that a value applies to each ping that arrives
// after the setter has returned. An acknowledgement already in transit confirms
// only the time at which its ping was sent.
type selfState struct {
	mu      sync.Mutex
	latest  selfValues
	changed bool
	// wake has capacity one: one signal stands for any number of changes.
	wake chan struct{}
}

type selfValues struct {
	version           uint64
	storeVersion      uint64
	storeConfirmedAt  time.Time
	editInFlight      bool
	confirmsAuthority bool
	draining          bool
	slots             []membership.QueueSlots
	partitions        []membership.OwnedPartition
}

func newSelfState() *selfState {
	return &selfState{wake: make(chan struct{}, 1)}
}

func (s *selfState) set(change func(*selfValues)) {
	s.mu.Lock()
	change(&s.latest)
	s.changed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
		// A signal is already pending.
	}
}

// SetConfigVersion sets the configuration version in force.
func (s *selfState) SetConfigVersion(version uint64) {
	s.set(func(v *selfValues) { v.version = max(v.version, version) })
}

// SetEditInFlight sets whether an edit may have reached the store.
func (s *selfState) SetEditInFlight(inFlight bool) {
	s.set(func(v *selfValues) { v.editInFlight = inFlight })
}

// StoreConfirmed records that a store call that began at the given time returned the version.
func (s *selfState) StoreConfirmed(version uint64, began time.Time) {
	s.set(func(v *selfValues) {
		if version >= v.storeVersion && began.After(v.storeConfirmedAt) {
			v.storeVersion, v.storeConfirmedAt = version, began
		}
	})
}

// SetConfirmsAuthority sets whether acknowledgements of this instance count for the authority
// of its region.
func (s *selfState) SetConfirmsAuthority(confirmsAuthority bool) {
	s.set(func(v *selfValues) { v.confirmsAuthority = confirmsAuthority })
}

// SetSlots sets the free slots.
func (s *selfState) SetSlots(slots []membership.QueueSlots) {
	slots = append([]membership.QueueSlots(nil), slots...)
	s.set(func(v *selfValues) { v.slots = slots })
}

// SetDraining sets whether this instance is about to leave.
func (s *selfState) SetDraining(draining bool) {
	s.set(func(v *selfValues) { v.draining = draining })
}

// SetPartitions sets the partitions that this instance owns.
func (s *selfState) SetPartitions(partitions []membership.OwnedPartition) {
	partitions = append([]membership.OwnedPartition(nil), partitions...)
	s.set(func(v *selfValues) { v.partitions = partitions })
}

// apply passes changed values to the node. The version is set before the edit in
// flight is cleared, so that each datagram carries at least one of the two.
func (s *selfState) apply(n *membership.Node) {
	s.mu.Lock()
	v, changed := s.latest, s.changed
	s.changed = false
	s.mu.Unlock()
	if !changed {
		return
	}
	n.SetConfigVersion(v.version)
	if !v.storeConfirmedAt.IsZero() {
		n.StoreConfirmed(v.storeVersion, v.storeConfirmedAt)
	}
	n.SetEditInFlight(v.editInFlight)
	n.SetConfirmsAuthority(v.confirmsAuthority)
	n.SetSlots(v.slots)
	n.SetDraining(v.draining)
	n.SetPartitions(v.partitions)
}
