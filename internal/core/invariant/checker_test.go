package invariant

import (
	"errors"
	"testing"

	"auburnpier/internal/domain"
)

func cores(n int64) domain.Resources { return domain.Resources{CPUMilli: 1000 * n, MemoryMB: 1000 * n} }

// sound returns a view without violations: one job with one attempt on one worker.
func sound() View {
	return View{
		Workers:  []Worker{{ID: "w", Capacity: cores(4), Free: cores(3), Indexed: true}},
		Attempts: []Attempt{{ID: "j.0.1", Job: "j", Team: "t", Worker: "w", Reservation: cores(1)}},
		Teams:    []Team{{ID: "t", Limit: cores(2), Running: cores(1), Known: true}},
		Jobs:     []Job{{ID: "j", State: domain.JobRunning, Tasks: 1, Active: 1}},
	}
}

func running(attempt domain.AttemptID, w domain.WorkerID, size int64) Running {
	return Running{Attempt: attempt, Job: "j", Worker: w, Size: cores(size), Capacity: cores(4)}
}

// Guards against a checker that lets a kind of violation pass: each case plants one.
func TestCheckerCatchesEachViolation(t *testing.T) {
	type plant func(c *Checker, v *View, r *[]Running) error
	cases := []struct {
		name  string
		rule  Rule
		plant plant
	}{
		{"reservations above capacity", RuleCapacity, func(_ *Checker, v *View, _ *[]Running) error {
			v.Workers[0].Capacity, v.Workers[0].Free = cores(0), cores(-1)
			return nil
		}},
		{"running above capacity", RuleCapacity, func(_ *Checker, _ *View, r *[]Running) error {
			*r = append(*r, running("j.0.1", "w", 5))
			return nil
		}},
		{"running without reservation", RuleReserved, func(_ *Checker, _ *View, r *[]Running) error {
			*r = append(*r, running("j.0.9", "w", 1))
			return nil
		}},
		{"running on another worker than reserved", RuleReserved, func(_ *Checker, _ *View, r *[]Running) error {
			*r = append(*r, running("j.0.1", "x", 1))
			return nil
		}},
		{"two attempts of one task", RuleOnePlace, func(_ *Checker, v *View, _ *[]Running) error {
			v.Attempts = append(v.Attempts, Attempt{ID: "j.0.2", Job: "j", Team: "t", Worker: "x"})
			return nil
		}},
		{"one task running twice", RuleOnePlace, func(_ *Checker, _ *View, r *[]Running) error {
			*r = append(*r, running("j.0.1", "w", 1), running("j.0.2", "x", 1))
			return nil
		}},
		{"team above a limit that was not lowered", RuleLimit, func(c *Checker, v *View, _ *[]Running) error {
			err := c.Check(*v, nil)
			v.Attempts[0].Reservation, v.Teams[0].Running, v.Workers[0].Free = cores(3), cores(3), cores(1)
			v.Attempts[0].Ending = true
			return err
		}},
		{"lowered limit not enforced", RuleLimit, func(c *Checker, v *View, _ *[]Running) error {
			err := c.Check(*v, nil)
			v.Teams[0].Limit = cores(0)
			return err
		}},
		{"start above a lowered limit", RuleLimit, func(c *Checker, v *View, _ *[]Running) error {
			v.Teams[0].Limit = cores(0)
			v.Attempts[0].Ending = true
			err := c.Check(*v, nil)
			v.Attempts[0].ID = "j.0.2"
			return err
		}},
		{"second run of a task that is not idempotent", RuleOnce, func(c *Checker, _ *View, _ *[]Running) error {
			c.Ran("j", 0, "j.0.1")
			c.Ran("j", 0, "j.0.2")
			return nil
		}},
		{"confirmed job gone", RuleLost, func(c *Checker, _ *View, _ *[]Running) error {
			c.Confirmed("k")
			return nil
		}},
		{"told end taken back", RuleLost, func(c *Checker, _ *View, _ *[]Running) error {
			c.Confirmed("j")
			return c.Ended("j", domain.JobSucceeded)
		}},
		{"job ended with a task left", RuleLost, func(_ *Checker, v *View, _ *[]Running) error {
			v.Jobs[0].State = domain.JobSucceeded
			return nil
		}},
		{"task counts do not add up", RuleAccounts, func(_ *Checker, v *View, _ *[]Running) error {
			v.Jobs[0].Tasks = 2
			return nil
		}},
		{"index disagrees with attempts", RuleAccounts, func(_ *Checker, v *View, _ *[]Running) error {
			v.Workers[0].Free = cores(4)
			return nil
		}},
		{"team charged too little", RuleAccounts, func(_ *Checker, v *View, _ *[]Running) error {
			v.Teams[0].Running = cores(0)
			return nil
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, v, r := New(), sound(), []Running(nil)
			if err := tc.plant(c, &v, &r); err != nil {
				t.Fatalf("the state before the violation is refused: %v", err)
			}
			err := c.Check(v, r)
			if !has(err, tc.rule) {
				t.Fatalf("check returned %v, want a violation of %q", err, tc.rule)
			}
		})
	}
}

// Guards against a checker that refuses sound states, among them the enforcement of a lowered limit.
func TestCheckerPassesSoundStates(t *testing.T) {
	c, v := New(), sound()
	c.Confirmed("j")
	c.Ran("j", 0, "j.0.1")
	if err := c.Check(v, []Running{running("j.0.1", "w", 1)}); err != nil {
		t.Fatal(err)
	}
	v.Teams[0].Limit = cores(0)
	v.Attempts[0].Ending = true
	for range 2 {
		if err := c.Check(v, nil); err != nil {
			t.Fatalf("enforcement of a lowered limit: %v", err)
		}
	}
}

// has reports whether a joined error contains a violation of the rule.
func has(err error, rule Rule) bool {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			if has(e, rule) {
				return true
			}
		}
		return false
	}
	var v *Violation
	return errors.As(err, &v) && v.Rule == rule
}
