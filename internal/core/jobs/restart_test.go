package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// restartingWorker is worker w of a Machine. Its clock begins at zero with each life, and it shortens
// leases to the longest that it grants.
type restartingWorker struct {
	m           *Machine
	startedMS   int64
	clockOffset int64
	leaseLimit  int64
	running     []RunReport
}

// newRestartingWorker returns a worker that has been up and known to the machine for longer than any lease.
func newRestartingWorker(t *testing.T) *restartingWorker {
	t.Helper()
	cfg := testConfig()
	cfg.LeaseMS = 4500
	w := &restartingWorker{m: New(cfg, 0, 0), startedMS: 1, clockOffset: 1_000_000}
	registerWorker(w.m)
	storeAll(t, w.m)
	w.report()
	w.advance(60_000)
	w.report()
	return w
}

// register lists the present life.
func (w *restartingWorker) register() {
	w.m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: workerSize, StartedMS: w.startedMS}})
}

func (w *restartingWorker) advance(toMS int64) { w.m.Advance(toMS, toMS) }

func (w *restartingWorker) clock() int64 { return w.m.nowMS + w.clockOffset }

func (w *restartingWorker) report() {
	w.m.Report(WorkerReport{Worker: "w", StartedMS: w.startedMS, SentMS: w.m.nowMS, ReceivedMS: w.m.nowMS, ClockMS: w.clock(), Running: w.running})
}

// restart begins another life.
func (w *restartingWorker) restart() {
	w.startedMS++
	w.clockOffset, w.leaseLimit, w.running = -w.m.nowMS, 0, nil
}

// runsOn returns the runs that are kept on a worker.
func (m *Machine) runsOn(id domain.WorkerID) map[TaskID]*run {
	if w, ok := m.workers[id]; ok {
		return w.runs
	}
	return nil
}

// extend carries out an order with the lease limit.
func (w *restartingWorker) extend(limit int64) {
	w.leaseLimit = max(w.leaseLimit, min(limit, w.clock()+w.m.cfg.MaxLeaseMS))
}

// submit submits a job of one task and returns its start order.
func (w *restartingWorker) submit(t *testing.T) StartOrder {
	t.Helper()
	q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
	w.m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 20_000}}})
	storeAll(t, w.m)
	w.m.Schedule()
	starts := w.m.TakeOutput().Starts
	if len(starts) != 1 {
		t.Fatalf("%d start orders, want 1", len(starts))
	}
	return starts[0]
}

// start carries out a start order.
func (w *restartingWorker) start(o StartOrder) {
	w.extend(o.LimitClockMS)
	w.running = append(w.running, RunReport{Task: o.Task, Run: o.Run})
}

// cutOff lets no call reach the worker, and checks that its run is kept until its lease has expired.
func (w *restartingWorker) cutOff(t *testing.T) {
	t.Helper()
	w.m.PollFailed("w")
	const slowestPercent = 100 - clockDriftPercent
	leaseEndMS := w.m.nowMS + (w.leaseLimit-w.clock())*100/slowestPercent
	for end := w.m.nowMS + 5*w.m.cfg.MaxLeaseMS; len(w.m.workers["w"].runs) > 0; {
		if w.m.nowMS > end {
			t.Fatalf("the run is still kept %d ms after the lease expired", w.m.nowMS-leaseEndMS)
		}
		w.advance(w.m.nowMS + 50)
	}
	if w.m.nowMS < leaseEndMS {
		t.Errorf("the run is given up at %d ms, %d ms before its lease expires", w.m.nowMS, leaseEndMS-w.m.nowMS)
	}
}

