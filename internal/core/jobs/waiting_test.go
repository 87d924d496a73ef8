package jobs

import "testing"

// Guards against a job that is shown as running, and left out of the count of waiting jobs, because a start
// order for it was sent to a worker that was lost and never answered.
func TestUnansweredStartIsNoStart(t *testing.T) {
	for name, c := range map[string]struct {
		outcome StartOutcome
		// listed is set if the worker's next report lists the run.
		listed  bool
		state   State
		waiting int
	}{
		"accepted":              {StartAccepted, true, Running, 0},
		"unanswered":            {StartUnanswered, false, Queued, 1},
		"unanswered, then seen": {StartUnanswered, true, Running, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m, o := orderSingleStart(t)
			m.StartAnswered("w", o.Task, o.Run, c.outcome)
			if c.listed {
				m.SetTime(200, 200)
				report(m, nil, RunReport{Task: o.Task, Run: o.Run})
			}
			state, _, _, _ := m.StoredState("j")
			if n := m.CountWaitingJobs("q"); state != c.state || n != c.waiting {
				t.Errorf("the job is %v and %d jobs wait, want %v and %d", state, n, c.state, c.waiting)
			}
		})
	}
}
