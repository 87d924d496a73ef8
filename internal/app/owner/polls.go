package owner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// pollState is the state of polling one worker. At most one poll is in flight.
type pollState struct {
	id           domain.WorkerID
	address      string
	zone         domain.ZoneID
	inFlight     bool
	notBeforeMS  int64
	sentMS       int64
	retryPauseMS int64
	// answered is set if the worker answered the last poll. Until it does, polls extend no lease:
	// polls that take effect but are never answered would keep the worker's tasks from ever
	// expiring.
	answered bool
	// answeredMS is when the worker last answered.
	answeredMS int64
	startedMS  int64
	// sentAck is the run-end number acknowledged by the poll in flight; confirmedAck is the highest
	// one that the worker is known to have received.
	sentAck, confirmedAck int64
	// confirmedFence is the highest fence that the present incarnation is known to have seen.
	confirmedFence int64
	// raisedForRestart is set if the fence was raised when the present incarnation became known.
	raisedForRestart bool
	// misdirected counts consecutive polls of the current address that another incarnation answered.
	misdirected int
	// hash selects the worker's group.
	hash uint32
	// directUntilMS is the time until which the worker is polled directly.
	directUntilMS int64
}

// trackWorker starts polling a worker, or updates its address.
func (c *Cell) trackWorker(w jobs.WorkerInfo) {
	p, ok := c.polls[w.ID]
	if !ok {
		p = &pollState{id: w.ID, hash: hashWorker(w.ID)}
		c.polls[w.ID] = p
	}
	if p.address != w.Address {
		p.misdirected = 0
	}
	p.address, p.zone = w.Address, w.Zone
}

// sendPolls sends the polls that are due. A poll acknowledges only run ends whose effects are
// stored, so after an end the next poll is delayed until the write is done, or is sent without a
// wait if the store is slow.
func (c *Cell) sendPolls(now int64) {
	c.assignPolls(now)
	var direct []*pollState
	for id, p := range c.polls {
		if p.inFlight || now < p.notBeforeMS || c.hasUnstoredEnds(id) && now-p.sentMS < c.unstoredPollInterval(id) {
			continue
		}
		group := c.pollGroups.groupFor(p)
		if group == nil || now < p.directUntilMS {
			direct = append(direct, p)
			continue
		}
		if wait, ok := group.admit(p, now); ok {
			p.sentMS, p.inFlight = now, true
			group.addPoll(port.RelayedPoll{Worker: id, Address: p.address, Request: c.pollRequest(p, wait)})
		}
	}
	c.sendGroupPolls(now)
	c.sendDirectPolls(direct, now)
}

// sendDirectPolls polls workers from this instance. If not all may be sent, workers with ends to
// acknowledge come first, then those polled least recently.
func (c *Cell) sendDirectPolls(due []*pollState, now int64) {
	workers := len(c.polls)
	if workers > c.pollGroups.directLimit {
		// An acknowledgement that waits longer than minRestartMS can no longer be sent.
		urgent := func(p *pollState) int {
			if c.ackNumber(p) > p.confirmedAck {
				return 0
			}
			return 1
		}
		slices.SortFunc(due, func(a, b *pollState) int {
			return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(a.sentMS, b.sentMS))
		})
	}
	for _, p := range due {
		release, ok := c.pollGroups.admitDirect(p, workers)
		if !ok {
			continue
		}
		p.sentMS, p.inFlight = now, true
		// The loop may change the poll state before the call begins.
		id, address, request := p.id, p.address, c.pollRequest(p, c.pollGroups.directPollWait(workers))
		go c.guarded("look", func() { c.pollWorker(id, address, request, release) })
	}
}

// unstoredPollInterval returns the time in ms between polls that do not wait.
func (c *Cell) unstoredPollInterval(id domain.WorkerID) int64 {
	if c.machine.HasWithheldEnds(id) {
		return withheldEndPollMS
	}
	return unstoredPollMS
}

// hasUnstoredEnds reports whether run ends of the worker have not been stored yet.
func (c *Cell) hasUnstoredEnds(id domain.WorkerID) bool { return c.processedEnds[id] > c.ackedEnds[id] }

// pollRequest returns the request of the next poll, which the caller sends immediately.
func (c *Cell) pollRequest(p *pollState, wait time.Duration) port.PollRequest {
	p.sentAck = c.ackNumber(p)
	r := port.PollRequest{Fence: c.fences.of(p.id), Acknowledged: p.sentAck}
	if p.answered {
		limit, ok := c.machine.LeaseLimit(p.id)
		if ok {
			r.LimitClockMS = limit
			r.Wait = wait
		}
	}
	if c.hasUnstoredEnds(p.id) || p.confirmedFence < r.Fence {
		// The worker still reports ends that were already processed, so it would answer without
		// waiting. A raised fence protects from late calls only once it is confirmed.
		r.Wait = 0
	}
	return r
}

// minRestartMS is the least time in which a worker's process can end and another one answer under
// the same ID.
const minRestartMS = 1000

