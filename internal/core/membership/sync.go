package membership

import "auburnpier/internal/domain"

// maxJoinSeeds bounds the seeds asked in one attempt to join.
const maxJoinSeeds = 8

func (n *Node) otherSeeds() []string {
	var seeds []string
	for _, seed := range n.cfg.Seeds {
		if seed != n.self.record.Address {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// tickJoin asks the seeds for the member list. After joining it keeps asking
// seeds that are not members, so that groups that started separately merge.
func (n *Node) tickJoin() {
	if n.joined {
		n.tickSeeds()
		return
	}
	if n.now.Sub(n.startedAt) >= n.cfg.JoinTimeout {
		n.joined = true
		return
	}
	if n.now.Before(n.nextJoin) {
		return
	}
	n.nextJoin = n.now.Add(n.cfg.JoinRetryInterval)
	seeds := n.otherSeeds()
	n.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(maxJoinSeeds, len(seeds))] {
		n.pull(seed, nil)
	}
}

func (n *Node) tickSeeds() {
	if n.now.Before(n.nextSeed) {
		return
	}
	n.nextSeed = n.now.Add(n.cfg.SeedInterval)
	var absent []string
	for _, seed := range n.otherSeeds() {
		if !n.hasAddress(seed) {
			absent = append(absent, seed)
		}
	}
	if len(absent) > 0 {
		n.pull(absent[n.rng.IntN(len(absent))], nil)
	}
}

func (n *Node) hasAddress(address string) bool {
	for _, m := range n.members {
		if m.Address == address && !m.State.Departed() {
			return true
		}
	}
	return false
}

func (n *Node) maySync() bool {
	return n.lastSync.IsZero() || n.now.Sub(n.lastSync) >= n.cfg.SyncInterval
}

// pull requests the member list and sends the record of this instance.
func (n *Node) pull(address string, m *member) {
	n.lastSync = n.now
	n.seq++
	n.sendPull(address, m, n.seq)
}

func (n *Node) sendPull(address string, m *member, seq uint32) {
	msg := Message{Kind: KindPull, Seq: seq, Updates: []Update{n.selfUpdate()}}
	if m != nil {
		msg.To = m.ID
	}
	n.sendTo(address, m, msg)
}

// pullUnknown requests the member list from a process whose record is not known.
func (n *Node) pullUnknown(from string, msg *Message) {
	if msg.Kind == KindPull || msg.Kind == KindState || !n.maySync() {
		return
	}
	n.pull(from, nil)
}

// receivePull sends the member list. A request with a sequence number is answered
// by one request without, so that both sides end up with both lists.
func (n *Node) receivePull(from string, msg *Message) {
	n.sendState(from, msg.From, msg.Seq)
	if msg.Seq != 0 && msg.Digest.ViewHash != n.viewHash() {
		n.sendPull(from, n.find(msg.From), 0)
	}
}

// sendState sends the member list in as many datagrams as needed.
func (n *Node) sendState(address string, to domain.InstanceID, seq uint32) {
	updates := []Update{n.selfUpdate()}
	for _, m := range n.members {
		if m.State.Departed() {
			updates = append(updates, memberUpdate(m))
			continue
		}
		updates = append(updates, fullMemberUpdate(m))
	}
	for len(updates) > 0 {
		part := Message{Kind: KindState, Seq: seq, From: n.self.record.ID, To: to, Digest: Digest{
			Slots:      n.self.slots,
			Partitions: n.self.record.Partitions,
		}}
		size, taken := part.size(), 0
		for taken < len(updates) && (taken == 0 || size+updates[taken].size() <= n.cfg.MaxMessageBytes) {
			size += updates[taken].size()
			taken++
		}
		part.Updates = updates[:taken:taken]
		updates = updates[taken:]
		part.Last = len(updates) == 0
		n.sendTo(address, nil, part)
	}
}

func (n *Node) receiveState(msg *Message) {
	if msg.Last {
		n.joined = true
	}
}
