package jobs

import (
	"fmt"
	"testing"

	"auburnpier/internal/domain"
)

// sharing models workers whose leftover tasks disturb the serving ones: the
// tail of a serving task is its own part and a part for each leftover task
// beside it, by image and pace. Shares are of the target.
type sharing struct {
	own    func(nowMS int64, id TaskID) float64
	weight map[string]float64
	// lose and late tell which orders get no answer, and which of these are
	// carried out how much later.
	lose  func() bool
	late  func() int64
	paces map[TaskID]int
	runs  map[TaskID]int
	over  map[TaskID]int64
	worst int64
	// worked and ideal sum the paces of leftover tasks and those that the targets permit.
	worked, ideal float64
}

const (
	// harmMS is how long a target may be missed because of leftover tasks.
	harmMS = 4000
	// paceEffectMS is how long a worker takes to change a pace.
	paceEffectMS = 100
	testTargetMS = 200
)

func (s *sharing) pace(f *fleet, o PaceOrder) {
	apply := func() {
		if w := f.workers[o.Worker]; w.running[o.Task].run == o.Run {
			s.paces[o.Task], s.runs[o.Task] = o.Percent, o.Run
		}
	}
	if s.lose != nil && s.lose() {
		if s.late != nil {
			f.after(s.late(), apply)
		}
		f.after(400, func() { f.m.PaceAnswered(o, false) })
		return
	}
	f.after(paceEffectMS, apply)
	f.m.PaceAnswered(o, true)
}

// paceOf returns the pace of a leftover task, which starts at full pace.
func (s *sharing) paceOf(w *fakeWorker, id TaskID) float64 {
	if percent, ok := s.paces[id]; ok && s.runs[id] == w.running[id].run {
		return float64(percent)
	}
	return fullSpeed
}

// disturbance is what the leftover tasks of a worker add to a tail, now and at full pace.
func (s *sharing) disturbance(f *fleet, w *fakeWorker) (now, full float64) {
	for id := range w.running {
		if spec := f.m.findTask(id).step.spec; spec.UsesLeftover {
			now += s.weight[spec.Image] * s.paceOf(w, id) / fullSpeed
			full += s.weight[spec.Image]
		}
	}
	return now, full
}

func (s *sharing) measure(f *fleet, w *fakeWorker, id TaskID) int64 {
	if !f.m.findTask(id).step.spec.Lasting {
		return 0
	}
	now, _ := s.disturbance(f, w)
	return int64(testTargetMS * (s.own(f.nowMS, id) + now))
}

// tick notes how long each serving task has been over its target because of others.
func (s *sharing) tick(f *fleet) {
	for _, worker := range f.ids {
		w := f.workers[worker]
		now, full := s.disturbance(f, w)
		permitted := 1.0
		for id := range w.running {
			if !f.m.findTask(id).step.spec.Lasting {
				continue
			}
			own := s.own(f.nowMS, id)
			if full > 0 {
				permitted = min(permitted, max(0, (1-own)/full))
			}
			if own >= 1 || own+now < 1 || now == 0 {
				delete(s.over, id)
				continue
			}
			if s.over[id] == 0 {
				s.over[id] = f.nowMS
			}
			s.worst = max(s.worst, f.nowMS-s.over[id])
		}
		for id := range w.running {
			if f.m.findTask(id).step.spec.UsesLeftover {
				s.worked += s.paceOf(w, id) / fullSpeed
				s.ideal += permitted
			}
		}
	}
}

