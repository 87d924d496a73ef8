package jobs

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// nextOwner returns a machine of the next epoch that has recovered the jobs of m.
func nextOwner(t *testing.T, m *Machine) *Machine {
	t.Helper()
	cfg := m.cfg
	cfg.Epoch++
	next := New(cfg, m.nowMS, m.unixMS)
	b, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range b.Jobs {
		if err := next.RecoverJob(j.ID, j.Job, j.State); err != nil {
			t.Fatal(err)
		}
	}
	next.FinishRecovery()
	return next
}

func registerWorker(m *Machine) {
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: workerSize, StartedMS: 1}})
}

// storeAll stores all pending changes.
func storeAll(t *testing.T, m *Machine) {
	t.Helper()
	b, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	m.BatchStored(b)
}

func report(m *Machine, ends []EndReport, running ...RunReport) {
	m.Report(WorkerReport{Worker: "w", StartedMS: 1, SentMS: m.nowMS, ReceivedMS: m.nowMS, ClockMS: m.nowMS, Ends: ends, Running: running})
}

// storedSingleTask returns a machine at 0 ms that has stored worker w and job j, whose only task waits.
func storedSingleTask(t *testing.T, unixMS int64) *Machine {
	t.Helper()
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, unixMS)
	registerWorker(m)
	m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000}}})
	storeAll(t, m)
	return m
}

// orderSingleStart returns a machine at 100 ms that has just ordered worker w to start the only task of job j.
func orderSingleStart(t *testing.T) (*Machine, StartOrder) {
	t.Helper()
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 1, 1)
	m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000}}})
	registerWorker(m)
	storeAll(t, m)
	report(m, nil)
	m.Advance(100, 100)
	m.Schedule()
	starts := m.TakeOutput().Starts
	if len(starts) != 1 {
		t.Fatalf("%d start orders, want 1", len(starts))
	}
	return m, starts[0]
}

// Guards against the next owner counting a failure again because its run end was stored but not yet
// acknowledged.
func TestFailureListedTwiceCountsOnce(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	for _, gang := range []bool{false, true} {
		m := New(testConfig(), 0, 0)
		spec := Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100, Gang: gang}}}
		m.Submit("j", q, "team", &spec)
		registerWorker(m)
		end := []EndReport{{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Kind: EndFailed}}
		report(m, end)
		next := nextOwner(t, m)
		registerWorker(next)
		report(next, end)
		if state, _, _, _ := next.StoredState("j"); state == Failed || next.jobs["j"].state == Failed {
			t.Errorf("gang %v: the job failed after one failure that was listed twice", gang)
		}
		report(next, append(end, EndReport{Number: 2, Task: TaskID{Job: "j"}, Run: 2, Kind: EndFailed}))
		if next.jobs["j"].state != Failed {
			t.Errorf("gang %v: the job is %v after two failures, want failed", gang, next.jobs["j"].state)
		}
	}
}

// Guards against a task that a successor starts elsewhere because the stored list, from which it learns whom to ask,
// doesn't have the worker that runs it, or has it under an earlier address.
func TestNoStartBeforeWorkerIsStored(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	var running []RunReport
	for i, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		m.Submit(domain.JobID(fmt.Sprintf("j%d", i)), q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100}}})
		storeAll(t, m)
		m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: address, Service: "svc", Capacity: workerSize, StartedMS: 1}})
		m.Advance(m.nowMS+100, m.unixMS+100)
		report(m, nil, running...)
		for _, stored := range []bool{false, true} {
			if stored {
				storeAll(t, m)
			}
			m.Advance(m.nowMS+100, m.unixMS+100)
			m.Schedule()
			starts := m.TakeOutput().Starts
			if (len(starts) == 1) != stored {
				t.Fatalf("%d start orders at %s, want one only once the list with it is stored: %v", len(starts), address, stored)
			}
			for _, o := range starts {
				m.StartAnswered("w", o.Task, o.Run, StartAccepted)
				running = append(running, RunReport{Task: o.Task, Run: o.Run})
			}
		}
	}
}

