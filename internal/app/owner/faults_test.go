package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// Guards against a panic in the decision code that ends the whole process, with all its other
// duties, instead of only the term.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	i := c.start("a")
	cell := i.awaitOwned(t)
	c.submit(cell, "before", 2)
	cell.post(func() { panic("injected panic") })
	next := i.awaitOwned(t)
	if next == cell {
		t.Fatal("the term continued after a panic")
	}
	if r := c.submit(next, "after", 2); !r.Accepted {
		t.Errorf("submission to the next term: %+v", r)
	}
	c.awaitCompleted(i, "before")
	c.awaitCompleted(i, "after")
	c.checkFaults()
}

// malformedReports adds entries with impossible values to the reports of workers.
type malformedReports struct{ port.WorkerClient }

func (o malformedReports) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	report, err := o.WorkerClient.Poll(ctx, id, address, r)
	malformed := jobs.TaskID{Job: "j", Occurrence: -1, Step: 1 << 40, Index: -7}
	report.Running = append(report.Running, jobs.RunReport{Task: malformed, Run: -1, Percent: 1 << 40})
	report.Ends = append(report.Ends, jobs.EndReport{Number: 1, Task: malformed, Run: -1, Kind: 250})
	return report, err
}

// Guards against a report with values out of range: an unknown kind of run end caused a panic when
// its name was looked up, in this process and in each of its successors.
func TestMalformedReportsDoNotEndTerm(t *testing.T) {
	c := newCellTest(t, 100*time.Millisecond)
	c.workers = malformedReports{c.fleet}
	i := c.start("a")
	cell := i.awaitOwned(t)
	if r := c.submit(cell, "j", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	time.Sleep(time.Second)
	if cell.ctx.Err() != nil {
		t.Error("a malformed report ended the term")
	}
	c.checkFaults()
}

// Guards against a process that was suspended with unsent orders and sends them when it resumes,
// although its claim has expired in the meantime.
func TestResumedOwnerSendsNoExpiredOrders(t *testing.T) {
	c := newCellTest(t, time.Minute)
	cell := c.start("a").awaitOwned(t)
	// Without renewals the claim expires, as it does during a suspension.
	c.store.SetFault(leasestore.Down)
	time.Sleep(300*time.Millisecond + 2*cell.options.UnconfirmedGrace)
	order := []port.RelayedOrder{{Start: &jobs.StartOrder{Worker: c.ids[0], Task: jobs.TaskID{Job: "j"}, Run: 1, LimitClockMS: 1 << 40}}}
	if err := cell.sendBatch(cell.localRelay, cell.term.epoch, order); err != nil {
		t.Error(err)
	}
	if n := c.fleet.Starts(); n != 0 {
		t.Errorf("%d starts were sent after the claim had expired", n)
	}
	c.store.SetFault(leasestore.None)
}

// countingRelay counts the polls that it is given.
type countingRelay struct {
	port.WorkerRelay
	polls atomic.Int64
}

func (r *countingRelay) PollWorkers(_ context.Context, polls []port.RelayedPoll, _ func([]port.RelayedPollResult)) error {
	r.polls.Add(int64(len(polls)))
	return nil
}

// Guards against a process that was suspended between the decision to poll a worker and the poll, and sends it when it
// resumes although its claim has expired: a worker that has restarted in the meantime would drop the ends of its runs
// that the poll acknowledges by the numbers of the former incarnation. Guards, too, against a worker that is never
// polled again once the claim is confirmed.
func TestResumedOwnerSendsNoExpiredPolls(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newVirtualTest(t, 1, time.Minute)
		direct, relayed := &directPolls{WorkerClient: c.fleet}, &countingRelay{}
		c.workers = direct
		cell := c.start("a").awaitOwned(t)
		time.Sleep(100 * time.Millisecond)
		id := c.ids[0]
		inLoop := func(f func()) {
			done := make(chan struct{})
			cell.post(func() { defer close(done); f() })
			<-done
		}
		// The process is suspended for as long as the owner may go on without a confirmation, and its loop has not run since.
		suspended := make(chan struct{})
		cell.post(func() { <-suspended })
		confirmed := cell.confirmedUntilMS.Load()
		cell.confirmedUntilMS.Store(0)
		before := direct.count.Load()
		group := &pollGroup{relay: relayed, callsInFlight: 1, inRound: true}
		released := 0
		cell.pollWorker(id, "10.0.0.1:1", port.PollRequest{Fence: 1, Acknowledged: 7}, func() { released++ })
		cell.pollThroughRelay(group, []port.RelayedPoll{{Worker: id, Request: port.PollRequest{Fence: 1, Acknowledged: 7}}}, pollWait, true)
		if n := direct.count.Load() - before; n != 0 || relayed.polls.Load() != 0 {
			t.Errorf("%d direct and %d relayed polls were sent after the claim had expired", n, relayed.polls.Load())
		}
		cell.extendConfirmed(confirmed)
		close(suspended)
		inLoop(func() {
			if released != 1 || group.callsInFlight != 0 || group.inRound {
				t.Errorf("after polls that were not sent, %d places were released, the group has %d calls in flight, in a round: %v",
					released, group.callsInFlight, group.inRound)
			}
		})
		time.Sleep(3 * pollWait)
		if n := direct.count.Load() - before; n == 0 {
			t.Error("the worker is not polled although the claim is confirmed again")
		}
	})
}
