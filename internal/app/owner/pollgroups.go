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
)

// Parameters of polling workers through other instances.
const (
	// workersPerRelay is how many workers one instance polls. A poll costs up to 1 ms of processor
	// time in a small VM, so this is about 5 % of a core.
	workersPerRelay = 50
	// pollBatchMS is how long polls for one relay are collected before they are sent as one call.
	pollBatchMS = 10
	// minRoundLeftMS is the remaining time of a group's round below which a worker waits for the
	// next round instead of being polled again within this one.
	minRoundLeftMS = 100
	// relayMargin is how long polls through a relay may take beyond their wait.
	relayMargin = 700 * time.Millisecond
	// relayPauseMS is how long a relay that left polls or orders unanswered is not used.
	relayPauseMS = 5000
	// directPollMS is how long a worker that a relay could not reach is polled directly, if that
	// succeeds.
	directPollMS = 10_000
	// directRecheckMS is the same for the workers of a relay that left polls unanswered.
	directRecheckMS = 500
	// maxProbes bounds the direct polls in flight to workers of a large fleet that did not answer
	// the previous poll: each may cost a new connection and run until its timeout.
	maxProbes = 64
	// directPollCycle is below the time after which an unresponsive worker gets no new work, and
	// minDirectPollWait bounds the number of direct polls per second.
	directPollCycle   = 1600 * time.Millisecond
	minDirectPollWait = 100 * time.Millisecond
	// assignIntervalMS is the time between two assignments of workers to relays, and so the longest
	// time until a newly announced instance is used.
	assignIntervalMS = 250
)

// pollGroup is the set of workers that one relay instance polls, and sends orders to, on the
// owner's behalf. Most polls are made in rounds that start and end together. A worker that answers
// early, because a task ended, is polled again within the same round.
type pollGroup struct {
	host  port.InstanceInfo
	relay port.WorkerRelay
	// inRound is set while a round is in flight; roundEndMS is when its waits end.
	inRound       bool
	roundEndMS    int64
	callsInFlight int
	// pausedUntilMS is the time before which the relay is not used.
	pausedUntilMS int64
	pendingPolls  []port.RelayedPoll
	pendingWait   time.Duration
	// lastPollsMS is when the last call with polls was sent.
	lastPollsMS int64
	// pendingOrders go out with the next call; lastOrdersMS is when the last call with orders was
	// sent.
	pendingOrders []pendingOrder
	lastOrdersMS  int64
}

// admit decides whether a poll may be sent now, and how long it may wait.
func (g *pollGroup) admit(p *pollState, now int64) (time.Duration, bool) {
	if len(g.pendingPolls) >= port.MaxRelayedPolls || now-g.lastPollsMS < pollBatchMS {
		return 0, false
	}
	if !g.inRound {
		return pollWait, true
	}
	left := g.roundEndMS - now
	if !p.answered || left < minRoundLeftMS {
		return 0, false
	}
	return min(pollWait, time.Duration(left)*time.Millisecond), true
}

func (g *pollGroup) addPoll(p port.RelayedPoll) {
	g.pendingPolls = append(g.pendingPolls, p)
	g.pendingWait = max(g.pendingWait, p.Request.Wait)
}

// pollGroups distributes the workers of a large fleet over other instances, so that the owner's own
// calls grow with the number of task ends instead of the number of workers.
type pollGroups struct {
	// directLimit is the largest number of workers that the owner polls entirely by itself.
	directLimit int
	byHost      map[port.InstanceInfo]*pollGroup
	// byZone holds the groups in use per zone; fallback holds the groups for zones without one.
	byZone   map[domain.ZoneID][]*pollGroup
	fallback []*pollGroup
	// probes counts the direct polls in flight to workers that did not answer the previous one;
	// direct counts the other direct polls.
	direct, probes int
}