// Guards against a successor that starts a task under a run number of its predecessor: the predecessor's run, which
// the successor does not know of, would pass for its own.
func TestSuccessorUsesNewRunNumbers(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	for _, gang := range []bool{false, true} {
		m := New(testConfig(), 0, 0)
		m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100, Gang: gang}}})
		stored, err := m.TakeBatch(testBatchEntries)
		if err != nil {
			t.Fatal(err)
		}
		m.BatchStored(stored)
		cfg := m.cfg
		cfg.Epoch++
		next := New(cfg, 0, 0)
		if err := next.RecoverJob("j", stored.Jobs[0].Job, stored.Jobs[0].State); err != nil {
			t.Fatal(err)
		}
		next.FinishRecovery()
		last := 0
		for _, owner := range []*Machine{m, next} {
			registerWorker(owner)
			storeAll(t, owner)
			report(owner, nil)
			owner.Schedule()
			starts := owner.TakeOutput().Starts
			if len(starts) != 1 || starts[0].Run <= last {
				t.Fatalf("gang %v: starts %+v, want one with a run above %d", gang, starts, last)
			}
			last = starts[0].Run
		}
	}
}

// Guards against starting tasks on a worker that still runs a task unknown to the owner: it uses
// resources until the worker lists its end.
func TestUnknownRunsBlockNewWork(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	storeAll(t, m)
	unknown := RunReport{Task: TaskID{Job: "unknown"}, Run: 3}
	report(m, nil, unknown)
	spec := Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100}}}
	m.Submit("j", q, "team", &spec)
	storeAll(t, m)
	m.Schedule()
	out := m.TakeOutput()
	if len(out.Starts) != 0 || len(out.Stops) != 1 {
		t.Fatalf("%d starts and %d stops beside an unknown run, want 0 and 1", len(out.Starts), len(out.Stops))
	}
	m.Advance(100, 100)
	report(m, []EndReport{{Number: 1, Task: unknown.Task, Run: 3, Kind: EndStopped}})
	m.Schedule()
	if out := m.TakeOutput(); len(out.Starts) != 1 {
		t.Fatalf("%d starts after the unknown run ended, want 1", len(out.Starts))
	}
}

// Guards against reusing the resources of a start order that was followed by a stop order while it
// may still take effect.
func TestStoppedUnconfirmedStartKeepsItsResources(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	storeAll(t, m)
	report(m, nil)
	spec := Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100}}}
	m.Submit("j", q, "team", &spec)
	storeAll(t, m)
	m.Schedule()
	m.Advance(50, 50)
	m.Cancel("j", func(domain.TeamID, domain.QueueID) bool { return true })
	storeAll(t, m)
	report(m, nil)
	if m.workers["w"].used.IsZero() {
		t.Fatal("the resources of an unconfirmed start were released when its stop was ordered")
	}
	m.StopAnswered("w", TaskID{Job: "j"}, 1, true)
	m.Advance(100, 100)
	report(m, nil)
	if !m.workers["w"].used.IsZero() {
		t.Fatal("the resources of a start are still reserved after the worker confirmed the stop")
	}
}

// Guards against stopping a gang because one member has finished its part and waits for the others.
func TestGangMemberMayWaitForOthers(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	spec := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000, Gang: true}}}
	m.Submit("j", q, "team", &spec)
	first, second := TaskID{Job: "j"}, TaskID{Job: "j", Index: 1}
	slow := 0
	for at := int64(0); at < 6000; at += 500 {
		m.Advance(at, at)
		if at <= 3000 {
			slow++
		}
		report(m, nil, RunReport{Task: first, Run: 1, Percent: 99}, RunReport{Task: second, Run: 1, Percent: slow})
		stops := len(m.TakeOutput().Stops)
		if at <= 4500 && stops > 0 {
			t.Fatalf("the gang was stopped at %d ms while a member made progress", at)
		}
	}
	m.Advance(6000, 6000)
	if m.workers["w"].runs[first].phase != runStopping {
		t.Fatal("the gang was not stopped although no member made progress")
	}
}

// Guards against starting a member that has ended again in the same gang run, which its worker
// refuses.
func TestEndedGangMemberIsNotReplaced(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	storeAll(t, m)
	report(m, nil)
	spec := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000, Gang: true}}}
	m.Submit("j", q, "team", &spec)
	storeAll(t, m)
	m.Schedule()
	if n := len(m.TakeOutput().Starts); n != 2 {
		t.Fatalf("%d members started, want 2", n)
	}
	second := TaskID{Job: "j", Index: 1}
	m.StartAnswered("w", TaskID{Job: "j"}, 1, StartAccepted)
	m.StartAnswered("w", second, 1, StartAccepted)
	m.Advance(500, 500)
	report(m, []EndReport{{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Kind: EndFailed}}, RunReport{Task: second, Run: 1})
	m.Schedule()
	if n := len(m.TakeOutput().Starts); n != 0 {
		t.Fatalf("%d starts while another member of the ended gang still runs, want none", n)
	}
	m.Advance(600, 600)
	report(m, []EndReport{{Number: 2, Task: second, Run: 1, Kind: EndGangMemberEnded}})
	m.Schedule()
	starts := m.TakeOutput().Starts
	if len(starts) != 2 || starts[0].Run != 2 {
		t.Fatalf("starts after the gang has ended: %+v, want both members in run 2", starts)
	}
}