// ackNumber returns the run-end number that the next poll acknowledges. Numbers are only valid
// within one incarnation of the worker. If the worker may have restarted since its last answer,
// nothing is acknowledged, so that it reports all ends of the new incarnation.
func (c *Cell) ackNumber(p *pollState) int64 {
	if !p.answered || c.nowMS()-p.answeredMS >= minRestartMS {
		return 0
	}
	return c.ackedEnds[p.id]
}

// pollWorker polls a worker directly.
func (c *Cell) pollWorker(id domain.WorkerID, address string, request port.PollRequest, release func()) {
	sentMS := c.nowMS()
	if !c.mayCallWorkers(sentMS) {
		c.post(func() {
			release()
			c.pollNotSent(id)
		})
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, request.Wait+c.responseTimes.pollMargin())
	defer cancel()
	report, err := c.workers.Poll(ctx, id, address, request)
	report.SentMS, report.ReceivedMS = sentMS, c.nowMS()
	c.post(func() {
		release()
		c.handlePoll(id, request.Fence, report, err)
	})
}

// pollNotSent records that a poll was not sent because the claim had run out since the decision, for instance while
// the process was suspended. What the poll acknowledges may belong to a former incarnation of the worker by now.
func (c *Cell) pollNotSent(id domain.WorkerID) {
	c.metrics.Counter("worker.look.claim_not_confirmed").Inc(1)
	if p, ok := c.polls[id]; ok {
		p.inFlight = false
	}
}

// handlePoll handles the answer to a poll with the given fence.
func (c *Cell) handlePoll(id domain.WorkerID, fence int64, report jobs.WorkerReport, err error) {
	var fenced *port.FencedError
	outdated := errors.As(err, &fenced) && c.handleFenced(id, fence)
	p, ok := c.polls[id]
	if !ok || c.resigning {
		return
	}
	p.inFlight = false
	if outdated {
		return
	}
	if err != nil {
		c.noteUnanswered(id)
		p.answered = false
		p.directUntilMS = 0
		c.machine.PollFailed(id)
		c.checkTerminated(p, err)
		if p.retryPauseMS == 0 {
			c.log.Info("worker does not answer", zap.String("worker", string(id)), zap.Error(err))
		}
		c.metrics.Counter("worker.look.unanswered").Inc(1)
		p.retryPauseMS = min(max(2*p.retryPauseMS, pollRetryPause.Milliseconds()), maxPollRetryPause.Milliseconds())
		p.notBeforeMS = c.nowMS() + p.retryPauseMS
		return
	}
	if p.retryPauseMS > 0 {
		c.log.Info("worker answers again", zap.String("worker", string(id)))
	}
	p.retryPauseMS = 0
	p.misdirected = 0
	p.answered = true
	p.answeredMS = c.nowMS()
	p.confirmedAck = max(p.confirmedAck, p.sentAck)
	if p.startedMS != report.StartedMS {
		p.raisedForRestart = p.startedMS != 0 && c.raiseFence(id)
		p.startedMS = report.StartedMS
		c.ackedEnds[id], c.processedEnds[id], p.confirmedAck, p.confirmedFence = 0, 0, 0, 0
	}
	report.Fenced = p.raisedForRestart && fence == c.fences.of(id)
	c.machine.Report(report)
	c.confirmFence(p, fence)
	if n := len(report.Ends); n > 0 && report.Ends[n-1].Number > c.ackedEnds[id] {
		if _, waits := c.unackedSinceMS[id]; !waits {
			c.unackedSinceMS[id] = c.nowMS()
		}
	}
	for _, e := range report.Ends {
		c.processedEnds[id] = max(c.processedEnds[id], e.Number)
	}
}

// requiredMisdirectedPolls is how many consecutive polls another incarnation must answer before the
// worker's runs are started elsewhere, so that this never depends on a single answer.
const requiredMisdirectedPolls = 2

// checkTerminated abandons the runs of a worker right away if another incarnation serves its address,
// instead of when its lease has expired. checkVMs covers a worker that nothing has replaced there. At a former address
// another worker proves nothing.
func (c *Cell) checkTerminated(p *pollState, err error) {
	var terminated *port.WorkerTerminatedError
	if !errors.As(err, &terminated) || terminated.Address != p.address {
		p.misdirected = 0
		return
	}
	if p.misdirected++; p.misdirected == requiredMisdirectedPolls {
		c.workerTerminated(p.id, err.Error())
	}
}

// workerTerminated abandons the runs of a worker whose process has provably terminated.
func (c *Cell) workerTerminated(id domain.WorkerID, proof string) {
	c.log.Info("worker is gone", zap.String("worker", string(id)), zap.String("proof", proof))
	c.metrics.Counter("worker.gone").Inc(1)
	c.machine.WorkerTerminated(id, proof)
}

// logDecisions writes one log line per decision.
func (c *Cell) logDecisions(decisions []jobs.Decision) {
	for _, d := range decisions {
		c.metrics.Counter("decision." + d.Kind).Inc(1)
		c.log.Info(d.Kind, zap.String("job", string(d.Task.Job)), zap.Int("occurrence", d.Task.Occurrence),
			zap.Int("step", d.Task.Step), zap.Int("task", d.Task.Index), zap.Int("run", d.Run),
			zap.String("worker", string(d.Worker)), zap.String("detail", d.Detail), zap.Int64("epoch", c.term.epoch))
	}
}
