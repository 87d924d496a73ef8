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
	"auburnpier/internal/steady"
)

// look is the state of the looks at one worker. At most one is under way.
type look struct {
	id        domain.WorkerID
	address   string
	zone      domain.ZoneID
	underWay  bool
	notBefore int64
	sentMS    int64
	retryMS   int64
	// reported tells that the worker answered the last look. Until it does, looks
	// extend no lease: an order that may have taken effect would keep the
	// worker's tasks from ever lapsing.
	reported bool
	// reportedMS is when the worker answered last.
	reportedMS int64
	bornMS     int64
	// acknowledging is the last end that the look under way acknowledges, and told
	// the last one that the worker knows to be acknowledged.
	acknowledging, told int64
	// refused counts the looks in a row that prove that the worker is gone.
	refused int
	// hash chooses the group of the worker.
	hash uint32
	// directUntilMS is the time until which the worker is looked at from here.
	directUntilMS int64
}

// lookAt begins or redirects the looks at a worker.
func (c *Cell) lookAt(w jobs.WorkerInfo) {
	l, ok := c.looks[w.ID]
	if !ok {
		l = &look{id: w.ID, hash: hashWorker(w.ID)}
		c.looks[w.ID] = l
	}
	l.address, l.zone = w.Address, w.Zone
}

// sendLooks starts the looks that are due. A look acknowledges only ends whose
// effects are stored, so after an end the next look waits for the write, or
// comes without a wait where the store is slow.
func (c *Cell) sendLooks(now int64) {
	c.arrangeLooks(now)
	var direct []*look
	for id, l := range c.looks {
		if l.underWay || now < l.notBefore || c.unstored(id) && now-l.sentMS < c.unstoredInterval(id) {
			continue
		}
		group := c.groups.of(l)
		if group == nil || now < l.directUntilMS {
			direct = append(direct, l)
			continue
		}
		if wait, ok := group.admit(l, now); ok {
			l.sentMS, l.underWay = now, true
			group.add(port.RelayedPoll{Worker: id, Address: l.address, Request: c.lookRequest(l, wait)})
		}
	}
	c.sendGroups(now)
	c.sendDirect(direct, now)
}

// sendDirect sends looks from here. Where not all may go out, those with
// something to acknowledge come first, then those that have waited longest.
func (c *Cell) sendDirect(due []*look, now int64) {
	workers := len(c.looks)
	if workers > c.groups.most {
		// An acknowledgement that waits longer could not be sent any more.
		urgent := func(l *look) int {
			if c.acknowledged(l) > l.told {
				return 0
			}
			return 1
		}
		slices.SortFunc(due, func(a, b *look) int {
			return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(a.sentMS, b.sentMS))
		})
	}
	for _, l := range due {
		release, ok := c.groups.admitDirect(l, workers)
		if !ok {
			continue
		}
		l.sentMS, l.underWay = now, true
		// The loop may change the look's state before the call begins.
		id, address, request := l.id, l.address, c.lookRequest(l, c.groups.directWait(workers))
		go c.guarded("look", func() { c.look(id, address, request, release) })
	}
}

// unstoredInterval is the time in ms between looks that do not wait.
func (c *Cell) unstoredInterval(id domain.WorkerID) int64 {
	if c.machine.EndsHeld(id) {
		return heldLookMS
	}
	return unstoredLookMS
}

// unstored reports whether ends of the worker wait for the store.
func (c *Cell) unstored(id domain.WorkerID) bool { return c.processed[id] > c.acked[id] }

// lookRequest returns the request of the next look, which is sent at once.
func (c *Cell) lookRequest(l *look, wait time.Duration) port.PollRequest {
	l.acknowledging = c.acknowledged(l)
	r := port.PollRequest{Fence: c.reign.epoch, Acknowledged: l.acknowledging}
	if l.reported {
		limit, ok := c.machine.LeaseLimit(l.id)
		if ok {
			r.LimitClockMS = limit
			r.Wait = wait
		}
	}
	if c.unstored(l.id) {
		// The worker lists what was seen already, so it would not wait.
		r.Wait = 0
	}
	return r
}

