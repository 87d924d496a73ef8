package invariant

import (
	"errors"
	"fmt"

	"auburnpier/internal/domain"
)

// Rule names an invariant.
type Rule string

// Rules of the checker. I1 to I8 are the numbers of the invariants in the design documentation.
const (
	// RuleCapacity is I1: neither the reservations nor the running attempts exceed a worker's capacity.
	RuleCapacity Rule = "worker capacity exceeded"
	// RuleReserved is I1: resources are reserved for every attempt that may be running.
	RuleReserved Rule = "running attempt without a reservation"
	// RuleSingleAttempt is I2: a task has at most one attempt at a time.
	RuleSingleAttempt Rule = "task with two attempts"
	// RuleTeamLimit is I5: a team stays within its limit, except while a lowered limit is being
	// enforced.
	RuleTeamLimit Rule = "team limit exceeded"
	// RuleAtMostOnce is I8: a task that isn't idempotent runs at most once.
	RuleAtMostOnce Rule = "non-idempotent task ran more than once"
	// RuleJobsKept: a job whose acceptance was confirmed is kept until it ends, and a final state that
	// was reported doesn't change.
	RuleJobsKept Rule = "accepted job or final state lost"
	// RuleAccounting: counts and sums kept in different places agree.
	RuleAccounting Rule = "inconsistent accounting"
)

// Violation is the error for a violated invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v *Violation) Error() string { return string(v.Rule) + ": " + v.Detail }

type taskKey struct {
	job  domain.JobID
	task int
}

// Checker checks one partition. Its methods must be called in the order of events.
type Checker struct {
	confirmed    map[domain.JobID]bool
	reportedEnds map[domain.JobID]domain.JobState
	// started holds, for each task, the attempts that workers actually started.
	started map[taskKey]map[domain.AttemptID]bool
	// overLimit holds, for each team that exceeded its limit at the last check, its attempts at that time.
	overLimit map[domain.TeamID]map[domain.AttemptID]bool
	// limits are the team limits at the last check.
	limits map[domain.TeamID]domain.Resources
}

// New returns a checker for a partition that hasn't accepted any jobs.
func New() *Checker {
	return &Checker{
		confirmed:    make(map[domain.JobID]bool),
		reportedEnds: make(map[domain.JobID]domain.JobState),
		started:      make(map[taskKey]map[domain.AttemptID]bool),
		overLimit:    make(map[domain.TeamID]map[domain.AttemptID]bool),
		limits:       make(map[domain.TeamID]domain.Resources),
	}
}

// RecordAcceptance records that the acceptance of the job was confirmed to its submitter.
func (c *Checker) RecordAcceptance(id domain.JobID) { c.confirmed[id] = true }

// RecordReportedEnd records that the final state s of the job was reported to a caller. It returns
// a violation if another final state was reported before.
func (c *Checker) RecordReportedEnd(id domain.JobID, s domain.JobState) error {
	if before, ok := c.reportedEnds[id]; ok && before != s {
		return &Violation{RuleJobsKept, fmt.Sprintf("job %s was reported as %s, now as %s", id, before, s)}
	}
	c.reportedEnds[id] = s
	return nil
}

// RecordOwnerChange records that a new owner took over, which receives the limits anew.
func (c *Checker) RecordOwnerChange() {
	clear(c.overLimit)
	clear(c.limits)
}

// RecordStart records that a worker actually started an attempt.
func (c *Checker) RecordStart(job domain.JobID, task int, attempt domain.AttemptID) {
	key := taskKey{job, task}
	if c.started[key] == nil {
		c.started[key] = make(map[domain.AttemptID]bool)
	}
	c.started[key][attempt] = true
}

// Check returns all violations in the view and the running attempts as one joined error, or nil.
// Tests without fake workers pass no running attempts.
func (c *Checker) Check(v View, running []Running) error {
	return errors.Join(
		checkWorkers(v),
		checkAccounting(v),
		checkSingleAttempt(v),
		checkRunning(v, running),
		c.checkLimits(v),
		c.checkAtMostOnce(v),
		c.checkJobsKept(v),
	)
}

// checkWorkers checks that reservations fit the capacity of each worker, and that the placement
// index agrees with the attempts.
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
			errs = append(errs, &Violation{RuleAccounting,
				fmt.Sprintf("placement index has %+v free on %s, want %+v from its attempts", w.Free, w.ID, free)})
		}
	}
	return errors.Join(errs...)
}

