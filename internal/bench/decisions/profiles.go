package decisions

import (
	"fmt"
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// memoryHeadroom is the part of a worker's memory that may be reserved.
const memoryHeadroom = 0.95

// workersPerRack is the same in both deployments and at the target.
const workersPerRack = 8

func size(cores, gb float64, accelerators int64) domain.Resources {
	return domain.Resources{CPUMilli: int64(cores * 1000), MemoryMB: int64(gb * 1000), Accelerators: accelerators}
}

// fleet returns workers spread over zones in racks. Capacity is asked for each worker.
func fleet(workers, zones int, capacity func(i int) domain.Resources) []placement.Worker {
	nodes := make([]placement.Worker, 0, workers)
	for i := range workers {
		zone := i * zones / workers
		c := capacity(i)
		c.MemoryMB = int64(float64(c.MemoryMB) * memoryHeadroom)
		nodes = append(nodes, placement.Worker{
			ID: domain.WorkerID(fmt.Sprintf("w%04d", i)),
			Location: domain.Location{
				Region: "r1",
				Zone:   domain.ZoneID(fmt.Sprintf("z%d", zone)),
				Rack:   domain.RackID(fmt.Sprintf("rack%d", i/workersPerRack)),
			},
			Capacity: c,
		})
	}
	return nodes
}

func uniform(r domain.Resources) func(int) domain.Resources {
	return func(int) domain.Resources { return r }
}

// fewLarge returns the demand of six teams. Two are large; the first asks for
// the whole fleet in its bursts, and the small ones ask for about their share.
func fewLarge() []demand {
	return []demand{
		{share: 35, limit: 0.8, base: 0.22, burst: 1.0, phase: 0},
		{share: 25, limit: 0.6, base: 0.16, burst: 0.5, phase: 10 * time.Minute},
		{share: 10, limit: 0.4, base: 0.06, burst: 0.15, phase: 0},
		{share: 10, limit: 0.4, base: 0.06, burst: 0.15, phase: 20 * time.Minute},
		{share: 10, limit: 0.4, base: 0.06, burst: 0.15, phase: 5 * time.Minute},
		{share: 10, limit: 0.4, base: 0.06, burst: 0.15, phase: 40 * time.Minute},
	}
}

// Counting is the deployment that weighs nearness to share most.
func Counting(seed uint64) *Workload {
	p := profile{
		nodes: fleet(50, 3, uniform(size(60, 250, 0))),
		teams: fewLarge(),
		sizes: []sizeChoice{
			{size(1, 2, 0), 20}, {size(2, 8, 0), 30}, {size(4, 16, 0), 20}, {size(8, 16, 0), 12},
			{size(4, 48, 0), 12}, {size(16, 64, 0), 5}, {size(30, 100, 0), 1},
		},
		gangs:    []sizeChoice{{size(8, 32, 0), 3}, {size(16, 32, 0), 1}},
		weights:  policy.Weights{Share: 1, Waiting: 0.02, Packing: 0.8},
		duration: 3 * time.Hour, tick: 500 * time.Millisecond,
		period: time.Hour, onFor: 9 * time.Minute,
		median: time.Minute, spread: 0.8, tasks: 12, service: 0.3, settled: 3 * time.Minute,
		maxHeld: 0.12, delay: 90 * time.Second,
	}
	return p.generate(seed)
}

// Ordering is the deployment that weighs waiting time most.
func Ordering(seed uint64) *Workload {
	p := profile{
		nodes: fleet(50, 3, uniform(size(16, 32, 0))),
		teams: fewLarge(),
		sizes: []sizeChoice{
			{size(1, 1, 0), 25}, {size(2, 4, 0), 35}, {size(4, 4, 0), 15}, {size(2, 8, 0), 15}, {size(8, 16, 0), 8},
			{size(12, 12, 0), 2},
		},
		gangs:    []sizeChoice{{size(4, 8, 0), 3}, {size(8, 8, 0), 1}},
		weights:  policy.Weights{Share: 1, Waiting: 0.2, Packing: 0.8},
		duration: 3 * time.Hour, tick: 500 * time.Millisecond,
		period: time.Hour, onFor: 9 * time.Minute,
		median: 30 * time.Second, spread: 0.8, tasks: 6, service: 0.3, settled: 2 * time.Minute,
		maxHeld: 0.08, delay: 4 * time.Minute,
	}
	return p.generate(seed)
}

// targetTeams returns 260 teams with shares that fall off as one over the
// rank, and demand that is above the share for every other team. The sum is
// slightly above the fleet.
func targetTeams(teams int) []demand {
	sum := 0.0
	for i := range teams {
		sum += 1 / float64(i+4)
	}
	list := make([]demand, 0, teams)
	for i := range teams {
		share := 1 / float64(i+4) / sum
		load := share * 1.0
		if i%2 == 0 {
			load = share * 1.6
		}
		list = append(list, demand{share: share, limit: min(1, share*3), base: load, burst: load})
	}
	return list
}

// targetSizes are the task sizes of the target.
var targetSizes = []sizeChoice{
	{size(1, 4, 0), 30}, {size(2, 8, 0), 30}, {size(3, 8, 0), 20}, {size(6, 24, 0), 12},
	{size(3, 32, 0), 6}, {size(12, 48, 0), 5}, {size(4, 16, 1), 1}, {size(16, 48, 0), 1},
}

// Target is the fleet in two years at its peak, scaled to a number of workers;
// 1500 is the full size with 19,000 running tasks and 460 starts a second.
func Target(seed uint64, workers int, duration time.Duration) *Workload {
	p := profile{
		nodes: fleet(workers, 8, func(i int) domain.Resources {
			switch {
			case i%15 == 14:
				return size(32, 128, 4)
			case i%4 == 3:
				return size(60, 250, 0)
			default:
				return size(32, 128, 0)
			}
		}),
		teams:    targetTeams(max(6, 260*workers/1500)),
		sizes:    targetSizes,
		gangs:    []sizeChoice{{size(4, 16, 0), 1}, {size(8, 16, 0), 1}},
		weights:  policy.Weights{Share: 1, Waiting: 0.02, Packing: 0.8},
		duration: duration, tick: 100 * time.Millisecond,
		period: time.Hour, onFor: time.Hour,
		median: 24 * time.Second, spread: 0.8, tasks: 20, service: 0.2, settled: time.Minute,
		maxHeld: 0.05, delay: 15 * time.Second,
	}
	return p.generate(seed)
}
