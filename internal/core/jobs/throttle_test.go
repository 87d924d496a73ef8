package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// interference models workers whose best-effort tasks disturb the serving tasks: the tail latency
// of a serving task is a base value plus an amount for each best-effort task on the worker, by image
// and throttle. Values are fractions of the target.
type interference struct {
	baseTail    func(nowMS int64, id TaskID) float64
	tailPerTask map[string]float64
	// loseResponse decides which orders get no response. If effectDelayMS is set, these still take
	// effect after that delay.
	loseResponse  func() bool
	effectDelayMS func() int64
	throttles     map[TaskID]int
	runs          map[TaskID]int
	missedSinceMS map[TaskID]int64
	worstMissMS   int64
	// doneWork sums the throttles of best-effort tasks over time, permittedWork those that the
	// targets would permit.
	doneWork, permittedWork float64
}

const (
	// maxMissMS is how long a target may be missed because of best-effort tasks.
	maxMissMS = 4000
	// throttleEffectMS is how long a worker takes to apply a throttle.
	throttleEffectMS = 100
	testTargetMS     = 200
)

func (s *interference) applyThrottle(f *fleet, o ThrottleOrder) {
	apply := func() {
		if w := f.workers[o.Worker]; w.running[o.Task].run == o.Run {
			s.throttles[o.Task], s.runs[o.Task] = o.Percent, o.Run
		}
	}
	if s.loseResponse != nil && s.loseResponse() {
		if s.effectDelayMS != nil {
			f.after(s.effectDelayMS(), apply)
		}
		f.after(400, func() { f.m.ThrottleAnswered(o, false) })
		return
	}
	f.after(throttleEffectMS, apply)
	f.m.ThrottleAnswered(o, true)
}

// throttleOf returns the throttle of a best-effort task, which starts at full speed.
func (s *interference) throttleOf(w *fakeWorker, id TaskID) float64 {
	if percent, ok := s.throttles[id]; ok && s.runs[id] == w.running[id].run {
		return float64(percent)
	}
	return fullSpeed
}

// disturbance returns what the best-effort tasks of a worker add to a tail latency, now and at full
// speed.
func (s *interference) disturbance(f *fleet, w *fakeWorker) (now, full float64) {
	for id := range w.running {
		if spec := f.m.findTask(id).step.spec; spec.BestEffort {
			now += s.tailPerTask[spec.Image] * s.throttleOf(w, id) / fullSpeed
			full += s.tailPerTask[spec.Image]
		}
	}
	return now, full
}

func (s *interference) measure(f *fleet, w *fakeWorker, id TaskID) int64 {
	if !f.m.findTask(id).step.spec.LongRunning {
		return 0
	}
	now, _ := s.disturbance(f, w)
	return int64(testTargetMS * (s.baseTail(f.nowMS, id) + now))
}

// recordMisses records how long each serving task has missed its target because of best-effort
// tasks.
func (s *interference) recordMisses(f *fleet) {
	for _, worker := range f.ids {
		w := f.workers[worker]
		now, full := s.disturbance(f, w)
		permitted := 1.0
		for id := range w.running {
			if !f.m.findTask(id).step.spec.LongRunning {
				continue
			}
			own := s.baseTail(f.nowMS, id)
			if full > 0 {
				permitted = min(permitted, max(0, (1-own)/full))
			}
			if own >= 1 || own+now < 1 || now == 0 {
				delete(s.missedSinceMS, id)
				continue
			}
			if s.missedSinceMS[id] == 0 {
				s.missedSinceMS[id] = f.nowMS
			}
			s.worstMissMS = max(s.worstMissMS, f.nowMS-s.missedSinceMS[id])
		}
		for id := range w.running {
			if f.m.findTask(id).step.spec.BestEffort {
				s.doneWork += s.throttleOf(w, id) / fullSpeed
				s.permittedWork += permitted
			}
		}
	}
}

