package owner

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// Figures of looks through other instances.
const (
	// workersPerRelay is how many workers one instance looks at. A look costs up
	// to 1 ms of processor time in a small VM, so this is about 5 % of a core.
	workersPerRelay = 50
	// lookGatherMS collects the looks of one instance into a call.
	lookGatherMS = 10
	// rejoinMS is the time left of a group's round under which a worker waits for
	// the next round instead of being looked at within this one.
	rejoinMS = 100
	// relaySlack is what looks through an instance may take beyond their wait.
	relaySlack = 700 * time.Millisecond
	// relayPauseMS is how long an instance that left looks unanswered is not used for looks.
	relayPauseMS = 5000
	// directMS is how long a worker that an instance could not reach is looked at
	// from here, where that succeeds.
	directMS = 10_000
	// recheckMS is the same for the workers of an instance that left looks unanswered.
	recheckMS = 500
	// maxProbes bounds the looks from here at workers of a large fleet that have
	// not answered the last one: each may cost a connection and its whole bound.
	maxProbes = 64
	// directCycle is below the time after which a silent worker gets no new work,
	// and minDirectWait bounds the looks a second.
	directCycle   = 1600 * time.Millisecond
	minDirectWait = 100 * time.Millisecond
	// arrangeMS is the time between two divisions of the workers, within which an
	// instance that greets anew is used.
	arrangeMS = 250
)

// lookGroup is the part of the workers that one instance looks at, and sends
// orders to, for the owner. Most looks are made in rounds: they go out together
// and end together. A worker that answers early, because a task ended, is
// looked at again until the round ends.
type lookGroup struct {
	hello port.InstanceInfo
	relay port.WorkerRelay
	// inRound tells that a round is under way, and endMS when its waits are over.
	inRound bool
	endMS   int64
	calls   int
	// pausedMS is the time before which the instance is not used.
	pausedMS int64
	next     []port.RelayedPoll
	wait     time.Duration
	// lookedMS is when the last call of looks left.
	lookedMS int64
	// orders are those that the next call takes, and orderedMS is when the last one left.
	orders    []port.RelayedOrder
	orderedMS int64
}

// admit decides whether a look may go out now, and how long it may wait.
func (g *lookGroup) admit(l *look, now int64) (time.Duration, bool) {
	if len(g.next) >= port.MaxRelayedPolls || now-g.lookedMS < lookGatherMS {
		return 0, false
	}
	if !g.inRound {
		return lookWait, true
	}
	left := g.endMS - now
	if !l.reported || left < rejoinMS {
		return 0, false
	}
	return min(lookWait, time.Duration(left)*time.Millisecond), true
}

func (g *lookGroup) add(l port.RelayedPoll) {
	g.next = append(g.next, l)
	g.wait = max(g.wait, l.Request.Wait)
}

// lookGroups divides the workers of a large fleet among other instances. The
// owner's own calls then grow with the ends of tasks, not with the workers.
type lookGroups struct {
	// most is the number of workers up to which the owner looks at all itself.
	most   int
	byHost map[port.InstanceInfo]*lookGroup
	// byZone holds the groups in use by zone, and any those for other zones.
	byZone map[domain.ZoneID][]*lookGroup
	any    []*lookGroup
	// probes counts the looks under way from here at workers that did not answer
	// the one before, and direct the others.
	direct, probes int
}

// admitDirect decides whether a look may be made from here now. Release is
// called on the loop once it has ended. Without a bound, a large fleet whose
// workers are all due at once, as after a takeover, costs more connections than
// the VM has processor time for, and none is answered in time.
func (g *lookGroups) admitDirect(l *look, workers int) (release func(), ok bool) {
	count, most := &g.direct, g.most
	if !l.reported {
		count, most = &g.probes, maxProbes
	}
	if workers > g.most && *count >= most {
		return nil, false
	}
	*count++
	return func() { *count-- }, true
}

// directWait returns how long a look from here may wait. Where the bound on
// looks under way is below the number of workers, waits are shorter, so that
// each worker is still looked at within directCycle.
func (g *lookGroups) directWait(workers int) time.Duration {
	if workers <= g.most {
		return lookWait
	}
	wait := time.Duration(float64(directCycle) * float64(g.most) / float64(workers))
	return min(lookWait, max(wait, minDirectWait))
}

// arrange chooses the instances for the fleet's size. The workers of a zone are
// looked at from that zone, which saves ways between regions, or from any
// instance where the zone has none. Larger VMs come first.
func (g *lookGroups) arrange(workers map[domain.ZoneID]int, own string, known []port.InstanceInfo, relays func(port.InstanceInfo) port.WorkerRelay, now int64) {
	g.any = g.any[:0]
	clear(g.byZone)
	for h, group := range g.byHost {
		if group.calls == 0 && len(group.orders) == 0 && !slices.Contains(known, h) {
			delete(g.byHost, h)
		}
	}
	total := 0
	for _, n := range workers {
		total += n
	}
	if total <= g.most {
		return
	}
	hosts := slices.DeleteFunc(slices.Clone(known), func(h port.InstanceInfo) bool {
		group := g.byHost[h]
		return h.Address == own || group != nil && now < group.pausedMS
	})
	slices.SortFunc(hosts, compareSizes)
	for _, h := range hosts {
		wanted := len(g.any) < relaysFor(total)
		wantedHere := len(g.byZone[h.Zone]) < relaysFor(workers[h.Zone])
		if !wanted && !wantedHere {
			continue
		}
		group, ok := g.byHost[h]
		if !ok {
			group = &lookGroup{hello: h, relay: relays(h)}
			g.byHost[h] = group
		}
		if wanted {
			g.any = append(g.any, group)
		}
		if wantedHere {
			g.byZone[h.Zone] = append(g.byZone[h.Zone], group)
		}
	}
}

