package jobs

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"

	"auburnpier/internal/domain"
)

// fleet is a small fake of workers and of the approval service around a
// machine. It checks the promises that every start must keep.
type fleet struct {
	t       testing.TB
	m       *Machine
	rng     *rand.Rand
	nowMS   int64
	workers map[domain.WorkerID]*fakeWorker
	ids     []domain.WorkerID
	events  eventHeap
	seq     int
	// work gives the true duration of a task.
	work func(StartOrder) int64
	// good is the share of workers that the approval service allows.
	good        float64
	writeMS     int64
	writing     bool
	submitted   map[domain.JobID]int64
	completed   map[domain.JobID]int64
	starts      int
	succeeded   map[TaskID]bool
	runningRuns map[TaskID]int
	violations  []string
	// refuse lets a test decide about a start before the worker does.
	refuse func(StartOrder) (StartOutcome, bool)
	// sharing tells how leftover tasks disturb serving ones, nil where they don't.
	sharing *sharing
	// checkTasks has each pass look for tasks that are lost.
	checkTasks bool
	// lookMS is the time between looks at an idle worker.
	lookMS int64
	// servedMS is when the approval service has answered all requests of an instance,
	// and transitMS the way of a request and of its answer together.
	servedMS  map[string]int64
	addresses []string
	// goodOf is the share for each request, nil where it is good for all.
	goodOf func(ApprovalRequest) float64
	// waits lists how long steps waited for an instance.
	waits     map[domain.QueueID][]int64
	transitMS int64
}

type fakeWorker struct {
	id       domain.WorkerID
	capacity domain.Resources
	used     domain.Resources
	running  map[TaskID]fakeRun
	ends     []EndReport
	lastEnd  int64
	looking  bool
	acked    int64
	// cut tells that no call reaches the worker, born counts its lives, of which
	// the machine knows knownBorn, and lapseMS is when its lease is over.
	cut             bool
	born, knownBorn int64
	lapseMS         int64
}

type fakeRun struct {
	run  int
	need domain.Resources
}

type fakeEvent struct {
	at  int64
	seq int
	run func()
}

