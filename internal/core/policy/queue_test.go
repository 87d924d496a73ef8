package policy

import (
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fleet = domain.Resources{CPUMilli: 100_000, MemoryMB: 100_000}
	small = domain.Resources{CPUMilli: 1000, MemoryMB: 1000}
)

func job(id, team string, age time.Duration) Item {
	return Item{
		Job: domain.JobID(id), Team: domain.TeamID(team), Kind: domain.JobBatch,
		Priority: domain.PriorityNormal, Size: small, Tasks: 1, Enqueued: start.Add(-age),
	}
}

func with(i Item, change func(*Item)) Item {
	change(&i)
	return i
}

func newTestQueue(o Options, limits map[string]int64) *queue {
	q := newQueue(o)
	q.SetTotal(fleet)
	var teams []Team
	for _, id := range []string{"a", "b", "c"} {
		limit := fleet
		if l, ok := limits[id]; ok {
			limit = small.Scale(l)
		}
		teams = append(teams, Team{ID: domain.TeamID(id), Share: 1, Limit: limit})
	}
	q.SetTeams(teams)
	return q
}

// drain starts everything that is offered, at most max jobs, and returns the order.
func drain(q *queue, max int) string {
	order := ""
	for range max {
		i, ok := q.Next()
		if !ok {
			break
		}
		q.Charge(i.Team, keyOf(i).need())
		q.Remove(i.Job)
		order += string(i.Job) + " "
	}
	return order
}