func relaysFor(workers int) int { return (workers + workersPerRelay - 1) / workersPerRelay }

// of returns the group of a worker, nil where the owner looks at it itself.
func (g *lookGroups) of(l *look) *lookGroup {
	groups := g.byZone[l.zone]
	if len(groups) == 0 {
		groups = g.any
	}
	if len(groups) == 0 {
		return nil
	}
	return groups[l.hash%uint32(len(groups))]
}

func hashWorker(id domain.WorkerID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// arrangeLooks updates the groups; the list of instances changes with their greetings.
func (c *Cell) arrangeLooks(now int64) {
	if now-c.arrangedMS < arrangeMS {
		return
	}
	c.arrangedMS = now
	workers := make(map[domain.ZoneID]int)
	for _, l := range c.looks {
		workers[l.zone]++
	}
	instances := c.relays.known(now)
	c.groups.arrange(workers, c.options.Address, instances, c.peers.Workers, now)
	c.arrangeRegistry(instances, now)
}

// sendGroups sends the looks that sendLooks has collected.
func (c *Cell) sendGroups(now int64) {
	for _, g := range c.groups.byHost {
		if len(g.next) == 0 {
			continue
		}
		looks, wait, round := g.next, g.wait, !g.inRound
		g.next, g.wait, g.lookedMS = nil, 0, now
		if round {
			g.inRound, g.endMS = true, now+wait.Milliseconds()
		}
		g.calls++
		go c.guarded("looks", func() { c.lookThrough(g, looks, wait, round) })
	}
}

// lookThrough makes looks through an instance and tells the loop.
func (c *Cell) lookThrough(g *lookGroup, looks []port.RelayedPoll, wait time.Duration, round bool) {
	ctx, cancel := context.WithTimeout(c.ctx, wait+relaySlack)
	defer cancel()
	sentMS := steady.NowMS()
	answered := make(map[domain.WorkerID]bool, len(looks))
	err := g.relay.PollWorkers(ctx, looks, func(batch []port.RelayedPollResult) {
		receivedMS := steady.NowMS()
		for i := range batch {
			batch[i].Report.SentMS, batch[i].Report.ReceivedMS = sentMS, receivedMS
			answered[batch[i].Worker] = true
		}
		c.post(func() { c.relayed(g, batch) })
	})
	var missing []domain.WorkerID
	for _, l := range looks {
		if !answered[l.Worker] {
			missing = append(missing, l.Worker)
		}
	}
	c.post(func() { c.groupLooked(g, round, missing, err) })
}

// relayed takes answers that came through an instance.
func (c *Cell) relayed(g *lookGroup, batch []port.RelayedPollResult) {
	for _, r := range batch {
		switch {
		case r.Fenced:
			c.end("worker " + string(r.Worker) + " has seen a higher fence")
			return
		case r.Failure != "":
			c.metrics.Counter("worker.look.relay_unanswered").Inc(1)
			if l, ok := c.looks[r.Worker]; ok && l.retryMS > 0 {
				c.looked(r.Worker, jobs.WorkerReport{}, relayedFailure(r, l.address))
				continue
			}
			// Whether the worker answers is found out from here first.
			c.lookDirectly(r.Worker, directMS)
		default:
			c.metrics.Counter("worker.look.relayed").Inc(1)
			c.looked(r.Worker, r.Report, nil)
		}
	}
}

// relayedFailure is the error that the instance met.
func relayedFailure(r port.RelayedPollResult, address string) error {
	err := errors.New(r.Failure)
	if r.Terminated {
		return &port.WorkerTerminatedError{Worker: r.Worker, Address: address, Err: err}
	}
	return err
}

// groupLooked ends the looks of a group.
func (c *Cell) groupLooked(g *lookGroup, round bool, missing []domain.WorkerID, err error) {
	g.calls--
	if round {
		g.inRound = false
	}
	if err == nil && len(missing) == 0 {
		return
	}
	c.metrics.Counter("worker.look.relay_failed").Inc(1)
	c.log.Info("instance left looks unanswered", zap.String("relay", string(g.hello.Instance)), zap.Int("workers", len(missing)),
		zap.Int64("paused_ms", relayPauseMS), zap.Error(err))
	c.pauseGroup(g)
	for _, id := range missing {
		c.lookDirectly(id, recheckMS)
	}
}

// lookDirectly looks at a worker from here for a time. The look that had no
// answer may have taken effect, so the next one extends no lease.
func (c *Cell) lookDirectly(id domain.WorkerID, forMS int64) {
	l, ok := c.looks[id]
	if !ok {
		return
	}
	l.underWay, l.reported = false, false
	l.directUntilMS = steady.NowMS() + forMS
}
