package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// suspect marks the member as suspect because it did not respond to this instance.
func (n *Node) suspect(m *member) {
	u := memberUpdate(m)
	u.State = StateSuspect
	u.Reporter = n.self.record.ID
	n.addReporter(m, &u)
}

// addReporter starts a suspicion, or adds a reporter to the current one.
func (n *Node) addReporter(m *member, u *Update) {
	if m.State != StateSuspect || u.Refutation > m.Refutation {
		n.setState(m, StateSuspect, u.Refutation)
		m.suspectSince = n.now
		m.reporters = nil
	}
	if u.Reporter == "" || slices.Contains(m.reporters, u.Reporter) || len(m.reporters) > n.cfg.MaxReporters {
		return
	}
	m.reporters = append(m.reporters, u.Reporter)
	n.enqueue(withoutRecord(u))
}

// withoutRecord returns the update without the fields that only a full one carries.
func withoutRecord(u *Update) Update {
	short := *u
	short.Full = false
	short.Record = Record{ID: u.Record.ID, Incarnation: u.Record.Incarnation}
	return short
}

// mergeSuspicion handles a reported suspicion of the current or a later refutation.
func (n *Node) mergeSuspicion(m *member, u *Update) {
	if u.Refutation == m.Refutation && m.State == StateDead {
		return
	}
	if n.now.Sub(m.lastAliveAt) < n.cfg.ProbeInterval {
		n.forwardSuspicion(m, u)
		return
	}
	n.addReporter(m, u)
}

// forwardSuspicion gossips a suspicion that this instance does not adopt because
// the member has just responded to it. The member has to receive it to refute it.
func (n *Node) forwardSuspicion(m *member, u *Update) {
	id := suspicionID{refutation: u.Refutation, reporter: u.Reporter}
	if m.lastForwarded == id {
		return
	}
	m.lastForwarded = id
	n.enqueue(withoutRecord(u))
}

// suspicionID identifies a reported suspicion of a member.
type suspicionID struct {
	refutation uint32
	reporter   domain.InstanceID
}

// mergeDeath handles a declared death of the current or a later refutation. A
// member that responded to this instance recently is only suspected, so that one
// isolated instance cannot have all others declared dead.
func (n *Node) mergeDeath(m *member, u *Update) {
	if u.Refutation == m.Refutation && m.State == StateDead {
		return
	}
	if n.now.Sub(m.lastAliveAt) < 2*n.cfg.ProbeInterval {
		suspicion := *u
		suspicion.State = StateSuspect
		n.mergeSuspicion(m, &suspicion)
		return
	}
	n.setState(m, StateDead, u.Refutation)
	n.enqueue(withoutRecord(u))
}

// tickSuspicions declares suspects dead that did not refute the suspicion in time.
func (n *Node) tickSuspicions() {
	if n.now.Before(n.graceUntil) {
		return
	}
	count := n.countLive() + 1
	for _, m := range n.members {
		if m.State != StateSuspect {
			continue
		}
		timeout := n.cfg.suspicionTimeout(count, max(1, len(m.reporters)))
		if n.now.Sub(m.suspectSince) < timeout || n.isolated(m) {
			continue
		}
		reporter := n.self.record.ID
		n.setState(m, StateDead, m.Refutation)
		u := memberUpdate(m)
		u.Reporter = reporter
		n.enqueue(u)
	}
}

// isolated reports whether no member has responded recently although one other
// than m is live.
func (n *Node) isolated(m *member) bool {
	silence := n.now.Sub(n.lastResponseAt)
	return n.hasOtherLive(m) && silence > 2*n.cfg.ProbeInterval && silence < n.cfg.IsolationGrace
}