// playSharing runs serving tasks on all workers and leftover tasks beside them.
func playSharing(t *testing.T, workers int, s *sharing, seconds int64) *fleet {
	s.paces, s.runs, s.over = make(map[TaskID]int), make(map[TaskID]int), make(map[TaskID]int64)
	f := newFleet(t, workers, domain.Resources{CPUMilli: 16_000, MemoryMB: 64_000})
	// Looks at a large fleet come that seldom.
	f.lookMS = 1600
	f.sharing = s
	f.work = func(StartOrder) int64 { return 7000 }
	queue := &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 100, ObjectiveMS: 600_000}
	f.m.Configure([]Queue{*queue}, nil)
	f.submit("serving", queue, "team", Spec{Steps: []StepSpec{{Tasks: workers, Need: domain.Resources{CPUMilli: 12_000, MemoryMB: 8000},
		Lasting: true, LatencyTargetMS: testTargetMS, MaxPerWorker: 1, Image: "server"}}})
	f.runUntil(f.nowMS + 2000)
	n := 0
	for image := range s.weight {
		for range 6 {
			n++
			f.submit(domain.JobID(fmt.Sprintf("fill%d", n)), queue, "team", Spec{Steps: []StepSpec{{Tasks: workers,
				Need: domain.Resources{CPUMilli: 4000, MemoryMB: 12_000}, UsesLeftover: true, EstimateMS: 5000, Image: image}}})
		}
	}
	f.runUntil(f.nowMS + seconds*1000)
	f.check()
	return f
}

// Guards against serving tasks that miss their target for seconds because of
// leftover tasks beside them, and against leftover tasks that are held back
// where nothing is disturbed.
func TestLeftoverTasksKeepTargets(t *testing.T) {
	steadyLoad := func(share float64) func(int64, TaskID) float64 {
		return func(int64, TaskID) float64 { return share }
	}
	// The load of each task changes every few seconds, at its own times.
	changing := func(nowMS int64, id TaskID) float64 {
		return 0.25 + 0.6*fnv(fmt.Sprint(id.Index, nowMS/(2500+int64(id.Index)*700)))
	}
	cases := map[string]struct {
		sharing  sharing
		leastUse float64
	}{
		"harmless":        {sharing{own: steadyLoad(0.3), weight: map[string]float64{"a": 0.02}}, 0.8},
		"harmful":         {sharing{own: steadyLoad(0.4), weight: map[string]float64{"a": 0.6}}, 0.5},
		"images differ":   {sharing{own: steadyLoad(0.4), weight: map[string]float64{"a": 0.02, "b": 0.7}}, 0.4},
		"changing load":   {sharing{own: changing, weight: map[string]float64{"a": 0.25}}, 0.35},
		"overloaded":      {sharing{own: steadyLoad(1.3), weight: map[string]float64{"a": 0.2}}, 0},
		"orders are lost": {sharing{own: changing, weight: map[string]float64{"a": 0.4}, lose: func() bool { return false }}, 0.3},
		"orders are late": {sharing{own: changing, weight: map[string]float64{"a": 0.4}, lose: func() bool { return false },
			late: func() int64 { return 2000 }}, 0.3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := c.sharing
			if s.lose != nil {
				n := 0
				s.lose = func() bool { n++; return n%4 == 0 }
			}
			if s.late != nil {
				n := int64(0)
				s.late = func() int64 { n++; return 2000 + n*1700%10_000 }
			}
			playSharing(t, 6, &s, 120)
			use := s.worked / max(1, s.ideal)
			t.Logf("targets were missed for at most %d ms; leftover tasks had %.2f of what targets permit", s.worst, use)
			if s.worst >= harmMS {
				t.Errorf("a target was missed for %d ms because of leftover tasks, want less than %d ms", s.worst, harmMS)
			}
			if use < c.leastUse {
				t.Errorf("leftover tasks had %.2f of what the targets permit, want at least %.2f", use, c.leastUse)
			}
		})
	}
}

