package membership

import (
	"slices"
	"time"
)

// applyDigest applies the sender's digest and returns the sender. It returns nil
// if the process is unknown, earlier than the known one, or no longer a member.
func (n *Node) applyDigest(from string, msg *Message) *member {
	d := &msg.Digest
	m := n.find(msg.From)
	if m == nil || d.Incarnation > m.Incarnation {
		n.pullUnknown(from, msg)
		return nil
	}
	if d.Incarnation < m.Incarnation || m.State.Departed() {
		return nil
	}
	if d.Refutation > m.Refutation {
		n.applyRefutation(m, d.Refutation)
	}
	if d.Sequence > m.lastCount {
		n.updateFromDigest(m, d)
	}
	n.recordVersion(d.KnownVersion, m)
	n.compareView(m, d)
	return m
}

// applyRefutation marks a member as alive after it refuted a suspicion or a
// declared death.
func (n *Node) applyRefutation(m *member, refutation uint32) {
	wasDead := m.State == StateDead
	n.setState(m, StateAlive, refutation)
	n.enqueue(fullMemberUpdate(m))
	if wasDead && n.maySync() {
		n.pull(m.Address, m)
	}
}

// updateFromDigest copies the fields of a digest that is newer than the last one.
func (n *Node) updateFromDigest(m *member, d *Digest) {
	m.lastCount = d.Sequence
	m.HeardAt = n.now
	m.ConfigVersion = d.ConfigVersion
	m.KnownVersion = d.KnownVersion
	m.EditInFlight = d.EditInFlight
	m.Slots = d.Slots
	if d.Revision <= m.Revision {
		return
	}
	record := m.Record
	record.Revision = d.Revision
	record.Draining = d.Draining
	record.Partitions = slices.Clone(d.Partitions)
	n.updateRecord(m, record)
}

// compareView synchronizes member lists with a member whose view has differed
// for SyncDelay.
func (n *Node) compareView(m *member, d *Digest) {
	if d.ViewHash == n.viewHash() {
		m.viewDiffersSince = time.Time{}
		return
	}
	if m.viewDiffersSince.IsZero() {
		m.viewDiffersSince = n.now
	}
	if n.now.Sub(m.viewDiffersSince) >= n.cfg.SyncDelay && n.maySync() {
		n.pull(m.Address, m)
	}
}
