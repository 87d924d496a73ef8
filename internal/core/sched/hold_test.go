package sched

import (
	"slices"
	"testing"
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// holdingCell returns a cell of 128 cores that endless tasks of team a fill, with jobs
// that have waited long enough to hold capacity. MaxHoldTime is long enough that no hold ends.
func holdingCell(t *testing.T, maxHeld float64) *cell {
	c := newCell(t, 16)
	c.cfg.MaxHeld, c.cfg.MaxHoldTime = maxHeld, time.Hour
	c.startOwner()
	c.runEndlessly(reservedUsage)
	c.mustSubmit("fill", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 32, Resources: amount(4, 4), RunTimeMS: 86_400_000, Idempotent: true})
	c.advance(2_000)
	large := domain.JobSpec{Kind: domain.JobBatch, Resources: amount(8, 8), RunTimeMS: 5_000}
	gang := domain.JobSpec{Kind: domain.JobGang, Tasks: 2, Resources: amount(6, 4), SpanZones: true}
	c.mustSubmit("gang1", "b", gang)
	c.advance(1_000)
	c.mustSubmit("gang2", "c", gang)
	c.advance(1_000)
	c.mustSubmit("large", "b", large)
	c.mustSubmit("own", "a", large)
	c.advance(100_000)
	return c
}

func (c *cell) mustHaveHolds(want ...domain.JobID) {
	c.t.Helper()
	if got := sortedKeys(c.m.holds); !slices.Equal(got, want) {
		c.t.Fatalf("jobs with a hold are %v, want %v", got, want)
	}
	holder := make(map[domain.WorkerID]domain.JobID)
	for id, h := range c.m.holds {
		for _, w := range h.workers {
			if other, ok := holder[w]; ok && other != id {
				c.t.Errorf("%s and %s hold worker %s", id, other, w)
			}
			holder[w] = id
		}
	}
}

// mustHaveNoHolds fails if a hold exists, or if the ledger still counts a hold that was dropped.
func (c *cell) mustHaveNoHolds() {
	c.t.Helper()
	c.mustHaveHolds()
	if !c.m.holdLedger.Allows(domain.Resources{}, c.m.index.Total(), 0) {
		c.t.Error("the ledger counts held capacity although no job has a hold")
	}
	for _, row := range c.teams {
		if held := c.m.holdLedger.HeldByTeam(row.ID); !held.IsZero() {
			c.t.Errorf("the ledger counts %+v for team %s although no job has a hold", held, row.ID)
		}
	}
}

// Guards against holds that exceed MaxHeld, that belong to a team above its share, or that outlive
// their job.
func TestSeveralHolds(t *testing.T) {
	cases := []struct {
		name    string
		maxHeld float64
		want    []domain.JobID
	}{
		{"one gang that exceeds the bound", 0.05, []domain.JobID{"gang1"}},
		{"one more gang, or one large task, within the bound", 0, []domain.JobID{"gang1", "gang2"}},
		{"all but those of the team above its share", 0.2, []domain.JobID{"gang1", "gang2", "large"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := holdingCell(t, tc.maxHeld)
			c.mustHaveHolds(tc.want...)
			for _, id := range []domain.JobID{"gang1", "gang2", "large", "own"} {
				c.step(Cancel{Jobs: []domain.JobID{id}})
			}
			c.advance(1_000)
			c.mustHaveNoHolds()
		})
	}
}

// Guards against an urgent gang that waits for workers held for other jobs.
func TestUrgentGangEndsHolds(t *testing.T) {
	c := holdingCell(t, 0.2)
	c.mustHaveHolds("gang1", "gang2", "large")
	c.mustSubmit("now", "b", domain.JobSpec{
		Kind: domain.JobGang, Tasks: 16, Resources: amount(8, 8), SpanZones: true, Priority: domain.PriorityUrgent,
	})
	c.advance(1_000)
	c.mustHaveHolds("now")
}

// Guards against jobs with holds that use up the searches of every round, so that a job for
// which there is free capacity is never offered, and against more holds than MaxFailedSearches.
func TestHoldersLeaveSearchesToOthers(t *testing.T) {
	c := holdingCell(t, 0.2)
	c.m.cfg.MaxFailedSearches = 2
	c.mustHaveHolds("gang1", "gang2", "large")
	c.workers = append(c.workers, newFakeWorker("w900", "z0", "rack9", amount(2, 40)))
	c.listed["w900"] = true
	c.mustSubmit("small", "a", domain.JobSpec{Kind: domain.JobBatch, Resources: amount(2, 2)})
	c.advance(15_000)
	c.mustState("small", domain.JobRunning)
	c.mustSubmit("more", "c", domain.JobSpec{Kind: domain.JobBatch, Resources: amount(5, 8)})
	c.advance(100_000)
	c.mustHaveHolds("gang1", "gang2", "large")
}

