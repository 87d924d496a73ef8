package sched

import (
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

// Guards against starts that are sent before their intent is durable, and against jobs that
// do not finish.
func TestStartsWaitForTheJournal(t *testing.T) {
	c := newCell(t, 4).startOwner()
	c.storeDown = true
	c.mustSubmit("j1", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 3, Idempotent: true})
	c.advance(20_000)
	if c.started != 0 {
		t.Fatalf("%d starts were sent although no intent was in the journal", c.started)
	}
	if got := c.m.Stats().Reserved; got != amount(3, 6) {
		t.Fatalf("intents that are not durable reserve %+v, want the size of 3 tasks", got)
	}
	c.storeDown = false
	c.advance(20_000)
	c.mustState("j1", domain.JobSucceeded)
	c.mustEqualRecovered()
}

// Guards against a kind of job that does not reach its final or steady state.
func TestKindsOfJobs(t *testing.T) {
	c := newCell(t, 8).startOwner()
	c.mustSubmit("batch", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 20, Idempotent: true})
	c.mustSubmit("service", "b", domain.JobSpec{Kind: domain.JobService, Tasks: 4, Idempotent: true})
	c.mustSubmit("gang", "c", domain.JobSpec{Kind: domain.JobGang, Tasks: 4})
	c.advance(60_000)
	c.mustState("batch", domain.JobSucceeded)
	c.mustState("gang", domain.JobSucceeded)
	c.mustState("service", domain.JobRunning)
	if w, _ := c.m.Worker("w000"); w.Capacity != (domain.Resources{CPUMilli: 8_000, MemoryMB: 38_000}) {
		t.Errorf("the capacity is %+v, want 5 %% of the memory left as headroom", w.Capacity)
	}
	c.mustEqualRecovered()
}

// Guards against ended jobs that are kept forever, or dropped while callers may still query them.
func TestEndedJobsAreDropped(t *testing.T) {
	c := newCell(t, 2)
	c.cfg.EndedRetention, c.cfg.MaxEnded = time.Minute, 5
	c.startOwner()
	spec := domain.JobSpec{Name: "n", Kind: domain.JobBatch, IdempotencyKey: "k"}
	for i := range 8 {
		spec.IdempotencyKey = fmt.Sprintf("k%d", i)
		c.mustSubmit(domain.JobID(fmt.Sprintf("j%d", i)), "a", spec)
		c.advance(1_000)
	}
	c.advance(20_000)
	if got := c.m.Stats().JobsEnded; got != 5 {
		t.Fatalf("%d ended jobs are kept, want 5", got)
	}
	c.mustState("j7", domain.JobSucceeded)
	c.mustEqualRecovered()
	c.advance(60_000)
	if got := c.m.Stats().JobsEnded; got != 0 {
		t.Fatalf("%d ended jobs are kept after a minute, want none", got)
	}
	if r := c.submit("again", "a", spec); r.Err != nil || r.Existing {
		t.Fatalf("resubmitting the idempotency key of a dropped job gives %+v, want a new job", r)
	}
}
