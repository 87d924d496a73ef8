package membership

import (
	"slices"
	"time"
)

// Confirmation states that at time At no configuration version newer than
// Version had been accepted.
type Confirmation struct {
	Version uint64
	At      time.Time
}

// recordAck records what an acknowledgement confirms. All times are those at
// which the ping was sent, so that delays only make a confirmation older.
func (n *Node) recordAck(m *member, sentAt time.Time, d *Digest) {
	m.AckedPingAt = latest(m.AckedPingAt, sentAt)
	if d.ConfirmsAuthority && m.Location.Region == n.self.record.Location.Region {
		n.regionAck = latest(n.regionAck, sentAt)
	}
	if d.StoreAge >= 0 && d.StoreVersion > 0 {
		n.recordRelayed(Confirmation{Version: d.StoreVersion, At: sentAt.Add(-d.StoreAge)})
	}
	if !d.EditInFlight && d.KnownHash == n.knownHash() && sentAt.After(m.confirmedAt) {
		m.confirmedAt = sentAt
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordRelayed keeps the latest confirmation of each of the two newest versions.
func (n *Node) recordRelayed(c Confirmation) {
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

// RelayedConfirmation returns the latest store confirmation of the version that any member
// relayed, or the zero value.
func (n *Node) RelayedConfirmation(version uint64) Confirmation {
	for _, c := range n.relayed {
		if c.Version == version && version > 0 {
			return c
		}
	}
	return Confirmation{}
}

// RelayedConfirmations returns the latest relayed confirmation of each of the two newest versions.
func (n *Node) RelayedConfirmations() []Confirmation { return slices.Clone(n.relayed[:]) }

// PeersConfirmation returns the latest time for which all known instances confirm the
// version: each one that has neither left nor is proven dead acknowledged a ping
// sent at that time or later, knew no newer version, had no edit in flight and
// knew the same instances. It returns the zero value if there is no such time.
func (n *Node) PeersConfirmation(version uint64) Confirmation {
	earliest := n.now
	known := 0
	for _, m := range n.members {
		if m.State.Departed() {
			continue
		}
		known++
		if m.confirmedAt.IsZero() {
			return Confirmation{}
		}
		if m.confirmedAt.Before(earliest) {
			earliest = m.confirmedAt
		}
	}
	if known == 0 && len(n.otherSeeds()) > 0 {
		// There may be other instances that are not known yet.
		return Confirmation{}
	}
	// newestVersion covers the versions known to the members: each datagram updates it.
	if n.newestVersion > version {
		return Confirmation{}
	}
	return Confirmation{Version: version, At: earliest}
}

// NewestVersion returns the highest known version and a live member that has
// applied it, or nil if no other member has.
func (n *Node) NewestVersion() (uint64, *Member) {
	for _, m := range n.members {
		if m.live() && m.ConfigVersion >= n.newestVersion {
			found := m.Member
			return n.newestVersion, &found
		}
	}
	return n.newestVersion, nil
}

// LastRegionAck returns the time at which the latest ping was sent that was
// acknowledged by a member of this region whose ConfirmsAuthority is set.
func (n *Node) LastRegionAck() time.Time { return n.regionAck }

// StoreOutage reports whether the store seems unreachable: neither this instance nor
// any member that acknowledged its pings has a recent confirmation.
func (n *Node) StoreOutage() bool {
	newest := n.StoreConfirmedAt()
	if newest.IsZero() {
		newest = n.startedAt
	}
	return n.now.Sub(newest) > n.cfg.OutageThreshold
}

// StoreConfirmedAt returns the time of the latest store confirmation of this
// instance or of a member that acknowledged its pings, or the zero value.
func (n *Node) StoreConfirmedAt() time.Time {
	return latest(n.self.storeConfirmedAt, n.relayed[0].At)
}

// tickOutage pings all known instances while the store is unreachable.
func (n *Node) tickOutage() {
	if !n.StoreOutage() {
		return
	}
	for _, m := range n.members {
		if m.State.Departed() {
			continue
		}
		period := n.cfg.OutagePingInterval
		if m.confirmedAt.Before(m.outagePingAt) {
			period = n.cfg.OutageRetryInterval
		}
		if m.State == StateDead {
			period = n.cfg.OutagePingInterval
		}
		// Acknowledged pings of the regular rounds count as well.
		if n.now.Sub(latest(m.outagePingAt, m.confirmedAt)) < period {
			continue
		}
		m.outagePingAt = n.now
		n.sendPing(m)
	}
}
