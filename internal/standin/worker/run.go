package worker

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Command forms that the stand-in understands. Any other command runs for defaultRun.
const (
	// CommandSleep runs for the duration in the second word, then succeeds.
	CommandSleep = "sleep"
	// CommandFail runs for the duration in the second word, then fails.
	CommandFail = "fail"
	// CommandServe runs until it is stopped.
	CommandServe = "serve"
)

const defaultRun = 100 * time.Millisecond

// start is called with the lock held.
func (w *Worker) start(r port.StartRequest) {
	a := &attempt{
		request: r,
		report: port.AttemptReport{
			ID:        r.Attempt,
			State:     port.AttemptRunning,
			StartedAt: time.Now(),
			Usage:     r.Resources,
		},
	}
	w.attempts[r.Attempt] = a
	w.news()
	a.changed = w.version
	key := taskKey{r.Job, r.Task}
	w.startedBy[key] = append(w.startedBy[key], r.Attempt)
	if total, _ := w.sum(); !total.Fits(w.capacity) {
		w.overlaps = append(w.overlaps, string(r.Attempt))
	}
	run, outcome := behavior(r.Command)
	if w.faults.FailAll {
		run, outcome = 0, domain.OutcomeFailed
	}
	if run < 0 {
		run = time.Duration(1<<63 - 1)
	}
	a.timer = w.after(run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r.Attempt, outcome, "")
	})
}

// behavior returns the run time, negative for one without end, and the outcome of a command.
func behavior(command []string) (time.Duration, domain.Outcome) {
	if len(command) == 0 {
		return defaultRun, domain.OutcomeSucceeded
	}
	run := defaultRun
	if len(command) > 1 {
		if d, err := time.ParseDuration(command[1]); err == nil {
			run = d
		}
	}
	switch command[0] {
	case CommandServe:
		return -1, domain.OutcomeStopped
	case CommandFail:
		return run, domain.OutcomeFailed
	case CommandSleep:
		return run, domain.OutcomeSucceeded
	default:
		return defaultRun, domain.OutcomeSucceeded
	}
}

// end is called with the lock held. Ended and unknown attempts are left as they are.
func (w *Worker) end(id domain.AttemptID, outcome domain.Outcome, detail string) {
	a, ok := w.attempts[id]
	if !ok || a.report.State == port.AttemptEnded {
		return
	}
	a.timer.Stop()
	w.news()
	a.changed = w.version
	a.report.State = port.AttemptEnded
	a.report.Outcome = outcome
	a.report.EndedAt = time.Now()
	a.report.Detail = detail
	if outcome == domain.OutcomeFailed {
		a.report.ExitCode = 1
	}
}
