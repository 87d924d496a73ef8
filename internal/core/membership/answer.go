package membership

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// maxRelayedPings bounds the pings in flight on behalf of other instances.
const maxRelayedPings = 64

// relayedPing is a ping sent on behalf of another instance.
type relayedPing struct {
	seq         uint32
	target      domain.InstanceID
	requester   string
	requesterID domain.InstanceID
	requestSeq  uint32
	started     time.Time
	nacked      bool
}

func (n *Node) receivePing(from string, msg *Message, sender *member) {
	if n.acksSuppressed(msg.From, msg.Digest.Incarnation) {
		n.sendTo(from, sender, Message{Kind: KindAckSuppressed, Seq: msg.Seq, To: msg.From})
		return
	}
	known := n.find(msg.From)
	if known != nil && sender == nil {
		// The sender is an earlier process, or one that left or is proven dead.
		n.sendTo(from, nil, Message{Kind: KindGossip, To: msg.From, Updates: []Update{memberUpdate(known)}})
		return
	}
	n.sendTo(from, sender, Message{Kind: KindAck, Seq: msg.Seq, To: msg.From})
}

// sendOwnRecord sends the record of this instance to an address.
func (n *Node) sendOwnRecord(address string, to domain.InstanceID) {
	n.sendTo(address, nil, Message{Kind: KindGossip, To: to, Updates: []Update{n.selfUpdate()}})
}

func (n *Node) receiveAck(msg *Message, sender *member) {
	if sender == nil {
		return
	}
	p, found := n.matchPing(msg)
	if !found {
		return
	}
	n.creditPromptAck(sender, p.sentAt)
	n.recordAlive(sender, p.sentAt)
	n.recordAck(sender, p.sentAt, &msg.Digest)
	n.finishRelayedPings(p.seq, KindRelayedAck)
}

// creditPromptAck improves the health score after an acknowledgement within the
// first timeout.
func (n *Node) creditPromptAck(m *member, sentAt time.Time) {
	running := slices.ContainsFunc(n.probes, func(p *probe) bool {
		return p.target == m.ID && !p.repeated && !sentAt.Before(p.started)
	})
	if running {
		n.addHealth(-1)
	}
}

// receiveAckSuppressed records that the sender is alive and that this incarnation
// gets no acknowledgements. It confirms nothing else.
func (n *Node) receiveAckSuppressed(msg *Message, sender *member) {
	if sender == nil {
		return
	}
	p, found := n.matchPing(msg)
	if !found {
		return
	}
	n.recordAlive(sender, p.sentAt)
	n.recordSelfSuppressed()
}

func (n *Node) receivePingRequest(from string, msg *Message, sender *member) {
	target := n.find(msg.Target)
	if sender == nil || target == nil || target.State.Departed() || len(n.relayedPings) >= maxRelayedPings {
		n.sendTo(from, sender, Message{Kind: KindNack, Seq: msg.Seq, To: msg.From, Target: msg.Target})
		return
	}
	n.relayedPings = append(n.relayedPings, &relayedPing{
		seq:         n.sendPing(target),
		target:      msg.Target,
		requester:   from,
		requesterID: msg.From,
		requestSeq:  msg.Seq,
		started:     n.now,
	})
}

// tickRelayedPings reports targets that have not responded in time and drops old requests.
func (n *Node) tickRelayedPings() {
	for _, r := range n.relayedPings {
		if !r.nacked && n.now.Sub(r.started) >= n.cfg.PingTimeout {
			r.nacked = true
			n.sendRelayResult(r, KindNack)
		}
	}
	n.relayedPings = slices.DeleteFunc(n.relayedPings, func(r *relayedPing) bool { return n.now.Sub(r.started) > pingRetention })
}

func (n *Node) finishRelayedPings(seq uint32, kind Kind) {
	for _, r := range n.relayedPings {
		if r.seq == seq {
			n.sendRelayResult(r, kind)
		}
	}
	n.relayedPings = slices.DeleteFunc(n.relayedPings, func(r *relayedPing) bool { return r.seq == seq })
}

func (n *Node) sendRelayResult(r *relayedPing, kind Kind) {
	n.sendTo(r.requester, n.find(r.requesterID), Message{Kind: kind, Seq: r.requestSeq, To: r.requesterID, Target: r.target})
}

func (n *Node) requestedProbe(msg *Message) *probe {
	i := slices.IndexFunc(n.probes, func(p *probe) bool {
		return p.asked > 0 && p.requestSeq == msg.Seq && p.target == msg.Target
	})
	if i < 0 {
		return nil
	}
	return n.probes[i]
}

func (n *Node) receiveRelayedAck(msg *Message) {
	p := n.requestedProbe(msg)
	if p == nil {
		return
	}
	if m := n.find(p.target); m != nil && m.Incarnation == p.incarnation {
		n.recordAlive(m, p.started)
	}
}

func (n *Node) receiveNack(msg *Message) {
	if p := n.requestedProbe(msg); p != nil {
		p.nacks++
		n.lastResponseAt = n.now
	}
}
