package jobs

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"auburnpier/internal/domain"
)

// recurringSpec is a job whose occurrences are due each 10 ms from 0 on.
func recurringSpec(steps ...StepSpec) *Spec {
	return &Spec{Occurrences: 1000, FirstUnixMS: 0, PeriodMS: 10, Steps: steps}
}

func smallStep(tasks int, after ...int) StepSpec {
	return StepSpec{Tasks: tasks, Need: domain.Resources{CPUMilli: 1}, EstimateMS: 100, After: after}
}

// storedRecurring returns a machine at 1 ms that has stored worker w and the recurring job j.
func storedRecurring(t *testing.T, spec *Spec) *Machine {
	t.Helper()
	m := New(testConfig(), 1, 1)
	registerWorker(m)
	m.Submit("j", &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}, "team", spec)
	storeAll(t, m)
	return m
}

// succeed lists the success of a task as a worker does.
func succeed(number int64, occurrence, step, index int) EndReport {
	return EndReport{Number: number, Task: TaskID{Job: "j", Occurrence: occurrence, Step: step, Index: index}, Run: 1, Kind: EndSucceeded}
}

// startedTasks schedules, and returns the tasks that are started.
func startedTasks(m *Machine) []TaskID {
	m.Schedule()
	var ids []TaskID
	for _, o := range m.TakeOutput().Starts {
		ids = append(ids, o.Task)
	}
	return ids
}

// Guards against a task of a recurring job that runs again after its success was acknowledged: the former owner has begun the
// occurrence without storing it, and its successor takes what a worker lists of it as not needed. Each owner in a row
// finds it again until it is stored.
func TestSuccessorFindsOccurrencesThatWereNotStored(t *testing.T) {
	chain := recurringSpec(smallStep(1), smallStep(2, 0))
	for name, c := range map[string]struct {
		spec *Spec
		// unixMS is the successor's time of day.
		unixMS  int64
		ends    []EndReport
		running []RunReport
	}{
		"17th occurrence ended":   {spec: recurringSpec(smallStep(1)), unixMS: 400, ends: []EndReport{succeed(1, 16, 0, 0)}},
		"17th occurrence runs":    {spec: recurringSpec(smallStep(1)), unixMS: 400, running: []RunReport{{Task: TaskID{"j", 16, 0, 0}, Run: 1}}},
		"far occurrence":          {spec: recurringSpec(smallStep(1)), unixMS: 9990, ends: []EndReport{succeed(1, 999, 0, 0)}},
		"second step ended":       {spec: chain, unixMS: 400, ends: []EndReport{succeed(1, 30, 1, 1)}},
		"second step runs":        {spec: chain, unixMS: 400, running: []RunReport{{Task: TaskID{"j", 30, 1, 1}, Run: 1}}},
		"both steps":              {spec: chain, unixMS: 400, ends: []EndReport{succeed(1, 30, 0, 0)}, running: []RunReport{{Task: TaskID{"j", 30, 1, 0}, Run: 1}}},
		"clock behind, ended":     {spec: recurringSpec(smallStep(2)), unixMS: 1, ends: []EndReport{succeed(1, 20, 0, 0)}},
		"clock behind, runs":      {spec: recurringSpec(smallStep(2)), unixMS: 1, running: []RunReport{{Task: TaskID{"j", 20, 0, 1}, Run: 1}}},
		"clock behind, last task": {spec: recurringSpec(smallStep(1)), unixMS: 1, ends: []EndReport{succeed(1, 3, 0, 0)}},
	} {
		for owners := 1; owners <= 3; owners++ {
			t.Run(fmt.Sprintf("%s, owner %d", name, owners), func(t *testing.T) {
				m := storedRecurring(t, c.spec)
				for range owners {
					m = nextOwnerWithoutChanges(t, m)
					registerWorker(m)
					m.Advance(m.nowMS+1000, c.unixMS)
					report(m, c.ends, c.running...)
				}
				if stops := m.TakeOutput().Stops; len(stops) != 0 {
					t.Errorf("runs are stopped: %+v", stops)
				}
				if len(c.ends) > 0 && m.AcknowledgeableEnd("w") != 0 {
					t.Error("an end may be acknowledged before it is stored")
				}
				storeAll(t, m)
				if last := m.AcknowledgeableEnd("w"); last != int64(len(c.ends)) {
					t.Errorf("ends up to %d may be acknowledged once they are stored, want %d", last, len(c.ends))
				}
				var started []TaskID
				for range 200 {
					started = append(started, startedTasks(m)...)
					m.Advance(m.nowMS+1, c.unixMS)
				}
				for _, e := range c.ends {
					if slices.Contains(started, e.Task) {
						t.Errorf("%v is started again after its success", e.Task)
					}
				}
				for _, r := range c.running {
					if slices.Contains(started, r.Task) {
						t.Errorf("%v is started while it runs", r.Task)
					}
				}
				for _, id := range started {
					if due := c.spec.dueUnixMS(id.Occurrence); due > c.unixMS {
						t.Errorf("%v is started %d ms before it is due", id, due-c.unixMS)
					}
				}
			})
		}
	}
}

