// Package cellworker is a small stand-in of workers that run tasks under
// fences and leases. It records every run and checks that no task runs twice.
package cellworker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Fleet is a set of workers by address.
type Fleet struct {
	// MaxLease is the longest lease that the workers grant. It is set before they are called.
	MaxLease  time.Duration
	mu        sync.Mutex
	workers   map[domain.WorkerID]*worker
	runTime   time.Duration
	loseEvery int
	calls     int
	running   map[jobs.TaskID]int
	done      map[jobs.TaskID]bool
	lasting   map[domain.JobID]bool
	paces     map[jobs.TaskID]int
	measures  map[jobs.TaskID]int64
	starts    int
	faults    []string
}

type worker struct {
	id      domain.WorkerID
	fence   int64
	cut     bool
	crashed bool
	refuses bool
	// born is the Unix millisecond of the worker's life, as it says itself.
	born int64
	// clockStart is when the worker's clock was at zero.
	clockStart time.Time
	until      int64
	running    map[jobs.TaskID]int
	over       map[jobs.TaskID]int
	ends       []jobs.EndReport
	lastEnd    int64
	news       chan struct{}
}

const defaultMaxLease = 10 * time.Second

// New returns workers with the IDs, whose tasks take runTime.
func New(runTime time.Duration, ids ...domain.WorkerID) *Fleet {
	f := &Fleet{MaxLease: defaultMaxLease, workers: make(map[domain.WorkerID]*worker), runTime: runTime,
		running: make(map[jobs.TaskID]int), done: make(map[jobs.TaskID]bool),
		lasting: make(map[domain.JobID]bool), paces: make(map[jobs.TaskID]int), measures: make(map[jobs.TaskID]int64)}
	for _, id := range ids {
		f.workers[id] = &worker{id: id, born: 1, clockStart: time.Now(), running: make(map[jobs.TaskID]int), over: make(map[jobs.TaskID]int), news: make(chan struct{})}
	}
	return f
}

// Age moves the clocks of all workers ahead, as if they had been up for longer.
func (f *Fleet) Age(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.clockStart = w.clockStart.Add(-by)
	}
}

// LoseEvery loses the answer of every n-th start; zero loses none.
func (f *Fleet) LoseEvery(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseEvery = n
}

// Lasting lets the tasks of a job run until they are stopped.
func (f *Fleet) Lasting(id domain.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lasting[id] = true
}

// Cut lets calls to a worker go unanswered, without effect.
func (f *Fleet) Cut(id domain.WorkerID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// Refuse lets connections to a worker be refused, while its tasks run on.
func (f *Fleet) Refuse(id domain.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].refuses = true
}

// Crash ends the process of a worker, with all that runs there.
func (f *Fleet) Crash(id domain.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.crashed = true
	for task := range w.running {
		f.running[task]--
	}
	clear(w.running)
	w.ends = nil
	close(w.news)
	w.news = make(chan struct{})
}

// Restart lets a worker begin another life under its ID. It knows nothing of
// before, and its clock and its numbers of ends start anew.
func (f *Fleet) Restart(id domain.WorkerID) {
	f.Crash(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.crashed, w.fence, w.lastEnd, w.until = false, 0, 0, 0
	w.born++
	w.clockStart = time.Now()
	clear(w.over)
}

// Born returns the Unix millisecond of a worker's present life.
func (f *Fleet) Born(id domain.WorkerID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].born
}

// Starts returns the number of runs that began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns the number of tasks that run on a worker.
func (f *Fleet) Running(id domain.WorkerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapse(f.workers[id])
	return len(f.workers[id].running)
}

// Looked returns the number of workers that an owner has spoken to.
func (f *Fleet) Looked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.fence > 0 {
			n++
		}
	}
	return n
}

// Faults lists broken promises.
func (f *Fleet) Faults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.faults...)
}

func (w *worker) clock() int64 { return time.Since(w.clockStart).Milliseconds() }

// extend extends the worker's lease to a time of its clock.
func (f *Fleet) extend(w *worker, limit int64) {
	w.until = max(w.until, min(limit, w.clock()+f.MaxLease.Milliseconds()))
}

var (
	errCut = errors.New("the stand-in is cut off")
	// errRefused is what a call to a crashed worker returns.
	errRefused = syscall.ECONNREFUSED
)

// VMs lists a VM for each worker, as the platform does. The VM of a crashed worker has none.
func (f *Fleet) VMs(context.Context) ([]waves.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []waves.VM
	for id, w := range f.workers {
		vm := waves.VM{ID: waves.VMID("vm-" + id), Up: !w.crashed}
		if !w.crashed {
			vm.Worker = id
		}
		list = append(list, vm)
	}
	return list, nil
}

// StartMaintenance implements port.VMFleet. The fleet takes no such orders.
func (f *Fleet) StartMaintenance(context.Context, domain.InstanceID, int64, waves.Order) (waves.Outcome, error) {
	return waves.Busy, errors.New("the stand-in has no maintenance")
}

