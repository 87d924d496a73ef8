package membership

import (
	"math"
	"time"
)

// Config holds the intervals and limits of a Node. Default returns the values
// that the daemon runs with.
type Config struct {
	Self Record
	// Seeds are the addresses asked for the member list. The instance's own address is ignored.
	Seeds []string
	// Seed seeds the random choice of members.
	Seed uint64

	// ProbeInterval is the interval between probe rounds.
	ProbeInterval time.Duration
	// ProbeFanout is the number of members probed in a round.
	ProbeFanout int
	// RelayFanout is the number of members asked to ping one that did not respond.
	RelayFanout int
	// PingTimeout is the time after which a ping is repeated, directly and through relays.
	PingTimeout time.Duration
	// ProbeTimeout is the time after which a probe has failed.
	ProbeTimeout time.Duration
	// SuspicionMin is the shortest suspicion timeout in a cell of up to ten instances.
	SuspicionMin time.Duration
	// SuspicionFactor is the ratio of the longest to the shortest suspicion
	// timeout. The longest applies while a single instance reports the suspicion.
	SuspicionFactor float64
	// MaxReporters is the number of further reporters that shorten the suspicion
	// timeout to its minimum.
	MaxReporters int
	// IsolationGrace is the time for which an instance that gets no response from
	// any member reports no suspicions. After it, the others are assumed to have died.
	IsolationGrace time.Duration
	// PauseThreshold is the gap between two inputs above which this process counts as paused.
	PauseThreshold time.Duration
	// MaxHealthScore bounds the local health score. Each point adds one base timeout
	// to the probe timeouts.
	MaxHealthScore int

	// GossipInterval is the interval between gossip messages while updates are queued.
	GossipInterval time.Duration
	// GossipFanout is the number of members that gossip is sent to each time.
	GossipFanout int
	// RetransmitFactor times the logarithm of the member count bounds how often
	// one instance sends the same update.
	RetransmitFactor int

	// DeadPingInterval is the interval between pings to members that are declared dead without proof.
	DeadPingInterval time.Duration
	// SeedInterval is the interval between attempts to reach a seed that is not a member.
	SeedInterval time.Duration
	// JoinRetryInterval is the interval between attempts to join.
	JoinRetryInterval time.Duration
	// JoinTimeout is the time after which an instance without a response from any seed
	// starts alone.
	JoinTimeout time.Duration
	// SyncDelay is the time for which a member's view must differ before the
	// member lists are synchronized.
	SyncDelay time.Duration
	// SyncInterval is the minimum interval between synchronizations that this instance starts.
	SyncInterval time.Duration
	// TombstoneTTL is the time for which members that left or are proven dead are kept.
	TombstoneTTL time.Duration

	// OutageThreshold is the age of the latest store confirmation above which the
	// store counts as unreachable and all known instances are pinged.
	OutageThreshold time.Duration
	// OutagePingInterval is the interval between pings to a responsive member during an outage.
	OutagePingInterval time.Duration
	// OutageRetryInterval is the interval between pings to an unresponsive member during an outage.
	OutageRetryInterval time.Duration

	// MaxMessageBytes is the maximum estimated size of a message.
	MaxMessageBytes int
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig(self Record, seeds []string, seed uint64) Config {
	return Config{
		Self:  self,
		Seeds: seeds,
		Seed:  seed,

		ProbeInterval: time.Second,
		ProbeFanout:   3,
		RelayFanout:   3,
		// Seven round trips between regions (40 ms).
		PingTimeout:     300 * time.Millisecond,
		ProbeTimeout:    time.Second,
		SuspicionMin:    2 * time.Second,
		SuspicionFactor: 2,
		MaxReporters:    3,
		IsolationGrace:  20 * time.Second,
		PauseThreshold:  time.Second,
		MaxHealthScore:  8,

		GossipInterval:   200 * time.Millisecond,
		GossipFanout:     3,
		RetransmitFactor: 3,

		DeadPingInterval:  2 * time.Second,
		SeedInterval:      5 * time.Second,
		JoinRetryInterval: 500 * time.Millisecond,
		JoinTimeout:       5 * time.Second,
		SyncDelay:         2 * time.Second,
		SyncInterval:      2 * time.Second,
		TombstoneTTL:      10 * time.Minute,

		// A long poll takes 2 s and confirms the state at its start, so the age
		// of a confirmation reaches 4 s while the store is reachable.
		OutageThreshold: 4500 * time.Millisecond,
		// At 2 s the pings took 18.7 KB/s at 40 instances, most of the 21 KB/s of
		// all control traffic.
		OutagePingInterval: 3 * time.Second,
		// Allows ten attempts in the 3.5 s that remain of the 8 s freshness bound.
		// At 20 % loss in each direction and 40 instances, ten attempts fail to
		// reach every member in 1 of 700 rounds.
		OutageRetryInterval: 300 * time.Millisecond,

		// A datagram is limited to 1,200 bytes including its envelope.
		MaxMessageBytes: 1100,
	}
}

// retransmitLimit returns how often one update is sent in a cell of this many members.
func (c *Config) retransmitLimit(members int) int {
	return c.RetransmitFactor * int(math.Ceil(math.Log2(float64(members+2))))
}

// suspicionMin returns the shortest suspicion timeout. It grows with the
// logarithm of the member count, as does the time that a refutation takes to spread.
func (c *Config) suspicionMin(members int) time.Duration {
	factor := max(1, math.Log10(float64(members+1)))
	return time.Duration(float64(c.SuspicionMin) * factor)
}

// suspicionTimeout returns the suspicion timeout, which decreases from the
// maximum to the minimum as more instances report the suspicion.
func (c *Config) suspicionTimeout(members, reporters int) time.Duration {
	shortest := c.suspicionMin(members)
	// Neither the member itself nor this instance can be a further reporter.
	possible := min(c.MaxReporters, members-2)
	if possible <= 0 {
		return shortest
	}
	longest := time.Duration(float64(shortest) * c.SuspicionFactor)
	share := math.Log(float64(reporters)) / math.Log(float64(possible+1))
	timeout := longest - time.Duration(share*float64(longest-shortest))
	return max(shortest, timeout)
}