// paceMachine has one worker with a serving and a leftover task of its own
// jobs, both confirmed.
func paceMachine(t *testing.T, leftover StepSpec) (*Machine, func(nowMS, tail int64) Output) {
	t.Helper()
	m := New(testConfig(), 0, 1_000_000)
	queue := Queue{Name: "q", Service: "svc", Stretch: 100, ObjectiveMS: 600_000}
	m.Configure([]Queue{queue}, nil)
	m.ListWorkers([]WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "svc", BornMS: 1,
		Capacity: domain.Resources{CPUMilli: 16_000, MemoryMB: 64_000}}})
	running := map[TaskID]int{}
	report := func(nowMS, tail int64) Output {
		m.Advance(nowMS, 1_000_000+nowMS)
		r := WorkerReport{Worker: "w", BornMS: 1, SentMS: nowMS - 1, ReceivedMS: nowMS, ClockMS: nowMS}
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
		out := m.Drain()
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
		m.Stored(b)
	}
	report(10, 0)
	store()
	m.Submit("serving", &queue, "team", &Spec{Steps: []StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 8000, MemoryMB: 1000},
		Lasting: true, LatencyTargetMS: testTargetMS, Image: "server"}}})
	leftover.Need, leftover.UsesLeftover = domain.Resources{CPUMilli: 4000, MemoryMB: 1000}, true
	m.Submit("leftover", &queue, "team", &Spec{Steps: []StepSpec{leftover}})
	store()
	report(100, 0)
	if len(running) != 1+leftover.Tasks {
		t.Fatalf("%d of %d tasks run", len(running), 1+leftover.Tasks)
	}
	return m, report
}

// Guards against a leftover task that goes on beside a serving one over its
// target because its worker does not take the pace, and against a stop that the
// task's disruption budget does not permit.
func TestTaskThatCannotBeSlowed(t *testing.T) {
	for name, c := range map[string]struct {
		spec StepSpec
		want bool
	}{
		"work":                {StepSpec{Tasks: 1, EstimateMS: 5000}, true},
		"lasting":             {StepSpec{Tasks: 1, Lasting: true}, true},
		"lasting with budget": {StepSpec{Tasks: 1, Lasting: true, DisruptionBudget: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m, report := paceMachine(t, c.spec)
			stopped := int64(0)
			for now := int64(1000); now < 1000+harmMS && stopped == 0; now += 500 {
				out := report(now, 2*testTargetMS)
				for _, o := range out.Paces {
					m.PaceAnswered(o, false)
				}
				for _, o := range out.Stops {
					if o.Task.Job == "leftover" {
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

// Guards against a stop that takes more lasting tasks away at once than their budget.
func TestPaceKeepsBudget(t *testing.T) {
	m, report := paceMachine(t, StepSpec{Tasks: 3, Lasting: true, DisruptionBudget: 1})
	stops := map[int]bool{}
	for now := int64(1000); now < 1000+2*harmMS; now += 500 {
		out := report(now, 2*testTargetMS)
		for _, o := range out.Paces {
			m.PaceAnswered(o, false)
		}
		for _, o := range out.Stops {
			stops[o.Task.Index] = true
		}
	}
	if len(stops) != 1 {
		t.Errorf("%d of 3 tasks were stopped at once, want the budget of 1", len(stops))
	}
}

// Guards against an order that took effect late and stays, and against orders
// that are repeated for ever where each was answered.
func TestPaceOrdersRepeat(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "lost once": false} {
		t.Run(name, func(t *testing.T) {
			m, report := paceMachine(t, StepSpec{Tasks: 1, EstimateMS: 60_000})
			orders := 0
			for now := int64(1000); now < 11_000; now += 500 {
				for _, o := range report(now, 2*testTargetMS).Paces {
					if o.Percent == 0 {
						orders++
					}
					m.PaceAnswered(o, answered || orders > 1)
				}
			}
			if answered && orders != 1 {
				t.Errorf("%d orders for a pace that was confirmed at once", orders)
			}
			// A new order goes out at most a report after the last one has settled.
			if least := 10_000 / (throttleSettleMS + 500 + 100); !answered && orders < least {
				t.Errorf("%d orders in 10 s while an earlier one may still undo them, want at least %d", orders, least)
			}
		})
	}
}