// Start implements port.WorkerClient.
func (f *Fleet) Start(_ context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[o.Worker]
	f.lapse(w)
	switch {
	case w.cut || w.crashed || w.refuses:
		return jobs.StartUnanswered, errCut
	case fence < w.fence:
		return jobs.StartFenced, fmt.Errorf("fence %d is below %d", fence, w.fence)
	case w.clock() > o.LimitClockMS:
		return jobs.StartTooLate, errors.New("the limit has passed")
	}
	w.fence = fence
	if w.running[o.Task] == o.Run {
		return jobs.StartAccepted, nil
	}
	f.extend(w, o.LimitClockMS)
	if w.over[o.Task] >= o.Run {
		return jobs.StartSuperseded, errors.New("the run is over")
	}
	f.begin(w, o)
	f.calls++
	if f.loseEvery > 0 && f.calls%f.loseEvery == 0 {
		return jobs.StartUnanswered, errors.New("the stand-in loses the answer")
	}
	return jobs.StartAccepted, nil
}

func (f *Fleet) begin(w *worker, o jobs.StartOrder) {
	f.starts++
	if f.done[o.Task] {
		f.faults = append(f.faults, fmt.Sprintf("%v begins again after its success was acknowledged", o.Task))
	}
	if f.running[o.Task]++; f.running[o.Task] > 1 {
		f.faults = append(f.faults, fmt.Sprintf("%v runs twice", o.Task))
	}
	w.running[o.Task] = o.Run
	if f.lasting[o.Task.Job] {
		return
	}
	time.AfterFunc(f.runTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lapse(w)
		f.end(w, o.Task, o.Run, jobs.EndSucceeded)
	})
}

func (f *Fleet) end(w *worker, id jobs.TaskID, run int, kind jobs.EndKind) {
	if w.running[id] != run {
		return
	}
	delete(w.running, id)
	f.running[id]--
	w.over[id] = run
	w.lastEnd++
	w.ends = append(w.ends, jobs.EndReport{Number: w.lastEnd, Task: id, Run: run, Kind: kind})
	close(w.news)
	w.news = make(chan struct{})
}

// lapse ends what runs where the lease has expired.
func (f *Fleet) lapse(w *worker) {
	if w.clock() <= w.until {
		return
	}
	for id, run := range w.running {
		f.end(w, id, run, jobs.EndLeaseExpired)
	}
}

// Stop implements port.WorkerClient.
func (f *Fleet) Stop(_ context.Context, fence int64, o jobs.StopOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[o.Worker]
	if w.cut || w.refuses || fence < w.fence {
		return &port.WorkerUnreachableError{Address: o.Address, Err: errCut}
	}
	if w.running[o.Task] == o.Run {
		f.end(w, o.Task, o.Run, jobs.EndStopped)
	}
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	return nil
}

// Throttle implements port.WorkerClient. The throttle has no effect on run times.
func (f *Fleet) Throttle(_ context.Context, fence int64, o jobs.ThrottleOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[o.Worker]
	switch {
	case w.cut:
		return &port.WorkerUnreachableError{Address: o.Address, Err: errCut}
	case fence < w.fence:
		return &port.FencedError{Worker: o.Worker}
	case w.running[o.Task] != o.Run:
		return &port.WorkerUnreachableError{Address: o.Address, Err: errors.New("the run is not there")}
	}
	w.fence = fence
	f.paces[o.Task] = o.Percent
	return nil
}

// PaceOf returns the percentage of a task's last order, or false where it had none.
func (f *Fleet) PaceOf(id jobs.TaskID) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	percent, ok := f.paces[id]
	return percent, ok
}

// Measure has reports give the measure of a task.
func (f *Fleet) Measure(id jobs.TaskID, value int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.measures[id] = value
}

// Poll implements port.WorkerClient.
func (f *Fleet) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.lapse(w)
	if w.crashed || w.refuses {
		return jobs.WorkerReport{}, &port.WorkerUnreachableError{Address: address, Err: errRefused}
	}
	if w.cut {
		return jobs.WorkerReport{}, &port.WorkerUnreachableError{Address: address, Err: errCut}
	}
	if r.Fence < w.fence {
		return jobs.WorkerReport{}, &port.FencedError{Worker: id}
	}
	w.fence = r.Fence
	f.extend(w, r.LimitClockMS)
	for len(w.ends) > 0 && w.ends[0].Number <= r.Acknowledged {
		if w.ends[0].Kind == jobs.EndSucceeded {
			f.done[w.ends[0].Task] = true
		}
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && r.Wait > 0 {
		news, life := w.news, w.born
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-news:
		case <-time.After(r.Wait):
		}
		f.mu.Lock()
		if w.born != life {
			return jobs.WorkerReport{}, &port.WorkerUnreachableError{Address: address, Err: errCut}
		}
	}
	if w.crashed || w.refuses {
		return jobs.WorkerReport{}, &port.WorkerUnreachableError{Address: address, Err: errRefused}
	}
	if w.cut {
		return jobs.WorkerReport{}, &port.WorkerUnreachableError{Address: address, Err: errCut}
	}
	report := jobs.WorkerReport{Worker: id, StartedMS: w.born, ClockMS: w.clock(), Ends: append([]jobs.EndReport(nil), w.ends...)}
	for task, run := range w.running {
		report.Running = append(report.Running, jobs.RunReport{Task: task, Run: run, Percent: 100, Measure: f.measures[task]})
	}
	return report, nil
}
