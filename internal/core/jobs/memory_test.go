package jobs

import (
	"fmt"
	"runtime"
	"testing"

	"auburnpier/internal/domain"
)

func heapBytes() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Guards against ended jobs that fill the owner's memory during their retention. Before approvals
// were dropped at the end of a step, a step held 12 KB at 350 workers and 48 KB at 1,500.
func TestEndedJobsUseLittleMemory(t *testing.T) {
	// 460 starts/s are about 90 jobs/s, which are kept for 120 s and may take a quarter of the
	// 128 MB that the control functions may use.
	const bytesPerJob = 128 << 20 / 4 / (90 * 120)
	const workers, jobs = 1500, 600
	f := newFleet(t, workers, workerSize)
	f.taskMS = func(StartOrder) int64 { return 300 }
	f.pollIntervalMS = 2000
	f.m.Configure([]Queue{*batchQueue}, nil)
	submit := func(from, to int) {
		for n := from; n < to; n++ {
			spec := batchSpec()
			spec.Payload = fmt.Sprintf("%0600d", n)
			f.submit(domain.JobID(fmt.Sprintf("%016x", n)), batchQueue, "team", spec)
			f.runUntil(f.nowMS + 25)
		}
		f.runUntil(f.nowMS + 15_000)
		f.submitted, f.completed = make(map[domain.JobID]int64), make(map[domain.JobID]int64)
		f.succeeded, f.runningRuns = make(map[TaskID]bool), make(map[TaskID]int)
		for _, w := range f.workers {
			w.ends = nil
		}
	}
	// The first jobs make all maps of the machine and the fleet grow before the measurement.
	submit(0, jobs/3)
	before := heapBytes()
	submit(jobs/3, jobs/3+jobs)
	grown := heapBytes() - before
	if open := f.m.Overview().OpenJobs; open > 0 {
		t.Fatalf("%d jobs have not ended", open)
	}
	if kept := len(f.m.jobs); kept < jobs {
		t.Fatalf("%d ended jobs are kept, want at least %d", kept, jobs)
	}
	t.Logf("%d B per ended job", grown/jobs)
	if grown/jobs > bytesPerJob {
		t.Errorf("an ended job of 15 tasks holds %d B, want at most %d B", grown/jobs, bytesPerJob)
	}
	runtime.KeepAlive(f)
}

// wideSpec returns a job of wide steps without an estimate, none of which depends on another.
func wideSpec(steps, tasks int) Spec {
	var spec Spec
	for range steps {
		spec.Steps = append(spec.Steps, StepSpec{Tasks: tasks, Need: domain.Resources{CPUMilli: 8000, MemoryMB: 100}})
	}
	return spec
}

// Guards against accepted jobs whose waiting tasks fill the owner's memory, and that of each next owner that reads
// them back: 200 jobs of 8,000 tasks held 300 MB.
func TestWaitingTasksUseLittleMemory(t *testing.T) {
	const jobs, steps, width = 50, 4, 2000
	// 19,000 tasks run at the target size, and a hundred times as many may wait in a tenth of the 128 MB that the
	// control functions may use.
	const bytesPerTask = 128 << 20 / 10 / (100 * 19_000)
	q := &Queue{Name: "q", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000}
	m := New(testConfig(), 0, 1_000_000)
	before := heapBytes()
	for n := range jobs {
		spec := wideSpec(steps, width)
		if r := m.Submit(domain.JobID(fmt.Sprintf("%016x", n)), q, "team", &spec); r.Refusal != NotRefused {
			t.Fatalf("job %d refused with %v", n, r.Refusal)
		}
	}
	accepted := heapBytes() - before
	b, err := m.TakeBatch(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	before = heapBytes()
	next := New(testConfig(), 0, 1_000_000)
	for _, j := range b.Jobs {
		if err := next.RecoverJob(j.ID, j.Job, j.State); err != nil {
			t.Fatal(err)
		}
	}
	recovered := heapBytes() - before
	const tasks = jobs * steps * width
	t.Logf("%.2f B per waiting task once accepted, %.2f B once read back", float64(accepted)/tasks, float64(recovered)/tasks)
	if most := max(accepted, recovered) / tasks; most > bytesPerTask {
		t.Errorf("%d waiting tasks hold %d B each, want at most %d B", tasks, most, bytesPerTask)
	}
	runtime.KeepAlive(m)
	runtime.KeepAlive(next)
}

// Guards against a job whose occurrences are all due and fill the owner's memory at once: their number and period are
// its caller's. All of them run in the end, each once.
func TestDueOccurrencesAreOpenedInTurn(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000}
	recurring := func(occurrences int) Spec {
		return Spec{Occurrences: occurrences, FirstUnixMS: 1, PeriodMS: 0,
			Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1000}, EstimateMS: 100}}}
	}
	f := newFleet(t, 2, workerSize)
	f.taskMS = func(StartOrder) int64 { return 100 }
	f.m.Configure([]Queue{*q}, nil)
	before := heapBytes()
	f.submit("many", q, "team", recurring(MaxOccurrences))
	f.m.Advance(f.nowMS, f.m.unixMS)
	if grown := heapBytes() - before; grown > 1<<20 {
		t.Errorf("a job of %d due occurrences takes %d KB, want at most 1 MB", MaxOccurrences, grown>>10)
	}
	f.m.Cancel("many", func(domain.TeamID, domain.QueueID) bool { return true })
	f.submit("few", q, "team", recurring(100))
	f.runUntil(f.nowMS + 20_000)
	f.check()
	if _, done := f.completed["few"]; !done {
		t.Errorf("a job of 100 due occurrences has not completed; %d are done", len(f.m.jobs["few"].doneOccurrences))
	}
}
