package membership

import (
	"slices"
	"time"
)

// hearDigest applies what the sender states about itself. It returns nil for a
// process that is unknown, earlier than the known one, or gone.
func (n *Node) hearDigest(from string, msg *Message) *member {
	d := &msg.Digest
	m := n.find(msg.From)
	if m == nil || d.Incarnation > m.Incarnation {
		n.pullUnknown(from, msg)
		return nil
	}
	if d.Incarnation < m.Incarnation || m.State.Gone() {
		return nil
	}
	if d.Refutation > m.Refutation {
		n.refuted(m, d.Refutation)
	}
	if d.Count > m.count {
		n.adoptDigest(m, d)
	}
	n.hearVersion(d.KnownVersion, m)
	n.compareView(m, d)
	return m
}

// refuted notes that a member lives, told by itself.
func (n *Node) refuted(m *member, refutation uint32) {
	wasDead := m.State == StateDead
	n.setState(m, StateAlive, refutation)
	n.enqueue(fullStatement(m))
	if wasDead && n.maySync() {
		n.pull(m.Address, m)
	}
}

// adoptDigest takes over the fields of a datagram that is newer than the last.
func (n *Node) adoptDigest(m *member, d *Digest) {
	m.count = d.Count
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
	n.adoptRecord(m, record)
}

// compareView compares member lists with a member whose view differs for some time.
func (n *Node) compareView(m *member, d *Digest) {
	if d.ViewHash == n.viewHash() {
		m.differsSince = time.Time{}
		return
	}
	if m.differsSince.IsZero() {
		m.differsSince = n.now
	}
	if n.now.Sub(m.differsSince) >= n.cfg.SyncDelay && n.maySync() {
		n.pull(m.Address, m)
	}
}