// checkAccounting checks that the task counts of each job add up, and that each team is charged for
// the reservations of its attempts.
func checkAccounting(v View) error {
	active := make(map[domain.JobID]int)
	charged := make(map[domain.TeamID]domain.Resources)
	for _, a := range v.Attempts {
		active[a.Job]++
		charged[a.Team] = charged[a.Team].Add(a.Reservation)
	}
	var errs []error
	for _, j := range v.Jobs {
		if j.Waiting+j.Active+j.Done != j.Tasks || j.Active != active[j.ID] {
			errs = append(errs, &Violation{RuleAccounting,
				fmt.Sprintf("job %s has %d tasks: %d waiting, %d active with %d attempts, %d done",
					j.ID, j.Tasks, j.Waiting, j.Active, active[j.ID], j.Done)})
		}
		if j.State.Terminal() != (j.Done == j.Tasks) {
			errs = append(errs, &Violation{RuleJobsKept, fmt.Sprintf("job %s is %s with %d of %d tasks done", j.ID, j.State, j.Done, j.Tasks)})
		}
	}
	for _, t := range v.Teams {
		if t.Running != charged[t.ID] {
			errs = append(errs, &Violation{RuleAccounting, fmt.Sprintf("team %s is charged %+v, its attempts reserve %+v", t.ID, t.Running, charged[t.ID])})
		}
	}
	return errors.Join(errs...)
}

func checkSingleAttempt(v View) error {
	seen := make(map[taskKey]domain.AttemptID)
	var errs []error
	for _, a := range v.Attempts {
		key := taskKey{a.Job, a.Task}
		if other, ok := seen[key]; ok {
			errs = append(errs, &Violation{RuleSingleAttempt, fmt.Sprintf("task %d of %s has attempts %s and %s", a.Task, a.Job, other, a.ID)})
		}
		seen[key] = a.ID
	}
	return errors.Join(errs...)
}

// checkRunning checks the attempts that workers actually run: they fit the capacity, each has a
// reservation on its worker, and no task runs twice at the same time.
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
			errs = append(errs, &Violation{RuleReserved, fmt.Sprintf("%s runs %s, whose reservation is on %q", r.Worker, r.Attempt, active[r.Attempt])})
		}
		key := taskKey{r.Job, r.Task}
		if other, ok := seen[key]; ok {
			errs = append(errs, &Violation{RuleSingleAttempt, fmt.Sprintf("task %d of %s runs as %s and %s", r.Task, r.Job, other, r.Attempt)})
		}
		seen[key] = r.Attempt
	}
	return errors.Join(errs...)
}

// checkLimits checks that a team exceeds its limit only while a lowered limit is being enforced. In
// that time no attempt may start, and the attempts that aren't being stopped must fit the limit.
func (c *Checker) checkLimits(v View) error {
	var errs []error
	for _, t := range v.Teams {
		if !t.LimitKnown {
			continue
		}
		before, seen := c.limits[t.ID]
		lowered := !seen || !before.Fits(t.Limit)
		c.limits[t.ID] = t.Limit
		if t.Running.Fits(t.Limit) {
			delete(c.overLimit, t.ID)
			continue
		}
		errs = append(errs, c.checkOverLimit(v, t, lowered))
	}
	return errors.Join(errs...)
}

func (c *Checker) checkOverLimit(v View, t Team, lowered bool) error {
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
	before, already := c.overLimit[t.ID]
	c.overLimit[t.ID] = now
	if !staying.Fits(t.Limit) {
		return &Violation{RuleTeamLimit, fmt.Sprintf("team %s keeps %+v running above its limit %+v", t.ID, staying, t.Limit)}
	}
	if !already && !lowered {
		return &Violation{RuleTeamLimit, fmt.Sprintf("team %s runs %+v above its limit %+v, which was not lowered", t.ID, t.Running, t.Limit)}
	}
	for id := range now {
		if already && !before[id] {
			return &Violation{RuleTeamLimit, fmt.Sprintf("team %s started %s while above its limit", t.ID, id)}
		}
	}
	return nil
}

func (c *Checker) checkAtMostOnce(v View) error {
	var errs []error
	for _, j := range v.Jobs {
		if j.Idempotent {
			continue
		}
		for task := range j.Tasks {
			if n := len(c.started[taskKey{j.ID, task}]); n > 1 {
				errs = append(errs, &Violation{RuleAtMostOnce, fmt.Sprintf("task %d of %s ran %d times", task, j.ID, n)})
			}
		}
	}
	return errors.Join(errs...)
}

// checkJobsKept checks that each confirmed job either is present or was reported as ended, and that
// reported final states don't change.
func (c *Checker) checkJobsKept(v View) error {
	present := make(map[domain.JobID]domain.JobState, len(v.Jobs))
	for _, j := range v.Jobs {
		present[j.ID] = j.State
	}
	var errs []error
	for id := range c.confirmed {
		state, ok := present[id]
		reported, ended := c.reportedEnds[id]
		switch {
		case !ok && !ended:
			errs = append(errs, &Violation{RuleJobsKept, fmt.Sprintf("job %s was accepted and is missing", id)})
		case ok && ended && state != reported:
			errs = append(errs, &Violation{RuleJobsKept, fmt.Sprintf("job %s was reported as %s, now it is %s", id, reported, state)})
		}
	}
	return errors.Join(errs...)
}
