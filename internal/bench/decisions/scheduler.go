package decisions

import (
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// Decisions records the wall-clock time of each decision: the choice of a
// job, the choice of workers, and the bookkeeping of both.
type Decisions struct {
	// Nanos holds the time of each decision.
	Nanos []float64
	from  time.Time
}

func (d *Decisions) begin() { d.from = time.Now() }

func (d *Decisions) end() { d.Nanos = append(d.Nanos, float64(time.Since(d.from))) }

// reservationDelay is how long a gang waits until workers are held for it.
const reservationDelay = 30 * time.Second

// scheduler drives the queue and the index as the partition state machine does.
type scheduler struct {
	Decisions
	w     *Workload
	queue policy.Queue
	index placement.Index
	jobs  map[domain.JobID]*pending
	// held is the gang that holds workers, or empty.
	held domain.JobID
	now  time.Time
}

// pending is a job with waiting tasks.
type pending struct {
	job  *Job
	item policy.Item
}

// newScheduler returns a scheduler over the fleet and the teams of w.
func newScheduler(w *Workload) *scheduler {
	s := &scheduler{
		w:     w,
		queue: policy.NewQueue(policy.Options{Weights: w.Weights}),
		index: newFilledIndex(w),
		jobs:  make(map[domain.JobID]*pending),
	}
	s.queue.SetTotal(w.Total())
	s.queue.SetTeams(w.Teams)
	return s
}

func newFilledIndex(w *Workload) placement.Index {
	x := placement.NewIndex(placement.Options{Packing: w.Weights.Packing})
	for _, n := range w.Nodes {
		x.Upsert(n)
	}
	return x
}

func (s *scheduler) Submit(j *Job) {
	p := &pending{job: j, item: policy.Item{
		Job: j.ID, Team: s.w.Teams[j.Team].ID, Kind: j.Kind, Priority: j.Priority,
		Size: j.Size, Tasks: len(j.Run), Enqueued: Epoch.Add(j.Arrival),
	}}
	s.jobs[j.ID] = p
	s.queue.Push(p.item)
}

func (s *scheduler) End(j *Job, worker domain.WorkerID) {
	s.index.Release(worker, j.ID, j.Size)
	s.queue.Refund(s.w.Teams[j.Team].ID, j.Size)
}

func (s *scheduler) Free(worker domain.WorkerID) domain.Resources {
	free, _ := s.index.Free(worker)
	return free
}

func (s *scheduler) Round(now time.Time, start func(*Job, domain.WorkerID)) {
	s.now = now
	s.queue.Begin(now)
	for {
		s.begin()
		item, ok := s.queue.Next()
		if !ok {
			return
		}
		s.decide(s.jobs[item.Job], start)
	}
}

// decide makes one decision. The callback belongs to the feed and is not timed.
func (s *scheduler) decide(p *pending, start func(*Job, domain.WorkerID)) {
	if p.item.Kind == domain.JobGang {
		s.decideGang(p, start)
		return
	}
	r := placement.Request{Size: p.item.Size, End: s.now.Add(p.job.Declared)}
	if p.item.Kind == domain.JobService {
		r.Spread = p.item.Job
		r.End = time.Time{}
	}
	worker, err := s.index.Place(r)
	if err != nil {
		s.queue.Pass(p.item.Job, policy.WaitNoRoom)
		s.end()
		return
	}
	s.index.Reserve(worker, p.item.Job, p.item.Size)
	s.queue.Charge(p.item.Team, p.item.Size)
	p.item.Tasks--
	s.settle(p)
	s.end()
	start(p.job, worker)
}

func (s *scheduler) decideGang(p *pending, start func(*Job, domain.WorkerID)) {
	r := placement.Request{Size: p.item.Size, Holder: p.item.Job}
	workers, err := s.index.PlaceGang(r, p.item.Tasks, false)
	if err != nil {
		s.hold(p, r)
		s.queue.Pass(p.item.Job, policy.WaitNoRoom)
		s.end()
		return
	}
	for _, worker := range workers {
		s.index.Reserve(worker, p.item.Job, p.item.Size)
	}
	s.queue.Charge(p.item.Team, p.item.Size.Scale(int64(p.item.Tasks)))
	if s.held == p.item.Job {
		s.index.Unhold(s.held)
		s.held = ""
	}
	p.item.Tasks = 0
	s.settle(p)
	s.end()
	for _, worker := range workers {
		start(p.job, worker)
	}
}

func (s *scheduler) settle(p *pending) {
	if p.item.Tasks > 0 {
		s.queue.Push(p.item)
		return
	}
	s.queue.Remove(p.item.Job)
	delete(s.jobs, p.item.Job)
}

// hold reserves workers for a gang that waited long, one gang at a time.
func (s *scheduler) hold(p *pending, r placement.Request) {
	if s.held != "" || s.now.Sub(p.item.Enqueued) < reservationDelay {
		return
	}
	workers, ok := s.index.GangCandidates(r, p.item.Tasks, false)
	if !ok {
		return
	}
	s.held = p.item.Job
	s.index.Hold(s.held, workers)
	p.item.Constraint = "holds workers"
	s.queue.Push(p.item)
}
