package membership

import (
	"slices"

	"auburnpier/internal/domain"
)

// accuse makes the member suspect because it did not answer this instance.
func (n *Node) accuse(m *member) {
	u := statement(m)
	u.State = StateSuspect
	u.Accuser = n.self.record.ID
	n.addAccuser(m, &u)
}

// addAccuser starts a suspicion, or adds an accuser to the running one.
func (n *Node) addAccuser(m *member, u *Update) {
	if m.State != StateSuspect || u.Refutation > m.Refutation {
		n.setState(m, StateSuspect, u.Refutation)
		m.suspectSince = n.now
		m.accusers = nil
	}
	if u.Accuser == "" || slices.Contains(m.accusers, u.Accuser) || len(m.accusers) > n.cfg.Accusers {
		return
	}
	m.accusers = append(m.accusers, u.Accuser)
	n.enqueue(shortUpdate(u))
}

// shortUpdate returns the update without what only a full one carries.
func shortUpdate(u *Update) Update {
	short := *u
	short.Full = false
	short.Record = Record{ID: u.Record.ID, Incarnation: u.Record.Incarnation}
	return short
}

// mergeSuspicion handles a suspicion of the current or a later refutation.
func (n *Node) mergeSuspicion(m *member, u *Update) {
	if u.Refutation == m.Refutation && m.State == StateDead {
		return
	}
	if n.now.Sub(m.livedAt) < n.cfg.Period {
		n.passOn(m, u)
		return
	}
	n.addAccuser(m, u)
}

// passOn spreads a suspicion that this instance does not share because the
// member answered it just now. The member has to hear of it to refute it.
func (n *Node) passOn(m *member, u *Update) {
	heard := rumor{refutation: u.Refutation, accuser: u.Accuser}
	if m.passedOn == heard {
		return
	}
	m.passedOn = heard
	n.enqueue(shortUpdate(u))
}

// rumor identifies a suspicion.
type rumor struct {
	refutation uint32
	accuser    domain.InstanceID
}

// mergeDeath handles a declared death of the current or a later refutation. A
// member that answered this instance a short time ago is only suspected, so
// that one instance that hears nobody cannot have all others declared dead.
func (n *Node) mergeDeath(m *member, u *Update) {
	if u.Refutation == m.Refutation && m.State == StateDead {
		return
	}
	if n.now.Sub(m.livedAt) < 2*n.cfg.Period {
		suspicion := *u
		suspicion.State = StateSuspect
		n.mergeSuspicion(m, &suspicion)
		return
	}
	n.setState(m, StateDead, u.Refutation)
	n.enqueue(shortUpdate(u))
}

// tickSuspicions declares suspects dead that did not refute in time.
func (n *Node) tickSuspicions() {
	if n.now.Before(n.graceUntil) {
		return
	}
	count := n.countLive() + 1
	for _, m := range n.members {
		if m.State != StateSuspect {
			continue
		}
		timeout := n.cfg.suspicionTimeout(count, max(1, len(m.accusers)))
		if n.now.Sub(m.suspectSince) < timeout || n.isolated(m) {
			continue
		}
		accuser := n.self.record.ID
		n.setState(m, StateDead, m.Refutation)
		u := statement(m)
		u.Accuser = accuser
		n.enqueue(u)
	}
}

// isolated reports whether no member answers although another than m could.
func (n *Node) isolated(m *member) bool {
	silence := n.now.Sub(n.answeredAt)
	return n.hasWitness(m) && silence > 2*n.cfg.Period && silence < n.cfg.IsolationHold
}
