package decisions

import (
	"container/heap"
	"time"

	"auburnpier/internal/domain"
)

// Scheduler is what the feed measures. Decisions are made in Round only.
type Scheduler interface {
	// Submit adds a job with all its tasks.
	Submit(j *Job)
	// End tells that one task of the job ended on the worker.
	End(j *Job, worker domain.WorkerID)
	// Round makes decisions at now and calls start for each started task.
	Round(now time.Time, start func(j *Job, worker domain.WorkerID))
	// Free returns the room of a worker.
	Free(worker domain.WorkerID) domain.Resources
}

// runningTask ends at a time.
type runningTask struct {
	end    time.Duration
	serial int // order of starts, for ties
	job    *Job
	worker domain.WorkerID
}

type endHeap []runningTask

func (h endHeap) Len() int { return len(h) }
func (h endHeap) Less(a, b int) bool {
	return h[a].end < h[b].end || h[a].end == h[b].end && h[a].serial < h[b].serial
}
func (h endHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *endHeap) Push(x any)   { *h = append(*h, x.(runningTask)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	task := (*h)[last]
	*h = (*h)[:last]
	return task
}

// feed replays a workload against one scheduler.
type feed struct {
	w       *Workload
	s       Scheduler
	now     time.Duration
	ends    endHeap
	serial  int
	started map[domain.JobID]int
	total   domain.Resources
	shares  float64
	running []domain.Resources // by team
	waiting []domain.Resources // by team
	report  *Report
}

// sampleEvery is the time between samples of packing and shares.
const sampleEvery = 2 * time.Second

// drainBound ends a run whose scheduler does not start everything.
const drainBound = 12 * time.Hour

// Run feeds the workload to the scheduler until every job has started, or
// until the time is over where until is above zero.
func Run(w *Workload, s Scheduler, until time.Duration) *Report {
	f := &feed{
		w: w, s: s, total: w.Total(),
		started: make(map[domain.JobID]int),
		running: make([]domain.Resources, len(w.Teams)),
		waiting: make([]domain.Resources, len(w.Teams)),
		report:  newReport(),
	}
	for _, t := range w.Teams {
		f.shares += t.Share
	}
	if until <= 0 {
		until = drainBound
	}
	next, open := 0, 0
	for ; f.now < until && (next < len(w.Jobs) || open > 0); f.now += w.Tick {
		f.endTasks()
		for ; next < len(w.Jobs) && w.Jobs[next].Arrival <= f.now; next++ {
			f.submit(w.Jobs[next])
			open++
		}
		s.Round(Epoch.Add(f.now), func(j *Job, worker domain.WorkerID) {
			if f.start(j, worker) {
				open--
			}
		})
		f.report.peakRunning = max(f.report.peakRunning, len(f.ends))
		if f.now%sampleEvery == 0 && next < len(w.Jobs) {
			f.sample()
		}
	}
	f.report.Unstarted = open
	f.report.Simulated = f.now
	return f.report
}

func (f *feed) endTasks() {
	for len(f.ends) > 0 && f.ends[0].end <= f.now {
		task := heap.Pop(&f.ends).(runningTask)
		team := task.job.Team
		f.running[team] = f.running[team].Sub(task.job.Size)
		f.s.End(task.job, task.worker)
	}
}

func (f *feed) submit(j *Job) {
	f.waiting[j.Team] = f.waiting[j.Team].Add(j.Size.Scale(int64(len(j.Run))))
	f.s.Submit(j)
}

// start reports whether it was the last task of the job.
func (f *feed) start(j *Job, worker domain.WorkerID) bool {
	n := f.started[j.ID]
	f.started[j.ID] = n + 1
	f.waiting[j.Team] = f.waiting[j.Team].Sub(j.Size)
	f.running[j.Team] = f.running[j.Team].Add(j.Size)
	f.serial++
	heap.Push(&f.ends, runningTask{end: f.now + j.Run[n], serial: f.serial, job: j, worker: worker})
	f.report.starts++
	f.report.taskWait(j, f.now-j.Arrival)
	if n+1 < len(j.Run) {
		return false
	}
	f.report.jobWait(j, f.now-j.Arrival, f.w.Teams[j.Team].Share <= smallShare*f.shares)
	delete(f.started, j.ID)
	return true
}