// rebirthMS is the least time in which a worker's process ends and another one
// answers under its ID.
const rebirthMS = 1000

// acknowledged returns the last end that the next look acknowledges. The
// numbers are those of one life of the worker. Where it may have begun another
// one since its last answer, nothing is acknowledged, so that it lists all ends
// of the new life.
func (c *Cell) acknowledged(l *look) int64 {
	if !l.reported || steady.NowMS()-l.reportedMS >= rebirthMS {
		return 0
	}
	return c.acked[l.id]
}

// look looks at a worker from here.
func (c *Cell) look(id domain.WorkerID, address string, r port.PollRequest, release func()) {
	sentMS := steady.NowMS()
	ctx, cancel := context.WithTimeout(c.ctx, r.Wait+c.answers.lookSlack())
	defer cancel()
	report, err := c.workers.Poll(ctx, id, address, r)
	if c.endIfFenced(err) {
		return
	}
	report.SentMS, report.ReceivedMS = sentMS, steady.NowMS()
	c.post(func() {
		release()
		c.looked(id, report, err)
	})
}

func (c *Cell) looked(id domain.WorkerID, report jobs.WorkerReport, err error) {
	l, ok := c.looks[id]
	if !ok || c.resigning {
		return
	}
	l.underWay = false
	if err != nil {
		l.reported = false
		l.directUntilMS = 0
		c.machine.LookFailed(id)
		c.noteGone(l, err)
		if l.retryMS == 0 {
			c.log.Info("worker does not answer", zap.String("worker", string(id)), zap.Error(err))
		}
		c.metrics.Counter("worker.look.unanswered").Inc(1)
		l.retryMS = min(max(2*l.retryMS, lookRetry.Milliseconds()), lookRetryMax.Milliseconds())
		l.notBefore = steady.NowMS() + l.retryMS
		return
	}
	if l.retryMS > 0 {
		c.log.Info("worker answers again", zap.String("worker", string(id)))
	}
	l.retryMS = 0
	l.refused = 0
	l.reported = true
	l.reportedMS = steady.NowMS()
	l.told = max(l.told, l.acknowledging)
	if l.bornMS != report.BornMS {
		l.bornMS = report.BornMS
		c.acked[id], c.processed[id], l.told = 0, 0, 0
	}
	c.machine.Report(report)
	if n := len(report.Ends); n > 0 && report.Ends[n-1].Number > c.acked[id] {
		if _, waits := c.endSeenMS[id]; !waits {
			c.endSeenMS[id] = steady.NowMS()
		}
	}
	for _, e := range report.Ends {
		c.processed[id] = max(c.processed[id], e.Number)
	}
}

// refusalsOfGone is how many looks in a row must find a worker's process gone
// before its runs are started elsewhere, so that none depends on one answer.
const refusalsOfGone = 2

// noteGone gives up a worker whose process has certainly ended, at once and
// not only when its lease has lapsed. A worker that is silent keeps its runs.
func (c *Cell) noteGone(l *look, err error) {
	var gone *port.WorkerTerminatedError
	if !errors.As(err, &gone) {
		l.refused = 0
		return
	}
	if l.refused++; l.refused == refusalsOfGone {
		c.log.Info("worker is gone", zap.String("worker", string(l.id)), zap.Error(err))
		c.metrics.Counter("worker.gone").Inc(1)
		c.machine.WorkerGone(l.id)
	}
}

// logNotes writes one line for each decision.
func (c *Cell) logNotes(notes []jobs.Note) {
	for _, n := range notes {
		c.metrics.Counter("decision." + n.Kind).Inc(1)
		c.log.Info(n.Kind, zap.String("job", string(n.Task.Job)), zap.Int("occurrence", n.Task.Occurrence),
			zap.Int("step", n.Task.Step), zap.Int("task", n.Task.Index), zap.Int("run", n.Run),
			zap.String("worker", string(n.Worker)), zap.String("detail", n.Detail), zap.Int64("epoch", c.reign.epoch))
	}
}
