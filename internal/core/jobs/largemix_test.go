package jobs

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"

	"auburnpier/internal/domain"
)

// submitLargeMix submits the job mix of a large counting service, scaled from its 540 workers to
// the size of the fleet and by load. Sizes vary by 30 %, and estimates are off by up to a factor of
// two.
func submitLargeMix(f *fleet, seconds, load float64) {
	queues := []*Queue{
		{Name: "short", Service: "svc", Priority: 0, MaxAttempts: 4, Stretch: 1.5, ObjectiveMS: 500, Approval: &ApprovalPolicy{BaseMS: 20, PerWorkerMS: 0.28, ValidMS: 1500}},
		{Name: "gang", Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2.2, ObjectiveMS: 1200, Approval: &ApprovalPolicy{BaseMS: 600, PerWorkerMS: 8.6, ValidMS: 1500}},
		{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000, Approval: &ApprovalPolicy{BaseMS: 140, PerWorkerMS: 2, ValidMS: 1500}},
	}
	rates := []float64{79, 6.55, 16.6}
	tasks := []int{3, 20, 15}
	cpu := []int64{16_000, 18_000, 11_000}
	runMS := []float64{1000, 6200, 3400}
	const workersOfRates = 540
	scale := load * float64(len(f.ids)) / workersOfRates
	f.m.Configure([]Queue{*queues[0], *queues[1], *queues[2]}, nil)
	truth := make(map[domain.JobID]int64)
	f.taskMS = func(o StartOrder) int64 { return int64(float64(truth[o.Task.Job]) * (0.9 + 0.2*f.rng.Float64())) }
	n := 0
	for k, q := range queues {
		for at := 0.0; at < seconds*1000; at += f.rng.ExpFloat64() * 1000 / (rates[k] * scale) {
			n++
			id := domain.JobID(fmt.Sprintf("%s%d", q.Name, n))
			truth[id] = int64(runMS[k])
			estimate := int64(runMS[k] * math.Pow(2, 2*f.rng.Float64()-1))
			need := domain.Resources{CPUMilli: int64(float64(cpu[k]) * (0.7 + 0.6*f.rng.Float64())), MemoryMB: 1000}
			spec := Spec{Steps: []StepSpec{{Tasks: tasks[k], Need: need, EstimateMS: estimate, Gang: q.Name == "gang", Checkpointable: q.Name == "batch"}}}
			f.after(int64(at), func() { f.submit(id, q, "team", spec) })
		}
	}
}

// Guards against gangs that miss their objective at ordinary load because too few approved workers
// have free capacity, while other workers have.
func TestLargeMixMeetsObjectives(t *testing.T) {
	const workers, share = 180, 0.95
	objectives := map[string]int64{"short": 2000, "gang": 16_400, "batch": 16_600}
	met, all := make(map[string]int), make(map[string]int)
	for seed := range 3 {
		f := newFleet(t, workers, workerSize)
		f.rng = rand.New(rand.NewSource(int64(seed + 1)))
		f.approvalShare = 0.5
		submitLargeMix(f, 30, 1)
		f.runUntil(60_000)
		f.check()
		for id, at := range f.submitted {
			for class, ms := range objectives {
				if !strings.HasPrefix(string(id), class) {
					continue
				}
				all[class]++
				if done, ok := f.completed[id]; ok && done-at <= ms {
					met[class]++
				}
			}
		}
	}
	for class, n := range all {
		got := float64(met[class]) / float64(n)
		t.Logf("%s: %.3f of %d jobs in time", class, got, n)
		if got < share {
			t.Errorf("%s: %.3f of %d jobs met their objective, want %.2f", class, got, n, share)
		}
	}
}
