package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"auburnpier/internal/domain"
)

var smallWorkerSize = domain.Resources{CPUMilli: 16_000, MemoryMB: 65_536}

// opticianQueues are the queues of an optician's site. Their approval requests use a large part of
// what the site's seven instances can send.
var opticianQueues = []Queue{
	{Name: "lookup", Service: "svc", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 500,
		Approval: &ApprovalPolicy{BaseMS: 10, PerWorkerMS: 0.15, ValidMS: 2500}},
	{Name: "reading", Service: "svc", Priority: 1, MaxAttempts: 2, Stretch: 2.2, ObjectiveMS: 1200,
		Approval: &ApprovalPolicy{BaseMS: 440, PerWorkerMS: 6.3, ValidMS: 2500}},
	{Name: "matching", Service: "svc", Priority: 2, MaxAttempts: 2, Stretch: 4, ObjectiveMS: 3000,
		Approval: &ApprovalPolicy{BaseMS: 72, PerWorkerMS: 1, ValidMS: 2500}},
}

func opticianSpec(queue domain.QueueID) Spec {
	switch queue {
	case "lookup":
		return Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1400, MemoryMB: 2900}, EstimateMS: 1000}}}
	case "reading":
		return Spec{Steps: []StepSpec{{Tasks: 6, Need: domain.Resources{CPUMilli: 4500, MemoryMB: 8800}, EstimateMS: 6200, Gang: true}}}
	}
	return Spec{Steps: []StepSpec{{Tasks: 10, Need: domain.Resources{CPUMilli: 980, MemoryMB: 3600}, EstimateMS: 3400, Checkpointable: true}}}
}

var opticianRates = map[domain.QueueID]float64{"lookup": 33, "reading": 1.5, "matching": 4.4}

// submitOpticianMix submits the job mix of the site from begin to end. x multiplies the rate of
// lookups.
func submitOpticianMix(f *fleet, begin, end int64, x float64) {
	for i := range opticianQueues {
		q := &opticianQueues[i]
		rate := opticianRates[q.Name]
		if q.Name == "lookup" {
			rate *= x
		}
		n := 0
		for at := float64(begin); at < float64(end); at += f.rng.ExpFloat64() * 1000 / rate {
			n++
			id := domain.JobID(fmt.Sprintf("%s-%d-%d", q.Name, begin, n))
			f.after(int64(at)-f.nowMS, func() { f.submit(id, q, "team", opticianSpec(q.Name)) })
		}
	}
}

func newOpticianFleet(t *testing.T, instances int) *fleet {
	f := newFleet(t, 48, smallWorkerSize)
	f.setApprovers(instances)
	f.transitMS = 40
	f.m.Configure(opticianQueues, nil)
	f.approvalShareOf = func(r ApprovalRequest) float64 {
		return map[domain.QueueID]float64{"lookup": 0.7, "reading": 0.35, "matching": 0.45}[r.Queue]
	}
	f.taskMS = func(o StartOrder) int64 { return f.m.findTask(o.Task).step.spec.EstimateMS }
	return f
}

// logOnTimeShare returns the fraction of a queue's jobs that met their objective, and logs how long
// its steps waited for an instance.
func (f *fleet) logOnTimeShare(queue domain.QueueID) float64 {
	met, all := 0, 0
	spec := opticianSpec(queue)
	at := slices.IndexFunc(opticianQueues, func(q Queue) bool { return q.Name == queue })
	objective := ObjectiveMS(&spec, &opticianQueues[at])
	for id, begun := range f.submitted {
		if !strings.HasPrefix(string(id), string(queue)) {
			continue
		}
		all++
		if done, ok := f.completed[id]; ok && done-begun <= objective {
			met++
		}
	}
	waits := f.approverWaits[queue]
	slices.Sort(waits)
	share := float64(met) / float64(max(1, all))
	if n := len(waits); n > 0 {
		f.t.Logf("%s: %.3f of %d jobs in time; %d requests waited %d ms at p50, %d ms at p99", queue, share, all, n, waits[n/2], waits[n*99/100])
	}
	return share
}

// Guards against short approval requests that wait behind long ones: at ordinary load, with a burst
// of lookups, and with less than half of the instances.
func TestShortApprovalsAreNotDelayedByLongOnes(t *testing.T) {
	// Users require that nine of ten lookups are in time.
	const want = 0.9
	for _, c := range []struct {
		name      string
		instances int
		x         float64
	}{{"ordinary", 7, 1}, {"burst", 7, 2.2}, {"three instances", 3, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newOpticianFleet(t, c.instances)
			submitOpticianMix(f, 300, 20_000, 1)
			if c.x > 1 {
				submitOpticianMix(f, 8000, 12_000, c.x-1)
			}
			f.runUntil(50_000)
			f.check()
			for _, q := range opticianQueues {
				if share := f.logOnTimeShare(q.Name); q.Name == "lookup" && share < want {
					t.Errorf("%.3f of the lookups are in time, want %.2f", share, want)
				}
			}
		})
	}
}

// Guards against refusals by a new owner, of which only the first instances have announced themselves.
func TestApprovalBacklogIsUnknownAfterTakeover(t *testing.T) {
	f := newOpticianFleet(t, 1)
	q := &opticianQueues[1]
	for n := range 40 {
		if r := f.submit(domain.JobID(fmt.Sprintf("reading-%d", n)), q, "team", opticianSpec(q.Name)); r.Refusal != NotRefused {
			t.Fatalf("job %d is refused with %v %d ms after the takeover", n, r.Refusal, f.nowMS)
		}
	}
}

