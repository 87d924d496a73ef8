package owner

import (
	"math"

	"go.uber.org/zap"

	"auburnpier/internal/metrics"
)

// gaugeIntervalMS is the time between two updates of the owner's gauges.
const gaugeIntervalMS = 1000

// accountingIntervalMS is the time between two checks that every task is accounted for. A check
// iterates over all tasks.
const accountingIntervalMS = 5000

// gauges are metrics that only the owner can provide. They are unregistered at the end of the term,
// so that a former owner exposes no stale values.
type gauges struct {
	names  map[string]bool
	lastMS int64
	// accountedMS is when the tasks were last checked.
	accountedMS int64
	metrics     *metrics.Registry
}

func (g *gauges) set(name string, value int64) {
	g.names[name] = true
	g.metrics.Gauge(name).Update(value)
}

func (g *gauges) unregister() {
	for name := range g.names {
		g.metrics.Underlying().Unregister(name)
	}
}

// updateGauges updates the gauges at their interval.
func (c *Cell) updateGauges(now int64) {
	g := &c.gauges
	if now-g.lastMS < gaugeIntervalMS {
		return
	}
	g.lastMS = now
	v := c.machine.Overview()
	g.set("owner.ring_depth", int64(len(c.events)))
	g.set("owner.claim_left_ms", c.confirmedUntilMS.Load()-now)
	g.set("jobs.open", int64(v.OpenJobs))
	g.set("jobs.parked", int64(v.Memory.ParkedJobs))
	g.set("jobs.memory_admitted", v.Memory.Admitted)
	g.set("jobs.memory_held", v.Memory.Held)
	g.set("jobs.memory_limit", v.Memory.Limit)
	g.set("tasks.active", int64(v.Memory.ActiveTasks))
	g.set("tasks.running", int64(v.RunningTasks))
	g.set("tasks.waiting", int64(v.WaitingTasks))
	g.set("workers.known", int64(v.Workers.Known))
	g.set("workers.heard", int64(v.Workers.Responsive))
	g.set("workers.draining", int64(v.Workers.Draining))
	g.set("workers.suspect", int64(v.Suspects))
	if a := v.Approvals; a != nil {
		g.set("approvals.use_percent", int64(a.UsePercent))
		g.set("approvals.scarce", boolGauge(a.Scarce))
	}
	if i := v.Interference; i != nil {
		g.set("interference.pairs_observed", int64(i.Pairs))
		g.set("interference.pairs_known", int64(i.Known))
		g.set("interference.placements_changed", i.PlacementsChanged)
		g.set("interference.saved_ms", i.SavedMS)
	}
	if d := v.Departures; d != nil {
		g.set("departures.checkpoint", d.Checkpoint)
		g.set("departures.restart", d.Restart)
		g.set("departures.gang", d.Gang)
		g.set("departures.discarded_core_seconds", d.DiscardedCoreS)
		g.set("departures.saved_ms", d.SavedMS)
	}
	if s := v.SlowWorkers; s != nil {
		g.set("slow_workers.suspected", int64(s.Suspected))
		g.set("slow_workers.suspicions", s.Suspicions)
		g.set("slow_workers.recoveries", s.Recoveries)
		g.set("slow_workers.placements_changed", s.PlacementsChanged)
		g.set("slow_workers.moved_restart", s.MovedRestart)
		g.set("slow_workers.moved_checkpoint", s.MovedCheckpoint)
		g.set("slow_workers.moved_gang", s.MovedGang)
		g.set("slow_workers.saved_ms", s.SavedMS)
	}
	if s := v.Shares; s != nil {
		g.set("shares.teams_over", int64(s.TeamsOver))
		g.set("shares.largest_excess_percent", int64(s.LargestExcessPercent))
	}
	if c.machine.LearnsAnything() {
		l := c.machine.LearnedStats()
		g.set("learned.queues", int64(l.Queues))
		g.set("learned.classes", int64(l.Classes))
		g.set("learned.workers", int64(l.Workers))
		g.set("learned.duration_error_percent", errorPercent(l.ExpectedError))
		g.set("learned.estimate_error_percent", errorPercent(l.EstimateError))
	}
	if now-g.accountedMS >= accountingIntervalMS {
		g.accountedMS = now
		unaccounted := c.machine.UnaccountedTasks()
		g.set("tasks.unaccounted", int64(len(unaccounted)))
		if len(unaccounted) > 0 {
			c.log.Error("task is neither running, waiting nor ended", zap.String("job", string(unaccounted[0].Job)),
				zap.Int("step", unaccounted[0].Step), zap.Int("task", unaccounted[0].Index), zap.Int("tasks", len(unaccounted)))
		}
	}
	for _, t := range v.Teams {
		name := "team." + string(t.Team)
		g.set(name+".used_cpu_milli", t.Used.CPUMilli)
		g.set(name+".limit_cpu_milli", t.Limit.CPUMilli)
		g.set(name+".used_memory_mb", t.Used.MemoryMB)
		g.set(name+".limit_memory_mb", t.Limit.MemoryMB)
	}
}

// errorPercent returns by how many percent durations are off for a mean error of their logarithm.
func errorPercent(log float64) int64 { return int64(math.Round(100 * math.Expm1(log))) }

func boolGauge(v bool) int64 {
	if v {
		return 1
	}
	return 0
}
