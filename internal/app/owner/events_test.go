package owner

import (
	"context"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// heldStarts delays the answers to start orders until they are released.
type heldStarts struct {
	port.WorkerClient
	received chan jobs.StartOrder
	release  chan struct{}
}

func (h *heldStarts) Start(ctx context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	outcome, err := h.WorkerClient.Start(ctx, fence, o)
	h.received <- o
	<-h.release
	return outcome, err
}

// Guards against events that are dated earlier than they were posted, as can happen while the owner
// is short of processor time. An accepted start was then dated before the worker received it, so
// that a poll answered in between seemed to prove that the run had disappeared, and the task was
// run a second time.
func TestEventsAreDatedWhenHandled(t *testing.T) {
	const blockedFor = 300 * time.Millisecond
	c := newFleetTest(t, 1, time.Minute)
	held := &heldStarts{WorkerClient: c.fleet, received: make(chan jobs.StartOrder, 8), release: make(chan struct{})}
	c.workers = held
	cell := c.start("a").awaitOwned(t)
	if r := c.submit(cell, "j", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	order := <-held.received
	blocked := make(chan struct{})
	cell.post(func() {
		// Events posted while this one runs are handled in the same pass.
		close(blocked)
		time.Sleep(blockedFor)
	})
	<-blocked
	time.Sleep(blockedFor / 3)
	pollSentMS := steady.NowMS()
	time.Sleep(blockedFor / 10)
	cell.post(func() { cell.machine.StartAnswered(order.Worker, order.Task, order.Run, jobs.StartAccepted) })
	cell.post(func() {
		cell.machine.Report(jobs.WorkerReport{Worker: order.Worker, StartedMS: 1, SentMS: pollSentMS, ReceivedMS: pollSentMS, ClockMS: 1})
	})
	reply, err := cell.Explain(t.Context(), "j")
	if err != nil {
		t.Fatal(err)
	}
	if runs := reply.Job.Steps[0].Runs; len(runs) != 1 || runs[0].Run != order.Run {
		t.Errorf("after a poll sent before the start was accepted, the runs are %+v, want run %d", runs, order.Run)
	}
	close(held.release)
}
