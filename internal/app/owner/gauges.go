package owner

import (
	"go.uber.org/zap"

	"auburnpier/internal/metrics"
)

// measureMS is the time between two readings of the owner's gauges.
const measureMS = 1000

// accountMS is the time between two checks that every task is accounted for.
// A check goes over all tasks.
const accountMS = 5000

// gauges are what only the owner can tell. They end with the reign, so that a
// former owner shows no old figures.
type gauges struct {
	names  map[string]bool
	lastMS int64
	// accountedMS is when tasks were checked last.
	accountedMS int64
	metrics     *metrics.Registry
}

func (g *gauges) set(name string, value int64) {
	g.names[name] = true
	g.metrics.Gauge(name).Update(value)
}

func (g *gauges) drop() {
	for name := range g.names {
		g.metrics.Underlying().Unregister(name)
	}
}

// measure reads the gauges now and then.
func (c *Cell) measure(now int64) {
	g := &c.gauges
	if now-g.lastMS < measureMS {
		return
	}
	g.lastMS = now
	v := c.machine.Overview()
	g.set("owner.ring_depth", int64(len(c.events)))
	g.set("owner.claim_left_ms", c.confirmedMS.Load()-now)
	g.set("jobs.open", int64(v.OpenJobs))
	g.set("tasks.running", int64(v.RunningTasks))
	g.set("tasks.waiting", int64(v.WaitingTasks))
	g.set("workers.known", int64(v.Workers.Known))
	g.set("workers.heard", int64(v.Workers.Heard))
	g.set("workers.draining", int64(v.Workers.Draining))
	g.set("workers.suspect", int64(v.Suspects))
	if now-g.accountedMS >= accountMS {
		g.accountedMS = now
		lost := c.machine.Unaccounted()
		g.set("tasks.unaccounted", int64(len(lost)))
		if len(lost) > 0 {
			c.log.Error("task neither runs, nor waits, nor has ended", zap.String("job", string(lost[0].Job)),
				zap.Int("step", lost[0].Step), zap.Int("task", lost[0].Index), zap.Int("tasks", len(lost)))
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
