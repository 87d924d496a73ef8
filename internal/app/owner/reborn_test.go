package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/cellworker"
)

// rebornWorkers restarts a worker just before a start of the job reaches it.
type rebornWorkers struct {
	*cellworker.Fleet
	job      domain.JobID
	restarts atomic.Int64
}

func (r *rebornWorkers) Start(ctx context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	if o.Task.Job == r.job && r.restarts.Add(1) == 1 {
		r.Fleet.Restart(o.Worker)
	}
	return r.Fleet.Start(ctx, fence, o)
}

// Guards against a worker that comes back under its ID and has the ends of its
// new life acknowledged by the numbers of the former one: a success that nobody
// has read is forgotten, and the task runs again.
func TestEndsOfAnotherLife(t *testing.T) {
	c := newFleetTest(t, 1, 20*time.Millisecond)
	workers := &rebornWorkers{Fleet: c.fleet, job: "after"}
	c.workers = workers
	i := c.start("a")
	cell := i.owned(t)
	c.submit(cell, "before", 8)
	c.completed(i, "before")
	c.submit(cell, "after", 1)
	c.completed(i, "after")
	if workers.restarts.Load() != 1 {
		t.Errorf("the task was started %d times", workers.restarts.Load())
	}
	c.check()
}

// Guards against ends that are never acknowledged where the owner alone looks
// at more workers than it can ask within a second.
func TestEndsAreAcknowledgedByALoneOwner(t *testing.T) {
	const workers, tasks = 200, 400
	c := newFleetTest(t, workers, 20*time.Millisecond)
	c.directWorkers = 20
	i := c.start("a")
	c.submit(i.owned(t), "job", tasks)
	c.completed(i, "job")
	// The platform permits 5 s.
	time.Sleep(5 * time.Second)
	listed := 0
	for _, id := range c.ids {
		report, err := c.fleet.Poll(context.Background(), id, "10.0.0.1:1", port.PollRequest{Fence: 1})
		if err != nil {
			t.Fatal(err)
		}
		listed += len(report.Ends)
	}
	// A fifth may be late.
	if listed > tasks/5 {
		t.Errorf("%d of %d ends are not acknowledged 5 s after the job has completed", listed, tasks)
	}
	c.check()
}

// Guards against ends that are never acknowledged.
func TestEndsAreAcknowledged(t *testing.T) {
	c := newFleetTest(t, 1, 20*time.Millisecond)
	i := c.start("a")
	c.submit(i.owned(t), "job", 8)
	c.completed(i, "job")
	time.Sleep(300 * time.Millisecond)
	report, err := c.fleet.Poll(context.Background(), c.ids[0], "10.0.0.1:1", port.PollRequest{Fence: 1})
	if err != nil || len(report.Ends) != 0 {
		t.Errorf("the worker lists %d ends after the job has completed: %v", len(report.Ends), err)
	}
}
