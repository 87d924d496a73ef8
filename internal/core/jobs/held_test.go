package jobs

import (
	"testing"

	"auburnpier/internal/domain"
)

// Guards against a task that counts as done twice: a worker becomes unreachable, its task succeeds,
// its lease expires, the task is started on another worker, and the first worker lists the success
// when it is reachable again.
func TestLateSuccessIsNotAcknowledgedAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		// secondEnds is set if the second run has succeeded and the job has ended before that.
		secondEnds, copies bool
	}{"second run still runs": {}, "second run has ended": {secondEnds: true}, "copies are allowed": {copies: true}} {
		t.Run(name, func(t *testing.T) {
			m := New(testConfig(), 0, 1_000_000)
			queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000}
			m.Configure([]Queue{queue}, nil)
			capacity := domain.Resources{CPUMilli: 4000, MemoryMB: 4000}
			m.UpdateWorkers([]WorkerInfo{{ID: "a", Address: "x", Service: "svc", StartedMS: 1, Capacity: capacity}})
			now := int64(0)
			report := func(id domain.WorkerID, ends []EndReport, running ...RunReport) Output {
				now += 100
				m.Advance(now, 1_000_000+now)
				m.LeaseLimit(id)
				m.Report(WorkerReport{Worker: id, StartedMS: 1, SentMS: now - 1, ReceivedMS: now, ClockMS: now, Ends: ends, Running: running})
				m.Schedule()
				out := m.TakeOutput()
				for _, o := range out.Starts {
					m.StartAnswered(o.Worker, o.Task, o.Run, StartAccepted)
				}
				b, err := m.TakeBatch(testBatchEntries)
				if err != nil {
					t.Fatal(err)
				}
				m.BatchStored(b)
				return out
			}
			report("a", nil)
			m.Submit("job", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: capacity, EstimateMS: 500, CopiesAllowed: c.copies}}})
			report("a", nil)
			out := report("a", nil)
			task := TaskID{Job: "job"}
			if len(out.Starts) != 1 {
				t.Fatalf("%d starts", len(out.Starts))
			}
			report("a", nil, RunReport{Task: task, Run: 1})
			m.UpdateWorkers([]WorkerInfo{{ID: "a", Address: "x", Service: "svc", StartedMS: 1, Capacity: capacity},
				{ID: "b", Address: "y", Service: "svc", StartedMS: 1, Capacity: capacity}})
			m.PollFailed("a")
			var second []StartOrder
			for end := now + 12_000; now < end && len(second) == 0; {
				second = report("b", nil).Starts
			}
			if len(second) != 1 || second[0].Worker != "b" {
				t.Fatalf("the task is not started elsewhere: %+v", second)
			}
			if c.secondEnds {
				report("b", []EndReport{{Number: 1, Task: task, Run: second[0].Run, Kind: EndSucceeded}})
				report("b", nil)
			}
			m.TakeOutput()
			out = report("a", []EndReport{{Number: 4, Task: task, Run: 1, Kind: EndSucceeded}, {Number: 5, Task: TaskID{Job: "other"}, Run: 1, Kind: EndStopped}})
			report("b", nil, RunReport{Task: task, Run: second[0].Run})
			want := int64(3)
			if c.copies {
				want = 5
			}
			if got := m.AcknowledgeableEnd("a"); got != want {
				t.Errorf("ends up to %d are acknowledged, want %d", got, want)
			}
			if state, _, _, _ := m.StoredState("job"); state != Completed {
				t.Errorf("the job is %v, want completed", state)
			}
			if !c.secondEnds && len(out.Stops) != 1 {
				t.Errorf("%d stop orders, want one for the second run", len(out.Stops))
			}
			// A new incarnation of the worker numbers its run ends from 1.
			m.Report(WorkerReport{Worker: "a", StartedMS: 2, SentMS: now, ReceivedMS: now, ClockMS: now,
				Ends: []EndReport{{Number: 1, Task: TaskID{Job: "other"}, Run: 2, Kind: EndStopped}}})
			if got := m.AcknowledgeableEnd("a"); got != 1 || m.HasWithheldEnds("a") {
				t.Errorf("after the worker restarted, ends up to %d are acknowledged, want 1", got)
			}
		})
	}
}

// Guards against a worker that gets no work for the rest of its life because it listed a success that must not
// be acknowledged: it then has to list all later ends, too, and a report has room for 500. Once it is idle its
// lease expires, after which the success may be acknowledged.
func TestWithheldEndsAreReleasedAfterLeaseExpiry(t *testing.T) {
	m := New(testConfig(), 0, 1_000_000)
	queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000}
	m.Configure([]Queue{queue}, nil)
	need := domain.Resources{CPUMilli: 1000, MemoryMB: 100}
	registerWorker(m)
	m.Submit("job", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 2, Need: need, EstimateMS: 500}}})
	storeAll(t, m)
	abandoned := TaskID{Job: "job"}
	m.findTask(abandoned).formerAbandonedRun = 1
	ends := []EndReport{{Number: 1, Task: abandoned, Run: 1, Kind: EndSucceeded}}
	for n := range int64(maxEndsAfterWithheld) {
		ends = append(ends, EndReport{Number: n + 2, Task: TaskID{Job: "other"}, Run: 1, Kind: EndStopped})
	}
	step := func(running ...RunReport) []StartOrder {
		const interval = 100
		m.Advance(m.nowMS+interval, m.unixMS+interval)
		m.LeaseLimit("w")
		report(m, ends, running...)
		m.Schedule()
		storeAll(t, m)
		return m.TakeOutput().Starts
	}
	busy := RunReport{Task: TaskID{Job: "job", Index: 1}, Run: 1}
	for m.nowMS < 2*m.cfg.FormerLeaseMS {
		if starts := step(busy); len(starts) > 0 || m.AcknowledgeableEnd("w") > 0 {
			t.Fatalf("starts %v and ends up to %d are acknowledged while the lease is extended", starts, m.AcknowledgeableEnd("w"))
		}
	}
	idleMS := m.nowMS
	for m.AcknowledgeableEnd("w") == 0 {
		if m.nowMS-idleMS > 2*m.cfg.LeaseMS {
			t.Fatalf("the worker is idle since %d ms and none of its ends is acknowledged", m.nowMS-idleMS)
		}
		step()
	}
	if held := m.nowMS - idleMS; held < m.cfg.LeaseMS {
		t.Errorf("the success is acknowledged %d ms after the lease was extended last, want at least %d", held, m.cfg.LeaseMS)
	}
	if got, want := m.AcknowledgeableEnd("w"), int64(len(ends)); got != want {
		t.Errorf("ends up to %d are acknowledged, want %d", got, want)
	}
	if w := m.workers["w"]; !m.usable(w) {
		t.Error("the worker gets no work although its ends are acknowledged")
	}
}

