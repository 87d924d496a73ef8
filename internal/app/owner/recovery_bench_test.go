package owner

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/standin/leasestore"
)

// recoveryVMs are the memories in MB of the VMs for which the recovery is measured.
var recoveryVMs = []int64{284, 128}

func recoveryConfig(vmMB int64) jobs.Config {
	return jobs.Config{LeaseMS: 2000, MaxLeaseMS: 10_000, FormerLeaseMS: 2600, RetentionMS: 60_000, MemoryBytes: vmMB << 20}
}

// BenchmarkRecovery measures how long an owner of so much memory takes to read the stored jobs back, and the peak of its heap
// meanwhile.
func BenchmarkRecovery(b *testing.B) {
	wide := jobs.Spec{}
	for range 4 {
		wide.Steps = append(wide.Steps, jobs.StepSpec{Tasks: jobs.MaxTasksPerStep, Need: domain.Resources{CPUMilli: 8000, MemoryMB: 100}})
	}
	ordinary := jobs.Spec{Payload: strings.Repeat("x", 600), Steps: []jobs.StepSpec{{Tasks: 15, Need: domain.Resources{CPUMilli: 3900, MemoryMB: 14_000}, EstimateMS: 2700}}}
	for name, c := range map[string]struct {
		spec jobs.Spec
		jobs int
	}{"200 of 8,000 tasks": {wide, 200}, "1,000 of 8,000 tasks": {wide, 1000}, "10,000 of 15 tasks": {ordinary, 10_000}} {
		for _, vmMB := range recoveryVMs {
			b.Run(fmt.Sprintf("%s, %d MB", name, vmMB), func(b *testing.B) {
				store := leasestore.New()
				q := jobs.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
				for n := range c.jobs {
					id := domain.JobID(fmt.Sprintf("%016x", n))
					job, err := cbor.Marshal(jobs.JobRecord{ID: id, Queue: q, Team: "team", Spec: c.spec, AcceptedUnixMS: 1, Epoch: 1})
					state, stateErr := cbor.Marshal(jobs.StateRecord{Team: "team", Queue: "q"})
					if err := errors.Join(err, stateErr); err != nil {
						b.Fatal(err)
					}
					store.Put(jobKey(id), job)
					store.Put(StateKey(id), state)
				}
				defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmMB << 20 * 6 / 10))
				for range b.N {
					runtime.GC()
					var before runtime.MemStats
					runtime.ReadMemStats(&before)
					peak := samplePeak()
					config := recoveryConfig(vmMB)
					machine := jobs.New(config, 0, 1_000_000)
					c := &Cell{Owner: &Owner{options: Options{Jobs: config}, log: zap.NewNop(), store: store}, machine: machine, term: &term{}, ctx: b.Context()}
					start := time.Now()
					if err := c.loadState(b.Context()); err != nil {
						b.Fatal(err)
					}
					took := time.Since(start)
					b.ReportMetric(float64(took.Milliseconds()), "ms")
					b.ReportMetric(float64(peak()-int64(before.HeapAlloc))/(1<<20), "peak-MB")
					runtime.KeepAlive(machine)
				}
			})
		}
	}
}

// samplePeak returns a function that ends the sampling of the heap and returns its peak in bytes.
func samplePeak() func() int64 {
	done, result := make(chan struct{}), make(chan int64)
	go func() {
		peak := int64(0)
		for {
			var s runtime.MemStats
			runtime.ReadMemStats(&s)
			peak = max(peak, int64(s.HeapAlloc))
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() int64 { close(done); return <-result }
}
