package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

var start = time.Unix(1000, 0)

func item(team domain.TeamID, share float64) *Item {
	return &Item{Team: team, Queue: "q", Share: share, Bytes: 1, Deadline: start.Add(time.Hour)}
}

func alwaysReady(*Item) bool { return true }

// Guards against slot time that is not divided by share, in particular when the requests
// of one team run longer than those of another.
func TestSlotTimeFollowsShares(t *testing.T) {
	cases := []struct {
		name  string
		share map[domain.TeamID]float64
		cost  map[domain.TeamID]time.Duration
	}{
		{"equal", map[domain.TeamID]float64{"a": 1, "b": 1}, map[domain.TeamID]time.Duration{"a": 10 * time.Millisecond, "b": 10 * time.Millisecond}},
		{"by share", map[domain.TeamID]float64{"a": 5, "b": 2, "c": 1}, map[domain.TeamID]time.Duration{"a": 10 * time.Millisecond, "b": 10 * time.Millisecond, "c": 10 * time.Millisecond}},
		{"long requests", map[domain.TeamID]float64{"a": 1, "b": 1}, map[domain.TeamID]time.Duration{"a": 100 * time.Millisecond, "b": 5 * time.Millisecond}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := NewFairQueue()
			used := make(map[domain.TeamID]time.Duration)
			var total time.Duration
			sum := 0.0
			for team, share := range tc.share {
				sum += share
				for range 20 {
					q.Push(item(team, share), QueueLimits{MaxItems: 1000, MaxBytes: 1000})
				}
			}
			for range 5000 {
				it := q.Next(alwaysReady)
				q.Remove(it)
				q.Start(it.Team, it.Share)
				q.Finish(it.Team, tc.cost[it.Team])
				used[it.Team] += tc.cost[it.Team]
				total += tc.cost[it.Team]
				q.Push(item(it.Team, it.Share), QueueLimits{MaxItems: 1000, MaxBytes: 1000})
			}
			for team, share := range tc.share {
				got, want := used[team].Seconds()/total.Seconds(), share/sum
				if got < want-0.02 || got > want+0.02 {
					t.Errorf("team %s got %.3f of the slot time, want %.3f", team, got, want)
				}
			}
		})
	}
}

// Guards against a team that accumulates credit while idle and then starves the others.
func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	q := NewFairQueue()
	for range 100 {
		q.Start("busy", 1)
		q.Finish("busy", time.Second)
	}
	for _, team := range []domain.TeamID{"busy", "idle"} {
		for range 50 {
			q.Push(item(team, 1), QueueLimits{MaxItems: 1000, MaxBytes: 1000})
		}
	}
	order := map[domain.TeamID]int{}
	for range 20 {
		it := q.Next(alwaysReady)
		q.Remove(it)
		q.Start(it.Team, 1)
		q.Finish(it.Team, time.Second)
		order[it.Team]++
	}
	if order["busy"] < 8 {
		t.Errorf("the busy team got %d of 20 slots after the idle team became active", order["busy"])
	}
}

// Guards against bounds that let one team keep another out of the queue.
func TestPushBounds(t *testing.T) {
	cases := []struct {
		name    string
		bounds  QueueLimits
		waiting []domain.TeamID
		arrival domain.TeamID
		ok      bool
		evicted domain.TeamID
	}{
		{"room", QueueLimits{3, 100}, []domain.TeamID{"a", "a"}, "a", true, ""},
		{"own flood", QueueLimits{3, 100}, []domain.TeamID{"a", "a", "a"}, "a", false, ""},
		{"flood of another", QueueLimits{3, 100}, []domain.TeamID{"a", "a", "a"}, "b", true, "a"},
		{"equal backlogs", QueueLimits{4, 100}, []domain.TeamID{"a", "a", "b", "b"}, "a", false, ""},
		{"own flood in bytes", QueueLimits{100, 3}, []domain.TeamID{"a", "a", "a"}, "a", false, ""},
		{"flood of another in bytes", QueueLimits{100, 3}, []domain.TeamID{"a", "a", "a"}, "b", true, "a"},
		{"larger than the bound", QueueLimits{100, 0}, nil, "a", false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := NewFairQueue()
			var last *Item
			for _, team := range tc.waiting {
				last = item(team, 1)
				q.Push(last, QueueLimits{100, 100})
			}
			evicted, ok := q.Push(item(tc.arrival, 1), tc.bounds)
			if ok != tc.ok {
				t.Errorf("accepted %v, want %v", ok, tc.ok)
			}
			if tc.evicted != "" && (len(evicted) != 1 || evicted[0] != last) {
				t.Errorf("evicted %d items, want the newest of team %s", len(evicted), tc.evicted)
			}
			if tc.evicted == "" && len(evicted) != 0 {
				t.Errorf("evicted %d items, want none", len(evicted))
			}
		})
	}
}

// Compares the queue with a plain list under random calls. Guards against wrong counts,
// a wrong order within a team and early expiry.
func TestFairQueueAgainstModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewFairQueue()
	var model []*Item // in order of arrival
	drop := func(it *Item) { model = slices.DeleteFunc(model, func(o *Item) bool { return o == it }) }
	now := start
	for step := range 20000 {
		switch rng.IntN(5) {
		case 0, 1:
			it := item(domain.TeamID(rune('a'+rng.IntN(5))), float64(1+rng.IntN(3)))
			it.Queue = domain.QueueID(rune('p' + rng.IntN(2)))
			it.Bytes = int64(rng.IntN(10))
			it.Deadline = now.Add(time.Duration(rng.IntN(100)) * time.Second)
			evicted, ok := q.Push(it, QueueLimits{MaxItems: 15, MaxBytes: 120})
			for _, e := range evicted {
				drop(e)
			}
			if ok {
				model = append(model, it)
			}
		case 2:
			blocked := domain.QueueID(rune('p' + rng.IntN(3)))
			it := q.Next(func(it *Item) bool { return it.Queue != blocked })
			oldest := slices.IndexFunc(model, func(o *Item) bool { return it != nil && o.Team == it.Team && o.Queue != blocked })
			ready := slices.ContainsFunc(model, func(o *Item) bool { return o.Queue != blocked })
			if (it != nil) != ready || (it != nil && model[oldest] != it) {
				t.Fatalf("step %d: next is not the oldest ready item of its team", step)
			}
			if it != nil {
				q.Remove(it)
				drop(it)
				q.Start(it.Team, it.Share)
				q.Finish(it.Team, time.Duration(rng.IntN(100))*time.Millisecond)
			}
		case 3:
			if len(model) > 0 {
				it := model[rng.IntN(len(model))]
				q.Remove(it)
				drop(it)
			}
		case 4:
			now = now.Add(time.Second)
			for _, it := range q.Expired(now) {
				if now.Before(it.Deadline) {
					t.Fatalf("step %d: item expired early", step)
				}
				drop(it)
			}
		}
		bytes, perQueue := int64(0), map[domain.QueueID]int{}
		for _, it := range model {
			bytes += it.Bytes
			perQueue[it.Queue]++
		}
		if q.Len() != len(model) || q.Bytes() != bytes || q.Waiting("p") != perQueue["p"] || q.Waiting("q") != perQueue["q"] {
			t.Fatalf("step %d: %d items of %d bytes, want %d of %d", step, q.Len(), q.Bytes(), len(model), bytes)
		}
	}
}
