package membership

// send sends a message to a member.
func (n *Node) send(m *member, msg Message) {
	msg.To = m.ID
	n.sendTo(m.Address, m, msg)
}

// sendTo adds the digest and queued updates to a message and sends it to an
// address. The member may be nil.
func (n *Node) sendTo(address string, m *member, msg Message) {
	msg.From = n.self.record.ID
	msg.Digest = n.digest()
	n.fill(&msg, m)
	if n.versionSends > 0 {
		n.versionSends--
	}
	n.out.Datagrams = append(n.out.Datagrams, Datagram{To: address, Message: msg})
}

// fill adds updates up to the size limit. An update that declares the receiver
// suspect or dead goes first, so that it can refute it.
func (n *Node) fill(msg *Message, m *member) {
	size := msg.size()
	add := func(u Update) bool {
		if size+u.size() > n.cfg.MaxMessageBytes {
			return false
		}
		size += u.size()
		msg.Updates = append(msg.Updates, u)
		return true
	}
	if m != nil && (m.State == StateSuspect || m.State == StateDead) {
		add(suspicionUpdate(m))
	}
	for _, b := range n.queue {
		if m != nil && b.update.Record.ID == m.ID && b.update.State != StateAlive {
			continue // already added above
		}
		if add(b.update) {
			b.sends++
		}
	}
	n.trimQueue()
}

func suspicionUpdate(m *member) Update {
	u := memberUpdate(m)
	if len(m.reporters) > 0 {
		u.Reporter = m.reporters[0]
	}
	return u
}

// memberUpdate returns an update about a member without its record.
func memberUpdate(m *member) Update {
	return Update{
		Record:         Record{ID: m.ID, Incarnation: m.Incarnation},
		State:          m.State,
		Refutation:     m.Refutation,
		AcksSuppressed: m.AcksSuppressed,
	}
}

// fullMemberUpdate returns an update that includes the member's record, so that
// a receiver that does not know the member can add it.
func fullMemberUpdate(m *member) Update {
	u := memberUpdate(m)
	u.Record = m.Record
	u.Full = true
	return u
}