// Guards against a run that is started elsewhere while it is live: an order whose lease limit is a time of the
// clock of a worker's former life reaches the next life, whose clock has begun anew, and extends the lease to the
// longest that a worker grants.
func TestLeaseExtendedByOrderOfFormerLife(t *testing.T) {
	for name, lateMS := range map[string]int64{"at once": 0, "seconds later": 4500} {
		t.Run(name, func(t *testing.T) {
			w := newRestartingWorker(t)
			limit, ok := w.m.LeaseLimit("w")
			if !ok {
				t.Fatal("the lease may not be extended")
			}
			w.advance(w.m.nowMS + 1000)
			w.restart()
			w.advance(w.m.nowMS + 100)
			w.report()
			w.register()
			w.start(w.submit(t))
			w.m.StartAnswered("w", TaskID{Job: "j"}, 1, StartAccepted)
			w.advance(w.m.nowMS + lateMS)
			w.report()
			next, _ := w.m.LeaseLimit("w")
			w.extend(next)
			w.extend(limit)
			w.cutOff(t)
		})
	}
}

// Guards against the same where the order reaches the next life later than any expected delay, just before that life
// confirms a fence that refuses it.
func TestLeaseExtendedUntilFenceIsConfirmed(t *testing.T) {
	w := newRestartingWorker(t)
	limit, _ := w.m.LeaseLimit("w")
	w.restart()
	w.report()
	w.register()
	w.start(w.submit(t))
	w.m.StartAnswered("w", TaskID{Job: "j"}, 1, StartAccepted)
	for range 10 {
		w.advance(w.m.nowMS + 1000)
		w.report()
		next, _ := w.m.LeaseLimit("w")
		w.extend(next)
	}
	w.extend(limit)
	w.m.FenceConfirmed("w")
	w.cutOff(t)
}

// Guards against the same where the next life is cut off before it has answered a poll, and only the registry names it.
func TestLeaseExtendedBeforeFirstReport(t *testing.T) {
	for name, answer := range map[string]StartOutcome{"answered": StartAccepted, "answer lost": StartUnanswered} {
		t.Run(name, func(t *testing.T) {
			w := newRestartingWorker(t)
			o := w.submit(t)
			w.advance(w.m.nowMS + 1000)
			w.restart()
			w.start(o)
			w.m.StartAnswered("w", o.Task, o.Run, answer)
			w.m.TakeOutput()
			w.m.PollFailed("w")
			w.advance(w.m.nowMS + 500)
			w.register()
			if limit, ok := w.m.LeaseLimit("w"); ok {
				t.Errorf("a poll may extend the lease to %d on the clock of the former life", limit)
			}
			// The list names the worker again with each change of another one.
			w.advance(w.m.nowMS + 4000)
			w.register()
			if answer == StartUnanswered {
				// The order may reach the life that the registry lists whenever it is, so its lease proves nothing.
				w.advance(w.m.nowMS + 60_000)
				if runs := len(w.m.workers["w"].runs); runs != 1 {
					t.Fatalf("%d runs are kept while the next life has not answered, want 1", runs)
				}
				w.m.UpdateWorkers(nil)
				if w.advance(w.m.nowMS + expiryCheckIntervalMS); len(w.m.runsOn("w")) != 0 {
					t.Error("the run is still kept after the registry left the next life out")
				}
				return
			}
			w.cutOff(t)
			if kept := w.m.nowMS - 61_500; kept > w.m.leaseEnd(maxOrderDelayMS, w.m.cfg.MaxLeaseMS)+expiryCheckIntervalMS {
				t.Errorf("the run is kept for %d ms", kept)
			}
		})
	}
}

