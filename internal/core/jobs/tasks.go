package jobs

import (
	"cmp"
	"math"
	"slices"
)

// tasks are the tasks of one occurrence of a step. A task takes memory of its own from its first run until its success: a job may be
// thousands of tasks wide, and most of them wait or have succeeded.
type tasks struct {
	// active holds the tasks that have had a run and have not succeeded, or whose runs may still be reported, by index.
	active []*task
	// succeeded holds for each task that is not in active and has succeeded the number of its last run plus one, and else zero. It is nil
	// until the first success.
	succeeded []int32
	// lastRun is the highest run number of any task, and formerRun that of a former owner. checkpoint is the last one of a gang. A task
	// without a state of its own begins with the latter two.
	lastRun, formerRun int
	checkpoint         string
}

// allRuns returns the runs of the step, in the order of its tasks.
func (s *step) allRuns() []*run {
	var list []*run
	for _, t := range s.active {
		list = append(list, t.runs...)
	}
	return list
}

func (s *step) search(index int) (int, bool) {
	return slices.BinarySearchFunc(s.active, index, func(t *task, index int) int { return cmp.Compare(t.index, index) })
}

// hasSucceeded reports whether a task without a state of its own has succeeded.
func (ts *tasks) hasSucceeded(index int) bool { return ts.succeeded != nil && ts.succeeded[index] != 0 }

// task returns a task of the step, and gives it a state of its own unless it has succeeded. Changes of a task that has succeeded and has
// no state of its own are not kept.
func (m *Machine) task(s *step, index int) *task {
	at, found := s.search(index)
	if found {
		return s.active[at]
	}
	if s.hasSucceeded(index) {
		last := int(s.succeeded[index]) - 1
		return &task{step: s, index: index, phase: taskDone, lastRun: max(last, s.formerRun), startedRun: last}
	}
	t := &task{step: s, index: index, lastRun: s.formerRun, checkpoint: s.checkpoint}
	s.active = slices.Insert(s.active, at, t)
	m.activeTasks++
	return t
}

// raiseLastRun notes a run number of the task.
func (t *task) raiseLastRun(number int) {
	t.lastRun = max(t.lastRun, number)
	t.step.lastRun = max(t.step.lastRun, number)
}

// eachWaiting calls f for the waiting tasks of the step in the order of their indexes, until it returns false. The task is nil if it has
// no state of its own. f may give it one.
func (s *step) eachWaiting(f func(index int, t *task) bool) {
	next := 0
	for index := range s.spec.Tasks {
		var t *task
		if next < len(s.active) && s.active[next].index == index {
			t = s.active[next]
		}
		waits := t != nil && t.phase == taskWaiting || t == nil && !s.hasSucceeded(index)
		if waits && !f(index, t) {
			return
		}
		if next < len(s.active) && s.active[next].index == index {
			next++
		}
	}
}

// compactTask frees the state of a task that has succeeded, unless a worker may still list one of its runs whose end must not be
// acknowledged.
func (m *Machine) compactTask(t *task) {
	s := t.step
	if t.phase != taskDone || len(t.runs) > 0 || t.abandonedRun > 0 || t.formerAbandonedRun > 0 || t.startedRun >= math.MaxInt32 {
		return
	}
	at, found := s.search(t.index)
	if !found {
		return
	}
	if s.succeeded == nil {
		s.succeeded = make([]int32, s.spec.Tasks)
	}
	s.succeeded[t.index] = int32(t.startedRun) + 1
	s.active = slices.Delete(s.active, at, at+1)
	m.activeTasks--
}

// freeTasks frees the tasks of an occurrence that is over.
func (m *Machine) freeTasks(o *occurrence) {
	for _, s := range o.steps {
		m.activeTasks -= len(s.active)
		s.tasks = tasks{}
	}
}
