package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// merge applies an update that some instance sent.
func (n *Node) merge(u *Update) {
	if u.Record.ID == n.self.record.ID {
		n.mergeSelf(u)
		return
	}
	if u.Barred {
		n.noteBar(u.Record.ID, u.Record.Incarnation)
	}
	m := n.find(u.Record.ID)
	switch {
	case m == nil:
		n.mergeUnknown(u)
	case u.Record.Incarnation < m.Incarnation:
		return
	case u.Record.Incarnation > m.Incarnation:
		n.mergeIncarnation(m, u)
	default:
		n.mergeKnown(m, u)
	}
}

// mergeSelf refutes what others believe of this process.
func (n *Node) mergeSelf(u *Update) {
	if u.Record.Incarnation > n.self.record.Incarnation {
		// A later process has the ID, or the clock went back between two starts.
		n.supersede()
		return
	}
	if u.Record.Incarnation < n.self.record.Incarnation {
		return
	}
	if u.Barred && !n.self.barred {
		n.selfBarred()
	}
	switch u.State {
	case StateProven:
		n.supersede()
	case StateSuspect, StateDead:
		n.refute(u.Refutation)
	case StateLeft:
		if n.self.state != StateLeft {
			n.refute(u.Refutation)
		}
	}
}

func (n *Node) refute(refutation uint32) {
	if refutation < n.self.refutation {
		return
	}
	n.self.refutation = refutation + 1
	n.addHealth(1)
	n.broadcastSelf()
}

// mergeUnknown adds a member. A short update does not tell its address, so the
// comparison of lists has to deliver it.
func (n *Node) mergeUnknown(u *Update) {
	if !u.Full && !u.State.Gone() {
		return
	}
	m := &member{Member: Member{Record: u.Record, State: u.State, Refutation: u.Refutation, Barred: u.Barred}}
	n.insert(m)
	n.started(m, u)
	n.replaceAddress(m)
	if m.State.Gone() {
		m.goneAt = n.now
		n.enqueue(statement(m))
		return
	}
	n.enqueue(fullStatement(m))
	n.change(Change{Kind: ChangeJoined, Member: m.Member})
}

// mergeIncarnation replaces a process by its successor, which proves that the
// earlier process ended.
func (n *Node) mergeIncarnation(m *member, u *Update) {
	if !u.Full && !u.State.Gone() {
		return
	}
	old := m.Incarnation
	*m = member{Member: Member{Record: u.Record, State: u.State, Refutation: u.Refutation, Barred: u.Barred}}
	n.started(m, u)
	n.replaceAddress(m)
	if m.State.Gone() {
		m.goneAt = n.now
		n.enqueue(statement(m))
	} else {
		n.enqueue(fullStatement(m))
	}
	n.change(Change{Kind: ChangeJoined, Member: m.Member, ReplacedIncarnation: old})
}

// started sets what holds for a process heard of for the first time.
func (n *Node) started(m *member, u *Update) {
	n.hashes.stale = true
	m.Barred = n.isBarred(m.ID, m.Incarnation)
	if m.State == StateSuspect {
		m.suspectSince = n.now
		m.accusers = []domain.InstanceID{u.Accuser}
	}
}

// replaceAddress declares an earlier process of another ID dead if a later one
// has its address. Two processes cannot listen on one address.
func (n *Node) replaceAddress(later *member) {
	if later.State.Gone() || later.Address == "" {
		return
	}
	for _, m := range n.members {
		if m == later || m.Address != later.Address || m.State.Gone() || m.Incarnation >= later.Incarnation {
			continue
		}
		n.setState(m, StateProven, m.Refutation)
		n.enqueue(statement(m))
	}
}

func (n *Node) mergeKnown(m *member, u *Update) {
	if u.Barred && !m.Barred {
		n.setBarred(m)
	}
	if u.Full && u.Record.Revision > m.Revision {
		n.adoptRecord(m, u.Record)
	}
	if m.State == StateProven {
		return
	}
	if u.State.Gone() {
		if u.State > m.State {
			n.setState(m, u.State, max(u.Refutation, m.Refutation))
			n.enqueue(statement(m))
		}
		return
	}
	if m.State == StateLeft || u.Refutation < m.Refutation {
		return
	}
	switch u.State {
	case StateAlive:
		if u.Refutation > m.Refutation {
			n.setState(m, StateAlive, u.Refutation)
			n.enqueue(fullStatement(m))
		}
	case StateSuspect:
		n.mergeSuspicion(m, u)
	case StateDead:
		n.mergeDeath(m, u)
	}
}

func (n *Node) adoptRecord(m *member, r Record) {
	m.Record = r
	n.hashes.stale = true
	if m.State.Gone() {
		return
	}
	n.enqueue(fullStatement(m))
	n.change(Change{Kind: ChangeRecord, Member: m.Member})
}

// setState changes the state, the refutation and what depends on them.
func (n *Node) setState(m *member, state State, refutation uint32) {
	m.Refutation = refutation
	if m.State == state {
		return
	}
	old := m.State
	m.State = state
	n.hashes.stale = true
	if state != StateSuspect {
		m.accusers = nil
	} else {
		m.suspectSince = n.now
	}
	if state.Gone() {
		m.goneAt = n.now
	}
	n.change(Change{Kind: ChangeState, Member: m.Member, Old: old})
}

// Learn adds a member from the instance registry. It counts as alive until its
// pings fail, and, during a store outage, it is asked for its version.
func (n *Node) Learn(r Record) {
	r.Partitions = boundPartitions(r.Partitions)
	n.merge(&Update{Record: r, Full: true, State: StateAlive})
}

// ProveDead notes a proof that the incarnation ended.
func (n *Node) ProveDead(id domain.InstanceID, incarnation uint64) {
	m := n.find(id)
	if m == nil || m.Incarnation != incarnation || m.State.Gone() {
		return
	}
	n.setState(m, StateProven, m.Refutation)
	n.enqueue(statement(m))
}

// tickTombstones forgets members that are gone for long.
func (n *Node) tickTombstones() {
	n.members = slices.DeleteFunc(n.members, func(m *member) bool {
		return m.State.Gone() && n.now.Sub(m.goneAt) > n.cfg.TombstoneTTL
	})
}
