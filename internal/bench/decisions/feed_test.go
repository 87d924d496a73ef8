package decisions

import (
	"reflect"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

// checked wraps a scheduler and checks each start against the capacity of the
// worker and the limit of the team, with its own accounts.
type checked struct {
	measured
	t       *testing.T
	w       *Workload
	free    map[domain.WorkerID]domain.Resources
	running []domain.Resources
	starts  []string
}

func newChecked(t *testing.T, w *Workload, s measured) *checked {
	c := &checked{measured: s, t: t, w: w, free: make(map[domain.WorkerID]domain.Resources), running: make([]domain.Resources, len(w.Teams))}
	for _, n := range w.Nodes {
		c.free[n.ID] = n.Capacity
	}
	return c
}

func (c *checked) End(j *Job, worker domain.WorkerID) {
	c.free[worker] = c.free[worker].Add(j.Size)
	c.running[j.Team] = c.running[j.Team].Sub(j.Size)
	c.measured.End(j, worker)
}

func (c *checked) Round(now time.Time, start func(*Job, domain.WorkerID)) {
	c.measured.Round(now, func(j *Job, worker domain.WorkerID) {
		c.free[worker] = c.free[worker].Sub(j.Size)
		c.running[j.Team] = c.running[j.Team].Add(j.Size)
		if c.free[worker].IsNegative() {
			c.t.Fatalf("%s overcommits %s", j.ID, worker)
		}
		if !c.running[j.Team].Fits(c.w.Teams[j.Team].Limit) {
			c.t.Fatalf("%s takes team %d above its limit", j.ID, j.Team)
		}
		c.starts = append(c.starts, string(j.ID)+" "+string(worker))
		start(j, worker)
	})
}

// shortWorkload has a burst that fills a small fleet.
func shortWorkload() *Workload {
	return Target(3, 50, time.Minute)
}

// Guards against overcommitted workers, exceeded limits, work that never
// starts, and decisions that differ between two runs of the same input.
func TestContenders(t *testing.T) {
	for _, c := range contenders {
		t.Run(c.name, func(t *testing.T) {
			var runs [2]*checked
			for i := range runs {
				w := shortWorkload()
				runs[i] = newChecked(t, w, c.make(w))
				if r := Run(w, runs[i], 0); r.Unstarted > 0 {
					t.Fatalf("%d of %d jobs never started", r.Unstarted, len(w.Jobs))
				}
			}
			if !reflect.DeepEqual(runs[0].starts, runs[1].starts) {
				t.Fatal("two runs of the same workload start different tasks")
			}
		})
	}
}

// Guards against a fair division that gives a team more than its demand or
// leaves a part to nobody.
func TestFairDivision(t *testing.T) {
	w := shortWorkload()
	w.Teams = w.Teams[:3]
	for i, share := range []float64{2, 1, 1} {
		w.Teams[i].Share = share
	}
	cases := []struct {
		name         string
		demand, want []float64
	}{
		{"all want more", []float64{1, 1, 1}, []float64{0.5, 0.25, 0.25}},
		{"one wants less", []float64{1, 0.1, 1}, []float64{0.6, 0.1, 0.3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := fairDivision(w, c.demand, 1)
			for i := range got {
				if d := got[i] - c.want[i]; d > 1e-9 || d < -1e-9 {
					t.Fatalf("division is %v, want %v", got, c.want)
				}
			}
		})
	}
}
