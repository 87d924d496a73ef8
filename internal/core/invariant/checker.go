package invariant

import (
	"errors"
	"fmt"

	"auburnpier/internal/domain"
)

// Rule names a promise.
type Rule string

// Rules of the checker, with the invariants of the design page.
const (
	// RuleCapacity is I1: reservations and what runs fit each worker.
	RuleCapacity Rule = "worker over its capacity"
	// RuleReserved is I1: what could run is reserved.
	RuleReserved Rule = "attempt runs without a reservation"
	// RuleOnePlace is I2.
	RuleOnePlace Rule = "task in two places"
	// RuleLimit is I5.
	RuleLimit Rule = "team above its limit"
	// RuleOnce is I8.
	RuleOnce Rule = "task that is not idempotent ran twice"
	// RuleLost says that confirmed jobs are kept until they ended, and that told ends stay.
	RuleLost Rule = "accepted work lost"
	// RuleAccounts says that counts agree with each other.
	RuleAccounts Rule = "accounts disagree"
)

// Violation is a broken promise.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v *Violation) Error() string { return string(v.Rule) + ": " + v.Detail }

type taskKey struct {
	job  domain.JobID
	task int
}

// Checker follows one partition. Its methods are called in the order of events.
type Checker struct {
	confirmed map[domain.JobID]bool
	told      map[domain.JobID]domain.JobState
	// ran holds the attempts that a worker really started, for each task.
	ran map[taskKey]map[domain.AttemptID]bool
	// above holds, for each team above its limit at the last check, the attempts it had then.
	above map[domain.TeamID]map[domain.AttemptID]bool
	// limits are the team limits at the last check.
	limits map[domain.TeamID]domain.Resources
}

// New returns a checker of a partition that has accepted nothing.
func New() *Checker {
	return &Checker{
		confirmed: make(map[domain.JobID]bool),
		told:      make(map[domain.JobID]domain.JobState),
		ran:       make(map[taskKey]map[domain.AttemptID]bool),
		above:     make(map[domain.TeamID]map[domain.AttemptID]bool),
		limits:    make(map[domain.TeamID]domain.Resources),
	}
}

// Confirmed notes that a submitter was told of the acceptance.
func (c *Checker) Confirmed(id domain.JobID) { c.confirmed[id] = true }

// Ended notes that a caller was told that the job ended in the state.
func (c *Checker) Ended(id domain.JobID, s domain.JobState) error {
	if before, ok := c.told[id]; ok && before != s {
		return &Violation{RuleLost, fmt.Sprintf("job %s was told to have ended %s, now %s", id, before, s)}
	}
	c.told[id] = s
	return nil
}

// Restarted notes that a new owner took over: limits are to be told again.
func (c *Checker) Restarted() {
	clear(c.above)
	clear(c.limits)
}

// Ran notes that a worker really started an attempt.
func (c *Checker) Ran(job domain.JobID, task int, attempt domain.AttemptID) {
	key := taskKey{job, task}
	if c.ran[key] == nil {
		c.ran[key] = make(map[domain.AttemptID]bool)
	}
	c.ran[key][attempt] = true
}

// Check returns every violation in the view and in what really runs, joined, or nil.
// Tests without worker fakes pass no running attempts.
func (c *Checker) Check(v View, running []Running) error {
	return errors.Join(
		checkWorkers(v),
		checkAccounts(v),
		checkOnePlace(v),
		checkRunning(v, running),
		c.checkLimits(v),
		c.checkOnce(v),
		c.checkLost(v),
	)
}

// checkWorkers checks reservations against capacity, and the index against the attempts.
func checkWorkers(v View) error {
	reserved := make(map[domain.WorkerID]domain.Resources)
	for _, a := range v.Attempts {
		reserved[a.Worker] = reserved[a.Worker].Add(a.Reservation)
	}
	var errs []error
	for _, w := range v.Workers {
		sum := reserved[w.ID]
		if w.Indexed && !sum.Fits(w.Capacity) {
			errs = append(errs, &Violation{RuleCapacity, fmt.Sprintf("%s reserves %+v of %+v", w.ID, sum, w.Capacity)})
		}
		if free := w.Capacity.Sub(sum).Sub(w.Orphans); w.Indexed && free != w.Free {
			errs = append(errs, &Violation{RuleAccounts,
				fmt.Sprintf("the index has %+v free on %s, the attempts leave %+v", w.Free, w.ID, free)})
		}
	}
	return errors.Join(errs...)
}

// checkAccounts checks that the tasks of each job add up and that teams are charged what runs.
func checkAccounts(v View) error {
	active := make(map[domain.JobID]int)
	charged := make(map[domain.TeamID]domain.Resources)
	for _, a := range v.Attempts {
		active[a.Job]++
		charged[a.Team] = charged[a.Team].Add(a.Reservation)
	}
	var errs []error
	for _, j := range v.Jobs {
		if j.Waiting+j.Active+j.Done != j.Tasks || j.Active != active[j.ID] {
			errs = append(errs, &Violation{RuleAccounts,
				fmt.Sprintf("job %s has %d tasks: %d waiting, %d active with %d attempts, %d done",
					j.ID, j.Tasks, j.Waiting, j.Active, active[j.ID], j.Done)})
		}
		if j.State.Terminal() != (j.Done == j.Tasks) {
			errs = append(errs, &Violation{RuleLost, fmt.Sprintf("job %s is %s with %d of %d tasks done", j.ID, j.State, j.Done, j.Tasks)})
		}
	}
	for _, t := range v.Teams {
		if t.Running != charged[t.ID] {
			errs = append(errs, &Violation{RuleAccounts, fmt.Sprintf("team %s is charged %+v and runs %+v", t.ID, t.Running, charged[t.ID])})
		}
	}
	return errors.Join(errs...)
}

