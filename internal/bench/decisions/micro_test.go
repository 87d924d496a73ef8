package decisions

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// sizesMeasured are the fleets of which slopes are taken; the last is the target.
var sizesMeasured = []int{50, 400, 1500}

// loaded is a scheduler with a fleet that runs tasks.
type loaded struct {
	*scheduler
	r       *rand.Rand
	running []*Job
	on      []domain.WorkerID
	next    int
}

// tasksPerWorker gives 19,000 running tasks on 1,500 workers.
const tasksPerWorker = 19000.0 / 1500

// newLoaded fills the fleet of the target, scaled to a number of workers, with
// 19,000/1,500 tasks a worker. Teams have no limit but the fleet.
func newLoaded(workers int) *loaded {
	w := Target(1, workers, time.Millisecond)
	for i := range w.Teams {
		w.Teams[i].Limit = w.Total()
	}
	l := &loaded{scheduler: newScheduler(w), r: rand.New(rand.NewPCG(7, 7))}
	for len(l.running) < int(tasksPerWorker*float64(workers)) {
		l.Submit(l.newJob())
		l.turn()
	}
	return l
}

// loadedSizes are the sizes of the target with more small tasks, so that
// 19,000 of them leave about a tenth of the fleet free.
var loadedSizes = append([]sizeChoice{{size(1, 4, 0), 30}}, targetSizes...)

func (l *loaded) newJob() *Job {
	l.next++
	return &Job{
		ID: domain.JobID(fmt.Sprint("job-", l.next)), Team: l.r.IntN(len(l.w.Teams)), Kind: domain.JobBatch,
		Priority: domain.PriorityNormal, Size: pick(l.r, loadedSizes), Run: make([]time.Duration, 1),
	}
}

// turn runs one round.
func (l *loaded) turn() {
	l.Round(Epoch, func(j *Job, worker domain.WorkerID) {
		l.running = append(l.running, j)
		l.on = append(l.on, worker)
	})
}

// endOne ends a random running task.
func (l *loaded) endOne() {
	i, last := l.r.IntN(len(l.running)), len(l.running)-1
	l.End(l.running[i], l.on[i])
	l.running[i], l.on[i] = l.running[last], l.on[last]
	l.running, l.on = l.running[:last], l.on[:last]
}

// BenchmarkDecision ends one task, submits one job and decides, on a loaded fleet.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range sizesMeasured {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoaded(workers)
			jobs := make([]*Job, b.N)
			for i := range jobs {
				jobs[i] = l.newJob()
			}
			l.Nanos = make([]float64, 0, 4*b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				l.endOne()
				l.Submit(jobs[i])
				l.turn()
			}
			b.StopTimer()
			b.ReportMetric(Percentile(l.Nanos, 0.5)/1e3, "decision-p50-us")
			b.ReportMetric(Percentile(l.Nanos, 0.99)/1e3, "decision-p99-us")
			b.ReportMetric(float64(len(l.running)), "running")
			b.ReportMetric(float64(len(l.Nanos))/float64(b.N), "decisions/op")
		})
	}
}

// BenchmarkFullRound measures a round on a full fleet, where every team has a
// hundred waiting jobs and none can start.
func BenchmarkFullRound(b *testing.B) {
	for _, workers := range sizesMeasured {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoaded(workers)
			for l.queue.Len() < 100*len(l.w.Teams) {
				l.Submit(l.newJob())
				l.turn()
			}
			l.Nanos = nil
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.turn()
			}
			b.StopTimer()
			b.ReportMetric(float64(len(l.Nanos))/float64(b.N), "decisions/op")
			b.ReportMetric(float64(l.queue.Len()), "waiting")
		})
	}
}

// BenchmarkGang places a gang of eight on a loaded fleet without starting it.
func BenchmarkGang(b *testing.B) {
	for _, workers := range sizesMeasured {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoaded(workers)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = l.index.PlaceGang(placement.Request{Size: size(2, 8, 0)}, 8, false)
			}
		})
	}
}

// BenchmarkRemovals removes all waiting jobs of one team, oldest first.
func BenchmarkRemovals(b *testing.B) {
	for _, jobs := range []int{10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			w := Target(1, 50, time.Millisecond)
			items := make([]policy.Item, jobs)
			for i := range items {
				items[i] = policy.Item{
					Job: domain.JobID(fmt.Sprint("j", i)), Team: w.Teams[0].ID, Size: size(1, 1, 0),
					Tasks: 1, Enqueued: Epoch.Add(time.Duration(i)),
				}
			}
			for range b.N {
				b.StopTimer()
				q := policy.NewQueue(policy.Options{Weights: w.Weights})
				q.SetTotal(w.Total())
				q.SetTeams(w.Teams)
				for _, i := range items {
					q.Push(i)
				}
				q.BeginRound(Epoch)
				q.Next()
				b.StartTimer()
				for _, i := range items {
					q.Remove(i.Job)
				}
				q.BeginRound(Epoch)
				q.Next()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N*jobs), "ns/removal")
		})
	}
}

// BenchmarkMemory reports the bytes that the index and the queue keep for a
// worker, a running task and a waiting job.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range sizesMeasured {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				w := Target(1, workers, time.Millisecond)
				before := memoryInUse()
				x := newFilledIndex(w)
				filled := memoryInUse()
				tasks := runMany(x, w, workers)
				running := memoryInUse()
				q := policy.NewQueue(policy.Options{Weights: w.Weights})
				q.SetTeams(w.Teams)
				pushMany(q, w)
				waiting := memoryInUse()
				b.ReportMetric((filled-before)/float64(workers), "B/worker")
				b.ReportMetric((running-filled)/float64(tasks), "B/running-task")
				b.ReportMetric((waiting-running)/float64(q.Len()), "B/waiting-job")
				runtime.KeepAlive(x)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// runMany reserves room for small tasks, each of its own job, the most that a job record costs.
func runMany(x placement.Index, w *Workload, workers int) int {
	tasks := int(tasksPerWorker * float64(workers))
	for i := range tasks {
		x.Reserve(w.Nodes[i%workers].ID, domain.JobID(fmt.Sprint("job-", i)), size(1, 4, 0))
	}
	return tasks
}

func pushMany(q policy.Queue, w *Workload) {
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 10_000 {
		q.Push(policy.Item{
			Job: domain.JobID(fmt.Sprint("job-", i)), Team: w.Teams[i%len(w.Teams)].ID, Kind: domain.JobBatch,
			Size: pick(r, targetSizes), Tasks: 1, Enqueued: Epoch.Add(time.Duration(i)),
		})
	}
}
