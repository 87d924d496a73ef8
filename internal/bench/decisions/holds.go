package decisions

import (
	"slices"
	"time"

	"auburnpier/internal/core/holds"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// holdAgain is the time after which workers are chosen anew.
const holdAgain = 60 * time.Second

// heldRoom keeps room for jobs that waited long, within bounds.
type heldRoom struct {
	held  holds.Ledger
	total domain.Resources
	// ends are the expected ends of the tasks on each worker.
	ends map[domain.WorkerID][]expectedEnd
}

// expectedEnd is when a task should end by its declared run time.
type expectedEnd struct {
	holds.TaskEnd
	job domain.JobID
}

func newHeldRoom(w *Workload) heldRoom {
	return heldRoom{
		held:  holds.NewLedger(),
		total: w.Total(),
		ends:  make(map[domain.WorkerID][]expectedEnd),
	}
}

func (h *heldRoom) started(worker domain.WorkerID, j *Job, now time.Time) {
	e := expectedEnd{TaskEnd: holds.TaskEnd{At: now.Add(j.Declared), Size: j.Size}, job: j.ID}
	h.ends[worker] = append(h.ends[worker], e)
}

func (h *heldRoom) ended(worker domain.WorkerID, job domain.JobID) {
	list := h.ends[worker]
	if at := slices.IndexFunc(list, func(e expectedEnd) bool { return e.job == job }); at >= 0 {
		h.ends[worker] = slices.Delete(list, at, at+1)
	}
}

// expectedStart returns when the workers should have room for the size, as
// often as each is listed, or a zero time where that is unknown.
func (s *scheduler) expectedStart(size domain.Resources, workers []domain.WorkerID) time.Time {
	return holds.ExpectedStart(s.now, size, workers, func(worker domain.WorkerID) holds.WorkerCapacity {
		r := holds.WorkerCapacity{Free: s.Free(worker)}
		for _, e := range s.ends[worker] {
			r.Ends = append(r.Ends, e.TaskEnd)
		}
		return r
	})
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
	if !s.held.Allows(need, s.total, s.w.MaxHeld) || !s.queue.ShouldHold(p.item.Job, s.held.HeldByTeam(p.item.Team)) {
		return
	}
	workers, ok := s.index.GangCandidates(r, tasks, false)
	if !ok {
		return
	}
	s.index.HoldCapacity(p.item.Job, r.Size, workers)
	s.index.SetExpectedStart(p.item.Job, s.expectedStart(r.Size, workers))
	s.held.Add(p.item.Team, need)
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
	s.held.Remove(p.item.Team, p.item.Size)
}

// unhold gives back what the job holds.
func (s *scheduler) unhold(p *pending) {
	if p.holds.IsZero() {
		return
	}
	s.index.ReleaseHold(p.item.Job)
	s.held.Remove(p.item.Team, p.holds)
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
