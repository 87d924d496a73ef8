// Package decisions feeds a bounded workload to the job queue and the worker
// index, with an explicit clock and fixed seeds, and measures the decisions:
// their time, how long work waits, how full workers are, and how far teams are
// from their shares. It has no model of networks, stores, workers or failures.
package decisions

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// Epoch is the instant at which every workload starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Job is a submitted job with the actual run time of each task.
type Job struct {
	ID       domain.JobID
	Team     int // index in Workload.Teams
	Kind     domain.JobKind
	Priority domain.Priority
	Size     domain.Resources
	// Run holds the actual run time of each task.
	Run []time.Duration
	// Declared is the run time that the submitter declared.
	Declared time.Duration
	// Arrival is the time since Epoch.
	Arrival time.Duration
}

// Class returns the class under which waiting times are reported.
func (j *Job) Class() string {
	switch {
	case j.Priority == domain.PriorityUrgent:
		return "urgent"
	default:
		return string(j.Kind)
	}
}

// Workload is a fleet, its teams, and jobs in the order of arrival.
type Workload struct {
	Nodes []placement.Worker
	Teams []policy.Team
	Jobs  []*Job
	// Weights are those of the deployment.
	Weights policy.Weights
	// Tick is the time between rounds.
	Tick time.Duration
	// MaxHeld is the fraction of the fleet that is held at most for jobs without
	// room, and ReservationDelay how long such a job waits before. Held room is
	// idle until enough of it is free: more of it brings teams with large jobs
	// nearer to their shares and makes all other jobs wait longer.
	MaxHeld          float64
	ReservationDelay time.Duration
	// Settled is how long the fleet has to be full until shares are compared.
	Settled time.Duration
}

// Total returns the capacity of the fleet.
func (w *Workload) Total() domain.Resources {
	var total domain.Resources
	for _, n := range w.Nodes {
		total = total.Add(n.Capacity)
	}
	return total
}

// sizeChoice is a task size and how often jobs have it.
type sizeChoice struct {
	size   domain.Resources
	weight int
}

// demand tells how much a team submits, as fractions of the fleet that its
// tasks would occupy: base always, and burst during a part of each period.
type demand struct {
	share       float64
	limit       float64 // fraction of the fleet
	base, burst float64
	phase       time.Duration
}

// profile describes a workload.
type profile struct {
	nodes    []placement.Worker
	teams    []demand
	sizes    []sizeChoice
	gangs    []sizeChoice
	weights  policy.Weights
	duration time.Duration
	tick     time.Duration
	period   time.Duration // of bursts
	onFor    time.Duration // part of the period with the burst
	median   time.Duration // run time of batch tasks
	spread   float64       // sigma of the logarithm of run times
	tasks    float64       // mean number of tasks of a batch job
	service  float64       // fraction of the base load that services hold
	settled  time.Duration
	maxHeld  float64
	delay    time.Duration // until room is held
}

const (
	// urgentEvery, gangEvery and serviceEvery are the numbers of jobs of which
	// one is urgent, a gang or a service.
	urgentEvery  = 16
	gangEvery    = 12
	serviceEvery = 60
	// serviceFactor is the run time of such a service, as a multiple of the
	// median of batch tasks. Services at the start run until the end.
	serviceFactor = 10
	// maxRunFactor bounds run times, as a multiple of the median.
	maxRunFactor = 20
)

// generate draws the jobs of the profile from the seed.
func (p *profile) generate(seed uint64) *Workload {
	w := &Workload{Nodes: p.nodes, Weights: p.weights, Tick: p.tick, Settled: p.settled, MaxHeld: p.maxHeld, ReservationDelay: p.delay}
	total := w.Total()
	for i, d := range p.teams {
		w.Teams = append(w.Teams, policy.Team{
			ID:    domain.TeamID(fmt.Sprintf("team-%03d", i)),
			Share: d.share,
			Limit: scaled(total, d.limit),
		})
	}
	sampler := rand.New(rand.NewPCG(seed, 0))
	work := 0.0
	const samples = 4000
	for i := range samples {
		work += jobWork(p.draw(sampler, i), total)
	}
	work /= samples
	for i, d := range p.teams {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		w.Jobs = append(w.Jobs, p.services(r, i, d, total)...)
		w.Jobs = append(w.Jobs, p.arrivals(r, i, d, work)...)
	}
	slices.SortStableFunc(w.Jobs, func(a, b *Job) int { return int(a.Arrival - b.Arrival) })
	for i, j := range w.Jobs {
		j.ID = domain.JobID(fmt.Sprintf("job-%06d", i))
	}
	return w
}

