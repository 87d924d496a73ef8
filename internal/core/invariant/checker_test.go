package invariant

import (
	"errors"
	"testing"

	"auburnpier/internal/domain"
)

func cores(n int64) domain.Resources { return domain.Resources{CPUMilli: 1000 * n, MemoryMB: 1000 * n} }

// validView returns a view without violations: one job that has one attempt on one worker.
func validView() View {
	return View{
		Workers:  []Worker{{ID: "w", Capacity: cores(4), Free: cores(3), Indexed: true}},
		Attempts: []Attempt{{ID: "j.0.1", Job: "j", Team: "t", Worker: "w", Reservation: cores(1)}},
		Teams:    []Team{{ID: "t", Limit: cores(2), Running: cores(1), LimitKnown: true}},
		Jobs:     []Job{{ID: "j", State: domain.JobRunning, Tasks: 1, Active: 1}},
	}
}

func running(attempt domain.AttemptID, w domain.WorkerID, size int64) Running {
	return Running{Attempt: attempt, Job: "j", Worker: w, Size: cores(size), Capacity: cores(4)}
}

// Guards against a checker that misses a kind of violation. Each case injects one.
func TestCheckerReportsEachViolation(t *testing.T) {
	cases := []struct {
		name string
		rule Rule
		// checkBefore reports whether the valid state is checked before the violation is injected.
		checkBefore bool
		inject      func(c *Checker, v *View, r *[]Running)
	}{
		{"reservations above capacity", RuleCapacity, false, func(_ *Checker, v *View, _ *[]Running) {
			v.Workers[0].Capacity, v.Workers[0].Free = cores(0), cores(-1)
		}},
		{"running above capacity", RuleCapacity, false, func(_ *Checker, _ *View, r *[]Running) {
			*r = append(*r, running("j.0.1", "w", 5))
		}},
		{"running without reservation", RuleReserved, false, func(_ *Checker, _ *View, r *[]Running) {
			*r = append(*r, running("j.0.9", "w", 1))
		}},
		{"running on another worker than reserved", RuleReserved, false, func(_ *Checker, _ *View, r *[]Running) {
			*r = append(*r, running("j.0.1", "x", 1))
		}},
		{"two attempts of one task", RuleSingleAttempt, false, func(_ *Checker, v *View, _ *[]Running) {
			v.Attempts = append(v.Attempts, Attempt{ID: "j.0.2", Job: "j", Team: "t", Worker: "x"})
		}},
		{"one task running twice", RuleSingleAttempt, false, func(_ *Checker, _ *View, r *[]Running) {
			*r = append(*r, running("j.0.1", "w", 1), running("j.0.2", "x", 1))
		}},
		{"team above a limit that was not lowered", RuleTeamLimit, true, func(_ *Checker, v *View, _ *[]Running) {
			v.Attempts[0].Reservation, v.Teams[0].Running, v.Attempts[0].Ending = cores(3), cores(3), true
		}},
		{"lowered limit not enforced", RuleTeamLimit, true, func(_ *Checker, v *View, _ *[]Running) {
			v.Teams[0].Limit = cores(0)
		}},
		{"start above a lowered limit", RuleTeamLimit, true, func(c *Checker, v *View, _ *[]Running) {
			v.Teams[0].Limit, v.Attempts[0].Ending = cores(0), true
			_ = c.Check(*v, nil)
			v.Attempts[0].ID = "j.0.2"
		}},
		{"second run of a task that is not idempotent", RuleAtMostOnce, false, func(c *Checker, _ *View, _ *[]Running) {
			c.RecordStart("j", 0, "j.0.1")
			c.RecordStart("j", 0, "j.0.2")
		}},
		{"confirmed job missing", RuleJobsKept, false, func(c *Checker, _ *View, _ *[]Running) { c.RecordAcceptance("k") }},
		{"reported final state changed", RuleJobsKept, false, func(c *Checker, _ *View, _ *[]Running) {
			c.RecordAcceptance("j")
			_ = c.RecordReportedEnd("j", domain.JobSucceeded)
		}},
		{"job ended before its tasks", RuleJobsKept, false, func(_ *Checker, v *View, _ *[]Running) { v.Jobs[0].State = domain.JobSucceeded }},
		{"task counts do not add up", RuleAccounting, false, func(_ *Checker, v *View, _ *[]Running) { v.Jobs[0].Tasks = 2 }},
		{"index disagrees with attempts", RuleAccounting, false, func(_ *Checker, v *View, _ *[]Running) { v.Workers[0].Free = cores(4) }},
		{"team charged too little", RuleAccounting, false, func(_ *Checker, v *View, _ *[]Running) { v.Teams[0].Running = cores(0) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, v, r := New(), validView(), []Running(nil)
			if tc.checkBefore {
				if err := c.Check(v, nil); err != nil {
					t.Fatalf("check failed before the violation was injected: %v", err)
				}
			}
			tc.inject(c, &v, &r)
			if err := c.Check(v, r); !hasViolation(err, tc.rule) {
				t.Fatalf("Check returned %v, want a violation of %q", err, tc.rule)
			}
		})
	}
	if c := New(); c.RecordReportedEnd("j", domain.JobSucceeded) != nil || !hasViolation(c.RecordReportedEnd("j", domain.JobFailed), RuleJobsKept) {
		t.Error("Ended did not report a violation for a second, different final state")
	}
}

// Guards against a checker that reports violations in valid states, such as the enforcement of a
// lowered limit.
func TestCheckerAcceptsValidStates(t *testing.T) {
	c, v := New(), validView()
	c.RecordAcceptance("j")
	c.RecordStart("j", 0, "j.0.1")
	if err := c.Check(v, []Running{running("j.0.1", "w", 1)}); err != nil {
		t.Fatal(err)
	}
	v.Teams[0].Limit = cores(0)
	v.Attempts[0].Ending = true
	for range 2 {
		if err := c.Check(v, nil); err != nil {
			t.Fatalf("violation reported while a lowered limit is enforced: %v", err)
		}
	}
}

// hasViolation reports whether a joined error contains a violation of the rule.
func hasViolation(err error, rule Rule) bool {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			if hasViolation(e, rule) {
				return true
			}
		}
		return false
	}
	var v *Violation
	return errors.As(err, &v) && v.Rule == rule
}
