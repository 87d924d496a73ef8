package membership

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// maxRelays bounds the pings that run for others at once.
const maxRelays = 64

// relayedPing is a ping that runs for another instance.
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
	if n.isBarred(msg.From, msg.Digest.Incarnation) {
		n.sendTo(from, sender, Message{Kind: KindBarred, Seq: msg.Seq, To: msg.From})
		return
	}
	known := n.find(msg.From)
	if known != nil && sender == nil {
		// An earlier process, or one that left or is proven dead.
		n.sendTo(from, nil, Message{Kind: KindGossip, To: msg.From, Updates: []Update{statement(known)}})
		return
	}
	n.sendTo(from, sender, Message{Kind: KindAck, Seq: msg.Seq, To: msg.From})
}

// introduce sends the record of this instance.
func (n *Node) introduce(address string, to domain.InstanceID) {
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
	n.addHealthOnSuccess(sender, p.sentAt)
	n.lives(sender, p.sentAt)
	n.confirm(sender, p.sentAt, &msg.Digest)
	n.answerRelays(p.seq, KindRelayedAck)
}

// addHealthOnSuccess improves the health score for an answer within the first timeout.
func (n *Node) addHealthOnSuccess(m *member, sentAt time.Time) {
	running := slices.ContainsFunc(n.probes, func(p *probe) bool {
		return p.target == m.ID && !p.repeated && !sentAt.Before(p.started)
	})
	if running {
		n.addHealth(-1)
	}
}

// receiveBarred notes that the sender lives. It confirms nothing else.
func (n *Node) receiveBarred(msg *Message, sender *member) {
	if sender == nil {
		return
	}
	p, found := n.matchPing(msg)
	if !found {
		return
	}
	n.lives(sender, p.sentAt)
	n.selfBarred()
}

func (n *Node) receivePingRequest(from string, msg *Message, sender *member) {
	target := n.find(msg.Target)
	if sender == nil || target == nil || target.State.Gone() || len(n.relays) >= maxRelays {
		n.sendTo(from, sender, Message{Kind: KindNack, Seq: msg.Seq, To: msg.From, Target: msg.Target})
		return
	}
	n.relays = append(n.relays, &relayedPing{
		seq:         n.sendPing(target),
		target:      msg.Target,
		requester:   from,
		requesterID: msg.From,
		requestSeq:  msg.Seq,
		started:     n.now,
	})
}

// tickRelays reports targets that are silent, and forgets old requests.
func (n *Node) tickRelays() {
	for _, r := range n.relays {
		if !r.nacked && n.now.Sub(r.started) >= n.cfg.PingTimeout {
			r.nacked = true
			n.answerRelay(r, KindNack)
		}
	}
	n.relays = slices.DeleteFunc(n.relays, func(r *relayedPing) bool { return n.now.Sub(r.started) > pingMemory })
}

func (n *Node) answerRelays(seq uint32, kind Kind) {
	for _, r := range n.relays {
		if r.seq == seq {
			n.answerRelay(r, kind)
		}
	}
	n.relays = slices.DeleteFunc(n.relays, func(r *relayedPing) bool { return r.seq == seq })
}

func (n *Node) answerRelay(r *relayedPing, kind Kind) {
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
		n.lives(m, p.started)
	}
}

func (n *Node) receiveNack(msg *Message) {
	if p := n.requestedProbe(msg); p != nil {
		p.nacks++
		n.answeredAt = n.now
	}
}
