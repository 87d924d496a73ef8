package jobs

import (
	"fmt"
	"slices"
)

// Parameters of tasks under which workers terminate.
const (
	// maxCrashes is the number of workers that terminate under a task before its job fails. A worker may
	// terminate by itself, or because of another task, so a single crash proves nothing.
	maxCrashes = 3
	// isolatedCrashes is the number from which on the task runs apart, so that the next crash is
	// certainly its own and terminates no more work than necessary.
	isolatedCrashes = maxCrashes - 1
	// isolationMS is how long a run is kept apart. A task that terminates its worker does so soon after
	// its start.
	isolationMS = 10_000
	// survivalMS is how long after the last start on a worker a report proves that the start did not
	// terminate it, and aliveMS how long a worker must have been up to host an isolated run.
	survivalMS = 500
	aliveMS    = 3000
)

// recordCrash counts the termination of a worker's process against the tasks that may have caused it, among the
// runs that certainly belonged to the process: the isolated ones, or else all that ran there or whose start
// order may have been delivered. Runs that are counted already are left out.
func (m *Machine) recordCrash(w *worker, belonged func(*run) bool) {
	w.aliveSinceMS = m.nowMS
	if w.draining || w.evacuating {
		return
	}
	isolated := w.isolatedStep
	for _, r := range w.sortedRuns() {
		t, j := r.task, r.task.step.job
		if !belonged(r) || j.state.Terminal() || t.phase == taskDone || isolated != nil && t.step != isolated || slices.Contains(t.crashedRuns, r.number) {
			continue
		}
		// An order for which no connection could be opened came after the crash.
		if r.confirmedMS == 0 && !r.startUnanswered {
			continue
		}
		if t.step.spec.LongRunning && r.confirmedMS > 0 && m.nowMS-r.placedMS >= isolationMS {
			continue
		}
		t.setCrashes(append(t.crashedRuns, r.number))
		m.markChanged(j)
		m.out.recordRun("worker_crashed_under_task", r, fmt.Sprintf("%d of %d", len(t.crashedRuns), maxCrashes))
		switch n := len(t.crashedRuns); {
		case n >= maxCrashes:
			m.out.recordJob("job_given_up", j, fmt.Sprintf("%d workers crashed under task %d of step %d", n, t.index, t.step.number))
			m.endJob(j, Failed)
		case n >= isolatedCrashes:
			// A later owner must not start the count again.
			t.abandonedVersion = j.version
		}
	}
}

func (t *task) isolated() bool { return len(t.crashedRuns) >= isolatedCrashes }

// setCrashes replaces the runs of the task under which a worker terminated.
func (t *task) setCrashes(runs []int) {
	before := t.isolated()
	t.crashedRuns = runs
	switch after := t.isolated(); {
	case after && !before:
		t.step.isolatedTasks++
	case before && !after:
		t.step.isolatedTasks--
	}
}

// keepsIsolation reports whether placing the step on the worker keeps isolated steps apart from others.
func (m *Machine) keepsIsolation(s *step, w *worker) bool {
	if w.isolatedStep != nil {
		return w.isolatedStep == s
	}
	return s.isolatedTasks == 0 || m.nowMS-w.aliveSinceMS >= aliveMS && w.lastReportMS-w.lastPlacedMS >= survivalMS
}

// isolate reserves the worker for the step of a new run that has to run apart.
func (w *worker) isolate(r *run) {
	if s := r.task.step; s.isolatedTasks > 0 && (w.isolatedStep == nil || w.isolatedStep == s) {
		r.isolated = true
		w.isolatedStep = s
		w.isolatedRuns++
	}
}

// endIsolation lets other steps use the run's worker again.
func (w *worker) endIsolation(r *run) {
	if !r.isolated {
		return
	}
	r.isolated = false
	if w.isolatedRuns--; w.isolatedRuns == 0 {
		w.isolatedStep = nil
	}
}

// checkIsolation ends the isolation of a run that its worker has survived.
func (m *Machine) checkIsolation(w *worker, r *run) {
	if !r.isolated || r.phase != runConfirmed || m.nowMS-r.placedMS < isolationMS {
		return
	}
	w.endIsolation(r)
	if r.task.step.spec.LongRunning {
		r.task.setCrashes(nil)
		m.markChanged(r.task.step.job)
	}
}
