package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"auburnpier/internal/domain"
)

var smallWorkerSize = domain.Resources{CPUMilli: 16_000, MemoryMB: 65_536}

// The queues of the spectacles site: approvals take a good part of what its
// seven instances can ask for.
var lensQueues = []Queue{
	{Name: "lookup", Service: "svc", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 500,
		Approval: &ApprovalPolicy{BaseMS: 10, PerWorkerMS: 0.15, ValidMS: 2500}},
	{Name: "reading", Service: "svc", Priority: 1, MaxAttempts: 2, Stretch: 2.2, ObjectiveMS: 1200,
		Approval: &ApprovalPolicy{BaseMS: 440, PerWorkerMS: 6.3, ValidMS: 2500}},
	{Name: "matching", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000,
		Approval: &ApprovalPolicy{BaseMS: 72, PerWorkerMS: 1, ValidMS: 2500}},
}

func lensSpec(queue domain.QueueID) Spec {
	switch queue {
	case "lookup":
		return Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1400, MemoryMB: 2900}, EstimateMS: 1000}}}
	case "reading":
		return Spec{Steps: []StepSpec{{Tasks: 6, Need: domain.Resources{CPUMilli: 4500, MemoryMB: 8800}, EstimateMS: 6200, Gang: true}}}
	}
	return Spec{Steps: []StepSpec{{Tasks: 10, Need: domain.Resources{CPUMilli: 980, MemoryMB: 3600}, EstimateMS: 3400, Checkpointable: true}}}
}

var lensRates = map[domain.QueueID]float64{"lookup": 33, "reading": 1.5, "matching": 4.4}

// playLens hands in the mix of the site from begin to end; x multiplies the lookups.
func playLens(f *fleet, begin, end int64, x float64) {
	for i := range lensQueues {
		q := &lensQueues[i]
		rate := lensRates[q.Name]
		if q.Name == "lookup" {
			rate *= x
		}
		n := 0
		for at := float64(begin); at < float64(end); at += f.rng.ExpFloat64() * 1000 / rate {
			n++
			id := domain.JobID(fmt.Sprintf("%s-%d-%d", q.Name, begin, n))
			f.after(int64(at)-f.nowMS, func() { f.submit(id, q, "team", lensSpec(q.Name)) })
		}
	}
}

func newLensFleet(t *testing.T, instances int) *fleet {
	f := newFleet(t, 48, smallWorkerSize)
	f.approvers(instances)
	f.transitMS = 40
	f.m.Configure(lensQueues, nil)
	f.goodOf = func(r ApprovalRequest) float64 {
		return map[domain.QueueID]float64{"lookup": 0.7, "reading": 0.35, "matching": 0.45}[r.Queue]
	}
	f.work = func(o StartOrder) int64 { return f.m.findTask(o.Task).step.spec.EstimateMS }
	return f
}

// reportWaits returns the share of a queue's jobs that met their objective, and
// logs what its steps waited for an instance.
func (f *fleet) reportWaits(queue domain.QueueID) float64 {
	met, all := 0, 0
	spec := lensSpec(queue)
	at := slices.IndexFunc(lensQueues, func(q Queue) bool { return q.Name == queue })
	objective := ObjectiveMS(&spec, &lensQueues[at])
	for id, begun := range f.submitted {
		if !strings.HasPrefix(string(id), string(queue)) {
			continue
		}
		all++
		if done, ok := f.completed[id]; ok && done-begun <= objective {
			met++
		}
	}
	waits := f.waits[queue]
	slices.Sort(waits)
	share := float64(met) / float64(max(1, all))
	if n := len(waits); n > 0 {
		f.t.Logf("%s: %.3f of %d jobs in time; %d requests waited %d ms at p50, %d ms at p99", queue, share, all, n, waits[n/2], waits[n*99/100])
	}
	return share
}

// Guards against short requests for approval that wait behind long ones, on an
// ordinary day, with a burst of lookups, and with less than half of the instances.
func TestApprovalsOfTheSpectaclesSite(t *testing.T) {
	// The users want nine of ten lookups in time.
	const want = 0.9
	for _, c := range []struct {
		name      string
		instances int
		x         float64
	}{{"ordinary", 7, 1}, {"burst", 7, 2.2}, {"three instances", 3, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newLensFleet(t, c.instances)
			playLens(f, 300, 20_000, 1)
			if c.x > 1 {
				playLens(f, 8000, 12_000, c.x-1)
			}
			f.runUntil(50_000)
			f.check()
			for _, q := range lensQueues {
				if share := f.reportWaits(q.Name); q.Name == "lookup" && share < want {
					t.Errorf("%.3f of the lookups are in time, want %.2f", share, want)
				}
			}
		})
	}
}

// Guards against a successor that sends requests behind those of the former
// owner, which the service still works through: each call then fails after its
// bound, and nothing starts for seconds.
func TestApprovalsAfterTakeover(t *testing.T) {
	f := newLensFleet(t, 7)
	for i := range 7 {
		// What the former owner has under way where it kept to the same bounds.
		f.servedMS[f.addresses[i]] = f.nowMS + 500
	}
	playLens(f, f.nowMS, f.nowMS+10_000, 1)
	f.runUntil(30_000)
	f.check()
	if share := f.reportWaits("lookup"); share < 0.9 {
		t.Errorf("%.3f of the lookups are in time after a takeover, want 0.90", share)
	}
}

// Guards against a team that sends more than its weight grants and whose short
// jobs then wait behind work of seconds that has time to spare, and against
// other teams that are late for it.
func TestFloodOfOneTeam(t *testing.T) {
	f := newLensFleet(t, 7)
	f.m.Configure(lensQueues, []Team{{ID: "hot", Weight: 15, Limit: domain.Resources{CPUMilli: 490_000}}, {ID: "team", Weight: 60}})
	playLens(f, 300, 20_000, 1)
	for i := range lensQueues {
		q := &lensQueues[i]
		n := 0
		for at := 2000.0; at < 10_000; at += f.rng.ExpFloat64() * 1000 / (2 * lensRates[q.Name]) {
			n++
			id := domain.JobID(fmt.Sprintf("flood-%s-%d", q.Name, n))
			f.after(int64(at)-f.nowMS, func() { f.submit(id, q, "hot", lensSpec(q.Name)) })
		}
	}
	f.runUntil(60_000)
	f.check()
	if share := f.reportWaits("lookup"); share < 0.9 {
		t.Errorf("%.3f of the other teams' lookups are in time during a flood, want 0.90", share)
	}
	spec := lensSpec("lookup")
	useful := usefulLatenessFactor * ObjectiveMS(&spec, &lensQueues[0])
	served, accepted := 0, 0
	for id, begun := range f.submitted {
		if strings.HasPrefix(string(id), "flood-lookup") {
			accepted++
			if done, ok := f.completed[id]; ok && done-begun <= useful {
				served++
			}
		}
	}
	t.Logf("%d of %d accepted lookups of the flood were of use", served, accepted)
	if float64(served) < 0.95*float64(accepted) {
		t.Errorf("%d of %d accepted lookups of the flood were of use, want 95 %%", served, accepted)
	}
}
