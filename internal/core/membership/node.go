package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"auburnpier/internal/domain"
)

// Node is the membership state of one instance. The times passed to its methods
// must not go backwards. A Node is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	now time.Time

	self         selfState
	members      []*member // sorted by ID, without this instance
	queue        []*broadcast
	pings        []ping
	probes       []*probe
	relayedPings []*relayedPing
	suppressed   []process
	seq          uint32
	health       int

	probeOrder  []domain.InstanceID
	regionOrder []domain.InstanceID

	nextRound  time.Time
	nextGossip time.Time
	nextRevive time.Time
	nextSeed   time.Time
	nextJoin   time.Time
	lastSync   time.Time
	// lastResponseAt is the time at which the latest response to any ping of this
	// instance was received.
	lastResponseAt time.Time
	// graceUntil is the time until which a resumed process reports no suspicions.
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

// selfState is the state of this instance that it sends to others.
type selfState struct {
	record     Record
	refutation uint32
	state      State
	// drainingSince is the time from which on datagrams carry the current value of Draining. Those
	// sent at that very time may carry the former value.
	drainingSince     time.Time
	count             uint64
	version           uint64
	storeVersion      uint64
	storeConfirmedAt  time.Time
	editInFlight      bool
	confirmsAuthority bool
	slots             []QueueSlots
	acksSuppressed    bool
	superseded        bool
}

// member is the state of another instance.
type member struct {
	Member
	// lastCount is the Count of the newest datagram.
	lastCount uint64
	// lastAliveAt is the time at which this instance sent the latest message
	// that the member responded to, directly or through a relay.
	lastAliveAt time.Time
	// lastForwarded is the latest suspicion that was forwarded without being adopted.
	lastForwarded suspicionID
	// suspectSince and reporters describe the current suspicion.
	suspectSince time.Time
	reporters    []domain.InstanceID
	// confirmedAt is the time at which the latest ping was sent whose
	// acknowledgement reported no edit in flight and the same known members.
	confirmedAt time.Time
	// outagePingAt is the time at which the latest ping of the outage mode was sent.
	outagePingAt time.Time
	// drainingPingAt is the time at which the latest ping of tickDraining was sent.
	drainingPingAt time.Time
	// viewDiffersSince is the time since which the member reports a different view.
	viewDiffersSince time.Time
	// departedAt is the time at which the member was first known to have left or terminated.
	departedAt time.Time
}

func (m *member) live() bool { return m.State == StateAlive || m.State == StateSuspect }

// New returns the state of an instance that starts now.
func New(cfg Config, now time.Time) *Node {
	cfg.Self.Partitions = limitPartitions(cfg.Self.Partitions)
	n := &Node{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		now:       now,
		startedAt: now,
	}
	n.self.record = cfg.Self
	n.self.state = StateAlive
	n.joined = len(n.otherSeeds()) == 0
	n.lastResponseAt = now
	// Spreads the rounds of instances that start at the same time.
	n.nextRound = now.Add(time.Duration(n.rng.Int64N(int64(cfg.ProbeInterval))))
	return n
}

// Tick runs the periodic work that is due. It must be called several times
// within the shortest configured interval.
func (n *Node) Tick(now time.Time) Output {
	n.advance(now)
	n.tickJoin()
	n.tickPings()
	n.tickProbes()
	n.tickRound()
	n.tickOutage()
	n.tickDraining()
	n.tickSuspicions()
	n.tickGossip()
	n.tickTombstones()
	return n.takeOutput()
}

// Receive processes a datagram received from an address.
func (n *Node) Receive(now time.Time, from string, msg *Message) Output {
	n.advance(now)
	if msg.From == n.self.record.ID {
		n.receiveFromOwnID(from, msg)
		return n.takeOutput()
	}
	for i := range msg.Updates {
		n.merge(&msg.Updates[i])
	}
	sender := n.applyDigest(from, msg)
	if msg.To != "" && msg.To != n.self.record.ID {
		// Another instance used this address before. Tells the sender who uses it now.
		if msg.Kind == KindPing {
			n.sendOwnRecord(from, msg.From)
		}
		return n.takeOutput()
	}
	n.dispatch(from, msg, sender)
	return n.takeOutput()
}

func (n *Node) dispatch(from string, msg *Message, sender *member) {
	switch msg.Kind {
	case KindPing:
		n.receivePing(from, msg, sender)
	case KindAck:
		n.receiveAck(msg, sender)
	case KindAckSuppressed:
		n.receiveAckSuppressed(msg, sender)
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

func (n *Node) takeOutput() Output {
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) emitChange(c Change) {
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

// Members returns the other members, sorted by ID.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		members = append(members, m.Member)
	}
	return members
}

// Self returns the state of this instance as its peers should see it.
func (n *Node) Self() Member {
	return Member{
		Record:         n.self.record,
		State:          n.self.state,
		Refutation:     n.self.refutation,
		AcksSuppressed: n.self.acksSuppressed,
		ConfigVersion:  n.self.version,
		KnownVersion:   n.newestVersion,
		EditInFlight:   n.self.editInFlight,
		Slots:          n.self.slots,
	}
}

// Joined reports whether joining has ended: a member list was received, there
// is no other seed, or no seed responded in time.
func (n *Node) Joined() bool { return n.joined }

// Superseded reports whether another process uses the ID of this instance or
// this incarnation was declared proven dead. The others no longer acknowledge
// its pings.
func (n *Node) Superseded() bool { return n.self.superseded }

// Health returns the local health score, which is zero if the instance is healthy.
func (n *Node) Health() int { return n.health }
