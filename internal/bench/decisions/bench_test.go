package decisions

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// measured is a scheduler whose decisions are timed.
type measured interface {
	Scheduler
	decisions() *Decisions
}

func (d *Decisions) decisions() *Decisions { return d }

// contenders are the scheduler and the baselines, by name.
var contenders = []struct {
	name string
	make func(w *Workload) measured
}{
	{"auburnpier", func(w *Workload) measured { return newScheduler(w) }},
	{"first_come", func(w *Workload) measured { return newFirstCome(w) }},
	{"round_robin", func(w *Workload) measured { return newRoundRobin(w) }},
	{"first_fit", func(w *Workload) measured { return newFirstFit(w) }},
}

// seeds are those of every figure in docs/measurements.md.
var seeds = []uint64{1, 2, 3}

// BenchmarkDeployments replays both deployment examples and reports waiting
// times, packing and distance from share, averaged over the seeds.
func BenchmarkDeployments(b *testing.B) {
	for _, d := range []struct {
		name string
		make func(seed uint64) *Workload
	}{{"counting", Counting}, {"ordering", Ordering}} {
		for _, c := range contenders {
			b.Run(d.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					reportQuality(b, d.make, c.make, 0)
				}
			})
		}
	}
}

// BenchmarkTarget feeds the peak of the target for four minutes, of which the
// fleet needs two to fill up.
func BenchmarkTarget(b *testing.B) {
	const duration = 4 * time.Minute
	for _, workers := range []int{50, 400, 1500} {
		for _, c := range contenders {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, c.name), func(b *testing.B) {
				for range b.N {
					reportQuality(b, func(seed uint64) *Workload { return Target(seed, workers, duration) }, c.make, duration)
				}
			})
		}
	}
}

func reportQuality(b *testing.B, workload func(seed uint64) *Workload, scheduler func(w *Workload) measured, until time.Duration) {
	b.Helper()
	sums := make(map[string]float64)
	for _, seed := range seeds {
		w := workload(seed)
		s := scheduler(w)
		r := Run(w, s, until)
		for name, v := range r.metrics(s.decisions()) {
			sums[name] += v / float64(len(seeds))
		}
	}
	for name, v := range sums {
		b.ReportMetric(v, name)
	}
	b.ReportMetric(0, "ns/op")
}

// metrics returns the measures by unit name.
func (r *Report) metrics(d *Decisions) map[string]float64 {
	m := map[string]float64{
		"decision-p50-us":  Percentile(d.Nanos, 0.5) / 1e3,
		"decision-p99-us":  Percentile(d.Nanos, 0.99) / 1e3,
		"decisions":        float64(len(d.Nanos)),
		"decisions/s":      1e9 / average(d.Nanos),
		"starts/s":         float64(r.starts) / r.Simulated.Seconds(),
		"running-peak":     float64(r.peakRunning),
		"unstarted":        float64(r.Unstarted),
		"full-cpu-%":       100 * r.cpu.Value(),
		"full-memory-%":    100 * r.memory.Value(),
		"full-allocated-%": 100 * r.allocated.Value(),
		"stranded-%":       100 * r.stranded.Value(),
		"distance-mean-%":  100 * r.distance.Value(),
		"distance-max-%":   100 * r.largest.Value(),
		"settled-mean-%":   100 * r.settledDistance.Value(),
		"settled-max-%":    100 * r.settledLargest.Value(),
		"samples-full":     float64(r.allocated.n),
		"wait-all-mean-s":  average(r.JobWaits["all"]),
		"wait-task-mean-s": average(r.TaskWaits["all"]),
	}
	for _, class := range []string{"urgent", "service", "batch", "gang", "all", smallTeams} {
		m["wait-"+class+"-p50-s"] = Percentile(r.JobWaits[class], 0.5)
		m["wait-"+class+"-p99-s"] = Percentile(r.JobWaits[class], 0.99)
	}
	return m
}

// memoryInUse returns the bytes in use after a collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