// runInterference runs serving tasks on all workers, and best-effort tasks beside them.
func runInterference(t *testing.T, workers int, s *interference, seconds int64) *fleet {
	s.throttles, s.runs, s.missedSinceMS = make(map[TaskID]int), make(map[TaskID]int), make(map[TaskID]int64)
	f := newFleet(t, workers, domain.Resources{CPUMilli: 16_000, MemoryMB: 64_000})
	// Workers of a large fleet are polled at about this interval.
	f.pollIntervalMS = 1600
	f.interference = s
	f.taskMS = func(StartOrder) int64 { return 7000 }
	queue := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 100, ObjectiveMS: 600_000}
	f.m.Configure([]Queue{*queue}, nil)
	f.submit("serving", queue, "team", Spec{Steps: []StepSpec{{Tasks: workers, Need: domain.Resources{CPUMilli: 12_000, MemoryMB: 8000},
		LongRunning: true, LatencyTargetMS: testTargetMS, MaxPerWorker: 1, Image: "server"}}})
	f.runUntil(f.nowMS + 2000)
	n := 0
	for image := range s.tailPerTask {
		for range 6 {
			n++
			f.submit(domain.JobID(fmt.Sprintf("fill%d", n)), queue, "team", Spec{Steps: []StepSpec{{Tasks: workers,
				Need: domain.Resources{CPUMilli: 4000, MemoryMB: 12_000}, BestEffort: true, EstimateMS: 5000, Image: image}}})
		}
	}
	f.runUntil(f.nowMS + seconds*1000)
	f.check()
	return f
}

// Guards against serving tasks that miss their target for seconds because of best-effort tasks on
// the same worker, and against throttling best-effort tasks that disturb nothing.
func TestBestEffortTasksKeepLatencyTargets(t *testing.T) {
	steadyLoad := func(share float64) func(int64, TaskID) float64 {
		return func(int64, TaskID) float64 { return share }
	}
	// The load of each task changes every few seconds, at different times.
	changing := func(nowMS int64, id TaskID) float64 {
		return 0.25 + 0.6*fnv(fmt.Sprint(id.Index, nowMS/(2500+int64(id.Index)*700)))
	}
	cases := map[string]struct {
		model    interference
		leastUse float64
	}{
		"harmless":        {interference{baseTail: steadyLoad(0.3), tailPerTask: map[string]float64{"a": 0.02}}, 0.8},
		"harmful":         {interference{baseTail: steadyLoad(0.4), tailPerTask: map[string]float64{"a": 0.6}}, 0.5},
		"images differ":   {interference{baseTail: steadyLoad(0.4), tailPerTask: map[string]float64{"a": 0.02, "b": 0.7}}, 0.4},
		"changing load":   {interference{baseTail: changing, tailPerTask: map[string]float64{"a": 0.25}}, 0.35},
		"overloaded":      {interference{baseTail: steadyLoad(1.3), tailPerTask: map[string]float64{"a": 0.2}}, 0},
		"orders are lost": {interference{baseTail: changing, tailPerTask: map[string]float64{"a": 0.4}, loseResponse: func() bool { return false }}, 0.3},
		"orders are late": {interference{baseTail: changing, tailPerTask: map[string]float64{"a": 0.4}, loseResponse: func() bool { return false },
			effectDelayMS: func() int64 { return 2000 }}, 0.3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := c.model
			if s.loseResponse != nil {
				n := 0
				s.loseResponse = func() bool { n++; return n%4 == 0 }
			}
			if s.effectDelayMS != nil {
				n := int64(0)
				s.effectDelayMS = func() int64 { n++; return 2000 + n*1700%10_000 }
			}
			runInterference(t, 6, &s, 120)
			use := s.doneWork / max(1, s.permittedWork)
			t.Logf("targets were missed for at most %d ms; best-effort tasks did %.2f of the work that targets permit", s.worstMissMS, use)
			if s.worstMissMS >= maxMissMS {
				t.Errorf("a target was missed for %d ms because of best-effort tasks, want less than %d ms", s.worstMissMS, maxMissMS)
			}
			if use < c.leastUse {
				t.Errorf("best-effort tasks did %.2f of the work that targets permit, want at least %.2f", use, c.leastUse)
			}
		})
	}
}