// Guards against a run that is started elsewhere while it is live: one transmission of its start order, or its stop
// order, was answered by a worker's former life, and another transmission is carried out late by the next one.
func TestStartCarriedOutByNextLife(t *testing.T) {
	for proof, terminated := range map[string]bool{"reported": false, "reported after a proof of the end": true} {
		for name, answer := range map[string]func(w *restartingWorker, o StartOrder){
			"repeat accepted": func(w *restartingWorker, o StartOrder) { w.m.StartAnswered("w", o.Task, o.Run, StartAccepted) },
			"listed":          func(w *restartingWorker, o StartOrder) { w.start(o); w.report() },
			"stop answered": func(w *restartingWorker, o StartOrder) {
				w.m.stopRun(w.m.workers["w"].runs[o.Task], "preempted")
				w.m.StopAnswered("w", o.Task, o.Run, true)
			},
		} {
			t.Run(name+", restart "+proof, func(t *testing.T) {
				w := newRestartingWorker(t)
				o := w.submit(t)
				w.advance(w.m.nowMS + 300)
				w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
				w.advance(w.m.nowMS + 100)
				answer(w, o)
				w.m.TakeOutput()
				w.advance(w.m.nowMS + 1000)
				w.restart()
				if terminated {
					w.m.WorkerTerminated("w", "proof")
				}
				w.advance(w.m.nowMS + 100)
				w.report()
				if runs := len(w.m.workers["w"].runs); runs != 1 {
					t.Fatalf("%d runs are kept while a transmission of the start order may be carried out, want 1", runs)
				}
				w.advance(w.m.nowMS + 100)
				w.report()
				if runs := len(w.m.workers["w"].runs); runs != 1 {
					t.Fatalf("%d runs are kept before the next life refuses the start order, want 1", runs)
				}
				stops := w.m.TakeOutput().Stops
				if len(stops) == 0 {
					t.Fatal("the next life is not ordered to refuse the start order")
				}
				w.m.StopAnswered("w", stops[0].Task, stops[0].Run, true)
				w.advance(w.m.nowMS + 100)
				w.report()
				if runs := len(w.m.workers["w"].runs); runs != 0 {
					t.Errorf("%d runs are kept after the next life refused the start order", runs)
				}
			})
		}
	}
}

// Guards against a start order that is carried out by the next life of its worker after the task was started elsewhere: a
// transmission without an answer was taken as void some seconds after it was sent.
func TestStartOrderWithoutAnswerReachesNextLifeAtAnyTime(t *testing.T) {
	unanswered := func(w *restartingWorker, o StartOrder) {
		w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
		w.m.TakeOutput()
	}
	for name, confirm := range map[string]func(w *restartingWorker, o StartOrder){
		"repeat accepted": func(w *restartingWorker, o StartOrder) {
			unanswered(w, o)
			w.m.StartAnswered("w", o.Task, o.Run, StartAccepted)
		},
		"listed before the timeout": func(w *restartingWorker, o StartOrder) { w.start(o); w.report(); unanswered(w, o) },
		"given up and adopted": func(w *restartingWorker, o StartOrder) {
			unanswered(w, o)
			w.advance(w.m.nowMS + w.m.cfg.StartLimitMS + 100)
			w.report()
			if len(w.m.runsOn("w")) != 0 {
				panic("the run is kept beyond its limit")
			}
			w.start(o)
			w.report()
		},
	} {
		for _, ageMS := range []int64{6000, 60_000, 3_600_000} {
			t.Run(fmt.Sprintf("%s, restart after %d s", name, ageMS/1000), func(t *testing.T) {
				w := newRestartingWorker(t)
				o := w.submit(t)
				w.advance(w.m.nowMS + 300)
				confirm(w, o)
				w.running = []RunReport{{Task: o.Task, Run: o.Run}}
				for endMS := w.m.nowMS + ageMS; w.m.nowMS < endMS; {
					w.advance(w.m.nowMS + 1000)
					w.running[0].Percent++
					w.report()
				}
				w.m.TakeOutput()
				w.restart()
				w.advance(w.m.nowMS + 200)
				w.report()
				stops := w.m.TakeOutput().Stops
				if len(w.m.runsOn("w")) != 1 || len(stops) != 1 {
					t.Fatalf("%d runs are kept and %d stop orders are sent, want 1 and 1", len(w.m.runsOn("w")), len(stops))
				}
				w.m.StopAnswered("w", stops[0].Task, stops[0].Run, true)
				w.advance(w.m.nowMS + 100)
				w.report()
				if len(w.m.runsOn("w")) != 0 {
					t.Error("the run is kept after the next life has confirmed the stop order")
				}
			})
		}
	}
}

