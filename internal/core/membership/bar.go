package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// maxBars bounds the remembered bars. The oldest are dropped; each names a
// process that is long gone by then.
const maxBars = 256

// bar names a process whose pings are not acknowledged.
type bar struct {
	id          domain.InstanceID
	incarnation uint64
}

// Bar stops acknowledging pings of the incarnation. It holds for the rest of
// the incarnation and spreads to the other members.
func (n *Node) Bar(id domain.InstanceID, incarnation uint64) {
	if id == n.self.record.ID {
		if incarnation == n.self.record.Incarnation {
			n.selfBarred()
		}
		return
	}
	if m := n.find(id); m != nil && m.Incarnation == incarnation {
		if !m.Barred {
			n.setBarred(m)
		}
		return
	}
	n.noteBar(id, incarnation)
}

func (n *Node) noteBar(id domain.InstanceID, incarnation uint64) {
	b := bar{id: id, incarnation: incarnation}
	if slices.Contains(n.bars, b) {
		return
	}
	n.bars = append(n.bars, b)
	if len(n.bars) > maxBars {
		n.bars = slices.Delete(n.bars, 0, 1)
	}
}

func (n *Node) isBarred(id domain.InstanceID, incarnation uint64) bool {
	return slices.Contains(n.bars, bar{id: id, incarnation: incarnation})
}

func (n *Node) setBarred(m *member) {
	n.noteBar(m.ID, m.Incarnation)
	m.Barred = true
	n.hashes.stale = true
	if m.State.Gone() {
		return
	}
	n.enqueue(fullStatement(m))
	n.change(Change{Kind: ChangeBarred, Member: m.Member})
}

// selfBarred notes once that this incarnation is barred.
func (n *Node) selfBarred() {
	if n.self.barred {
		return
	}
	n.self.barred = true
	n.hashes.stale = true
	n.change(Change{Kind: ChangeSelfBarred, Member: n.Self()})
}