// Guards against acknowledging the end of a gang member before the end of the gang, known from
// another member, is stored.
func TestEndsAreNotAcknowledgedBeforeTheyAreStored(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	spec := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000, Gang: true}}}
	m.Submit("j", q, "team", &spec)
	take := func() *Batch {
		t.Helper()
		b, err := m.TakeBatch(testBatchEntries)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	m.BatchStored(take())
	first, second := TaskID{Job: "j"}, TaskID{Job: "j", Index: 1}
	report(m, nil, RunReport{Task: first, Run: 1}, RunReport{Task: second, Run: 1})
	m.Advance(1000, 1000)
	report(m, []EndReport{{Number: 1, Task: first, Run: 1, Kind: EndSucceeded}}, RunReport{Task: second, Run: 1})
	b := take()
	m.Advance(1010, 1010)
	report(m, []EndReport{{Number: 1, Task: first, Run: 1, Kind: EndSucceeded}, {Number: 2, Task: second, Run: 1, Kind: EndSucceeded}})
	if n := m.AcknowledgeableEnd("w"); n != 0 {
		t.Fatalf("ends up to %d may be acknowledged before the job's end is stored, want none", n)
	}
	m.BatchStored(b)
	if n := m.AcknowledgeableEnd("w"); n != 2 {
		t.Fatalf("ends up to %d may be acknowledged after the job's end is stored, want 2", n)
	}
}

// Guards against losing work with a draining worker: tasks that can resume from a checkpoint and
// would not finish in time, and long-running tasks, are moved. The others stay.
func TestWorkLeavesDrainingWorker(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	cases := []struct {
		name    string
		spec    StepSpec
		percent int
		moves   bool
	}{
		{"long with checkpoint", StepSpec{EstimateMS: 9000, Checkpointable: true}, 10, true},
		{"nearly done", StepSpec{EstimateMS: 9000, Checkpointable: true}, 90, false},
		{"long without checkpoint", StepSpec{EstimateMS: 9000}, 10, false},
		{"long-running", StepSpec{EstimateMS: 1, LongRunning: true}, 100, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(testConfig(), 0, 0)
			registerWorker(m)
			c.spec.Tasks, c.spec.Need = 1, domain.Resources{CPUMilli: 1}
			m.Submit("j", q, "team", &Spec{Steps: []StepSpec{c.spec}})
			report(m, nil, RunReport{Task: TaskID{Job: "j"}, Run: 1, Percent: c.percent})
			m.UpdateWorkers([]WorkerInfo{{ID: "w", Service: "svc", Capacity: workerSize, StartedMS: 1, Draining: true, DrainTimeLeftMS: 2500}})
			m.Advance(runCheckIntervalMS, runCheckIntervalMS)
			if stops := len(m.TakeOutput().Stops); (stops > 0) != c.moves {
				t.Errorf("%d stop orders, want the task moved: %v", stops, c.moves)
			}
		})
	}
}

// Guards against removed workers that delay every later owner because the stored list of workers
// still contains them.
func TestExpiredSuspectsLeaveStoredMembers(t *testing.T) {
	m := New(testConfig(), 0, 0)
	m.AddSuspects([]Member{{ID: "removed"}})
	registerWorker(m)
	report(m, nil)
	if _, err := m.TakeBatch(testBatchEntries); err != nil {
		t.Fatal(err)
	}
	m.membersWriteInFlight = false
	m.Advance(m.cfg.FormerLeaseMS, m.cfg.FormerLeaseMS)
	b, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Members) != 1 || b.Members[0].ID != "w" {
		t.Errorf("the stored list is %v after the suspect expired, want the registered worker only", b.Members)
	}
}

// Guards against an owner that polls late and starts tasks again although their worker would have
// reported that they have ended.
func TestLateOwnerPollsBeforeAbandoningRuns(t *testing.T) {
	m := storedSingleTask(t, 0)
	report(m, nil, RunReport{Task: TaskID{Job: "j"}, Run: 1})
	m.Advance(60_000, 60_000)
	if len(m.workers["w"].runs) != 1 {
		t.Fatal("a run was abandoned although no poll failed")
	}
	m.PollFailed("w")
	m.Advance(61_000, 61_000)
	if len(m.workers["w"].runs) != 0 {
		t.Fatal("a run is kept on an unresponsive worker after its lease expired")
	}
}