// Guards against an order that breaks class, share, age or the limit, and
// against gangs that are offered where only a part of them is below the limit.
func TestOrder(t *testing.T) {
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
			items: []Item{job("j1", "a", 3*time.Second), with(job("j2", "a", 2*time.Second), service), with(job("j3", "a", 1), urgent)},
			want:  "j3 j2 j1 ",
		},
		{
			name:   "team below its share first",
			o:      Options{Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", small) },
			items:  []Item{job("j1", "a", time.Minute), job("j2", "b", 0)},
			want:   "j2 j1 ",
		},
		{
			name:   "what runs elsewhere counts",
			o:      Options{Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", small); q.SetOutside("b", small.Scale(2)) },
			items:  []Item{job("j1", "a", 0), job("j2", "b", time.Minute)},
			want:   "j1 j2 ",
		},
		{
			name:   "waiting outweighs share",
			o:      Options{Weights: Weights{Share: 0.1, Waiting: 1}},
			before: func(q *queue) { q.Charge("a", small) },
			items:  []Item{job("j1", "a", 5*time.Minute), job("j2", "b", 0)},
			want:   "j1 j2 ",
		},
		{
			name:   "limit leaves room for one",
			limits: map[string]int64{"a": 1},
			items:  []Item{job("j1", "a", 2), job("j2", "a", 1), job("j3", "b", 0)},
			want:   "j1 j3 ",
		},
		{
			name:   "gang is considered whole",
			limits: map[string]int64{"a": 2, "b": 3},
			items:  []Item{with(job("j1", "a", 2), gang), with(job("j2", "b", 1), gang), job("j3", "a", 0)},
			want:   "j2 j3 ",
		},
		{
			name:  "missing team is never offered",
			items: []Item{job("j1", "nobody", time.Hour), job("j2", "a", 0)},
			want:  "j2 ",
		},
		{
			name:  "aged batch passes a new service and no urgent job",
			o:     Options{AgingStep: time.Minute},
			items: []Item{with(job("j1", "a", 0), service), job("j2", "a", 2*time.Minute), with(job("j3", "a", 0), urgent)},
			want:  "j3 j2 j1 ",
		},
		{
			name:   "aged backlog of a team above its share stays behind",
			o:      Options{AgingStep: time.Minute, Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", small.Scale(50)) },
			items:  []Item{job("j1", "a", time.Hour), job("j2", "b", 0)},
			want:   "j2 j1 ",
		},
		{
			name:   "aging orders the jobs of a team above its share",
			o:      Options{AgingStep: time.Minute, Weights: Weights{Share: 1}},
			before: func(q *queue) { q.Charge("a", small.Scale(50)) },
			items: []Item{
				with(job("j1", "a", time.Hour), func(i *Item) { i.Priority = domain.PriorityLow }), job("j2", "a", 0),
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
			q.Begin(start)
			if got := drain(q, 10); got != c.want {
				t.Fatalf("order is %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a wrong reason for waiting and against a job that a refund
// or the next round does not offer again.
func TestPassAndWhy(t *testing.T) {
	q := newTestQueue(Options{}, map[string]int64{"b": 0})
	larger := with(job("j2", "c", 1), func(i *Item) { i.Size = small.Scale(2) })
	other := with(job("j3", "a", 1), func(i *Item) { i.Constraint = "zone z1" })
	for _, i := range []Item{job("j1", "a", 2), larger, other, job("j4", "b", 9), job("j5", "c", 0)} {
		q.Push(i)
	}
	q.Begin(start)
	first, _ := q.Next()
	q.Pass(first.Job, WaitNoRoom)
	second, _ := q.Next()
	q.Pass(second.Job, WaitRestarts)
	if _, more := q.Next(); more || first.Job != "j1" || second.Job != "j3" {
		t.Fatalf("offers are %s, %s and more: %v", first.Job, second.Job, more)
	}
	for id, want := range map[domain.JobID]WaitReason{
		"j1": WaitNoRoom, "j2": WaitNoRoom, "j3": WaitRestarts, "j4": WaitTeamLimit, "j5": WaitNoRoom,
	} {
		if got := q.Why(id); got != want {
			t.Errorf("%s waits because of %s, want %s", id, got, want)
		}
	}
	q.SetTeams([]Team{{ID: "a", Share: 1, Limit: fleet}, {ID: "b", Share: 1, Limit: small}, {ID: "c", Share: 1, Limit: fleet}})
	q.Begin(start)
	if got := drain(q, 10); got != "j4 j1 j3 j2 j5 " {
		t.Fatalf("next round offers %q", got)
	}
}

// Guards against a round that looks at each waiting job of a team at its
// limit, and against removals that cost more than linear time.
func TestLargeBacklog(t *testing.T) {
	const jobs = 10_000
	q := newTestQueue(Options{}, map[string]int64{"a": 0})
	for i := range jobs {
		q.Push(job(fmt.Sprint("a", i), "a", time.Duration(jobs-i)))
	}
	q.Push(job("b0", "b", 0))
	q.Begin(start)
	if got := drain(q, 10); got != "b0 " {
		t.Fatalf("order is %q", got)
	}
	work := testing.AllocsPerRun(10, func() {
		q.Begin(start)
		q.Next()
	})
	if work > 0 || len(q.dirtyGroups) > 1 || len(q.touched) > 1 {
		t.Fatalf("round allocates %v and touches %d groups", work, len(q.touched))
	}
	for i := range jobs {
		q.Remove(domain.JobID(fmt.Sprint("a", i)))
	}
	q.Begin(start)
	q.Next()
	if q.Len() != 0 || len(q.teams["a"].groups) != 0 {
		t.Fatalf("%d jobs and %d groups are left", q.Len(), len(q.teams["a"].groups))
	}
}

// Guards against room that is held too early, or for a team that runs more
// than its part of what the contending teams run.
func TestMayHold(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		before func(*queue)
		held   domain.Resources
		want   bool
	}{
		{"too early", 5 * time.Second, nil, domain.Resources{}, false},
		{"below its share", 10 * time.Second, nil, domain.Resources{}, true},
		{"held room counts", 10 * time.Second, nil, small.Scale(40), false},
		{"above its share", 10 * time.Second, func(q *queue) { q.Charge("a", small.Scale(40)) }, domain.Resources{}, false},
		{"above its share, long", 100 * time.Second, func(q *queue) { q.Charge("a", small.Scale(40)) }, domain.Resources{}, true},
		{"above its share, behind the other contender", 10 * time.Second, func(q *queue) {
			q.Charge("a", small.Scale(40))
			q.Charge("b", small.Scale(50))
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
			q.Begin(start)
			q.Next()
			if got := q.MayHold("j1", c.held); got != c.want {
				t.Fatalf("may hold is %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against jobs that are lost where a list changes in front of the
// position that a round has reached, and against a refund that wakes no job.
func TestPositions(t *testing.T) {
	const jobs = 3 * minCompact
	id := func(n int) domain.JobID { return domain.JobID(fmt.Sprintf("j%03d", n)) }
	older := with(job("older", "a", 0), func(i *Item) { i.Enqueued = start.Add(-time.Hour) })
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
		{"nothing", func(*queue) {}, id(0)},
		{"older job after a pass", func(q *queue) {
			q.Pass(id(0), WaitRestarts)
			q.Next()
			q.Push(older)
		}, "older"},
		{"older job after removals, in the next round", func(q *queue) {
			removeFrom(q, 0, 5)
			q.Next()
			q.Push(older)
			q.Next()
			q.Pass("older", WaitRestarts)
			q.Begin(start)
		}, "older"},
		{"removed and compacted", func(q *queue) {
			removeFrom(q, 0, 20)
			q.Next()
			q.Pass(id(20), WaitRestarts)
			q.Next()
			removeFrom(q, 40, jobs)
			q.Begin(start)
		}, id(20)},
		{"refund", func(q *queue) {
			q.Charge("a", fleet)
			q.Next()
			q.Refund("a", small)
		}, id(0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(Options{}, nil)
			for n := range jobs {
				q.Push(job(string(id(n)), "a", time.Duration(jobs-n)))
			}
			q.Begin(start)
			q.Next()
			c.change(q)
			if got, ok := q.Next(); !ok || got.Job != c.want {
				t.Fatalf("%q is offered, want %q", got.Job, c.want)
			}
		})
	}
}