// nextOwnerWithoutChanges returns the next owner, which reads the job as it was stored last. The changes of m are lost.
func nextOwnerWithoutChanges(t *testing.T, m *Machine) *Machine {
	t.Helper()
	j := m.jobs["j"]
	spec, stored := j.spec, New(m.cfg, m.nowMS, m.unixMS)
	stored.Submit("j", j.queue, "team", spec)
	return nextOwner(t, stored)
}

// Guards against what workers list that names no task of a job: it opens nothing.
func TestReportsOfForeignTasksOpenNoOccurrence(t *testing.T) {
	m := storedRecurring(t, recurringSpec(smallStep(2)))
	next := nextOwnerWithoutChanges(t, m)
	registerWorker(next)
	open := len(next.jobs["j"].occurrences)
	report(next, nil, RunReport{Task: TaskID{"j", 1000, 0, 0}, Run: 1}, RunReport{Task: TaskID{"j", -1, 0, 0}, Run: 1},
		RunReport{Task: TaskID{"j", 40, 1, 0}, Run: 1}, RunReport{Task: TaskID{"j", 40, 0, 2}, Run: 1}, RunReport{Task: TaskID{"other", 40, 0, 0}, Run: 1})
	if n := len(next.jobs["j"].occurrences); n != open {
		t.Errorf("%d occurrences are open, want %d", n, open)
	}
	if stops := next.TakeOutput().Stops; len(stops) != 5 {
		t.Errorf("%d stop orders, want 5", len(stops))
	}
}

// Guards against an owner without the store that begins more occurrences than a successor can hold, and against one that
// begins too few for a job to keep its pace through an outage.
func TestUnstoredOccurrencesAreBounded(t *testing.T) {
	for steps, most := range map[int]int{1: maxUnstoredSteps, 8: maxUnstoredSteps / 8, 64: maxOpenOccurrences} {
		t.Run(fmt.Sprintf("%d steps", steps), func(t *testing.T) {
			spec := recurringSpec(slices.Repeat([]StepSpec{smallStep(1)}, steps)...)
			m := storedRecurring(t, spec)
			number := int64(0)
			for now := int64(10); now <= 10_000; now += 10 {
				m.Advance(now, now)
				var ends []EndReport
				for k := range m.jobs["j"].occurrences {
					for step := range steps {
						number++
						ends = append(ends, succeed(number, k, step, 0))
					}
				}
				for _, part := range slices.Collect(slices.Chunk(ends, maxListedEnds-1)) {
					report(m, part)
				}
			}
			j := m.jobs["j"]
			if n := len(j.doneOccurrences); n < most || n > most+maxOpenOccurrences {
				t.Errorf("%d occurrences are done without the store, want %d to %d", n, most, most+maxOpenOccurrences)
			}
			storeAll(t, m)
			m.Advance(10_010, 10_010)
			if len(j.occurrences) == 0 {
				t.Error("no occurrence is opened once the others are stored")
			}
		})
	}
}

// BenchmarkFoundOccurrences measures what a successor takes for the occurrences of a job that the former owner began without the store: at most
// maxUnstoredSteps steps, half of whose tasks are reported in a first report, so that all are open at once.
func BenchmarkFoundOccurrences(b *testing.B) {
	for _, steps := range []int{1, 8} {
		b.Run(fmt.Sprintf("%d steps", steps), func(b *testing.B) {
			specs := make([]StepSpec, steps)
			for i := range specs {
				specs[i] = smallStep(2)
			}
			found := maxUnstoredSteps / steps
			heap := int64(0)
			for b.Loop() {
				m := New(testConfig(), 20_000, 20_000)
				registerWorker(m)
				m.Submit("j", &Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}, "team", recurringSpec(specs...))
				before := heapBytes()
				var ends []EndReport
				for k := range found {
					ends = append(ends, succeed(int64(k+1), 100+k, 0, 0))
				}
				report(m, ends[:min(len(ends), maxListedEnds-1)])
				report(m, ends)
				heap = max(heap, int64(heapBytes())-int64(before))
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(found), "occurrences")
			b.ReportMetric(float64(heap)/float64(found), "B/occurrence")
		})
	}
}
