package jobs

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"auburnpier/internal/domain"
)

var workerSize = domain.Resources{CPUMilli: 64_000, MemoryMB: 262_144}

// The queues of a counting service.
var (
	shortQueue = &Queue{Name: "short", Service: "svc", Priority: 0, MaxAttempts: 4, Stretch: 1.5, ObjectiveMS: 500,
		Approval: &ApprovalPolicy{BaseMS: 8.7, PerWorkerMS: 0.12, ValidMS: 1500}}
	gangQueue = &Queue{Name: "gang", Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2.2, ObjectiveMS: 1200,
		Approval: &ApprovalPolicy{BaseMS: 390, PerWorkerMS: 5.5, ValidMS: 1500}}
	batchQueue = &Queue{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000,
		Approval: &ApprovalPolicy{BaseMS: 49, PerWorkerMS: 0.71, ValidMS: 1500}}
)

func shortSpec() Spec {
	return Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 5600, MemoryMB: 21_000}, EstimateMS: 1000}}}
}

func gangSpec() Spec {
	return Spec{Steps: []StepSpec{{Tasks: 8, Need: domain.Resources{CPUMilli: 18_000, MemoryMB: 52_000}, EstimateMS: 5000, Gang: true}}}
}

func batchSpec() Spec {
	return Spec{Steps: []StepSpec{{Tasks: 15, Need: domain.Resources{CPUMilli: 3900, MemoryMB: 14_000}, EstimateMS: 2700, Checkpointable: true}}}
}

// submitMix submits the job mix of the counting service for the given time. x multiplies the rate
// of each queue.
func submitMix(f *fleet, seconds float64, x float64) {
	queues := []*Queue{shortQueue, gangQueue, batchQueue}
	f.m.Configure([]Queue{*shortQueue, *gangQueue, *batchQueue}, nil)
	f.taskMS = func(o StartOrder) int64 { return f.m.findTask(o.Task).step.spec.EstimateMS }
	rates := []float64{30.8, 1.45, 5.44}
	specs := []func() Spec{shortSpec, gangSpec, batchSpec}
	n := 0
	for k := range queues {
		for at := 0.0; at < seconds*1000; at += f.rng.ExpFloat64() * 1000 / (rates[k] * x) {
			n++
			id := domain.JobID(fmt.Sprintf("%s%d", queues[k].Name, n))
			f.after(int64(at), func() { f.submit(id, queues[k], "team", specs[k]()) })
		}
	}
}

// onTimeShare returns the fraction of a queue's accepted jobs that met their objective, and the
// number of accepted jobs.
func onTimeShare(f *fleet, q *Queue, spec Spec) (float64, int) {
	objective := int64(q.Stretch*float64(criticalPathMS(&spec, q))) + q.ObjectiveMS
	met, all := 0, 0
	for id, at := range f.submitted {
		if len(id) < len(q.Name) || string(id[:len(q.Name)]) != string(q.Name) {
			continue
		}
		all++
		if done, ok := f.completed[id]; ok && done-at <= objective {
			met++
		}
	}
	return float64(met) / float64(max(1, all)), all
}