// Guards against a run that is started elsewhere while it is live: a worker restarts, accepts a start order, and
// its answer overtakes that to a poll which was sent and carried out before. The report knows nothing of the run
// and names another incarnation, of which the run is.
func TestRunOfNewIncarnationIsKept(t *testing.T) {
	for name, lists := range map[string]bool{"started by the new incarnation": true, "lost with the former one": false} {
		t.Run(name, func(t *testing.T) {
			m, start := orderSingleStart(t)
			m.SetTime(200, 200)
			m.StartAnswered("w", start.Task, start.Run, StartAccepted)
			m.Report(WorkerReport{Worker: "w", StartedMS: 2, SentMS: 150, ReceivedMS: 200, ClockMS: 10})
			m.Advance(300, 300)
			m.Schedule()
			if out := m.TakeOutput(); len(out.Starts)+len(out.Stops) > 0 || len(m.workers["w"].runs) != 1 {
				t.Fatalf("starts %v, stops %v, want none while the run may be live", out.Starts, out.Stops)
			}
			next := WorkerReport{Worker: "w", StartedMS: 2, SentMS: 300, ReceivedMS: 310, ClockMS: 120}
			if lists {
				next.Running = []RunReport{{Task: start.Task, Run: start.Run}}
			}
			m.SetTime(310, 310)
			m.Report(next)
			m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: workerSize, StartedMS: 2}})
			m.Advance(400, 400)
			m.Schedule()
			if starts := m.TakeOutput().Starts; (len(starts) == 0) != lists {
				t.Errorf("starts %v after the next report, which lists the run: %v", starts, lists)
			}
		})
	}
}

// Guards against a run that succeeded and is started again because its end did not fit in the report: a worker
// returns at most 500 ends at a time.
func TestRunIsKeptIfReportOfEndsIsFull(t *testing.T) {
	for name, c := range map[string]struct {
		ends int
		kept bool
	}{"full": {maxListedEnds, true}, "not full": {maxListedEnds - 1, false}} {
		t.Run(name, func(t *testing.T) {
			m, o := orderSingleStart(t)
			m.StartAnswered("w", o.Task, o.Run, StartAccepted)
			m.Advance(200, 200)
			var ends []EndReport
			for i := range c.ends {
				ends = append(ends, EndReport{Number: int64(i + 1), Task: TaskID{Job: "other", Index: i}, Run: 1, Kind: EndSucceeded})
			}
			report(m, ends)
			if kept := len(m.workers["w"].runs) == 1; kept != c.kept {
				t.Errorf("the run is kept: %v, want %v", kept, c.kept)
			}
		})
	}
}

// Guards against an owner that takes a worker's lease for expired although its successor extends it: the
// worker answers the successor and not the former owner, which has not yet learned that it lost the claim and
// starts the tasks again on a worker that the successor has not reached.
func TestLeaseExpiryNeedsHeldClaim(t *testing.T) {
	m := storedSingleTask(t, 60_000)
	report(m, nil, RunReport{Task: TaskID{Job: "j"}, Run: 1})
	m.AddSuspects([]Member{{ID: "former", Address: "10.0.0.2:1"}})
	m.PollFailed("w")
	expiry := m.workers["w"].leaseExpiryMS
	for _, c := range []struct{ heldMS, runs int64 }{{0, 1}, {expiry - 1, 1}, {expiry, 0}} {
		m.SetClaimHeld(c.heldMS)
		m.Advance(m.nowMS+60_000, m.unixMS+60_000)
		if runs, suspects := int64(len(m.workers["w"].runs)), int64(m.CountSuspects()); runs != c.runs || suspects != c.runs {
			t.Errorf("claim held until %d ms, leases until %d ms: %d runs and %d suspects are left, want %d each", c.heldMS, expiry, runs, suspects, c.runs)
		}
	}
}

