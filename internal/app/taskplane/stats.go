package taskplane

// publishTicks is the number of ticks between two updates of the metrics.
const publishTicks = 20

// publish copies the state machine's counters to the metrics. It runs on the
// state machine's goroutine.
func (p *Partition) publish() {
	stats := p.machine.Stats()
	for reason, n := range stats.Retries {
		p.o.Metrics.Counter("retry." + string(reason)).Inc(int64(n - p.publishedStats.Retries[reason]))
	}
	p.count("taskplane.decided_starts", stats.Starts, p.publishedStats.Starts)
	p.count("taskplane.preemptions", stats.Preemptions, p.publishedStats.Preemptions)
	p.count("taskplane.memory_stops", stats.MemoryStops, p.publishedStats.MemoryStops)
	p.count("taskplane.throttles", stats.Throttles, p.publishedStats.Throttles)
	p.count("taskplane.rack_failures", stats.RackFailures, p.publishedStats.RackFailures)
	p.gauge("jobs_queued", stats.JobsQueued)
	p.gauge("jobs_running", stats.JobsRunning)
	p.gauge("tasks_waiting", stats.TasksWaiting)
	p.gauge("tasks_active", stats.TasksActive)
	p.gauge("workers", stats.Workers)
	p.gauge("workers_leased", stats.WorkersLeased)
	p.gauge("workers_unreachable", stats.WorkersUnreachable)
	p.gauge("workers_quarantined", stats.WorkersQuarantined)
	p.publishedStats = stats
}

func (p *Partition) count(name string, now, before uint64) {
	p.o.Metrics.Counter(name).Inc(int64(now - before))
}

func (p *Partition) gauge(name string, value int) {
	p.o.Metrics.Gauge("taskplane." + string(p.id) + "." + name).Update(int64(value))
}
