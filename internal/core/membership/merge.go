package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// merge applies an update received from another instance.
func (n *Node) merge(u *Update) {
	if u.Record.ID == n.self.record.ID {
		n.mergeSelf(u)
		return
	}
	if u.AcksSuppressed {
		n.recordSuppression(u.Record.ID, u.Record.Incarnation)
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

// mergeSelf handles an update about this instance. It refutes a suspicion or a
// declared death.
func (n *Node) mergeSelf(u *Update) {
	if u.Record.Incarnation > n.self.record.Incarnation {
		// A later process uses the ID, or the clock went backwards between two starts.
		n.supersede()
		return
	}
	if u.Record.Incarnation < n.self.record.Incarnation {
		return
	}
	if u.AcksSuppressed && !n.self.acksSuppressed {
		n.recordSelfSuppressed()
	}
	switch u.State {
	case StateProvenDead:
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

// mergeUnknown adds a member. An update without a record lacks the address; in
// that case the synchronization of member lists has to deliver the record.
func (n *Node) mergeUnknown(u *Update) {
	if !u.Full && !u.State.Departed() {
		return
	}
	m := &member{Member: Member{Record: u.Record, State: u.State, Refutation: u.Refutation, AcksSuppressed: u.AcksSuppressed}}
	n.insert(m)
	n.initProcess(m, u)
	n.proveDeadAtAddress(m)
	if m.State.Departed() {
		m.departedAt = n.now
		n.enqueue(memberUpdate(m))
		return
	}
	n.enqueue(fullMemberUpdate(m))
	n.emitChange(Change{Kind: ChangeJoined, Member: m.Member})
}

// mergeIncarnation replaces a process with its successor, which proves that the
// earlier process has terminated.
func (n *Node) mergeIncarnation(m *member, u *Update) {
	if !u.Full && !u.State.Departed() {
		return
	}
	old := m.Incarnation
	*m = member{Member: Member{Record: u.Record, State: u.State, Refutation: u.Refutation, AcksSuppressed: u.AcksSuppressed}}
	n.initProcess(m, u)
	n.proveDeadAtAddress(m)
	if m.State.Departed() {
		m.departedAt = n.now
		n.enqueue(memberUpdate(m))
	} else {
		n.enqueue(fullMemberUpdate(m))
	}
	n.emitChange(Change{Kind: ChangeJoined, Member: m.Member, ReplacedIncarnation: old})
}

// initProcess initializes the state of a newly learned process.
func (n *Node) initProcess(m *member, u *Update) {
	n.hashes.stale = true
	m.AcksSuppressed = n.acksSuppressed(m.ID, m.Incarnation)
	if m.State == StateSuspect {
		m.suspectSince = n.now
		m.reporters = []domain.InstanceID{u.Reporter}
	}
}

// proveDeadAtAddress marks an earlier process with another ID as proven dead if
// a later one has its address: two processes cannot listen on one address.
func (n *Node) proveDeadAtAddress(later *member) {
	if later.State.Departed() || later.Address == "" {
		return
	}
	for _, m := range n.members {
		if m == later || m.Address != later.Address || m.State.Departed() || m.Incarnation >= later.Incarnation {
			continue
		}
		n.setState(m, StateProvenDead, m.Refutation)
		n.enqueue(memberUpdate(m))
	}
}

func (n *Node) mergeKnown(m *member, u *Update) {
	if u.AcksSuppressed && !m.AcksSuppressed {
		n.suppressAcks(m)
	}
	if u.Full && u.Record.Revision > m.Revision {
		n.updateRecord(m, u.Record)
	}
	if m.State == StateProvenDead {
		return
	}
	if u.State.Departed() {
		if u.State > m.State {
			n.setState(m, u.State, max(u.Refutation, m.Refutation))
			n.enqueue(memberUpdate(m))
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
			n.enqueue(fullMemberUpdate(m))
		}
	case StateSuspect:
		n.mergeSuspicion(m, u)
	case StateDead:
		n.mergeDeath(m, u)
	}
}

func (n *Node) updateRecord(m *member, r Record) {
	m.Record = r
	n.publishMember(m, ChangeRecord)
}

// publishMember sends a change of a member on and reports it, unless the member has departed.
func (n *Node) publishMember(m *member, kind ChangeKind) {
	n.hashes.stale = true
	if m.State.Departed() {
		return
	}
	n.enqueue(fullMemberUpdate(m))
	n.emitChange(Change{Kind: kind, Member: m.Member})
}

// setState sets the state and the refutation and updates the fields that depend on them.
func (n *Node) setState(m *member, state State, refutation uint32) {
	m.Refutation = refutation
	if m.State == state {
		return
	}
	old := m.State
	m.State = state
	n.hashes.stale = true
	if state != StateSuspect {
		m.reporters = nil
	} else {
		m.suspectSince = n.now
	}
	if state.Departed() {
		m.departedAt = n.now
	}
	n.emitChange(Change{Kind: ChangeState, Member: m.Member, OldState: old})
}

// AddFromRegistry adds a member from the instance registry. It counts as alive until
// pings to it fail, so that its version is asked for during a store outage.
func (n *Node) AddFromRegistry(r Record) {
	r.Partitions = limitPartitions(r.Partitions)
	n.merge(&Update{Record: r, Full: true, State: StateAlive})
}

// MarkProvenDead records a proof that the incarnation has terminated.
func (n *Node) MarkProvenDead(id domain.InstanceID, incarnation uint64) {
	m := n.find(id)
	if m == nil || m.Incarnation != incarnation || m.State.Departed() {
		return
	}
	n.setState(m, StateProvenDead, m.Refutation)
	n.enqueue(memberUpdate(m))
}

// tickTombstones removes members that left or terminated longer than TombstoneTTL ago.
func (n *Node) tickTombstones() {
	n.members = slices.DeleteFunc(n.members, func(m *member) bool {
		return m.State.Departed() && n.now.Sub(m.departedAt) > n.cfg.TombstoneTTL
	})
}
