package membership

import (
	"slices"
	"time"
)

// Confirmation tells that at the time no version newer than Version was accepted.
type Confirmation struct {
	Version uint64
	At      time.Time
}

// confirm notes what an acknowledgement confirms. Everything is timed from the
// sending of the ping, so that delays only make a confirmation older.
func (n *Node) confirm(m *member, sentAt time.Time, d *Digest) {
	m.AckedPingAt = latest(m.AckedPingAt, sentAt)
	if d.Vouches && m.Location.Region == n.self.record.Location.Region {
		n.regionAck = latest(n.regionAck, sentAt)
	}
	if d.StoreAge >= 0 && d.StoreVersion > 0 {
		n.noteRelayed(Confirmation{Version: d.StoreVersion, At: sentAt.Add(-d.StoreAge)})
	}
	if !d.EditInFlight && d.KnownHash == n.knownHash() && sentAt.After(m.clearAt) {
		m.clearAt = sentAt
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// noteRelayed keeps the latest confirmation of each of the two newest versions.
func (n *Node) noteRelayed(c Confirmation) {
	newest := &n.relayed[0]
	switch {
	case c.Version > newest.Version:
		n.relayed[1] = *newest
		*newest = c
	case c.Version == newest.Version:
		newest.At = latest(newest.At, c.At)
	case c.Version == n.relayed[1].Version:
		n.relayed[1].At = latest(n.relayed[1].At, c.At)
	}
}

// Relayed returns the latest store confirmation of the version that a member
// relayed, or the zero value.
func (n *Node) Relayed(version uint64) Confirmation {
	for _, c := range n.relayed {
		if c.Version == version && version > 0 {
			return c
		}
	}
	return Confirmation{}
}

// RelayedAll returns the latest relayed confirmations of the two newest versions.
func (n *Node) RelayedAll() []Confirmation { return slices.Clone(n.relayed[:]) }

// AllPeers returns the time that all known instances confirmed for the
// version: each that is neither left nor proven dead acknowledged a ping sent
// then or later, knew no newer version, had no edit in flight and knew the
// same instances. It returns the zero value if there is no such time.
func (n *Node) AllPeers(version uint64) Confirmation {
	earliest := n.now
	known := 0
	for _, m := range n.members {
		if m.State.Gone() {
			continue
		}
		known++
		if m.clearAt.IsZero() {
			return Confirmation{}
		}
		if m.clearAt.Before(earliest) {
			earliest = m.clearAt
		}
	}
	if known == 0 && len(n.otherSeeds()) > 0 {
		// Other instances may exist that were not heard of yet.
		return Confirmation{}
	}
	// Every version that a member knows is noted when its datagram arrives.
	if n.newestVersion > version {
		return Confirmation{}
	}
	return Confirmation{Version: version, At: earliest}
}

// NewestVersion returns the highest version heard of, and a live member that
// has applied it. The member is nil if this instance alone has.
func (n *Node) NewestVersion() (uint64, *Member) {
	for _, m := range n.members {
		if m.live() && m.ConfigVersion >= n.newestVersion {
			found := m.Member
			return n.newestVersion, &found
		}
	}
	return n.newestVersion, nil
}

// RegionAck returns the sending of the latest ping that a vouching member of
// this region acknowledged.
func (n *Node) RegionAck() time.Time { return n.regionAck }

// Outage reports whether the store seems unreachable: neither this instance
// nor a member that answered it has a recent confirmation.
func (n *Node) Outage() bool {
	newest := n.StoreConfirmedAt()
	if newest.IsZero() {
		newest = n.startedAt
	}
	return n.now.Sub(newest) > n.cfg.OutageAfter
}

// StoreConfirmedAt returns the time of the latest store confirmation of this
// instance or of a member that answered it, or the zero value.
func (n *Node) StoreConfirmedAt() time.Time {
	return latest(n.self.storeBegan, n.relayed[0].At)
}

// tickOutage pings all known instances while the store is unreachable.
func (n *Node) tickOutage() {
	if !n.Outage() {
		return
	}
	for _, m := range n.members {
		if m.State.Gone() {
			continue
		}
		period := n.cfg.OutagePeriod
		if m.clearAt.Before(m.outagePingAt) {
			period = n.cfg.OutageRetry
		}
		if m.State == StateDead {
			period = n.cfg.OutagePeriod
		}
		// The pings of the rounds count as well.
		if n.now.Sub(latest(m.outagePingAt, m.clearAt)) < period {
			continue
		}
		m.outagePingAt = n.now
		n.sendPing(m)
	}
}