// Guards against a repeated start order that is still to be sent when the worker turns out to have restarted: it would reach the next life under
// the fence that proves that the run has ended.
func TestRepeatIsNotSentToNextLife(t *testing.T) {
	w := newRestartingWorker(t)
	o := w.submit(t)
	w.advance(w.m.nowMS + 300)
	w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
	w.restart()
	w.report()
	w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
	if starts := w.m.TakeOutput().Starts; len(starts) != 0 {
		t.Errorf("%d start orders are sent to the next life", len(starts))
	}
}

// Guards against a run that is kept longer than it takes to prove its end: the next life has answered a poll under a fence that refuses
// the start orders, whether or not the stop order was answered. A run that began there late is no such run.
func TestFencedReportProvesEndOfRun(t *testing.T) {
	for name, c := range map[string]struct {
		stopped, began bool
		kept           int
	}{
		"stop without an answer": {false, false, 0},
		"stop answered":          {true, false, 0},
		"began late":             {false, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestartingWorker(t)
			o := w.submit(t)
			w.advance(w.m.nowMS + 300)
			w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
			w.m.StartAnswered("w", o.Task, o.Run, StartAccepted)
			w.m.TakeOutput()
			w.advance(w.m.nowMS + 6000)
			w.restart()
			w.report()
			if c.began {
				w.start(o)
			}
			if c.stopped {
				w.m.StopAnswered("w", o.Task, o.Run, true)
			}
			w.m.Report(WorkerReport{Worker: "w", StartedMS: w.startedMS, SentMS: w.m.nowMS, ReceivedMS: w.m.nowMS, ClockMS: w.clock(), Running: w.running, Fenced: true})
			if kept := len(w.m.runsOn("w")); kept != c.kept {
				t.Errorf("%d runs are kept, want %d", kept, c.kept)
			}
		})
	}
}

// Guards against the same where the order is accepted while the poll that shows the next life is under way: the former
// life may have accepted it, and a transmission without an answer is left.
func TestStartAcceptedDuringRestartIsNotGivenUpUnstopped(t *testing.T) {
	w := newRestartingWorker(t)
	o := w.submit(t)
	w.advance(w.m.nowMS + 300)
	w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
	w.m.TakeOutput()
	w.restart()
	pollSentMS := w.m.nowMS
	w.advance(w.m.nowMS + 50)
	w.m.StartAnswered("w", o.Task, o.Run, StartAccepted)
	w.m.Report(WorkerReport{Worker: "w", StartedMS: w.startedMS, SentMS: pollSentMS, ReceivedMS: w.m.nowMS, ClockMS: w.clock()})
	w.advance(w.m.nowMS + 50)
	w.report()
	if stops := w.m.TakeOutput().Stops; len(w.m.runsOn("w")) != 1 || len(stops) != 1 {
		t.Errorf("%d runs are kept and %d stop orders are sent, want 1 and 1", len(w.m.runsOn("w")), len(stops))
	}
}

// Guards against a task that a successor starts elsewhere while it is live: a worker has restarted shortly before the
// takeover, an order with a limit of its former life's clock has extended its lease, and the successor can't reach it.
func TestSuccessorAllowsForLimitsOfFormerLife(t *testing.T) {
	const takeoverUnixMS, ordinaryMS = 1_000_000, 9000
	for name, c := range map[string]struct{ ageMS, wantMS int64 }{
		"restarted at the takeover":      {0, maxOrderDelayMS + 10_000},
		"restarted 9 s before":           {9000, 2*maxOrderDelayMS - 9000 + 10_000},
		"restarted 12 s before":          {12_000, ordinaryMS},
		"up for a minute":                {60_000, ordinaryMS},
		"start unknown":                  {takeoverUnixMS, ordinaryMS},
		"clock ahead of the successor's": {-60_000, maxOrderDelayMS + 10_000},
	} {
		for order, registryFirst := range map[string]bool{"registry first": true, "stored list first": false} {
			t.Run(name+", "+order, func(t *testing.T) {
				cfg := testConfig()
				cfg.LeaseMS, cfg.FormerLeaseMS = 4500, ordinaryMS
				m := New(cfg, 500_000, takeoverUnixMS)
				register := func() {
					m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: workerSize, StartedMS: takeoverUnixMS - c.ageMS}})
				}
				if registryFirst {
					register()
				}
				m.AddSuspects([]Member{{ID: "w", Address: "10.0.0.1:1", Capacity: workerSize}})
				register()
				tookMS := int64(0)
				for ; m.CountSuspects() > 0; tookMS += 50 {
					m.Advance(500_000+tookMS, takeoverUnixMS+tookMS)
					if tookMS%1000 == 0 {
						register()
					}
				}
				if slackMS := m.leaseEnd(0, 10_000) - 10_000 + 2*expiryCheckIntervalMS; tookMS < c.wantMS || tookMS > c.wantMS+slackMS {
					t.Errorf("the worker is waited for %d ms, want %d to %d", tookMS, c.wantMS, c.wantMS+slackMS)
				}
			})
		}
	}
}

