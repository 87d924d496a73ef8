package membership

// send addresses a message to a member and fills it with updates.
func (n *Node) send(m *member, msg Message) {
	msg.To = m.ID
	n.sendTo(m.Address, m, msg)
}

// sendTo sends a message to an address. The member may be nil.
func (n *Node) sendTo(address string, m *member, msg Message) {
	msg.From = n.self.record.ID
	msg.Digest = n.digest()
	n.fill(&msg, m)
	if n.versionSends > 0 {
		n.versionSends--
	}
	n.out.Datagrams = append(n.out.Datagrams, Datagram{To: address, Message: msg})
}

// fill adds updates up to the size bound. A member that is believed suspect or
// dead is told so first, so that it can refute.
func (n *Node) fill(msg *Message, m *member) {
	size := msg.size()
	add := func(u Update) bool {
		if size+u.size() > n.cfg.MessageBytes {
			return false
		}
		size += u.size()
		msg.Updates = append(msg.Updates, u)
		return true
	}
	if m != nil && (m.State == StateSuspect || m.State == StateDead) {
		add(accusation(m))
	}
	for _, b := range n.queue {
		if m != nil && b.update.Record.ID == m.ID && b.update.State != StateAlive {
			continue // already told
		}
		if add(b.update) {
			b.sends++
		}
	}
	n.trimQueue()
}

func accusation(m *member) Update {
	u := statement(m)
	if len(m.accusers) > 0 {
		u.Accuser = m.accusers[0]
	}
	return u
}

// statement returns the short update about a member.
func statement(m *member) Update {
	return Update{
		Record:     Record{ID: m.ID, Incarnation: m.Incarnation},
		State:      m.State,
		Refutation: m.Refutation,
		Barred:     m.Barred,
	}
}

// fullStatement returns the update that lets a receiver learn of the member.
func fullStatement(m *member) Update {
	u := statement(m)
	u.Record = m.Record
	u.Full = true
	return u
}
