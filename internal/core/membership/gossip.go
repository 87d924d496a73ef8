package membership

import (
	"cmp"
	"slices"
)

// broadcast is a queued update and the number of times it was sent.
type broadcast struct {
	update Update
	sends  int
}

// maxQueue bounds the queued updates. Those sent most often are dropped first;
// the synchronization of member lists delivers them.
const maxQueue = 256

// enqueue adds an update and removes a queued one about the same member.
func (n *Node) enqueue(u Update) {
	n.dequeue(&u)
	n.queue = slices.Insert(n.queue, 0, &broadcast{update: u})
	if len(n.queue) > maxQueue {
		n.queue = n.queue[:maxQueue]
	}
}

// dequeue removes a queued update about the same member.
func (n *Node) dequeue(u *Update) {
	n.queue = slices.DeleteFunc(n.queue, func(b *broadcast) bool {
		return b.update.Record.ID == u.Record.ID
	})
}

// trimQueue drops updates that reached the retransmit limit and sorts the rest
// by the number of sends.
func (n *Node) trimQueue() {
	limit := n.cfg.retransmitLimit(len(n.members))
	n.queue = slices.DeleteFunc(n.queue, func(b *broadcast) bool { return b.sends >= limit })
	slices.SortStableFunc(n.queue, func(a, b *broadcast) int { return cmp.Compare(a.sends, b.sends) })
}

// tickGossip sends queued updates to a few random members between probe rounds.
func (n *Node) tickGossip() {
	if n.now.Before(n.nextGossip) || n.AllSent() {
		return
	}
	n.nextGossip = n.now.Add(n.cfg.GossipInterval)
	for _, m := range n.pick(n.cfg.GossipFanout, func(m *member) bool { return m.live() }) {
		n.send(m, Message{Kind: KindGossip})
	}
	if n.countLive() == 0 {
		// There is no receiver. Members that join later get the whole list.
		n.queue = nil
		n.versionSends = 0
	}
}

// pick returns up to count distinct random members that satisfy the condition.
func (n *Node) pick(count int, want func(*member) bool) []*member {
	var candidates []*member
	for _, m := range n.members {
		if want(m) {
			candidates = append(candidates, m)
		}
	}
	n.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// recordVersion records a configuration version and reports a newer one if it
// comes from a member.
func (n *Node) recordVersion(version uint64, from *member) {
	if version <= n.newestVersion {
		return
	}
	n.newestVersion = version
	n.versionSends = n.cfg.retransmitLimit(len(n.members))
	change := Change{Kind: ChangeVersion, Version: version}
	if from != nil {
		change.Member = from.Member
		n.emitChange(change)
	}
}
