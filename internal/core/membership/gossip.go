package membership

import (
	"cmp"
	"slices"
)

// broadcast is an update that is still to be sent.
type broadcast struct {
	update Update
	sends  int
}

// maxQueue bounds the updates that wait. The ones sent most often are dropped
// first; the comparison of lists delivers what was dropped.
const maxQueue = 256

// enqueue replaces what waits about the same member.
func (n *Node) enqueue(u Update) {
	n.dequeue(&u)
	n.queue = slices.Insert(n.queue, 0, &broadcast{update: u})
	if len(n.queue) > maxQueue {
		n.queue = n.queue[:maxQueue]
	}
}

// dequeue removes what waits about the member.
func (n *Node) dequeue(u *Update) {
	n.queue = slices.DeleteFunc(n.queue, func(b *broadcast) bool {
		return b.update.Record.ID == u.Record.ID
	})
}

// trimQueue drops updates that were sent often enough and puts those sent
// least often first.
func (n *Node) trimQueue() {
	limit := n.cfg.retransmitLimit(len(n.members))
	n.queue = slices.DeleteFunc(n.queue, func(b *broadcast) bool { return b.sends >= limit })
	slices.SortStableFunc(n.queue, func(a, b *broadcast) int { return cmp.Compare(a.sends, b.sends) })
}

// tickGossip sends waiting changes to a few members without waiting for the next round.
func (n *Node) tickGossip() {
	if n.now.Before(n.nextGossip) || n.Settled() {
		return
	}
	n.nextGossip = n.now.Add(n.cfg.GossipInterval)
	for _, m := range n.pick(n.cfg.GossipFanout, func(m *member) bool { return m.live() }) {
		n.send(m, Message{Kind: KindGossip})
	}
	if n.countLive() == 0 {
		// Nobody is there to be told; members that join later get the list.
		n.queue = nil
		n.versionSends = 0
	}
}

// pick returns up to count distinct members that satisfy the condition, at random.
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

// hearVersion notes a configuration version and who knows it.
func (n *Node) hearVersion(version uint64, from *member) {
	if version <= n.newestVersion {
		return
	}
	n.newestVersion = version
	n.versionSends = n.cfg.retransmitLimit(len(n.members))
	change := Change{Kind: ChangeVersion, Version: version}
	if from != nil {
		change.Member = from.Member
		n.change(change)
	}
}
