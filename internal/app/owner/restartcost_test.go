//go:build !race

// The race detector fails an assertion of its own, not one of the code, when so many goroutines run in virtual time.

package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/cellworker"
)

// countedCalls counts the calls to workers.
type countedCalls struct {
	*cellworker.Fleet
	starts, stops, polls atomic.Int64
}

func (c *countedCalls) Start(ctx context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	c.starts.Add(1)
	return c.Fleet.Start(ctx, fence, o)
}

func (c *countedCalls) Stop(ctx context.Context, fence int64, o jobs.StopOrder) error {
	c.stops.Add(1)
	return c.Fleet.Stop(ctx, fence, o)
}

func (c *countedCalls) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	c.polls.Add(1)
	return c.Fleet.Poll(ctx, id, address, r)
}

// Guards against a proof that a lost run has ended which costs more than one stop order for each lost run, or any where all start
// orders were answered. It logs the cost at 1,500 workers.
func TestCostOfWorkerRestarts(t *testing.T) {
	const workers, restarted = 1500, 100
	for name, loseEvery := range map[string]int{"all starts answered": 0, "each 20th without an answer": 20, "each second without an answer": 2} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				c := newVirtualTest(t, workers, time.Hour)
				c.fleet.Age(time.Hour)
				c.fleet.MaxLease = 10 * time.Second
				calls := &countedCalls{Fleet: c.fleet}
				c.workers = calls
				cell := c.start("a").awaitOwned(t)
				c.fleet.LoseEvery(loseEvery)
				for n := range workers {
					id := fmt.Sprintf("j%d", n)
					c.fleet.Lasting(domain.JobID(id))
					c.submit(cell, id, 4)
				}
				c.awaitStarts(4*workers, time.Minute)
				time.Sleep(5 * time.Second)
				c.fleet.LoseEvery(0)
				repeats, stops, polls, lost := calls.starts.Load()-4*workers, calls.stops.Load(), calls.polls.Load(), 0
				time.Sleep(time.Second)
				pollsPerSecond := calls.polls.Load() - polls
				polls = calls.polls.Load()
				for _, id := range c.ids[:restarted] {
					lost += c.fleet.Running(id)
					c.fleet.Restart(id)
				}
				took := c.awaitStarts(4*workers+lost, time.Minute)
				t.Logf("%d start orders repeated; %d workers restart with %d runs: %d stop orders, %d polls (%d a second before), all run again after %v",
					repeats, restarted, lost, calls.stops.Load()-stops, calls.polls.Load()-polls, pollsPerSecond, took)
				if n := calls.stops.Load() - stops; n > int64(lost) {
					t.Errorf("%d stop orders for %d lost runs", n, lost)
				}
				if loseEvery == 0 && calls.stops.Load() > stops {
					t.Errorf("%d stop orders although all start orders were answered", calls.stops.Load()-stops)
				}
				c.checkFaults()
			})
		})
	}
}