// Guards against accepted jobs that wait for an approval without end: the instances that are left can ask for
// less than what is accepted, while workers and limits have room. Guards, too, against refusals where they can
// ask for all.
func TestApprovalBacklogIsBounded(t *testing.T) {
	// The platform asks for all jobs 14 s after the last submission.
	const settleMS = 14_000
	for name, c := range map[string]struct {
		instances int
		refuses   bool
	}{"all instances": {7, false}, "two instances left": {2, true}} {
		t.Run(name, func(t *testing.T) {
			f := newOpticianFleet(t, 7)
			f.runUntil(2000)
			f.setApprovers(c.instances)
			refused := 0
			var accepted []domain.JobID
			q := &opticianQueues[1]
			for n := range 60 {
				id := domain.JobID(fmt.Sprintf("reading-%d", n))
				if r := f.submit(id, q, "team", opticianSpec(q.Name)); r.Refusal == NotRefused {
					accepted = append(accepted, id)
				} else if refused++; r.RetryAfterMS < minRetryMS {
					t.Errorf("%s is refused with a retry delay of %d ms, want at least %d", id, r.RetryAfterMS, minRetryMS)
				}
				for range 20 {
					lookup := &opticianQueues[0]
					f.submit(domain.JobID(fmt.Sprintf("lookup-%d-%d", n, f.nowMS)), lookup, "team", opticianSpec(lookup.Name))
					f.runUntil(f.nowMS + 25)
				}
			}
			f.runUntil(f.nowMS + settleMS)
			for _, id := range accepted {
				if j := f.m.jobs[id]; !j.started {
					t.Errorf("%s was accepted and has not started %d ms after the last submission", id, settleMS)
				}
			}
			if (refused > 0) != c.refuses {
				t.Errorf("%d jobs are refused, want some: %v", refused, c.refuses)
			}
			t.Logf("%d accepted, %d refused", len(accepted), refused)
			f.check()
		})
	}
}

// Guards against a new owner that queues its approval requests behind those of the former owner,
// which the service is still processing. Each call would then time out, and nothing would start for
// seconds.
func TestApprovalsAfterTakeover(t *testing.T) {
	f := newOpticianFleet(t, 7)
	for i := range 7 {
		// Requests in progress of a former owner that kept to the same bounds.
		f.approverBusyUntilMS[f.addresses[i]] = f.nowMS + 500
	}
	submitOpticianMix(f, f.nowMS, f.nowMS+10_000, 1)
	f.runUntil(30_000)
	f.check()
	if share := f.logOnTimeShare("lookup"); share < 0.9 {
		t.Errorf("%.3f of the lookups are in time after a takeover, want 0.90", share)
	}
}

// Guards against a flood from one team that delays other teams, and against short jobs of that team
// that wait behind long-running work with slack.
func TestFloodDoesNotDelayOtherTeamsOrItsOwnShortJobs(t *testing.T) {
	f := newOpticianFleet(t, 7)
	f.m.Configure(opticianQueues, []Team{{ID: "hot", Weight: 15, Limit: domain.Resources{CPUMilli: 490_000}}, {ID: "team", Weight: 60}})
	submitOpticianMix(f, 300, 20_000, 1)
	for i := range opticianQueues {
		q := &opticianQueues[i]
		n := 0
		for at := 2000.0; at < 10_000; at += f.rng.ExpFloat64() * 1000 / (2 * opticianRates[q.Name]) {
			n++
			id := domain.JobID(fmt.Sprintf("flood-%s-%d", q.Name, n))
			f.after(int64(at)-f.nowMS, func() { f.submit(id, q, "hot", opticianSpec(q.Name)) })
		}
	}
	f.runUntil(60_000)
	f.check()
	if share := f.logOnTimeShare("lookup"); share < 0.9 {
		t.Errorf("%.3f of the other teams' lookups are in time during a flood, want 0.90", share)
	}
	spec := opticianSpec("lookup")
	useful := usefulLatenessFactor * ObjectiveMS(&spec, &opticianQueues[0])
	served, accepted := 0, 0
	for id, begun := range f.submitted {
		if strings.HasPrefix(string(id), "flood-lookup") {
			accepted++
			if done, ok := f.completed[id]; ok && done-begun <= useful {
				served++
			}
		}
	}
	t.Logf("%d of %d accepted lookups of the flood completed in useful time", served, accepted)
	if float64(served) < 0.95*float64(accepted) {
		t.Errorf("%d of %d accepted lookups of the flood completed in useful time, want 95 %%", served, accepted)
	}
}

// Guards against an approval rate that rises with each request for workers that are known to be
// approved: too few workers are then named, and a gang needs many requests before it can start.
func TestApprovalRateCountsUndecidedWorkers(t *testing.T) {
	f := newFleet(t, 40, domain.Resources{CPUMilli: 4000, MemoryMB: 4000})
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000, Approval: &ApprovalPolicy{BaseMS: 400, PerWorkerMS: 1, ValidMS: 1500}}
	f.submit("j", q, "team", Spec{Steps: []StepSpec{{Tasks: 4, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 1000}}})
	id := StepID{"j", 0, 0}
	answer := func(workers []domain.WorkerID, approved int) {
		var list []Approval
		for _, w := range workers[:approved] {
			list = append(list, Approval{w, "t"})
		}
		f.m.ApprovalAnswered(ApprovalRequest{Step: id, Queue: "q", Workers: workers}, list, 1500)
	}
	answer(f.ids[:20], 5)
	after := f.m.statsOf(q).rate
	if after >= initialApprovalRate {
		t.Errorf("the rate is %.2f after 5 of 20 workers were approved, want less than the initial %.2f", after, initialApprovalRate)
	}
	for range 10 {
		answer(f.ids[:5], 5)
	}
	if got := f.m.statsOf(q).rate; got != after {
		t.Errorf("the rate is %.2f after requests for workers that are known to be approved, want %.2f", got, after)
	}
}
