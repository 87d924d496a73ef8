package membership

import (
	"math"
	"time"
)

// Config sets the periods and bounds of a Node. Default returns the values
// that the daemon runs with.
type Config struct {
	Self Record
	// Seeds are the addresses to join by. The own address is ignored.
	Seeds []string
	// Seed seeds the choice of members.
	Seed uint64

	// Period is the time between two rounds of pings.
	Period time.Duration
	// Fanout is the number of members pinged in a round.
	Fanout int
	// RelayFanout is the number of members asked to ping a silent one.
	RelayFanout int
	// PingTimeout is the time after which a ping is repeated and relays are asked.
	PingTimeout time.Duration
	// ProbeTimeout is the time after which a probe failed.
	ProbeTimeout time.Duration
	// SuspicionMin is the shortest suspicion in a cell of up to ten instances.
	SuspicionMin time.Duration
	// SuspicionFactor times the shortest suspicion is the longest, which
	// holds as long as one accuser stands alone.
	SuspicionFactor float64
	// Accusers is the number of further accusers that shorten a suspicion to its minimum.
	Accusers int
	// IsolationHold is the time for which an instance whose pings all stay
	// unanswered accuses nobody. After that time it assumes that the others died.
	IsolationHold time.Duration
	// PauseGap is the time between two inputs from which on this process counts as paused.
	PauseGap time.Duration
	// MaxHealthScore bounds the local health score. Timeouts grow by one times for each point.
	MaxHealthScore int

	// GossipInterval is the time between two sends of undelivered changes.
	GossipInterval time.Duration
	// GossipFanout is the number of members that each send goes to.
	GossipFanout int
	// RetransmitFactor times the logarithm of the member count bounds the
	// sends of one change by one instance.
	RetransmitFactor int

	// RevivePeriod is the time between pings of members that are dead without proof.
	RevivePeriod time.Duration
	// SeedPeriod is the time between attempts to reach a seed that is no member.
	SeedPeriod time.Duration
	// JoinRetry is the time between attempts to join.
	JoinRetry time.Duration
	// JoinTimeout is the time after which an instance that no seed answered works alone.
	JoinTimeout time.Duration
	// SyncDelay is the time for which another view differs before the lists are compared.
	SyncDelay time.Duration
	// SyncInterval is the shortest time between two comparisons that this instance starts.
	SyncInterval time.Duration
	// TombstoneTTL is the time for which members that left or provably ended are remembered.
	TombstoneTTL time.Duration

	// OutageAfter is the age of the latest store confirmation from which on
	// all known instances are pinged.
	OutageAfter time.Duration
	// OutagePeriod is the time between pings of a member that answers, during an outage.
	OutagePeriod time.Duration
	// OutageRetry is the time between pings of a member that does not answer, during an outage.
	OutageRetry time.Duration

	// MessageBytes bounds the estimated size of a message.
	MessageBytes int
}

// Default returns the configuration of the daemon.
func Default(self Record, seeds []string, seed uint64) Config {
	return Config{
		Self:  self,
		Seeds: seeds,
		Seed:  seed,

		Period:      time.Second,
		Fanout:      3,
		RelayFanout: 3,
		// Seven round trips between regions (40 ms).
		PingTimeout:     300 * time.Millisecond,
		ProbeTimeout:    time.Second,
		SuspicionMin:    2 * time.Second,
		SuspicionFactor: 2,
		Accusers:        3,
		IsolationHold:   20 * time.Second,
		PauseGap:        time.Second,
		MaxHealthScore:  8,

		GossipInterval:   200 * time.Millisecond,
		GossipFanout:     3,
		RetransmitFactor: 3,

		RevivePeriod: 2 * time.Second,
		SeedPeriod:   5 * time.Second,
		JoinRetry:    500 * time.Millisecond,
		JoinTimeout:  5 * time.Second,
		SyncDelay:    2 * time.Second,
		SyncInterval: 2 * time.Second,
		TombstoneTTL: 10 * time.Minute,

		// A long poll of 2 s confirms its beginning, so the age of a
		// confirmation reaches 4 s while the store works.
		OutageAfter: 4500 * time.Millisecond,
		// Two seconds took 18.7 KB a second at 40 instances, most of the 21 KB of all control.
		OutagePeriod: 3 * time.Second,
		// At 20 % loss in each direction and 40 instances, ten attempts leave
		// 1 in 700 pings of all members incomplete, within the 3.5 s that
		// remain of the 8 s bound.
		OutageRetry: 300 * time.Millisecond,

		// The datagram holds 1,200 bytes with its envelope.
		MessageBytes: 1100,
	}
}

// retransmitLimit is the number of sends of one change among the count of members.
func (c *Config) retransmitLimit(members int) int {
	return c.RetransmitFactor * int(math.Ceil(math.Log2(float64(members+2))))
}

// suspicionMin grows with the logarithm of the member count, like the time
// that a refutation takes to spread.
func (c *Config) suspicionMin(members int) time.Duration {
	factor := max(1, math.Log10(float64(members+1)))
	return time.Duration(float64(c.SuspicionMin) * factor)
}

// suspicionTimeout shrinks from the maximum to the minimum as further accusers appear.
func (c *Config) suspicionTimeout(members, accusers int) time.Duration {
	shortest := c.suspicionMin(members)
	// The member itself and this instance cannot be further accusers.
	possible := min(c.Accusers, members-2)
	if possible <= 0 {
		return shortest
	}
	longest := time.Duration(float64(shortest) * c.SuspicionFactor)
	share := math.Log(float64(accusers)) / math.Log(float64(possible+1))
	timeout := longest - time.Duration(share*float64(longest-shortest))
	return max(shortest, timeout)
}
