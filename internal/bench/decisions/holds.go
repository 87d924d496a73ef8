package decisions

import (
	"slices"
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// holdAgain is the time after which workers are chosen anew.
const holdAgain = 60 * time.Second

// maxHeldTasks bounds the tasks of a job, other than a gang, that hold room at once.
const maxHeldTasks = 8

// holds keeps room for jobs that waited long, within bounds.
type holds struct {
	// held is the room that jobs hold, and heldBy its part by team.
	held   domain.Resources
	heldBy []domain.Resources
	total  domain.Resources
	// ends are the expected ends of the tasks on each worker.
	ends map[domain.WorkerID][]expectedEnd
}

// expectedEnd is when a task should end by its declared run time.
type expectedEnd struct {
	at   time.Time
	job  domain.JobID
	size domain.Resources
}

func newHolds(w *Workload) holds {
	return holds{
		heldBy: make([]domain.Resources, len(w.Teams)),
		total:  w.Total(),
		ends:   make(map[domain.WorkerID][]expectedEnd),
	}
}

func (h *holds) started(worker domain.WorkerID, j *Job, now time.Time) {
	e := expectedEnd{at: now.Add(j.Declared), job: j.ID, size: j.Size}
	h.ends[worker] = append(h.ends[worker], e)
}

func (h *holds) ended(worker domain.WorkerID, job domain.JobID) {
	list := h.ends[worker]
	if at := slices.IndexFunc(list, func(e expectedEnd) bool { return e.job == job }); at >= 0 {
		h.ends[worker] = slices.Delete(list, at, at+1)
	}
}

// expectedStart returns when the workers should have room for the size, as
// often as each is listed, or a zero time where that is unknown.
func (s *scheduler) expectedStart(size domain.Resources, workers []domain.WorkerID) time.Time {
	needs := make(map[domain.WorkerID]int64, len(workers))
	start := s.now
	for _, worker := range workers {
		needs[worker]++
		free, need := s.Free(worker), size.Scale(needs[worker])
		if need.Fits(free) {
			continue
		}
		list := slices.Clone(s.ends[worker])
		slices.SortStableFunc(list, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
		at := time.Time{}
		for _, e := range list {
			if free = free.Add(e.size); need.Fits(free) {
				at = e.at
				break
			}
		}
		if !at.After(s.now) {
			return time.Time{}
		}
		if at.After(start) {
			start = at
		}
	}
	return start
}

// hold keeps room for a job that waited long.
func (s *scheduler) hold(p *pending, r placement.Request, tasks int) {
	if !p.holds.IsZero() {
		if s.now.Sub(p.since) < holdAgain {
			return
		}
		s.unhold(p)
	}
	need := r.Size.Scale(int64(tasks))
	if s.held.Add(need).DominantShare(s.total) > s.w.MaxHeld || !s.queue.MayHold(p.item.Job, s.heldBy[p.job.Team]) {
		return
	}
	workers, ok := s.index.GangCandidates(r, tasks, false)
	if !ok {
		return
	}
	s.index.HoldRoom(p.item.Job, r.Size, workers)
	s.index.ExpectStart(p.item.Job, s.expectedStart(r.Size, workers))
	s.held = s.held.Add(need)
	s.heldBy[p.job.Team] = s.heldBy[p.job.Team].Add(need)
	p.holds, p.since = need, s.now
	p.item.Constraint = "holds room for " + string(p.item.Job)
	s.queue.Push(p.item)
}

// useHold takes one started task off what the job holds.
func (s *scheduler) useHold(p *pending) {
	if p.holds.IsZero() {
		return
	}
	if p.holds == p.item.Size || p.item.Tasks == 0 {
		s.unhold(p)
		return
	}
	p.holds = p.holds.Sub(p.item.Size)
	s.held = s.held.Sub(p.item.Size)
	s.heldBy[p.job.Team] = s.heldBy[p.job.Team].Sub(p.item.Size)
}

// unhold gives back what the job holds.
func (s *scheduler) unhold(p *pending) {
	if p.holds.IsZero() {
		return
	}
	s.index.Unhold(p.item.Job)
	s.held = s.held.Sub(p.holds)
	s.heldBy[p.job.Team] = s.heldBy[p.job.Team].Sub(p.holds)
	p.holds = domain.Resources{}
	p.item.Constraint = constraintOf(p.job)
}

// shortTask is the declared run time up to which a task may find room on held
// workers that longer ones of its size do not find.
const shortTask = 20 * time.Second

// constraintOf keeps short tasks apart from longer ones, which find other room.
func constraintOf(j *Job) string {
	if j.Kind == domain.JobBatch && j.Declared <= shortTask {
		return "short"
	}
	return ""
}
