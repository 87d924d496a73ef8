package owner

import (
	"context"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// heldStarts are workers whose answers to starts wait until they are released.
type heldStarts struct {
	port.WorkerClient
	began   chan jobs.StartOrder
	release chan struct{}
}

func (h *heldStarts) Start(ctx context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	outcome, err := h.WorkerClient.Start(ctx, fence, o)
	h.began <- o
	<-h.release
	return outcome, err
}

// Guards against events that are handled at an earlier time than they were
// posted, as while the owner is short of processor time. An accepted start
// then counted from before the worker took it, and a look that was answered in
// between seemed to prove that the run was gone: its task ran a second time.
func TestEventsKeepTheirTime(t *testing.T) {
	const busy = 300 * time.Millisecond
	c := newFleetTest(t, 1, time.Minute)
	held := &heldStarts{WorkerClient: c.fleet, began: make(chan jobs.StartOrder, 8), release: make(chan struct{})}
	c.workers = held
	cell := c.start("a").owned(t)
	if r := c.submit(cell, "j", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	order := <-held.began
	busyNow := make(chan struct{})
	cell.post(func() {
		// What comes meanwhile is handled together with this event.
		close(busyNow)
		time.Sleep(busy)
	})
	<-busyNow
	time.Sleep(busy / 3)
	lookSentMS := steady.NowMS()
	time.Sleep(busy / 10)
	cell.post(func() { cell.machine.StartAnswered(order.Worker, order.Task, order.Run, jobs.StartAccepted) })
	cell.post(func() {
		cell.machine.Report(jobs.WorkerReport{Worker: order.Worker, BornMS: 1, SentMS: lookSentMS, ReceivedMS: lookSentMS, ClockMS: 1})
	})
	reply, err := cell.Explain(t.Context(), "j")
	if err != nil {
		t.Fatal(err)
	}
	if runs := reply.Job.Steps[0].Runs; len(runs) != 1 || runs[0].Run != order.Run {
		t.Errorf("after a look from before the start was accepted, the runs are %+v, want run %d", runs, order.Run)
	}
	close(held.release)
}