// admitDirect decides whether the worker may be polled directly now. release is called on the loop
// once the poll has ended. Without a limit, a large fleet whose workers are all due at once, as
// after a takeover, needs more connections than the VM has processor time for, and no poll is
// answered in time.
func (g *pollGroups) admitDirect(p *pollState, workers int) (release func(), ok bool) {
	count, limit := &g.direct, g.directLimit
	if !p.answered {
		count, limit = &g.probes, maxProbes
	}
	if workers > g.directLimit && *count >= limit {
		return nil, false
	}
	*count++
	return func() { *count-- }, true
}

// directPollWait returns how long a direct poll may wait. If fewer polls may be in flight than
// there are workers, waits are shortened so that each worker is still polled once per
// directPollCycle.
func (g *pollGroups) directPollWait(workers int) time.Duration {
	if workers <= g.directLimit {
		return pollWait
	}
	wait := time.Duration(float64(directPollCycle) * float64(g.directLimit) / float64(workers))
	return min(pollWait, max(wait, minDirectPollWait))
}

// assign chooses the relays for the current fleet size. The workers of a zone are polled from
// within that zone, which avoids traffic between regions, or from any instance if the zone has
// none. Larger VMs are preferred.
func (g *pollGroups) assign(workers map[domain.ZoneID]int, ownAddress string, known []port.InstanceInfo, relays func(port.InstanceInfo) port.WorkerRelay, now int64) {
	g.fallback = g.fallback[:0]
	clear(g.byZone)
	for h, group := range g.byHost {
		if group.callsInFlight == 0 && len(group.pendingOrders) == 0 && !slices.Contains(known, h) {
			delete(g.byHost, h)
		}
	}
	total := 0
	for _, n := range workers {
		total += n
	}
	if total <= g.directLimit {
		return
	}
	hosts := slices.DeleteFunc(slices.Clone(known), func(h port.InstanceInfo) bool {
		group := g.byHost[h]
		return h.Address == ownAddress || group != nil && now < group.pausedUntilMS
	})
	slices.SortFunc(hosts, compareSizes)
	for _, h := range hosts {
		wanted := len(g.fallback) < relaysFor(total)
		wantedHere := len(g.byZone[h.Zone]) < relaysFor(workers[h.Zone])
		if !wanted && !wantedHere {
			continue
		}
		group, ok := g.byHost[h]
		if !ok {
			group = &pollGroup{host: h, relay: relays(h)}
			g.byHost[h] = group
		}
		if wanted {
			g.fallback = append(g.fallback, group)
		}
		if wantedHere {
			g.byZone[h.Zone] = append(g.byZone[h.Zone], group)
		}
	}
}

func relaysFor(workers int) int { return (workers + workersPerRelay - 1) / workersPerRelay }

// groupFor returns the group of a worker, nil if the owner polls it directly.
func (g *pollGroups) groupFor(p *pollState) *pollGroup {
	groups := g.byZone[p.zone]
	if len(groups) == 0 {
		groups = g.fallback
	}
	if len(groups) == 0 {
		return nil
	}
	return groups[p.hash%uint32(len(groups))]
}

