package membership

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// pingMemory is the time for which a late acknowledgement is still matched.
const pingMemory = 5 * time.Second

// maxSuspectProbes bounds the suspects that are probed in a round beyond the fanout.
const maxSuspectProbes = 2

// ping is a ping whose acknowledgement is awaited.
type ping struct {
	seq         uint32
	target      domain.InstanceID
	incarnation uint64
	sentAt      time.Time
}

// probe is the attempt to get a sign of life from a member.
type probe struct {
	target      domain.InstanceID
	incarnation uint64
	started     time.Time
	repeated    bool
	requestSeq  uint32
	asked       int
	nacks       int
}

// tickRound starts the probes of a round: one member of this region, which
// keeps the authority of section 5.4 confirmed, further members in turn, and
// the suspects.
func (n *Node) tickRound() {
	if n.now.Before(n.nextRound) {
		return
	}
	n.nextRound = n.now.Add(n.cfg.Period)
	var chosen []*member
	inRegion := func(m *member) bool {
		return m.live() && m.Location.Region == n.self.record.Location.Region
	}
	chosen = n.choose(chosen, &n.regionOrder, 1, inRegion)
	chosen = n.choose(chosen, &n.probeOrder, n.cfg.Fanout-len(chosen), (*member).live)
	chosen = append(chosen, n.pick(maxSuspectProbes, func(m *member) bool {
		return m.State == StateSuspect && !slices.Contains(chosen, m)
	})...)
	for _, m := range chosen {
		n.startProbe(m)
	}
	n.revive()
}

// choose appends up to count members in the order of a shuffled list, which is
// shuffled again when it is used up. Each member is thus reached in bounded time.
func (n *Node) choose(chosen []*member, order *[]domain.InstanceID, count int, want func(*member) bool) []*member {
	refilled := false
	for count > 0 {
		if len(*order) == 0 {
			if refilled {
				return chosen
			}
			refilled = true
			for _, m := range n.pick(len(n.members), want) {
				*order = append(*order, m.ID)
			}
			continue
		}
		m := n.find((*order)[0])
		*order = (*order)[1:]
		if m == nil || !want(m) || slices.Contains(chosen, m) {
			continue
		}
		chosen = append(chosen, m)
		count--
	}
	return chosen
}

// revive pings one member that is dead without proof, which tells it of its
// state if it lives.
func (n *Node) revive() {
	if n.now.Before(n.nextRevive) {
		return
	}
	n.nextRevive = n.now.Add(n.cfg.RevivePeriod)
	for _, m := range n.pick(1, func(m *member) bool { return m.State == StateDead }) {
		n.sendPing(m)
	}
}

func (n *Node) startProbe(m *member) {
	if slices.ContainsFunc(n.probes, func(p *probe) bool { return p.target == m.ID }) {
		return
	}
	n.probes = append(n.probes, &probe{target: m.ID, incarnation: m.Incarnation, started: n.now})
	n.sendPing(m)
}

// sendPing sends a ping and notes its time before it leaves.
func (n *Node) sendPing(m *member) uint32 {
	n.seq++
	n.pings = append(n.pings, ping{seq: n.seq, target: m.ID, incarnation: m.Incarnation, sentAt: n.now})
	n.send(m, Message{Kind: KindPing, Seq: n.seq})
	return n.seq
}

func (n *Node) tickPings() {
	n.pings = slices.DeleteFunc(n.pings, func(p ping) bool { return n.now.Sub(p.sentAt) > pingMemory })
	n.tickRelays()
}

func (n *Node) tickProbes() {
	patience := time.Duration(1 + n.health)
	for _, p := range slices.Clone(n.probes) {
		m := n.find(p.target)
		if m == nil || !m.live() || m.Incarnation != p.incarnation {
			n.endProbe(p)
			continue
		}
		elapsed := n.now.Sub(p.started)
		if elapsed >= n.cfg.ProbeTimeout*patience {
			n.probeFailed(p, m)
			continue
		}
		if !p.repeated && elapsed >= n.cfg.PingTimeout*patience {
			n.repeatProbe(p, m)
		}
	}
}

// repeatProbe pings again and asks relays to ping as well.
func (n *Node) repeatProbe(p *probe, m *member) {
	p.repeated = true
	n.sendPing(m)
	n.seq++
	p.requestSeq = n.seq
	relays := n.pick(n.cfg.RelayFanout, func(r *member) bool { return r.State == StateAlive && r != m })
	for _, r := range relays {
		n.send(r, Message{Kind: KindPingRequest, Seq: p.requestSeq, Target: m.ID})
	}
	p.asked = len(relays)
}

// probeFailed accuses the member, unless nothing shows that this instance can
// hear anyone.
func (n *Node) probeFailed(p *probe, m *member) {
	n.endProbe(p)
	if p.nacks < p.asked {
		// A relay that is silent as well points at this instance or its network.
		n.addHealth(1)
	}
	if n.now.Before(n.graceUntil) {
		return
	}
	if n.answeredAt.Before(p.started) && n.hasWitness(m) && n.now.Sub(n.answeredAt) < n.cfg.IsolationHold {
		return
	}
	n.accuse(m)
}

func (n *Node) endProbe(p *probe) {
	n.probes = slices.DeleteFunc(n.probes, func(q *probe) bool { return q == p })
}

// hasWitness reports whether another member than m could answer.
func (n *Node) hasWitness(m *member) bool {
	return slices.ContainsFunc(n.members, func(w *member) bool { return w != m && w.live() })
}

// matchPing returns the awaited ping that a message answers, and removes it.
func (n *Node) matchPing(msg *Message) (ping, bool) {
	i := slices.IndexFunc(n.pings, func(p ping) bool {
		return p.seq == msg.Seq && p.target == msg.From && p.incarnation == msg.Digest.Incarnation
	})
	if i < 0 {
		return ping{}, false
	}
	p := n.pings[i]
	n.pings = slices.Delete(n.pings, i, i+1)
	return p, true
}

// lives notes a sign of life that answers something sent at the time.
func (n *Node) lives(m *member, sentAt time.Time) {
	n.answeredAt = n.now
	if sentAt.After(m.livedAt) {
		m.livedAt = sentAt
	}
	for _, p := range slices.Clone(n.probes) {
		if p.target == m.ID && !sentAt.Before(p.started) {
			n.endProbe(p)
		}
	}
	if m.State == StateSuspect && !sentAt.Before(m.suspectSince) {
		n.setState(m, StateAlive, m.Refutation)
		u := statement(m)
		n.dequeue(&u)
	}
}