func checkOnePlace(v View) error {
	seen := make(map[taskKey]domain.AttemptID)
	var errs []error
	for _, a := range v.Attempts {
		key := taskKey{a.Job, a.Task}
		if other, ok := seen[key]; ok {
			errs = append(errs, &Violation{RuleOnePlace, fmt.Sprintf("task %d of %s has attempts %s and %s", a.Task, a.Job, other, a.ID)})
		}
		seen[key] = a.ID
	}
	return errors.Join(errs...)
}

// checkRunning checks what workers really run: it fits, it is reserved, and no task runs twice.
func checkRunning(v View, running []Running) error {
	active := make(map[domain.AttemptID]domain.WorkerID, len(v.Attempts))
	for _, a := range v.Attempts {
		active[a.ID] = a.Worker
	}
	used := make(map[domain.WorkerID]domain.Resources)
	seen := make(map[taskKey]domain.AttemptID)
	var errs []error
	for _, r := range running {
		used[r.Worker] = used[r.Worker].Add(r.Size)
		if !used[r.Worker].Fits(r.Capacity) {
			errs = append(errs, &Violation{RuleCapacity, fmt.Sprintf("%s runs %+v of %+v", r.Worker, used[r.Worker], r.Capacity)})
		}
		if active[r.Attempt] != r.Worker {
			errs = append(errs, &Violation{RuleReserved, fmt.Sprintf("%s runs %s, which is reserved on %q", r.Worker, r.Attempt, active[r.Attempt])})
		}
		key := taskKey{r.Job, r.Task}
		if other, ok := seen[key]; ok {
			errs = append(errs, &Violation{RuleOnePlace, fmt.Sprintf("task %d of %s runs as %s and %s", r.Task, r.Job, other, r.Attempt)})
		}
		seen[key] = r.Attempt
	}
	return errors.Join(errs...)
}

// checkLimits checks that a team exceeds its limit only while a lowered limit is
// enforced: nothing new starts, and what is not asked to end fits.
func (c *Checker) checkLimits(v View) error {
	var errs []error
	for _, t := range v.Teams {
		if !t.Known {
			continue
		}
		before, seen := c.limits[t.ID]
		lowered := !seen || !before.Fits(t.Limit)
		c.limits[t.ID] = t.Limit
		if t.Running.Fits(t.Limit) {
			delete(c.above, t.ID)
			continue
		}
		errs = append(errs, c.checkAbove(v, t, lowered))
	}
	return errors.Join(errs...)
}

func (c *Checker) checkAbove(v View, t Team, lowered bool) error {
	var staying domain.Resources
	now := make(map[domain.AttemptID]bool)
	for _, a := range v.Attempts {
		if a.Team != t.ID {
			continue
		}
		now[a.ID] = true
		if !a.Ending {
			staying = staying.Add(a.Reservation)
		}
	}
	before, already := c.above[t.ID]
	c.above[t.ID] = now
	if !staying.Fits(t.Limit) {
		return &Violation{RuleLimit, fmt.Sprintf("team %s keeps %+v running, its limit is %+v", t.ID, staying, t.Limit)}
	}
	if !already && !lowered {
		return &Violation{RuleLimit, fmt.Sprintf("team %s runs %+v, its limit %+v was not lowered", t.ID, t.Running, t.Limit)}
	}
	for id := range now {
		if already && !before[id] {
			return &Violation{RuleLimit, fmt.Sprintf("team %s started %s above its limit", t.ID, id)}
		}
	}
	return nil
}

func (c *Checker) checkOnce(v View) error {
	var errs []error
	for _, j := range v.Jobs {
		if j.Idempotent {
			continue
		}
		for task := range j.Tasks {
			if n := len(c.ran[taskKey{j.ID, task}]); n > 1 {
				errs = append(errs, &Violation{RuleOnce, fmt.Sprintf("task %d of %s ran %d times", task, j.ID, n)})
			}
		}
	}
	return errors.Join(errs...)
}

// checkLost checks that each confirmed job is present or was told to have ended, and that told ends stay.
func (c *Checker) checkLost(v View) error {
	present := make(map[domain.JobID]domain.JobState, len(v.Jobs))
	for _, j := range v.Jobs {
		present[j.ID] = j.State
	}
	var errs []error
	for id := range c.confirmed {
		state, ok := present[id]
		told, ended := c.told[id]
		switch {
		case !ok && !ended:
			errs = append(errs, &Violation{RuleLost, fmt.Sprintf("job %s was accepted and is gone", id)})
		case ok && ended && state != told:
			errs = append(errs, &Violation{RuleLost, fmt.Sprintf("job %s was told to have ended %s, now it is %s", id, told, state)})
		}
	}
	return errors.Join(errs...)
}