// Guards against a run that is started elsewhere while it is live because its worker's clock is slow, also where the
// owner was suspended between the report with the worker's clock and the order.
func TestLeaseOnSlowClock(t *testing.T) {
	for name, c := range map[string]struct {
		ageMS int64
		poll  bool
	}{
		"poll":                      {0, true},
		"poll after 1.5 s":          {1500, true},
		"poll of a suspended owner": {30_000, true},
		"start order":               {0, false},
		"start order after 1.5 s":   {1500, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestartingWorker(t)
			wait := func() {
				w.advance(w.m.nowMS + c.ageMS)
				w.clockOffset -= c.ageMS * clockDriftPercent / 100
			}
			if !c.poll {
				wait()
			}
			w.start(w.submit(t))
			w.m.StartAnswered("w", TaskID{Job: "j"}, 1, StartAccepted)
			if c.poll {
				w.report()
				wait()
				limit, _ := w.m.LeaseLimit("w")
				w.extend(limit)
			}
			w.cutOff(t)
		})
	}
}

// Guards against tasks that wait for limits of a former life where there was none: the worker has a new ID.
func TestNewWorkerIsNotWaitedForLonger(t *testing.T) {
	cfg := testConfig()
	cfg.LeaseMS, cfg.FormerLeaseMS = 4500, 9100
	m := New(cfg, 0, 1_000_000)
	m.UpdateWorkers(nil)
	m.Advance(60_000, 1_060_000)
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", Capacity: workerSize, StartedMS: 1_060_000}})
	w := &restartingWorker{m: m, startedMS: 1_060_000, clockOffset: -60_000}
	storeAll(t, m)
	w.report()
	w.start(w.submit(t))
	m.StartAnswered("w", TaskID{Job: "j"}, 1, StartAccepted)
	m.PollFailed("w")
	for len(m.workers["w"].runs) > 0 {
		m.Advance(m.nowMS+50, m.unixMS+50)
	}
	if kept := m.nowMS - 60_000; kept > 9500 {
		t.Errorf("the run on a worker without a former life is kept for %d ms", kept)
	}
}

// Guards against orders with limits of the clock of a worker's former life after the registry has named the next one: the
// time of day of the worker was set back in between.
func TestLeaseExtendedBeforeFirstReportWithEarlierTimeOfDay(t *testing.T) {
	w := newRestartingWorker(t)
	w.startedMS = 2000
	w.report()
	w.register()
	o := w.submit(t)
	w.advance(w.m.nowMS + 1000)
	w.restart()
	w.startedMS = 1000
	w.start(o)
	w.m.StartAnswered("w", o.Task, o.Run, StartAccepted)
	w.m.TakeOutput()
	w.m.PollFailed("w")
	w.advance(w.m.nowMS + 500)
	w.register()
	if limit, ok := w.m.LeaseLimit("w"); ok {
		t.Errorf("a poll may extend the lease to %d on the clock of the former life", limit)
	}
	w.cutOff(t)
}

