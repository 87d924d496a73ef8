package holds

import (
	"testing"
	"time"

	"auburnpier/internal/domain"
)

func cpus(n int64) domain.Resources { return domain.Resources{CPUMilli: n * 1000} }

// Guards against holding more than the bound allows, and against holds that stay counted
// after they are removed.
func TestLedger(t *testing.T) {
	l := NewLedger()
	total := cpus(100)
	l.Add("a", cpus(8))
	l.AddUnbounded("a", cpus(50))
	cases := []struct {
		size int64
		want bool
	}{{4, true}, {5, false}}
	for _, tc := range cases {
		if got := l.Allows(cpus(tc.size), total, 0.12); got != tc.want {
			t.Errorf("holding %d of 100 beside 8 with limit 0.12: allowed %v, want %v", tc.size, got, tc.want)
		}
	}
	if got := l.HeldByTeam("a"); got != cpus(58) {
		t.Errorf("team holds %+v, want 58 cores", got)
	}
	l.Remove("a", cpus(8))
	l.RemoveUnbounded("a", cpus(50))
	if !l.Allows(cpus(12), total, 0.12) || !l.HeldByTeam("a").IsZero() {
		t.Errorf("team still holds %+v after all holds were removed", l.HeldByTeam("a"))
	}
}

// Guards against an expected start that is too late or taken from an unknown end, which
// would let backfilled tasks delay the job that holds the capacity.
func TestExpectedStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	after := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	cases := []struct {
		name    string
		size    int64
		workers []domain.WorkerID
		want    time.Time
	}{
		{"free now", 2, []domain.WorkerID{"w"}, now},
		{"first end frees enough", 4, []domain.WorkerID{"w"}, after(10)},
		{"two members need both ends", 4, []domain.WorkerID{"w", "w"}, after(30)},
		{"slowest worker decides", 4, []domain.WorkerID{"w", "v"}, after(20)},
		{"ends free too little", 9, []domain.WorkerID{"w"}, time.Time{}},
		{"overdue", 4, []domain.WorkerID{"late"}, time.Time{}},
	}
	rooms := map[domain.WorkerID]WorkerCapacity{
		"w":    {Free: cpus(2), Ends: []TaskEnd{{after(30), cpus(4)}, {after(10), cpus(2)}}},
		"v":    {Free: cpus(0), Ends: []TaskEnd{{after(20), cpus(4)}}},
		"late": {Free: cpus(0), Ends: []TaskEnd{{after(-1), cpus(4)}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := ExpectedStart(now, cpus(tc.size), tc.workers, func(id domain.WorkerID) WorkerCapacity { return rooms[id] })
			if !got.Equal(tc.want) {
				t.Fatalf("expected start is %v, want %v", got, tc.want)
			}
		})
	}
}
