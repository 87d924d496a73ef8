package policy

import (
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

var (
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testFleet = domain.Resources{CPUMilli: 100_000, MemoryMB: 100_000}
	unit      = domain.Resources{CPUMilli: 1000, MemoryMB: 1000}
)

func job(id, team string, age time.Duration) Item {
	return Item{
		Job: domain.JobID(id), Team: domain.TeamID(team), Kind: domain.JobBatch,
		Priority: domain.PriorityNormal, Size: unit, Tasks: 1, Enqueued: testStart.Add(-age),
	}
}

func modified(i Item, change func(*Item)) Item {
	change(&i)
	return i
}

func newTestQueue(o Options, limits map[string]int64) *queue {
	q := newQueue(o)
	q.SetTotal(testFleet)
	var teams []Team
	for _, id := range []string{"a", "b", "c"} {
		limit := testFleet
		if l, ok := limits[id]; ok {
			limit = unit.Scale(l)
		}
		teams = append(teams, Team{ID: domain.TeamID(id), Share: 1, Limit: limit})
	}
	q.SetTeams(teams)
	return q
}

// startAll starts the offered jobs, at most limit, and returns their IDs in order.
func startAll(q *queue, limit int) string {
	order := ""
	for range limit {
		i, ok := q.Next()
		if !ok {
			break
		}
		q.Charge(i.Team, groupKeyOf(i).need())
		q.Remove(i.Job)
		order += string(i.Job) + " "
	}
	return order
}

// Guards against an order that violates priority class, share, age or the team limit, and
// against offering a gang that fits only partly below the limit.
func TestOfferOrder(t *testing.T) {
	urgent := func(i *Item) { i.Priority = domain.PriorityUrgent }
	service := func(i *Item) { i.Kind = domain.JobService }
	gang := func(i *Item) { i.Kind, i.Tasks = domain.JobGang, 3 }
	cases := []struct {
		name   string
		o      Options
		limits map[string]int64
		before func(*queue)
		items  []Item
		want   string
	}{
		{
			name:  "class before age",
			items: []Item{job("j1", "a", 3*time.Second), modified(job("j2", "a", 2*time.Second), service), modified(job("j3", "a", 1), urgent)},
			want:  "j3 j2 j1 ",
		},
		{
			name:   "team below its share first",
			o:      Options{Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", unit) },
			items:  []Item{job("j1", "a", time.Minute), job("j2", "b", 0)},
			want:   "j2 j1 ",
		},
		{
			name:   "resources running in other partitions count",
			o:      Options{Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", unit); q.SetRunningElsewhere("b", unit.Scale(2)) },
			items:  []Item{job("j1", "a", 0), job("j2", "b", time.Minute)},
			want:   "j1 j2 ",
		},
		{
			name:   "waiting outweighs share",
			o:      Options{Weights: Weights{Share: 0.1, Waiting: 1}},
			before: func(q *queue) { q.Charge("a", unit) },
			items:  []Item{job("j1", "a", 5*time.Minute), job("j2", "b", 0)},
			want:   "j1 j2 ",
		},
		{
			name:   "team limit permits one job",
			limits: map[string]int64{"a": 1},
			items:  []Item{job("j1", "a", 2), job("j2", "a", 1), job("j3", "b", 0)},
			want:   "j1 j3 ",
		},
		{
			name:   "gang is considered whole",
			limits: map[string]int64{"a": 2, "b": 3},
			items:  []Item{modified(job("j1", "a", 2), gang), modified(job("j2", "b", 1), gang), job("j3", "a", 0)},
			want:   "j2 j3 ",
		},
		{
			name:  "missing team is never offered",
			items: []Item{job("j1", "nobody", time.Hour), job("j2", "a", 0)},
			want:  "j2 ",
		},
		{
			name:  "aged batch job precedes a new service but no urgent job",
			o:     Options{AgingStep: time.Minute},
			items: []Item{modified(job("j1", "a", 0), service), job("j2", "a", 2*time.Minute), modified(job("j3", "a", 0), urgent)},
			want:  "j3 j2 j1 ",
		},
		{
			name:   "aging does not raise the backlog of a team above its share",
			o:      Options{AgingStep: time.Minute, Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", unit.Scale(50)) },
			items:  []Item{job("j1", "a", time.Hour), job("j2", "b", 0)},
			want:   "j2 j1 ",
		},
		{
			name:   "aging orders jobs within a team above its share",
			o:      Options{AgingStep: time.Minute, Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", unit.Scale(50)) },
			items: []Item{
				modified(job("j1", "a", time.Hour), func(i *Item) { i.Priority = domain.PriorityLow }), job("j2", "a", 0),
			},
			want: "j1 j2 ",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(c.o, c.limits)
			if c.before != nil {
				c.before(q)
			}
			for _, i := range c.items {
				q.Push(i)
			}
			q.BeginRound(testStart)
			if got := startAll(q, 10); got != c.want {
				t.Fatalf("order is %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a wrong wait reason, and against a passed job that is not offered again
// after a refund or in the next round.
func TestPassedJobsAreOfferedNextRound(t *testing.T) {
	q := newTestQueue(Options{}, map[string]int64{"b": 0})
	larger := modified(job("j2", "c", 1), func(i *Item) { i.Size = unit.Scale(2) })
	other := modified(job("j3", "a", 1), func(i *Item) { i.Constraint = "zone z1" })
	for _, i := range []Item{job("j1", "a", 2), larger, other, job("j4", "b", 9), job("j5", "c", 0)} {
		q.Push(i)
	}
	q.BeginRound(testStart)
	first, _ := q.Next()
	q.Pass(first.Job, WaitNoCapacity)
	second, _ := q.Next()
	q.Pass(second.Job, WaitRestartRate)
	if _, more := q.Next(); more || first.Job != "j1" || second.Job != "j3" {
		t.Fatalf("offered %s and %s, a third job: %v", first.Job, second.Job, more)
	}
	for id, want := range map[domain.JobID]WaitReason{
		"j1": WaitNoCapacity, "j2": WaitNoCapacity, "j3": WaitRestartRate, "j4": WaitTeamLimit, "j5": WaitNoCapacity,
	} {
		if got := q.WaitReason(id); got != want {
			t.Errorf("wait reason of %s is %s, want %s", id, got, want)
		}
	}
	q.SetTeams([]Team{{ID: "a", Share: 1, Limit: testFleet}, {ID: "b", Share: 1, Limit: unit}, {ID: "c", Share: 1, Limit: testFleet}})
	q.BeginRound(testStart)
	if got := startAll(q, 10); got != "j4 j1 j3 j2 j5 " {
		t.Fatalf("next round offered %q", got)
	}
}

// Guards against rounds that visit every waiting job of a team at its limit, and against
// removals that take more than linear time.
func TestBacklogAtLimitCostsNothingPerRound(t *testing.T) {
	const jobs = 10_000
	q := newTestQueue(Options{}, map[string]int64{"a": 0})
	for i := range jobs {
		q.Push(job(fmt.Sprint("a", i), "a", time.Duration(jobs-i)))
	}
	q.Push(job("b0", "b", 0))
	q.BeginRound(testStart)
	if got := startAll(q, 10); got != "b0 " {
		t.Fatalf("order is %q", got)
	}
	allocs := testing.AllocsPerRun(10, func() {
		q.BeginRound(testStart)
		q.Next()
	})
	if allocs > 0 || len(q.dirtyGroups) > 1 || len(q.resetGroups) > 1 {
		t.Fatalf("round makes %v allocations and visits %d groups", allocs, len(q.resetGroups))
	}
	for i := range jobs {
		q.Remove(domain.JobID(fmt.Sprint("a", i)))
	}
	q.BeginRound(testStart)
	q.Next()
	if q.Len() != 0 || len(q.teams["a"].groups) != 0 {
		t.Fatalf("%d jobs and %d groups remain after all jobs were removed", q.Len(), len(q.teams["a"].groups))
	}
}

// Guards against holding capacity too early, or for a team that runs more than its share of
// what the contending teams run.
func TestMayHoldAfterDelayAndBelowShare(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		before func(*queue)
		held   domain.Resources
		want   bool
	}{
		{"too early", 5 * time.Second, nil, domain.Resources{}, false},
		{"below its share", 10 * time.Second, nil, domain.Resources{}, true},
		{"held capacity counts as running", 10 * time.Second, nil, unit.Scale(40), false},
		{"above its share", 10 * time.Second, func(q *queue) { q.Charge("a", unit.Scale(40)) }, domain.Resources{}, false},
		{"above its share, after the longer delay", 100 * time.Second, func(q *queue) { q.Charge("a", unit.Scale(40)) }, domain.Resources{}, true},
		{"above its share, below the fair ratio", 10 * time.Second, func(q *queue) {
			q.Charge("a", unit.Scale(40))
			q.Charge("b", unit.Scale(50))
		}, domain.Resources{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(Options{ReservationDelay: 10 * time.Second}, nil)
			q.Push(job("j1", "a", c.age))
			q.Push(job("j2", "b", 0))
			if c.before != nil {
				c.before(q)
			}
			q.BeginRound(testStart)
			q.Next()
			if got := q.ShouldHold("j1", c.held); got != c.want {
				t.Fatalf("ShouldHold returned %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against losing jobs when the list changes before the position that the round has
// reached, and against a refund that does not make jobs eligible again.
func TestChangesDuringRoundLoseNoJob(t *testing.T) {
	const jobs = 3 * minCompactLen
	id := func(n int) domain.JobID { return domain.JobID(fmt.Sprintf("j%03d", n)) }
	older := modified(job("older", "a", 0), func(i *Item) { i.Enqueued = testStart.Add(-time.Hour) })
	removeFrom := func(q *queue, from, to int) {
		for n := from; n < to; n++ {
			q.Remove(id(n))
		}
	}
	cases := []struct {
		name   string
		change func(q *queue)
		want   domain.JobID
	}{
		{"no change", func(*queue) {}, id(0)},
		{"older job after a pass", func(q *queue) {
			q.Pass(id(0), WaitRestartRate)
			q.Next()
			q.Push(older)
		}, "older"},
		{"older job after removals, in the next round", func(q *queue) {
			removeFrom(q, 0, 5)
			q.Next()
			q.Push(older)
			q.Next()
			q.Pass("older", WaitRestartRate)
			q.BeginRound(testStart)
		}, "older"},
		{"removed and compacted", func(q *queue) {
			removeFrom(q, 0, 20)
			q.Next()
			q.Pass(id(20), WaitRestartRate)
			q.Next()
			removeFrom(q, 40, jobs)
			q.BeginRound(testStart)
		}, id(20)},
		{"refund", func(q *queue) {
			q.Charge("a", testFleet)
			q.Next()
			q.Refund("a", unit)
		}, id(0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(Options{}, nil)
			for n := range jobs {
				q.Push(job(string(id(n)), "a", time.Duration(jobs-n)))
			}
			q.BeginRound(testStart)
			q.Next()
			c.change(q)
			if got, ok := q.Next(); !ok || got.Job != c.want {
				t.Fatalf("%q was offered, want %q", got.Job, c.want)
			}
		})
	}
}
