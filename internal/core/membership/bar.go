package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// maxSuppressed bounds the list of processes whose pings are not acknowledged.
// The oldest are dropped; by then they have long terminated.
const maxSuppressed = 256

// process identifies one process of an instance.
type process struct {
	id          domain.InstanceID
	incarnation uint64
}

// SuppressPingAcks stops acknowledging pings of the incarnation for the rest of its life.
// The other members learn of it by gossip.
func (n *Node) SuppressPingAcks(id domain.InstanceID, incarnation uint64) {
	if id == n.self.record.ID {
		if incarnation == n.self.record.Incarnation {
			n.recordSelfSuppressed()
		}
		return
	}
	if m := n.find(id); m != nil && m.Incarnation == incarnation {
		if !m.AcksSuppressed {
			n.suppressAcks(m)
		}
		return
	}
	n.recordSuppression(id, incarnation)
}

func (n *Node) recordSuppression(id domain.InstanceID, incarnation uint64) {
	p := process{id: id, incarnation: incarnation}
	if slices.Contains(n.suppressed, p) {
		return
	}
	n.suppressed = append(n.suppressed, p)
	if len(n.suppressed) > maxSuppressed {
		n.suppressed = slices.Delete(n.suppressed, 0, 1)
	}
}

func (n *Node) acksSuppressed(id domain.InstanceID, incarnation uint64) bool {
	return slices.Contains(n.suppressed, process{id: id, incarnation: incarnation})
}

func (n *Node) suppressAcks(m *member) {
	n.recordSuppression(m.ID, m.Incarnation)
	m.AcksSuppressed = true
	n.publishMember(m, ChangeAcksSuppressed)
}

// recordSelfSuppressed records, once, that pings of this incarnation are not acknowledged.
func (n *Node) recordSelfSuppressed() {
	if n.self.acksSuppressed {
		return
	}
	n.self.acksSuppressed = true
	n.hashes.stale = true
	n.emitChange(Change{Kind: ChangeSelfAcksSuppressed, Member: n.Self()})
}