// arrivals draws the jobs of one team as a Poisson process whose rate follows the bursts.
func (p *profile) arrivals(r *rand.Rand, team int, d demand, work float64) []*Job {
	var jobs []*Job
	peak := max(d.base, d.burst)
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(r.ExpFloat64() * work / peak * float64(time.Second))
		if at >= p.duration {
			return jobs
		}
		load := d.base * (1 - p.service)
		if (at+d.phase)%p.period < p.onFor {
			load = d.burst
		}
		j := p.draw(r, n)
		if r.Float64()*peak >= load {
			continue
		}
		j.Team = team
		j.Arrival = at
		jobs = append(jobs, j)
	}
}

// services draws the long-running replicas of one team, submitted at the start.
func (p *profile) services(r *rand.Rand, team int, d demand, total domain.Resources) []*Job {
	var jobs []*Job
	for held := 0.0; ; {
		j := &Job{Team: team, Kind: domain.JobService, Priority: domain.PriorityNormal, Size: pick(r, p.sizes)}
		replicas := 2 + r.IntN(3)
		held += j.Size.DominantShare(total) * float64(replicas)
		if held > d.base*p.service {
			return jobs
		}
		for range replicas {
			j.Run = append(j.Run, p.duration)
		}
		jobs = append(jobs, j)
	}
}

// draw returns a job without team and arrival.
func (p *profile) draw(r *rand.Rand, n int) *Job {
	j := &Job{Kind: domain.JobBatch, Priority: domain.PriorityNormal, Size: pick(r, p.sizes)}
	tasks := 1 + int(r.ExpFloat64()*(p.tasks-1))
	switch {
	case n%urgentEvery == 7:
		j.Priority = domain.PriorityUrgent
		tasks = 1 + r.IntN(2)
	case n%gangEvery == 3:
		j.Kind = domain.JobGang
		j.Size = pick(r, p.gangs)
		tasks = 4 + r.IntN(9)
	case n%serviceEvery == 13:
		j.Kind = domain.JobService
		tasks = 2 + r.IntN(3)
	}
	run := p.runTime(r)
	if j.Kind == domain.JobService {
		run = serviceFactor * p.median
	}
	for range tasks {
		// Tasks of one job take similar times; a gang ends together.
		factor := 1.0
		if j.Kind == domain.JobBatch {
			factor = 0.8 + 0.4*r.Float64()
		}
		j.Run = append(j.Run, time.Duration(float64(run)*factor))
	}
	// Declared run times are off by a factor of three in either direction.
	j.Declared = time.Duration(float64(run) * math.Exp(math.Log(3)*(2*r.Float64()-1)))
	return j
}

func (p *profile) runTime(r *rand.Rand) time.Duration {
	run := float64(p.median) * math.Exp(p.spread*r.NormFloat64())
	return time.Duration(min(run, maxRunFactor*float64(p.median)))
}

// jobWork returns the fraction of the fleet that a job takes, times seconds.
func jobWork(j *Job, total domain.Resources) float64 {
	seconds := 0.0
	for _, run := range j.Run {
		seconds += run.Seconds()
	}
	return seconds * j.Size.DominantShare(total)
}

func pick(r *rand.Rand, choices []sizeChoice) domain.Resources {
	sum := 0
	for _, c := range choices {
		sum += c.weight
	}
	n := r.IntN(sum)
	for _, c := range choices {
		if n -= c.weight; n < 0 {
			return c.size
		}
	}
	return choices[0].size
}

func scaled(r domain.Resources, f float64) domain.Resources {
	return domain.Resources{
		CPUMilli:     int64(float64(r.CPUMilli) * f),
		MemoryMB:     int64(float64(r.MemoryMB) * f),
		Accelerators: int64(float64(r.Accelerators) * f),
	}
}
