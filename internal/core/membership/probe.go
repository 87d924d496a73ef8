package membership

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

// pingRetention is the time for which a ping is kept to match a late acknowledgement.
const pingRetention = 5 * time.Second

// maxSuspectProbes bounds the suspects probed in a round in addition to ProbeFanout.
const maxSuspectProbes = 2

// ping is a sent ping that has not been acknowledged.
type ping struct {
	seq         uint32
	target      domain.InstanceID
	incarnation uint64
	sentAt      time.Time
}

// probe is an attempt to verify that a member is alive, directly and then through relays.
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
// renews the authority of section 5.4 of the design, further members in turn,
// and up to maxSuspectProbes suspects.
func (n *Node) tickRound() {
	if n.now.Before(n.nextRound) {
		return
	}
	n.nextRound = n.now.Add(n.cfg.ProbeInterval)
	var chosen []*member
	inRegion := func(m *member) bool {
		return m.live() && m.Location.Region == n.self.record.Location.Region
	}
	chosen = n.choose(chosen, &n.regionOrder, 1, inRegion)
	chosen = n.choose(chosen, &n.probeOrder, n.cfg.ProbeFanout-len(chosen), (*member).live)
	chosen = append(chosen, n.pick(maxSuspectProbes, func(m *member) bool {
		return m.State == StateSuspect && !slices.Contains(chosen, m)
	})...)
	for _, m := range chosen {
		n.startProbe(m)
	}
	n.pingDeadMember()
}

// choose appends up to count members in the order of a shuffled list, which is
// rebuilt when it is empty. Each member is thus probed within a bounded time.
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

// pingDeadMember pings one member that is declared dead without proof. The ping
// carries its state, so that it can refute it if it is alive.
func (n *Node) pingDeadMember() {
	if n.now.Before(n.nextRevive) {
		return
	}
	n.nextRevive = n.now.Add(n.cfg.DeadPingInterval)
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

// sendPing sends a ping and returns its sequence number. The time is recorded
// before the ping is sent.
func (n *Node) sendPing(m *member) uint32 {
	n.seq++
	n.pings = append(n.pings, ping{seq: n.seq, target: m.ID, incarnation: m.Incarnation, sentAt: n.now})
	n.send(m, Message{Kind: KindPing, Seq: n.seq})
	return n.seq
}

func (n *Node) tickPings() {
	n.pings = slices.DeleteFunc(n.pings, func(p ping) bool { return n.now.Sub(p.sentAt) > pingRetention })
	n.tickRelayedPings()
}

func (n *Node) tickProbes() {
	timeoutFactor := time.Duration(1 + n.health)
	for _, p := range slices.Clone(n.probes) {
		m := n.find(p.target)
		if m == nil || !m.live() || m.Incarnation != p.incarnation {
			n.endProbe(p)
			continue
		}
		elapsed := n.now.Sub(p.started)
		if elapsed >= n.cfg.ProbeTimeout*timeoutFactor {
			n.probeFailed(p, m)
			continue
		}
		if !p.repeated && elapsed >= n.cfg.PingTimeout*timeoutFactor {
			n.repeatProbe(p, m)
		}
	}
}

// repeatProbe pings the member again and asks other members to ping it.
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

// probeFailed marks the member as suspect, unless this instance itself may be
// isolated: it got no response from any member since the probe started.
func (n *Node) probeFailed(p *probe, m *member) {
	n.endProbe(p)
	if p.nacks < p.asked {
		// If a relay did not respond either, this instance or its network may be at fault.
		n.addHealth(1)
	}
	if n.now.Before(n.graceUntil) {
		return
	}
	if n.lastResponseAt.Before(p.started) && n.hasOtherLive(m) && n.now.Sub(n.lastResponseAt) < n.cfg.IsolationGrace {
		return
	}
	n.suspect(m)
}

func (n *Node) endProbe(p *probe) {
	n.probes = slices.DeleteFunc(n.probes, func(q *probe) bool { return q == p })
}

// hasOtherLive reports whether there is a live member other than m.
func (n *Node) hasOtherLive(m *member) bool {
	return slices.ContainsFunc(n.members, func(w *member) bool { return w != m && w.live() })
}

// matchPing returns and removes the ping that a message responds to.
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

// recordAlive records that a member responded to a message sent at the given
// time. It ends probes and a suspicion that are not newer.
func (n *Node) recordAlive(m *member, sentAt time.Time) {
	n.lastResponseAt = n.now
	if sentAt.After(m.lastAliveAt) {
		m.lastAliveAt = sentAt
	}
	for _, p := range slices.Clone(n.probes) {
		if p.target == m.ID && !sentAt.Before(p.started) {
			n.endProbe(p)
		}
	}
	if m.State == StateSuspect && !sentAt.Before(m.suspectSince) {
		n.setState(m, StateAlive, m.Refutation)
		u := memberUpdate(m)
		n.dequeue(&u)
	}
}