// Guards against holds on a worker that leaves, and against holds that outlive MaxHoldTime.
func TestHoldsEnd(t *testing.T) {
	c := holdingCell(t, 0.2)
	lost := c.m.holds["large"].workers[0]
	c.setLeaving([]*fakeWorker{c.fakeWorker(lost)}, true)
	c.advance(2_000)
	if h := c.m.holds["large"]; h == nil || slices.Contains(h.workers, lost) {
		t.Fatalf("the large task holds %+v after worker %s left", h, lost)
	}
	c.m.cfg.MaxHoldTime = time.Minute
	c.m.housekeeping()
	if h := c.m.holds["gang1"]; h != nil {
		t.Fatalf("gang1 has held the same workers for more than %v", c.m.cfg.MaxHoldTime)
	}
}

// Guards against large tasks that starve because small tasks of another team take all capacity
// that becomes free.
func TestLargeTasksHoldCapacity(t *testing.T) {
	c := newCell(t, 16).startOwner()
	c.taskPlan = func(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
		if r.Job == "large" {
			return 1 << 40, domain.OutcomeSucceeded, r.Resources
		}
		return 20_000 + int64(r.Task)*7_919%20_000, domain.OutcomeSucceeded, r.Resources
	}
	c.mustSubmit("small", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 1500, Idempotent: true})
	c.advance(20_000)
	c.mustSubmit("large", "b", domain.JobSpec{Kind: domain.JobBatch, Tasks: 1, Resources: amount(8, 16), Idempotent: true})
	c.advance(85_000)
	c.mustState("large", domain.JobQueued)
	c.advance(55_000)
	c.mustState("large", domain.JobRunning)
	c.mustHaveNoHolds()
}

// Guards against a hold that is dropped for all tasks of a job when one of them starts.
func TestStartedTaskKeepsOtherHolds(t *testing.T) {
	c := newCell(t, 16)
	c.cfg.MaxHoldTime = time.Hour
	c.startOwner()
	c.taskPlan = func(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
		if r.Job == "fill" {
			// Ends are reported every 5 s, so the held workers become free in different reports.
			return 110_000 + int64(r.Task)*6_000, domain.OutcomeSucceeded, r.Resources
		}
		return 1 << 40, domain.OutcomeSucceeded, r.Resources
	}
	c.mustSubmit("fill", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 32, Resources: amount(4, 4), Idempotent: true})
	c.advance(2_000)
	c.mustSubmit("large", "b", domain.JobSpec{Kind: domain.JobBatch, Tasks: 2, Resources: amount(6, 4), Idempotent: true})
	c.advance(100_000)
	c.mustHaveHolds("large")
	sinceMS := c.m.holds["large"].sinceMS
	if n := len(c.m.holds["large"].workers); n != 2 {
		t.Fatalf("the hold is for %d of 2 tasks", n)
	}
	seen := false
	for range 1_000 {
		if s, _ := c.m.Status("large"); s.Running == 1 {
			c.mustHaveHolds("large")
			seen = true
			h := c.m.holds["large"]
			if len(h.workers) != 1 || c.m.holdLedger.HeldByTeam("b") != h.size || h.sinceMS != sinceMS {
				t.Fatalf("after one of 2 tasks started, the hold is for %d tasks, began %d ms later than before and counts %+v",
					len(h.workers), h.sinceMS-sinceMS, c.m.holdLedger.HeldByTeam("b"))
			}
			// Any other job can have at most the 15 workers that are not held.
			if _, ok := c.m.index.GangCandidates(placement.Request{Size: amount(8, 8)}, 16, true); ok {
				t.Fatal("the placement index dropped the hold of the second task")
			}
		}
		c.advance(250)
	}
	if s, _ := c.m.Status("large"); s.Running != 2 || !seen {
		t.Fatalf("%d of 2 large tasks run, one before the other: %v; %s", s.Running, seen, s.Reason)
	}
	c.mustHaveNoHolds()
}