type eventHeap []fakeEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(fakeEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// testBatchEntries is above the changes of a test's pass.
const testBatchEntries = 200

func testConfig() Config {
	return Config{Epoch: 1, LeaseMS: 6000, FormerLeaseMS: 10_000, StartLimitMS: 1500, GangWaitMS: 3000, StopMS: 900,
		RetentionMS: 120_000, FarFactor: 2}
}

func newFleet(t testing.TB, workers int, capacity domain.Resources) *fleet {
	f := &fleet{t: t, m: New(testConfig(), 0, 1_000_000), rng: rand.New(rand.NewSource(1)), good: 1, writeMS: 20,
		workers: make(map[domain.WorkerID]*fakeWorker), submitted: make(map[domain.JobID]int64),
		completed: make(map[domain.JobID]int64), succeeded: make(map[TaskID]bool), runningRuns: make(map[TaskID]int)}
	f.work = func(o StartOrder) int64 { return 1000 }
	f.lookMS = 500
	f.transitMS = 10
	f.approvers(manyApprovers)
	var list []WorkerInfo
	for i := range workers {
		id := domain.WorkerID(fmt.Sprintf("w%03d", i))
		f.ids = append(f.ids, id)
		f.workers[id] = &fakeWorker{id: id, capacity: capacity, running: make(map[TaskID]fakeRun), born: 1}
		list = append(list, WorkerInfo{ID: id, Address: "10.0.0.1:1", Service: "svc", Capacity: capacity, BornMS: 1,
			Rack: domain.RackID(fmt.Sprintf("r%d", i/8)), Labels: []string{"a"}})
	}
	f.m.ListWorkers(list)
	for _, id := range f.ids {
		f.look(f.workers[id])
	}
	f.runUntil(200)
	return f
}

func (f *fleet) after(d int64, run func()) {
	f.seq++
	heap.Push(&f.events, fakeEvent{f.nowMS + d, f.seq, run})
}

func (f *fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%d ms: ", f.nowMS)+fmt.Sprintf(format, args...))
}

// runUntil plays events up to the time, with a pass after each.
func (f *fleet) runUntil(end int64) {
	const tick = 25
	for next := f.nowMS; f.nowMS < end; {
		next += tick
		for len(f.events) > 0 && f.events[0].at <= next {
			e := heap.Pop(&f.events).(fakeEvent)
			f.nowMS = e.at
			f.m.Advance(f.nowMS, 1_000_000+f.nowMS)
			e.run()
			f.settle()
		}
		f.nowMS = next
		if f.sharing != nil {
			f.sharing.tick(f)
		}
		f.m.Advance(f.nowMS, 1_000_000+f.nowMS)
		f.settle()
	}
}

func (f *fleet) settle() {
	f.m.Schedule()
	if f.checkTasks {
		if lost := f.m.Unaccounted(); len(lost) > 0 {
			f.violate("%v neither runs, nor waits, nor has ended", lost[0])
		}
	}
	out := f.m.Drain()
	for _, o := range out.Starts {
		f.after(5, func() { f.start(o) })
	}
	for _, o := range out.Stops {
		f.after(5, func() { f.stop(o) })
	}
	for _, o := range out.Paces {
		f.after(5, func() { f.sharing.pace(f, o) })
	}
	for _, r := range out.Approvals {
		f.ask(r)
	}
	f.write()
}

func (f *fleet) write() {
	if f.writing {
		return
	}
	b, err := f.m.TakeBatch(testBatchEntries)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writing = !b.Empty()
	done := func() {
		f.writing = false
		f.m.Stored(b)
		for _, id := range f.ids {
			w := f.workers[id]
			if n := f.m.Acknowledgeable(id); n > w.acked && w.knownBorn == w.born {
				w.acked = n
				f.look(w)
			}
		}
		for _, j := range b.Jobs {
			if _, seen := f.completed[j.ID]; j.Ended && !seen {
				f.completed[j.ID] = f.nowMS
			}
		}
	}
	if b.Empty() {
		done()
		return
	}
	f.after(f.writeMS, done)
}

// manyApprovers leaves no request waiting for an instance.
const manyApprovers = 200

// approvers sets the number of instances that ask the approval service.
func (f *fleet) approvers(n int) {
	f.addresses = make([]string, n)
	for i := range f.addresses {
		f.addresses[i] = fmt.Sprintf("instance-%03d", i)
	}
	f.servedMS, f.waits = make(map[string]int64), make(map[domain.QueueID][]int64)
	f.m.SetApprovers(f.addresses)
}

// ask has the approval service answer, one request of an instance after the other.
func (f *fleet) ask(r ApprovalRequest) {
	instance := r.Grant.Instance
	f.waits[r.Queue] = append(f.waits[r.Queue], r.WaitedMS)
	served := max(f.nowMS+f.transitMS/2, f.servedMS[instance]) + int64(r.Grant.ExpectedMS)
	f.servedMS[instance] = served
	f.after(served+f.transitMS-f.transitMS/2-f.nowMS, func() { f.approve(r) })
}

func (f *fleet) approve(r ApprovalRequest) {
	var good []Approval
	share := f.good
	if f.goodOf != nil {
		share = f.goodOf(r)
	}
	for _, w := range r.Workers {
		if fnv(string(r.Step.Job)+string(w)) < share {
			good = append(good, Approval{w, "t"})
		}
	}
	f.m.ApprovalAnswered(r, good, 1500)
}

func fnv(s string) float64 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	// The last characters change the upper bits little.
	h = (h ^ h>>16) * 0x85ebca6b
	h ^= h >> 13
	return float64(h>>8) / float64(1<<24)
}

func (f *fleet) start(o StartOrder) {
	w := f.workers[o.Worker]
	if w.cut {
		f.after(lostAnswerMS, func() { f.m.StartAnswered(o.Worker, o.Task, o.Run, StartUnanswered) })
		return
	}
	if f.refuse != nil {
		if outcome, refused := f.refuse(o); refused {
			f.m.StartAnswered(o.Worker, o.Task, o.Run, outcome)
			return
		}
	}
	f.run(w, o)
	f.m.StartAnswered(o.Worker, o.Task, o.Run, StartAccepted)
}