// Guards against a team that exceeds its limit after a takeover: tasks that may run on workers that
// have not reported yet count, also for new jobs.
func TestTeamLimitCountsUnreportedTasks(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 10_000}
	size := domain.Resources{CPUMilli: 4000, MemoryMB: 4000}
	limit := domain.Resources{CPUMilli: 4000}
	for _, c := range []struct {
		name string
		gang bool
		team domain.TeamID
		// reported is set if the worker with the old tasks has reported.
		reported bool
		starts   int
	}{
		{"unreported", false, "limited", false, 1},
		{"unreported, gang", true, "limited", false, 0},
		{"reported", false, "limited", true, 1},
		{"team without limit", false, "free", false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			teams := []Team{{ID: "limited", Limit: limit}, {ID: "free"}}
			m := New(testConfig(), 0, 0)
			m.Configure([]Queue{*q}, teams)
			old := Spec{Steps: []StepSpec{{Tasks: 3, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 1}, EstimateMS: 100}}}
			m.Submit("old", q, "limited", &old)
			next := nextOwner(t, m)
			next.Configure([]Queue{*q}, teams)
			next.AddSuspects([]Member{{ID: "w"}, {ID: "unresponsive"}})
			next.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: size, StartedMS: 1},
				{ID: "unresponsive", Address: "10.0.0.2:1", Service: "svc", Capacity: size, StartedMS: 1}})
			report(next, nil)
			if c.reported {
				var running []RunReport
				for i := range 3 {
					running = append(running, RunReport{Task: TaskID{Job: "old", Index: i}, Run: 1})
				}
				next.Report(WorkerReport{Worker: "unresponsive", StartedMS: 1, SentMS: next.nowMS, ReceivedMS: next.nowMS, ClockMS: next.nowMS, Running: running})
			}
			fresh := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 1}, EstimateMS: 100, Gang: c.gang}}}
			next.Submit("new", q, c.team, &fresh)
			storeAll(t, next)
			next.Schedule()
			if starts := len(next.TakeOutput().Starts); starts != c.starts {
				t.Errorf("%d starts, want %d", starts, c.starts)
			}
		})
	}
}

// Guards against a panic when the name of an unknown end kind, job state or start outcome is looked
// up. Such values may come from another instance or the store.
func TestUnknownEnumValuesDoNotPanic(t *testing.T) {
	m := storedSingleTask(t, 0)
	task := TaskID{Job: "j"}
	report(m, nil, RunReport{Task: task, Run: 1})
	report(m, []EndReport{{Number: 1, Task: task, Run: 1, Kind: 250}})
	if s := m.findStep(task.StepOf()); s.waiting != 1 || s.open != 1 {
		t.Errorf("%d tasks wait and %d are open after an end of unknown kind, want 1 and 1", s.waiting, s.open)
	}
	state, err := cbor.Marshal(StateRecord{State: 77})
	if err != nil {
		t.Fatal(err)
	}
	if err := m.RecoverJob("k", nil, state); err == nil {
		t.Error("a job with an unknown state was recovered")
	}
	if got := StartOutcome(200).String(); got != StartUnanswered.String() {
		t.Errorf("an unknown outcome is shown as %q, want the name of an unanswered start", got)
	}
}

// Guards against assigning tasks to a worker that has moved to another address while the store still
// has the former one. The next owner would find no process there and start the tasks again while
// they run.
func TestMovedWorkerGetsNoTasksBeforeItsAddressIsStored(t *testing.T) {
	m := storedSingleTask(t, 0)
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.9:1", Service: "svc", Capacity: workerSize, StartedMS: 1}})
	report(m, nil)
	b, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Members) != 1 || b.Members[0].Address != "10.0.0.9:1" {
		t.Errorf("the stored list is %+v after the worker moved, want its new address", b.Members)
	}
	m.Schedule()
	if starts := m.TakeOutput().Starts; len(starts) > 0 {
		t.Errorf("%d starts on a worker whose address is not stored", len(starts))
	}
	m.BatchStored(b)
	m.Advance(m.nowMS+passIntervalMS, m.unixMS)
	m.Schedule()
	if starts := m.TakeOutput().Starts; len(starts) != 1 {
		t.Errorf("%d starts once the address is stored, want 1", len(starts))
	}
}