func hashWorker(id domain.WorkerID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// assignPolls updates the groups, since the list of instances changes with their announcements.
func (c *Cell) assignPolls(now int64) {
	if now-c.assignedMS < assignIntervalMS {
		return
	}
	c.assignedMS = now
	workers := make(map[domain.ZoneID]int)
	for _, p := range c.polls {
		workers[p.zone]++
	}
	instances := c.instances.hosts(now)
	c.pollGroups.assign(workers, c.options.Address, instances, c.peers.Workers, now)
	c.chooseRegistryRelay(instances, now)
}

// sendGroupPolls sends the polls that sendPolls has collected.
func (c *Cell) sendGroupPolls(now int64) {
	for _, g := range c.pollGroups.byHost {
		if len(g.pendingPolls) == 0 {
			continue
		}
		polls, wait, round := g.pendingPolls, g.pendingWait, !g.inRound
		g.pendingPolls, g.pendingWait, g.lastPollsMS = nil, 0, now
		if round {
			g.inRound, g.roundEndMS = true, now+wait.Milliseconds()
		}
		g.callsInFlight++
		go c.guarded("looks", func() { c.pollThroughRelay(g, polls, wait, round) })
	}
}

// pollThroughRelay sends polls through a relay and reports the result to the loop.
func (c *Cell) pollThroughRelay(g *pollGroup, polls []port.RelayedPoll, wait time.Duration, round bool) {
	sentMS := c.nowMS()
	if !c.mayCallWorkers(sentMS) {
		c.post(func() {
			for _, p := range polls {
				c.pollNotSent(p.Worker)
			}
			c.finishGroupPolls(g, round, nil, nil)
		})
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait+relayMargin)
	defer cancel()
	answered := make(map[domain.WorkerID]bool, len(polls))
	sent := make(map[domain.WorkerID]port.RelayedPoll, len(polls))
	for _, p := range polls {
		sent[p.Worker] = p
	}
	err := g.relay.PollWorkers(ctx, polls, func(batch []port.RelayedPollResult) {
		receivedMS := c.nowMS()
		for i := range batch {
			batch[i].Report.SentMS, batch[i].Report.ReceivedMS = sentMS, receivedMS
			answered[batch[i].Worker] = true
		}
		c.post(func() { c.handleRelayedReports(batch, sent) })
	})
	var missing []domain.WorkerID
	for _, p := range polls {
		if !answered[p.Worker] {
			missing = append(missing, p.Worker)
		}
	}
	c.post(func() { c.finishGroupPolls(g, round, missing, err) })
}

// handleRelayedReports handles reports that arrived through a relay, which was sent the given polls.
func (c *Cell) handleRelayedReports(batch []port.RelayedPollResult, sent map[domain.WorkerID]port.RelayedPoll) {
	for _, r := range batch {
		poll, ok := sent[r.Worker]
		if !ok {
			c.metrics.Counter("worker.look.answer_invalid").Inc(1)
			continue
		}
		fence := poll.Request.Fence
		switch {
		case r.Fenced:
			c.handlePoll(r.Worker, fence, jobs.WorkerReport{}, &port.FencedError{Worker: r.Worker})
		case r.Failure != "":
			c.metrics.Counter("worker.look.relay_unanswered").Inc(1)
			if p, ok := c.polls[r.Worker]; ok && p.retryPauseMS > 0 {
				c.handlePoll(r.Worker, fence, jobs.WorkerReport{}, relayedError(r, poll.Address))
				continue
			}
			// Check directly first whether the worker answers.
			c.pollDirectlyFor(r.Worker, directPollMS)
		default:
			c.metrics.Counter("worker.look.relayed").Inc(1)
			c.handlePoll(r.Worker, fence, r.Report, nil)
		}
	}
}

// relayedError converts the failure that the relay reported.
func relayedError(r port.RelayedPollResult, address string) error {
	err := errors.New(r.Failure)
	if r.Replaced {
		return &port.WorkerTerminatedError{Worker: r.Worker, Address: address, Err: err}
	}
	return err
}

// finishGroupPolls completes a call of polls through a relay.
func (c *Cell) finishGroupPolls(g *pollGroup, round bool, missing []domain.WorkerID, err error) {
	g.callsInFlight--
	if round {
		g.inRound = false
	}
	if err == nil && len(missing) == 0 {
		return
	}
	c.metrics.Counter("worker.look.relay_failed").Inc(1)
	c.log.Info("instance left looks unanswered", zap.String("relay", string(g.host.Instance)), zap.Int("workers", len(missing)),
		zap.Int64("paused_ms", relayPauseMS), zap.Error(err))
	c.pauseGroup(g)
	for _, id := range missing {
		c.pollDirectlyFor(id, directRecheckMS)
	}
}

// pollDirectlyFor polls a worker directly for the given time. The unanswered poll may still have
// taken effect, so the next one extends no lease.
func (c *Cell) pollDirectlyFor(id domain.WorkerID, forMS int64) {
	p, ok := c.polls[id]
	if !ok {
		return
	}
	p.inFlight, p.answered = false, false
	p.directUntilMS = c.nowMS() + forMS
}
