package decisions

import (
	"time"

	"auburnpier/internal/core/holds"
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

// scheduler drives the queue and the index as the partition state machine does.
type scheduler struct {
	Decisions
	w     *Workload
	queue policy.Queue
	index placement.Index
	jobs  map[domain.JobID]*pending
	heldRoom
	now time.Time
}

// pending is a job with waiting tasks.
type pending struct {
	job  *Job
	item policy.Item
	// holds is the room that the index holds for the job.
	holds domain.Resources
	since time.Time
}

// newScheduler returns a scheduler over the fleet and the teams of w.
func newScheduler(w *Workload) *scheduler {
	s := &scheduler{
		w:        w,
		queue:    policy.NewQueue(policy.Options{Weights: w.Weights, ReservationDelay: w.ReservationDelay}),
		index:    newFilledIndex(w),
		jobs:     make(map[domain.JobID]*pending),
		heldRoom: newHeldRoom(w),
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
		Size: j.Size, Tasks: len(j.Run), Enqueued: Epoch.Add(j.Arrival), Constraint: constraintOf(j),
	}}
	s.jobs[j.ID] = p
	s.queue.Push(p.item)
}

func (s *scheduler) End(j *Job, worker domain.WorkerID) {
	s.index.Release(worker, j.ID, j.Size)
	s.ended(worker, j.ID)
	s.queue.Refund(s.w.Teams[j.Team].ID, j.Size)
}

func (s *scheduler) Free(worker domain.WorkerID) domain.Resources {
	free, _ := s.index.Free(worker)
	return free
}

func (s *scheduler) Round(now time.Time, start func(*Job, domain.WorkerID)) {
	s.now = now
	s.queue.BeginRound(now)
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
	r := placement.Request{Size: p.item.Size, Holder: p.item.Job, End: s.now.Add(p.job.Declared)}
	if p.item.Kind == domain.JobService {
		r.Spread = p.item.Job
		r.End = time.Time{}
	}
	worker, err := s.index.Place(r)
	if err != nil {
		s.hold(p, r, min(p.item.Tasks, holds.MaxTasksPerJob))
		s.queue.Pass(p.item.Job, policy.WaitNoCapacity)
		s.end()
		return
	}
	s.index.Reserve(worker, p.item.Job, p.item.Size)
	s.queue.Charge(p.item.Team, p.item.Size)
	p.item.Tasks--
	s.useHold(p)
	s.settle(p)
	s.started(worker, p.job, s.now)
	s.end()
	start(p.job, worker)
}

func (s *scheduler) decideGang(p *pending, start func(*Job, domain.WorkerID)) {
	r := placement.Request{Size: p.item.Size, Holder: p.item.Job}
	workers, err := s.index.PlaceGang(r, p.item.Tasks, false)
	if err != nil {
		s.hold(p, r, p.item.Tasks)
		s.queue.Pass(p.item.Job, policy.WaitNoCapacity)
		s.end()
		return
	}
	for _, worker := range workers {
		s.index.Reserve(worker, p.item.Job, p.item.Size)
		s.started(worker, p.job, s.now)
	}
	s.queue.Charge(p.item.Team, p.item.Size.Scale(int64(p.item.Tasks)))
	p.item.Tasks = 0
	s.unhold(p)
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