// Guards against late results at a load of 80 % of the fleet, and against starts that violate an
// invariant.
func TestOrdinaryLoadMeetsObjectives(t *testing.T) {
	f := newFleet(t, 48, workerSize)
	f.approvalShare = 0.5
	submitMix(f, 20, 1)
	f.runUntil(45_000)
	f.check()
	for q, spec := range map[*Queue]Spec{shortQueue: shortSpec(), gangQueue: gangSpec(), batchQueue: batchSpec()} {
		share, n := onTimeShare(f, q, spec)
		t.Logf("%s: %.3f of %d jobs in time", q.Name, share, n)
		if share < 0.95 {
			t.Errorf("%s: %.3f of %d jobs met their objective, want 0.95", q.Name, share, n)
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against scheduling that uses too much CPU time during a flood: at three times the fleet's
// capacity it must stay well below the 0.4 cores that an entry VM has for it.
func TestFloodStaysWithinCPUBudget(t *testing.T) {
	f := newFleet(t, 48, workerSize)
	f.approvalShare = 0.5
	submitMix(f, 10, 3)
	begun := cpuTime(t)
	f.runUntil(10_000)
	took := cpuTime(t) - begun
	f.check()
	t.Logf("scheduling 10 s of a flood took %v of CPU time for %d starts and %d jobs", took, f.starts, len(f.submitted))
	if took > 2*time.Second {
		t.Errorf("scheduling 10 s of a flood took %v of CPU time, want at most 2 s", took)
	}
}

// Guards against a wide gang that never starts on an otherwise idle fleet because few workers are
// approved for it.
func TestWideGangStartsDespiteFewApprovals(t *testing.T) {
	f := newFleet(t, 350, workerSize)
	f.approvalShare = 0.25
	f.taskMS = func(StartOrder) int64 { return 6000 }
	q := *gangQueue
	q.Approval = &ApprovalPolicy{BaseMS: 540, PerWorkerMS: 7.7, ValidMS: 1500}
	f.m.Configure([]Queue{q}, nil)
	spec := Spec{Steps: []StepSpec{{Tasks: 29, Need: domain.Resources{CPUMilli: 29_300, MemoryMB: 46_592}, EstimateMS: 6000, Gang: true}}}
	for i := range 3 {
		f.submit(domain.JobID(fmt.Sprintf("gang%d", i)), &q, "team", spec)
	}
	f.runUntil(15_000)
	f.check()
	if len(f.completed) != 3 {
		t.Errorf("%d of 3 wide gangs completed within 15 s on an idle fleet", len(f.completed))
	}
}

// Guards against a gang slightly larger than its team's limit that waits forever, and against
// accepting one that exceeds the permitted overshoot.
func TestGangSlightlyOverTeamLimitRunsAlone(t *testing.T) {
	f := newFleet(t, 48, workerSize)
	f.m.cfg.LimitOvershoot = 0.1
	q := *gangQueue
	q.Approval = nil
	limit := domain.Resources{CPUMilli: 100_000}
	f.m.Configure([]Queue{q}, []Team{{ID: "team", Weight: 100, Limit: limit}})
	gang := func(tasks int) Spec {
		return Spec{Steps: []StepSpec{{Tasks: tasks, Need: domain.Resources{CPUMilli: 10_500, MemoryMB: 1}, EstimateMS: 1000, Gang: true}}}
	}
	f.submit("narrow", &q, "team", gang(5))
	f.submit("wide", &q, "team", gang(10))
	if r := f.submit("too-wide", &q, "team", gang(11)); r.Refusal != RefusedTeamLimit {
		t.Errorf("a gang beyond the limit's overshoot got refusal %v, want the one for the team limit", r.Refusal)
	}
	f.runUntil(5000)
	f.check()
	if len(f.completed) != 2 {
		t.Errorf("%d of 2 gangs completed", len(f.completed))
	}
}

func BenchmarkFlood(b *testing.B) {
	for _, workers := range []int{48, 350, 1500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, workers, workerSize)
				f.approvalShare = 0.5
				submitMix(f, 5, float64(workers)/48*1.5)
				f.runUntil(5000)
				b.ReportMetric(float64(f.starts), "starts")
			}
		})
	}
}

// Guards against occurrences of a recurring job that are considered late because their deadline is
// computed from the job's acceptance, and against an occurrence that starts before it is due.
func TestOccurrencesHaveTheirOwnDeadline(t *testing.T) {
	f := newFleet(t, 4, workerSize)
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 500}
	f.m.Configure([]Queue{*q}, nil)
	f.taskMS = func(StartOrder) int64 { return 100 }
	spec := Spec{Occurrences: 5, FirstUnixMS: f.m.unixMS + 10_000, PeriodMS: 5000,
		Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1000}, EstimateMS: 100}}}
	began := make(map[int]int64)
	f.refuse = func(o StartOrder) (StartOutcome, bool) {
		began[o.Task.Occurrence] = f.m.unixMS
		if rank := f.m.rank(f.m.findTask(o.Task).step); rank != rankNormal {
			t.Errorf("occurrence %d has rank %d at its start", o.Task.Occurrence, rank)
		}
		return 0, false
	}
	f.submit("timed", q, "team", spec)
	f.runUntil(40_000)
	f.check()
	for k := range spec.Occurrences {
		due := spec.FirstUnixMS + int64(k)*spec.PeriodMS
		if at, ok := began[k]; !ok || at < due || at > due+300 {
			t.Errorf("occurrence %d started at %d, due at %d", k, at, due)
		}
	}
	if len(f.completed) != 1 {
		t.Error("the recurring job has not completed after its last occurrence")
	}
}
