package owner

import (
	"context"
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
	if err := cell.sendBatch(cell.localRelay, order); err != nil {
		t.Error(err)
	}
	if n := c.fleet.Starts(); n != 0 {
		t.Errorf("%d starts were sent after the claim had expired", n)
	}
	c.store.SetFault(leasestore.None)
}
