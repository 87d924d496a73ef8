package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// Node is the membership state of one instance. Each method that takes the
// time must be called with a time that does not go back. A Node is not safe
// for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	now time.Time

	self    selfState
	members []*member // in the order of their IDs, without this instance
	queue   []*broadcast
	pings   []ping
	probes  []*probe
	relays  []*relayedPing
	bars    []bar
	seq     uint32
	health  int

	probeOrder  []domain.InstanceID
	regionOrder []domain.InstanceID

	nextRound  time.Time
	nextGossip time.Time
	nextRevive time.Time
	nextSeed   time.Time
	nextJoin   time.Time
	lastSync   time.Time
	// answeredAt is the receipt of the latest answer to any ping of this instance.
	answeredAt time.Time
	// graceUntil is the time before which a resumed process accuses nobody.
	graceUntil time.Time
	startedAt  time.Time
	joined     bool

	newestVersion uint64
	versionSends  int
	regionAck     time.Time
	relayed       [2]Confirmation
	hashes        hashes

	out Output
}

// selfState is what this instance states about itself.
type selfState struct {
	record       Record
	refutation   uint32
	state        State
	count        uint64
	version      uint64
	storeVersion uint64
	storeBegan   time.Time
	editInFlight bool
	vouches      bool
	slots        []QueueSlots
	barred       bool
	superseded   bool
}

// member is one other instance and what is known of it.
type member struct {
	Member
	// count is that of the newest datagram.
	count uint64
	// livedAt is the sending of the latest message of this instance that the
	// member answered, itself or through a relay.
	livedAt time.Time
	// passedOn is the suspicion that was spread without being shared.
	passedOn rumor
	// suspectSince and accusers describe the running suspicion.
	suspectSince time.Time
	accusers     []domain.InstanceID
	// clearAt is the sending of the latest ping whose acknowledgement stated
	// no edit in flight and the same known members.
	clearAt time.Time
	// outagePingAt is the sending of the latest ping of the outage mode.
	outagePingAt time.Time
	// differsSince is the time since which the member states another view.
	differsSince time.Time
	// goneAt is the time at which the member was first known to be gone.
	goneAt time.Time
}

func (m *member) live() bool { return m.State == StateAlive || m.State == StateSuspect }

// New returns the state of an instance that starts now.
func New(cfg Config, now time.Time) *Node {
	cfg.Self.Partitions = boundPartitions(cfg.Self.Partitions)
	n := &Node{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		now:       now,
		startedAt: now,
	}
	n.self.record = cfg.Self
	n.self.state = StateAlive
	n.joined = len(n.otherSeeds()) == 0
	n.answeredAt = now
	// Instances that start together should not ping in step.
	n.nextRound = now.Add(time.Duration(n.rng.Int64N(int64(cfg.Period))))
	return n
}

// Tick passes the time. It is called several times in the shortest period.
func (n *Node) Tick(now time.Time) Output {
	n.advance(now)
	n.tickJoin()
	n.tickPings()
	n.tickProbes()
	n.tickRound()
	n.tickOutage()
	n.tickSuspicions()
	n.tickGossip()
	n.tickTombstones()
	return n.take()
}

// Receive processes a datagram that came from the address.
func (n *Node) Receive(now time.Time, from string, msg *Message) Output {
	n.advance(now)
	if msg.From == n.self.record.ID {
		n.receiveOwnID(from, msg)
		return n.take()
	}
	for i := range msg.Updates {
		n.merge(&msg.Updates[i])
	}
	sender := n.hearDigest(from, msg)
	if msg.To != "" && msg.To != n.self.record.ID {
		// The address belonged to another instance. The sender learns who has it now.
		if msg.Kind == KindPing {
			n.introduce(from, msg.From)
		}
		return n.take()
	}
	n.dispatch(from, msg, sender)
	return n.take()
}

func (n *Node) dispatch(from string, msg *Message, sender *member) {
	switch msg.Kind {
	case KindPing:
		n.receivePing(from, msg, sender)
	case KindAck:
		n.receiveAck(msg, sender)
	case KindBarred:
		n.receiveBarred(msg, sender)
	case KindPingRequest:
		n.receivePingRequest(from, msg, sender)
	case KindRelayedAck:
		n.receiveRelayedAck(msg)
	case KindNack:
		n.receiveNack(msg)
	case KindPull:
		n.receivePull(from, msg)
	case KindState:
		n.receiveState(msg)
	}
}

func (n *Node) take() Output {
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) change(c Change) {
	n.out.Changes = append(n.out.Changes, c)
}

func compareMember(m *member, id domain.InstanceID) int {
	return strings.Compare(string(m.ID), string(id))
}

func (n *Node) find(id domain.InstanceID) *member {
	i, found := slices.BinarySearchFunc(n.members, id, compareMember)
	if !found {
		return nil
	}
	return n.members[i]
}

func (n *Node) insert(m *member) {
	i, _ := slices.BinarySearchFunc(n.members, m.ID, compareMember)
	n.members = slices.Insert(n.members, i, m)
}

// countLive returns the number of other members that are alive or suspect.
func (n *Node) countLive() int {
	live := 0
	for _, m := range n.members {
		if m.live() {
			live++
		}
	}
	return live
}

// Members returns the other members in the order of their IDs.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		members = append(members, m.Member)
	}
	return members
}

// Self returns this instance as its peers should see it.
func (n *Node) Self() Member {
	return Member{
		Record:        n.self.record,
		State:         n.self.state,
		Refutation:    n.self.refutation,
		Barred:        n.self.barred,
		ConfigVersion: n.self.version,
		KnownVersion:  n.newestVersion,
		EditInFlight:  n.self.editInFlight,
		Slots:         n.self.slots,
	}
}

// Joined reports whether a member list was received, or none is to be had.
func (n *Node) Joined() bool { return n.joined }

// Superseded reports whether another process uses the ID of this instance or
// this incarnation was declared dead with proof. The others no longer
// acknowledge its pings.
func (n *Node) Superseded() bool { return n.self.superseded }

// Health returns the local health score. Zero is healthy.
func (n *Node) Health() int { return n.health }