// Guards against withholding the success of a former owner's run because another task of the step
// has a higher run number.
func TestSuccessAfterRecoveryIsNotWithheld(t *testing.T) {
	m := New(testConfig(), 0, 1_000_000)
	queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000}
	m.Configure([]Queue{queue}, nil)
	capacity := domain.Resources{CPUMilli: 4000, MemoryMB: 4000}
	m.UpdateWorkers([]WorkerInfo{{ID: "a", Address: "x", Service: "svc", StartedMS: 1, Capacity: capacity}})
	m.Submit("job", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 3, Need: domain.Resources{CPUMilli: 1000, MemoryMB: 100}, EstimateMS: 500}}})
	s := m.jobs["job"].occurrences[0].steps[0]
	// The store keeps only the highest run number of the step.
	s.lastRun, s.formerRun = 3, 3
	m.Report(WorkerReport{Worker: "a", StartedMS: 1, ClockMS: 1, Ends: []EndReport{{Number: 1, Task: TaskID{Job: "job", Index: 1}, Run: 1, Kind: EndSucceeded}}})
	if m.HasWithheldEnds("a") {
		t.Error("a success is withheld although no later run of its task was started")
	}
	if s.open != 2 {
		t.Errorf("%d of 3 tasks are open after one succeeded", s.open)
	}
}

// Guards against a late success that the third owner in a row acknowledges: the first abandoned the
// run and started the task again, the second saw the new run stop, and the third knows of neither
// run when the unreachable worker comes back.
func TestLateSuccessIsNotAcknowledgedByThirdOwner(t *testing.T) {
	queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000, MaxAttempts: 3}
	capacity := domain.Resources{CPUMilli: 4000, MemoryMB: 4000}
	workers := []WorkerInfo{{ID: "a", Address: "x", Service: "svc", StartedMS: 1, Capacity: capacity},
		{ID: "b", Address: "y", Service: "svc", StartedMS: 1, Capacity: capacity}}
	task := TaskID{Job: "job"}
	var jobValue, stateValue []byte
	now := int64(0)
	store := func(m *Machine) {
		b, err := m.TakeBatch(testBatchEntries)
		if err != nil {
			t.Fatal(err)
		}
		for _, j := range b.Jobs {
			if j.Job != nil {
				jobValue = j.Job
			}
			stateValue = j.State
		}
		m.BatchStored(b)
	}
	report := func(m *Machine, id domain.WorkerID, ends []EndReport, running ...RunReport) []StartOrder {
		now += 100
		m.Advance(now, 1_000_000+now)
		m.LeaseLimit(id)
		m.Report(WorkerReport{Worker: id, StartedMS: 1, SentMS: now - 1, ReceivedMS: now, ClockMS: now, Ends: ends, Running: running})
		m.Schedule()
		return m.TakeOutput().Starts
	}
	owner := func(epoch int64) *Machine {
		cfg := testConfig()
		cfg.Epoch = epoch
		m := New(cfg, now, 1_000_000+now)
		m.Configure([]Queue{queue}, nil)
		if stateValue != nil {
			if err := m.RecoverJob("job", jobValue, stateValue); err != nil {
				t.Fatal(err)
			}
		}
		m.FinishRecovery()
		return m
	}
	first := owner(1)
	first.UpdateWorkers(workers[:1])
	report(first, "a", nil)
	first.Submit("job", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: capacity, EstimateMS: 500}}})
	store(first)
	report(first, "a", nil, RunReport{Task: task, Run: 1})
	first.UpdateWorkers(workers)
	first.PollFailed("a")
	store(first)
	for end := now + 12_000; now < end && len(first.workers["a"].runs) > 0; {
		if starts := report(first, "b", nil); len(starts) > 0 {
			t.Fatal("the task was started again before the abandonment of its run was stored")
		}
	}
	store(first)
	second := report(first, "b", nil)
	if len(second) != 1 || second[0].Worker != "b" {
		t.Fatalf("the task is not started elsewhere: %+v", second)
	}
	next := owner(2)
	next.UpdateWorkers(workers)
	report(next, "b", []EndReport{{Number: 1, Task: task, Run: second[0].Run, Kind: EndStopped}})
	store(next)
	third := owner(3)
	third.UpdateWorkers(workers)
	report(third, "a", []EndReport{{Number: 4, Task: task, Run: 1, Kind: EndSucceeded}})
	store(third)
	if got := third.AcknowledgeableEnd("a"); got >= 4 {
		t.Errorf("ends up to %d are acknowledged, want less than 4, the success of the abandoned run", got)
	}
	if state, _, _, _ := third.StoredState("job"); state != Completed {
		t.Errorf("the job is %v, want completed", state)
	}
}
