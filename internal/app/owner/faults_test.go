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

// Guards against an unexpected error in a decision that takes the process
// down, with all its other duties, instead of ending the reign alone.
func TestUnexpectedErrorEndsTheReignAlone(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	i := c.start("a")
	cell := i.owned(t)
	c.submit(cell, "before", 2)
	cell.post(func() { panic("a fault of the test") })
	next := i.owned(t)
	if next == cell {
		t.Fatal("the reign went on after an unexpected error")
	}
	if r := c.submit(next, "after", 2); !r.Accepted {
		t.Errorf("submission to the next reign: %+v", r)
	}
	c.completed(i, "before")
	c.completed(i, "after")
	c.check()
}

// oddWorkers are workers whose reports hold what does not exist.
type oddWorkers struct{ port.WorkerClient }

func (o oddWorkers) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	report, err := o.WorkerClient.Poll(ctx, id, address, r)
	odd := jobs.TaskID{Job: "j", Occurrence: -1, Step: 1 << 40, Index: -7}
	report.Running = append(report.Running, jobs.RunReport{Task: odd, Run: -1, Percent: 1 << 40})
	report.Ends = append(report.Ends, jobs.EndReport{Number: 1, Task: odd, Run: -1, Kind: 250})
	return report, err
}

// Guards against a report with values that do not exist, which ended the
// process in the name of an end's kind, and every successor's after it.
func TestMalformedReports(t *testing.T) {
	c := newCellTest(t, 100*time.Millisecond)
	c.workers = oddWorkers{c.fleet}
	i := c.start("a")
	cell := i.owned(t)
	if r := c.submit(cell, "j", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	time.Sleep(time.Second)
	if cell.ctx.Err() != nil {
		t.Error("the reign ended with a malformed report")
	}
	c.check()
}

// Guards against a process that was paused with orders in its hands and sends
// them once it wakes, although its claim has run out meanwhile.
func TestPausedOwnerSendsNoOrders(t *testing.T) {
	c := newCellTest(t, time.Minute)
	cell := c.start("a").owned(t)
	// Without a renewal the permission runs out, as it does in a pause.
	c.store.SetFault(leasestore.Down)
	time.Sleep(300*time.Millisecond + 2*cell.options.UnconfirmedTTL)
	order := []port.RelayedOrder{{Start: &jobs.StartOrder{Worker: c.ids[0], Task: jobs.TaskID{Job: "j"}, Run: 1, LimitClockMS: 1 << 40}}}
	if err := cell.sendBatch(cell.localRelay, order); err != nil {
		t.Error(err)
	}
	if n := c.fleet.Starts(); n != 0 {
		t.Errorf("%d starts went out after the claim had run out", n)
	}
	c.store.SetFault(leasestore.None)
}
