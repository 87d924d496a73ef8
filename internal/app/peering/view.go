package peering

import (
	"slices"
	"strings"
	"sync"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// counterChangesDropped counts changes dropped because a subscriber's channel was full.
const counterChangesDropped = "peer.changes_dropped"

// snapshot is the state of the membership after a step. It is not modified after
// it has been published.
type snapshot struct {
	self             membership.Member
	members          []membership.Member
	relayed          []membership.Confirmation
	allPeers         membership.Confirmation
	regionAck        time.Time
	newestVersion    uint64
	newestHolder     domain.InstanceID
	storeOutage      bool
	storeConfirmedAt time.Time
	joined           bool
	superseded       bool
	drainingKnown    bool
}

// view provides the latest snapshot to other goroutines. Only the membership loop
// writes it.
type view struct {
	metrics *metrics.Registry

	mu          sync.RWMutex
	current     snapshot
	subscribers map[*subscriber]struct{}
}

type subscriber struct {
	name    string
	changes chan membership.Change
}

func newView(self membership.Member, m *metrics.Registry) *view {
	return &view{metrics: m, current: snapshot{self: self}, subscribers: make(map[*subscriber]struct{})}
}

func (v *view) read() snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.current
}

// Self returns this instance.
func (v *view) Self() membership.Member { return v.read().self }

// List returns all known members except this instance, sorted by ID.
func (v *view) List() []membership.Member { return slices.Clone(v.read().members) }

// Get returns the member with the ID, which may be this instance.
func (v *view) Get(id domain.InstanceID) (membership.Member, bool) {
	s := v.read()
	if s.self.ID == id {
		return s.self, true
	}
	i, found := slices.BinarySearchFunc(s.members, id, compareID)
	if !found {
		return membership.Member{}, false
	}
	return s.members[i], true
}

func compareID(m membership.Member, id domain.InstanceID) int {
	return strings.Compare(string(m.ID), string(id))
}

func sortByID(members []membership.Member) {
	slices.SortFunc(members, func(a, b membership.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

// Owner returns the live member with the highest epoch for the partition.
func (v *view) Owner(partition domain.PartitionID) (membership.Member, domain.Epoch, bool) {
	s := v.read()
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
	consider(s.self)
	for _, m := range s.members {
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

// publish replaces the snapshot and sends the changes to the subscribers.
func (v *view) publish(s snapshot, changes []membership.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = s
	for _, change := range changes {
		for sub := range v.subscribers {
			v.deliver(sub, change)
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

// RelayedConfirmation returns the latest store confirmation of the version that a peer relayed.
func (v *view) RelayedConfirmation(version uint64) Confirmation {
	for _, c := range v.read().relayed {
		if c.Version == version {
			return c
		}
	}
	return Confirmation{}
}

// PeersConfirmation returns the latest time for which all known instances confirm the version.
func (v *view) PeersConfirmation(version uint64) Confirmation {
	if c := v.read().allPeers; c.Version == version {
		return c
	}
	return Confirmation{}
}

// NewestVersion returns the highest known version and a member that has applied it.
func (v *view) NewestVersion() (uint64, domain.InstanceID) {
	s := v.read()
	return s.newestVersion, s.newestHolder
}

// StoreOutage reports whether no recent store confirmation is known.
func (v *view) StoreOutage() bool { return v.read().storeOutage }

// StoreConfirmedAt returns the time of the latest known store confirmation.
func (v *view) StoreConfirmedAt() time.Time { return v.read().storeConfirmedAt }

// Joined reports whether joining has ended, with or without a member list from a peer.
func (v *view) Joined() bool { return v.read().joined }

// LastRegionAck returns the time at which the latest ping was sent that was
// acknowledged by a member of this region whose ConfirmsAuthority is set.
func (v *view) LastRegionAck() time.Time { return v.read().regionAck }

// Superseded reports whether another process uses the ID of this instance or
// this incarnation was declared proven dead.
func (v *view) Superseded() bool { return v.read().superseded }

// DrainingKnown reports whether this instance is about to leave and all live members of its region know it.
func (v *view) DrainingKnown() bool { return v.read().drainingKnown }

// SelfAcksSuppressed reports whether pings of this incarnation are no longer acknowledged.
func (v *view) SelfAcksSuppressed() bool { return v.read().self.AcksSuppressed }