func (f *fleet) run(w *fakeWorker, o StartOrder) {
	if _, there := w.running[o.Task]; there {
		return
	}
	t := f.m.findTask(o.Task)
	if t == nil {
		return
	}
	need := t.step.spec.Reserved()
	f.starts++
	if w.used = w.used.Add(need); !w.used.Fits(w.capacity) {
		f.violate("%s is over its capacity with %v", w.id, o.Task)
	}
	if f.succeeded[o.Task] {
		f.violate("%v starts again after it succeeded", o.Task)
	}
	if f.runningRuns[o.Task]++; f.runningRuns[o.Task] > 1 && !t.step.spec.CopiesAllowed {
		f.violate("%v runs twice", o.Task)
	}
	w.running[o.Task] = fakeRun{o.Run, need}
	if t.step.spec.Lasting {
		return
	}
	f.after(f.work(o), func() { f.end(w, o.Task, o.Run, EndSucceeded) })
}

func (f *fleet) end(w *fakeWorker, id TaskID, number int, kind EndKind) {
	r, ok := w.running[id]
	if !ok || r.run != number {
		return
	}
	delete(w.running, id)
	w.used = w.used.Sub(r.need)
	f.runningRuns[id]--
	// What nobody was told may be lost with the worker's life.
	if kind == EndSucceeded && !w.cut {
		f.succeeded[id] = true
	}
	w.lastEnd++
	w.ends = append(w.ends, EndReport{Number: w.lastEnd, Task: id, Run: number, Kind: kind})
	f.look(w)
}

func (f *fleet) stop(o StopOrder) {
	w := f.workers[o.Worker]
	if w.cut {
		return
	}
	f.m.StopAnswered(o.Worker, o.Task, o.Run, true)
	f.after(100, func() { f.end(w, o.Task, o.Run, EndStopped) })
}

// lostAnswerMS is when a call to a worker that is cut off counts as unanswered.
const lostAnswerMS = 700

// lapse ends what runs on a worker whose lease is over.
func (f *fleet) lapse(w *fakeWorker) {
	if w.lapseMS == 0 || f.nowMS < w.lapseMS {
		return
	}
	for id, r := range w.running {
		delete(w.running, id)
		w.used = w.used.Sub(r.need)
		f.runningRuns[id]--
		w.lastEnd++
		w.ends = append(w.ends, EndReport{Number: w.lastEnd, Task: id, Run: r.run, Kind: EndLapsed})
	}
}

// look reports the worker to the machine after a short way.
func (f *fleet) look(w *fakeWorker) {
	if w.looking {
		return
	}
	w.looking = true
	sent := f.nowMS
	if w.cut {
		f.after(lostAnswerMS, func() {
			w.looking = false
			f.m.LookFailed(w.id)
			f.lapse(w)
			f.look(w)
		})
		return
	}
	f.lapse(w)
	w.lapseMS = f.nowMS + testConfig().LeaseMS
	f.after(4, func() {
		w.looking = false
		r := WorkerReport{Worker: w.id, BornMS: w.born, SentMS: sent, ReceivedMS: f.nowMS, ClockMS: f.nowMS + 5000}
		for id, run := range w.running {
			row := RunReport{Task: id, Run: run.run, Percent: int(f.nowMS/50) % 100}
			if f.sharing != nil {
				row.Percent, row.Measure = fullSpeed, f.sharing.measure(f, w, id)
			}
			r.Running = append(r.Running, row)
		}
		for _, e := range w.ends {
			if e.Number > w.acked {
				r.Ends = append(r.Ends, e)
			}
		}
		w.knownBorn = w.born
		f.m.LeaseLimit(w.id)
		f.m.Report(r)
		if len(r.Ends) == 0 || f.m.EndsHeld(w.id) {
			f.after(f.lookMS, func() { f.look(w) })
		}
	})
}

func (f *fleet) submit(id domain.JobID, q *Queue, team domain.TeamID, spec Spec) SubmitResult {
	r := f.m.Submit(id, q, team, &spec)
	if r.Refusal == NotRefused {
		f.submitted[id] = f.nowMS
	}
	f.settle()
	return r
}

func (f *fleet) check() {
	f.t.Helper()
	for i, v := range f.violations {
		if i < 5 {
			f.t.Error(v)
		}
	}
}