// throttleMachine returns a machine with one worker that runs a serving task and best-effort tasks
// of separate jobs, all confirmed, and a function that reports a tail latency.
func throttleMachine(t *testing.T, bestEffort StepSpec) (*Machine, func(nowMS, tail int64) Output) {
	t.Helper()
	m := New(testConfig(), 0, 1_000_000)
	queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000}
	m.Configure([]Queue{queue}, nil)
	m.UpdateWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", StartedMS: 1,
		Capacity: domain.Resources{CPUMilli: 16_000, MemoryMB: 64_000}}})
	running := map[TaskID]int{}
	report := func(nowMS, tail int64) Output {
		m.Advance(nowMS, 1_000_000+nowMS)
		r := WorkerReport{Worker: "w", StartedMS: 1, SentMS: nowMS - 1, ReceivedMS: nowMS, ClockMS: nowMS}
		for id, run := range running {
			row := RunReport{Task: id, Run: run, Percent: fullSpeed}
			if id.Job == "serving" {
				row.Measure = tail
			}
			r.Running = append(r.Running, row)
		}
		m.LeaseLimit("w")
		m.Report(r)
		m.Schedule()
		out := m.TakeOutput()
		for _, o := range out.Starts {
			running[o.Task] = o.Run
			m.StartAnswered(o.Worker, o.Task, o.Run, StartAccepted)
		}
		return out
	}
	store := func() {
		b, err := m.TakeBatch(testBatchEntries)
		if err != nil {
			t.Fatal(err)
		}
		m.BatchStored(b)
	}
	report(10, 0)
	store()
	m.Submit("serving", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 8000, MemoryMB: 1000},
		LongRunning: true, LatencyTargetMS: testTargetMS, Image: "server"}}})
	bestEffort.Need, bestEffort.BestEffort = domain.Resources{CPUMilli: 4000, MemoryMB: 1000}, true
	m.Submit("best-effort", &queue, "team", &Spec{Steps: []StepSpec{bestEffort}})
	store()
	report(100, 0)
	if len(running) != 1+bestEffort.Tasks {
		t.Fatalf("%d of %d tasks run", len(running), 1+bestEffort.Tasks)
	}
	return m, report
}

// Guards against a best-effort task that keeps running beside a serving task that misses its target,
// because its worker does not apply the throttle, against a stop that the task's disruption budget
// does not permit, and against stopping the serving task instead.
func TestTaskIgnoringThrottleIsStopped(t *testing.T) {
	for name, c := range map[string]struct {
		spec StepSpec
		want bool
	}{
		"finite":                   {StepSpec{Tasks: 1, EstimateMS: 5000}, true},
		"long-running":             {StepSpec{Tasks: 1, LongRunning: true}, true},
		"long-running with budget": {StepSpec{Tasks: 1, LongRunning: true, DisruptionBudget: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m, report := throttleMachine(t, c.spec)
			stopped := int64(0)
			for now := int64(1000); now < 1000+maxMissMS && stopped == 0; now += 500 {
				out := report(now, 2*testTargetMS)
				for _, o := range out.Throttles {
					m.ThrottleAnswered(o, false)
				}
				for _, o := range out.Stops {
					if o.Task.Job == "best-effort" {
						stopped = now
					} else {
						t.Errorf("the serving task is stopped: %s", o.Reason)
					}
				}
			}
			if (stopped > 0) != c.want {
				t.Errorf("stopped at %d ms, want a stop: %v", stopped, c.want)
			}
		})
	}
}

// Guards against stopping more long-running tasks at once than their disruption budget permits.
func TestThrottlingKeepsDisruptionBudget(t *testing.T) {
	m, report := throttleMachine(t, StepSpec{Tasks: 3, LongRunning: true, DisruptionBudget: 1})
	stops := map[int]bool{}
	for now := int64(1000); now < 1000+2*maxMissMS; now += 500 {
		out := report(now, 2*testTargetMS)
		for _, o := range out.Throttles {
			m.ThrottleAnswered(o, false)
		}
		for _, o := range out.Stops {
			stops[o.Task.Index] = true
		}
	}
	if len(stops) != 1 {
		t.Errorf("%d of 3 tasks were stopped at once, want 1, the disruption budget", len(stops))
	}
}

// Guards against an unanswered order that takes effect late and is never corrected, and against
// orders that are repeated although they were answered.
func TestThrottleOrdersAreRepeatedOnlyIfUnanswered(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "lost once": false} {
		t.Run(name, func(t *testing.T) {
			m, report := throttleMachine(t, StepSpec{Tasks: 1, EstimateMS: 60_000})
			orders := 0
			for now := int64(1000); now < 11_000; now += 500 {
				for _, o := range report(now, 2*testTargetMS).Throttles {
					if o.Percent == 0 {
						orders++
					}
					m.ThrottleAnswered(o, answered || orders > 1)
				}
			}
			if answered && orders != 1 {
				t.Errorf("%d orders for a throttle that was confirmed at once, want 1", orders)
			}
			// The next order is sent at most one report after the last one has settled.
			if least := 10_000 / (throttleSettleMS + 500 + 100); !answered && orders < least {
				t.Errorf("%d orders in 10 s while an earlier one may still take effect, want at least %d", orders, least)
			}
		})
	}
}