// Guards against a run that is given up while a transmission of its start order may be carried out by the next life:
// the lease of the former one expires before that.
func TestRunIsKeptWhileNextLifeMayStartIt(t *testing.T) {
	for name, terminated := range map[string]bool{"silent": false, "terminated": true} {
		t.Run(name, func(t *testing.T) {
			w := newRestartingWorker(t)
			w.m.LeaseLimit("w")
			o := w.submit(t)
			orderedMS := w.m.nowMS
			w.advance(orderedMS + 300)
			for range maxStartResends + 1 {
				w.m.StartAnswered("w", o.Task, o.Run, StartUnanswered)
			}
			w.m.TakeOutput()
			w.m.PollFailed("w")
			if terminated {
				w.m.WorkerTerminated("w", "proof")
			}
			for len(w.m.workers["w"].runs) > 0 && w.m.nowMS < orderedMS+30_000 {
				w.advance(w.m.nowMS + 50)
			}
			if w.m.nowMS < orderedMS+300+maxOrderDelayMS {
				t.Errorf("the run is given up %d ms after its order was last sent", w.m.nowMS-orderedMS-300)
			}
		})
	}
}

// Guards against starts on a worker by the description of its former life: the present one may be of another kind, of another
// service, or too small, and says so with its first heartbeat.
func TestRestartedWorkerIsUsedOnceDescribed(t *testing.T) {
	described := WorkerInfo{ID: "w", Address: "10.0.0.1:1", Service: "svc", Labels: []string{"a"}, Capacity: workerSize, StartedMS: 1}
	for name, c := range map[string]struct {
		change func(*WorkerInfo)
		starts int
	}{
		"same":              {func(*WorkerInfo) {}, 1},
		"other label":       {func(i *WorkerInfo) { i.Labels = []string{"b"} }, 0},
		"other service":     {func(i *WorkerInfo) { i.Service = "other" }, 0},
		"too small":         {func(i *WorkerInfo) { i.Capacity = domain.Resources{CPUMilli: 1} }, 0},
		"without its start": {func(i *WorkerInfo) { i.StartedMS = 0 }, 1},
	} {
		for _, taken := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, successor %v", name, taken), func(t *testing.T) {
				m := New(testConfig(), 0, 0)
				m.UpdateWorkers([]WorkerInfo{described})
				q := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}
				m.Submit("j", q, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 2}, EstimateMS: 100, Label: "a"}}})
				if taken {
					m = nextOwner(t, m)
					m.UpdateWorkers([]WorkerInfo{described})
				} else {
					storeAll(t, m)
					report(m, nil)
				}
				restarted := WorkerReport{Worker: "w", StartedMS: 2, SentMS: m.nowMS, ReceivedMS: m.nowMS, ClockMS: 1}
				m.Report(restarted)
				storeAll(t, m)
				if starts := startedTasks(m); len(starts) != 0 {
					t.Fatalf("%v is started before the registry lists the new life", starts)
				}
				info := described
				info.StartedMS = 2
				c.change(&info)
				m.UpdateWorkers([]WorkerInfo{info})
				m.Advance(500, 500)
				restarted.SentMS, restarted.ReceivedMS, restarted.ClockMS = 500, 500, 501
				m.Report(restarted)
				storeAll(t, m)
				m.Advance(1000, 1000)
				if starts := startedTasks(m); len(starts) != c.starts {
					t.Errorf("%d starts once the registry lists the new life, want %d", len(starts), c.starts)
				}
			})
		}
	}
}

// Guards against start orders to a worker that has just crashed: its next life carries them out before the owner knows of it, and the
// crash counts against tasks that never reached it.
func TestUnansweredPollEndsStartsUntilNextReport(t *testing.T) {
	m := storedSingleTask(t, 0)
	report(m, nil)
	m.PollFailed("w")
	if starts := startedTasks(m); len(starts) != 0 {
		t.Errorf("%v is started on a worker that does not answer", starts)
	}
	m.Advance(500, 500)
	report(m, nil)
	if starts := startedTasks(m); len(starts) != 1 {
		t.Errorf("%d starts once the worker answers, want 1", len(starts))
	}
}
