package membership

import (
	"slices"
	"time"
)

// SetConfigVersion sets the configuration version in force. A lower version is ignored.
func (n *Node) SetConfigVersion(version uint64) {
	n.self.version = max(n.self.version, version)
	n.recordVersion(version, nil)
}

// SetEditInFlight sets whether an edit of this instance may have reached the store.
func (n *Node) SetEditInFlight(inFlight bool) { n.self.editInFlight = inFlight }

// SetConfirmsAuthority sets whether acknowledgements of this instance count for the
// authority of its region. It is set once this instance has registered in the
// store, then read all revocations and suppressed the acknowledgements of the
// revoked incarnations.
func (n *Node) SetConfirmsAuthority(confirmsAuthority bool) {
	n.self.confirmsAuthority = confirmsAuthority
}

// SetSlots sets the free slots of each queue.
func (n *Node) SetSlots(slots []QueueSlots) {
	n.self.slots = slices.Clone(limitSlots(slots))
}

// StoreConfirmed records that a store call that began at the given time returned the version.
func (n *Node) StoreConfirmed(version uint64, began time.Time) {
	if version < n.self.storeVersion || began.Before(n.self.storeConfirmedAt) {
		return
	}
	n.self.storeVersion = version
	n.self.storeConfirmedAt = began
	n.recordVersion(version, nil)
}

// SetDraining sets whether this instance is about to leave.
func (n *Node) SetDraining(draining bool) {
	if n.self.record.Draining == draining {
		return
	}
	n.self.record.Draining = draining
	n.self.drainingSince = n.now
	n.recordChanged()
}

// DrainingKnown reports whether this instance is about to leave and each live member of its region
// has acknowledged a datagram that says so. Those members forward no more requests to it.
func (n *Node) DrainingKnown() bool {
	return n.self.record.Draining && !slices.ContainsFunc(n.members, n.missesDraining)
}

// missesDraining reports whether the member may forward requests to this instance because it does
// not know yet that it is about to leave.
func (n *Node) missesDraining(m *member) bool {
	return m.live() && m.Location.Region == n.self.record.Location.Region && !m.AckedPingAt.After(n.self.drainingSince)
}

// tickDraining pings the members of the region until they know that this instance is about to leave.
// Gossip reaches them as well, but is not acknowledged.
func (n *Node) tickDraining() {
	if !n.self.record.Draining {
		return
	}
	for _, m := range n.members {
		if n.missesDraining(m) && n.now.Sub(m.drainingPingAt) >= n.cfg.PingTimeout {
			m.drainingPingAt = n.now
			n.sendPing(m)
		}
	}
}

// SetPartitions sets the partitions that this instance owns.
func (n *Node) SetPartitions(partitions []OwnedPartition) {
	partitions = limitPartitions(partitions)
	if slices.Equal(n.self.record.Partitions, partitions) {
		return
	}
	n.self.record.Partitions = slices.Clone(partitions)
	n.recordChanged()
}

func (n *Node) recordChanged() {
	n.self.record.Revision++
	n.hashes.stale = true
	n.broadcastSelf()
}

// Leave announces the exit of this instance. The caller must have stopped
// accepting edits, and keeps calling Tick until AllSent.
func (n *Node) Leave() {
	if n.self.state == StateLeft {
		return
	}
	n.self.state = StateLeft
	n.hashes.stale = true
	n.broadcastSelf()
}

// AllSent reports whether no update is left to send.
func (n *Node) AllSent() bool { return len(n.queue) == 0 && n.versionSends == 0 }

func (n *Node) selfUpdate() Update {
	return Update{
		Record:         n.self.record,
		Full:           true,
		State:          n.self.state,
		Refutation:     n.self.refutation,
		AcksSuppressed: n.self.acksSuppressed,
	}
}

func (n *Node) broadcastSelf() { n.enqueue(n.selfUpdate()) }

func (n *Node) digest() Digest {
	n.self.count++
	age := NoStoreAge
	if !n.self.storeConfirmedAt.IsZero() {
		age = n.now.Sub(n.self.storeConfirmedAt)
	}
	return Digest{
		Incarnation:       n.self.record.Incarnation,
		Sequence:          n.self.count,
		Refutation:        n.self.refutation,
		Revision:          n.self.record.Revision,
		ConfigVersion:     n.self.version,
		KnownVersion:      n.newestVersion,
		StoreVersion:      n.self.storeVersion,
		StoreAge:          age,
		EditInFlight:      n.self.editInFlight,
		ConfirmsAuthority: n.self.confirmsAuthority,
		Draining:          n.self.record.Draining,
		Slots:             n.self.slots,
		Partitions:        n.self.record.Partitions,
		KnownHash:         n.knownHash(),
		ViewHash:          n.viewHash(),
	}
}

// receiveFromOwnID handles a datagram from another process with the ID of this
// instance: a late one from an earlier process, or one from a process that was
// configured with the same ID by mistake.
func (n *Node) receiveFromOwnID(from string, msg *Message) {
	if from == n.self.record.Address && msg.Digest.Incarnation <= n.self.record.Incarnation {
		return
	}
	if msg.Digest.Incarnation > n.self.record.Incarnation {
		n.supersede()
	}
}

// supersede reports, once, that another process uses the ID of this instance or
// that this incarnation was declared proven dead.
func (n *Node) supersede() {
	if n.self.superseded {
		return
	}
	n.self.superseded = true
	n.emitChange(Change{Kind: ChangeSuperseded, Member: n.Self()})
}
