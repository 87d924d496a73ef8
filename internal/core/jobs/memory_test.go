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

// Guards against ended jobs that fill the owner's memory for the time their
// state is kept: with what approvals said of each worker they held 12 KB a
// step at 350 workers, and 48 KB at 1,500.
func TestMemoryOfEndedJobs(t *testing.T) {
	// 460 starts/s are some 90 jobs/s, kept for 120 s, in a quarter of the 128 MB
	// that control may use.
	const bytesPerJob = 128 << 20 / 4 / (90 * 120)
	const workers, jobs = 1500, 600
	f := newFleet(t, workers, workerSize)
	f.work = func(StartOrder) int64 { return 300 }
	f.lookMS = 2000
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
	// The first jobs let all maps of the machine and of the fake grow.
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
	t.Logf("%d B for each ended job", grown/jobs)
	if grown/jobs > bytesPerJob {
		t.Errorf("an ended job of 15 tasks holds %d B, want at most %d B", grown/jobs, bytesPerJob)
	}
	runtime.KeepAlive(f)
}