// Guards against drained workers that terminate while there is no owner and then keep every recovered
// job waiting until their lease would have expired, and against a worker that is left out of the
// stored list although a later owner has to hear of it.
func TestDrainedWorkersLeaveStoredMembers(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	spec := Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000}}}
	draining := WorkerInfo{ID: "w", Service: "svc", Capacity: workerSize, StartedMS: 1, Draining: true, DrainTimeLeftMS: 2500}
	for name, c := range map[string]struct {
		before func(t *testing.T, m *Machine)
		listed bool
	}{
		"idle and drained":           {func(_ *testing.T, m *Machine) { m.UpdateWorkers([]WorkerInfo{draining}) }, false},
		"idle, no longer registered": {func(_ *testing.T, m *Machine) { m.UpdateWorkers(nil) }, false},
		"idle and in use":            {func(*testing.T, *Machine) {}, true},
		"drained, not reported yet": {func(_ *testing.T, m *Machine) {
			m.workers["w"].contacted = false
			m.UpdateWorkers([]WorkerInfo{draining})
		}, true},
		"drained, still runs a task": {func(t *testing.T, m *Machine) {
			m.Submit("j", q, "team", &spec)
			storeAll(t, m)
			report(m, nil, RunReport{Task: TaskID{Job: "j"}, Run: 1})
			m.UpdateWorkers([]WorkerInfo{draining})
		}, true},
		"drained, effect of an end not stored": {func(t *testing.T, m *Machine) {
			m.Submit("j", q, "team", &spec)
			storeAll(t, m)
			report(m, nil, RunReport{Task: TaskID{Job: "j"}, Run: 1})
			report(m, []EndReport{{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Kind: EndSucceeded}})
			m.UpdateWorkers([]WorkerInfo{draining})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(testConfig(), 0, 0)
			registerWorker(m)
			report(m, nil)
			storeAll(t, m)
			c.before(t, m)
			m.Advance(m.nowMS+2*memberTrimIntervalMS, 0)
			m.membersChanged = true
			b, err := m.TakeBatch(testBatchEntries)
			if err != nil {
				t.Fatal(err)
			}
			if listed := len(b.Members) == 1; listed != c.listed {
				t.Errorf("the stored list is %v, want the worker listed: %v", b.Members, c.listed)
			}
		})
	}
}

// Guards against a start on a worker that is registered for work again after it was left out of the
// stored list: a later owner would not look for the task there.
func TestReturningWorkerIsStoredBeforeItsFirstStart(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	report(m, nil)
	storeAll(t, m)
	m.UpdateWorkers(nil)
	m.Advance(2*memberTrimIntervalMS, 0)
	storeAll(t, m)
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Service: "svc", Capacity: workerSize, StartedMS: 1}})
	report(m, nil)
	m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 1000}}})
	w := m.workers["w"]
	w.leaseExpiryMS = m.nowMS + 10_000
	for range 4 {
		stored := w.inStoredMembers
		m.Advance(m.nowMS+100, 0)
		m.Schedule()
		if starts := len(m.TakeOutput().Starts); starts > 0 && !stored {
			t.Fatal("a task was started before the worker was stored")
		}
		storeAll(t, m)
	}
	if len(w.runs) != 1 {
		t.Error("the worker got no work after its return")
	}
}

// Guards against a worker that counts as stored with its present capacity because a write that was under way when it
// changed has succeeded: a later owner would bound by the former capacity what a team may run there.
func TestWorkerIsStoredWithItsPresentCapacity(t *testing.T) {
	m := New(testConfig(), 0, 0)
	registerWorker(m)
	former, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	larger := workerSize.Scale(2)
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: larger, StartedMS: 1}})
	m.BatchStored(former)
	if m.workers["w"].inStoredMembers {
		t.Error("the worker counts as stored, but the store holds its former capacity")
	}
	storeAll(t, m)
	if !m.workers["w"].inStoredMembers {
		t.Error("the worker does not count as stored after the next write")
	}
}

// Guards against a rollback after which stored jobs cannot be read because a later version has added fields.
func TestRecordsOfLaterVersionsAreReadable(t *testing.T) {
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, ObjectiveMS: 1000}
	spec := Spec{Steps: []StepSpec{{Tasks: 2, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100}}}
	m := New(testConfig(), 0, 0)
	m.Submit("j", q, "team", &spec)
	registerWorker(m)
	report(m, []EndReport{{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Kind: EndFailed}})
	b, err := m.TakeBatch(testBatchEntries)
	if err != nil {
		t.Fatal(err)
	}
	withLaterField := func(value []byte) []byte {
		var fields map[int]any
		if err := cbor.Unmarshal(value, &fields); err != nil {
			t.Fatal(err)
		}
		fields[1000] = map[int][]string{7: {"later"}}
		value, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	next := New(testConfig(), 0, 0)
	if err := next.RecoverJob("j", withLaterField(b.Jobs[0].Job), withLaterField(b.Jobs[0].State)); err != nil {
		t.Fatal(err)
	}
	if got := next.findTask(TaskID{Job: "j"}).failedRuns; len(got) != 1 {
		t.Errorf("failed runs after the recovery are %v, want one", got)
	}
}
