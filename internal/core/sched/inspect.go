package sched

import "auburnpier/internal/core/invariant"

// Inspect returns the state for the invariant checker. It copies everything, so it is meant for
// tests and diagnosis only.
func (m *Machine) Inspect() invariant.View {
	v := invariant.View{
		Workers:  make([]invariant.Worker, 0, len(m.workerOrder)),
		Attempts: make([]invariant.Attempt, 0, len(m.attempts)),
		Teams:    make([]invariant.Team, 0, len(m.teamOrder)),
		Jobs:     make([]invariant.Job, 0, len(m.jobs)),
	}
	for _, w := range m.workerOrder {
		free, _ := m.index.Free(w.id)
		x := invariant.Worker{ID: w.id, Capacity: w.capacity, Free: free, Indexed: w.indexed}
		for _, usage := range w.orphans {
			x.Orphans = x.Orphans.Add(usage)
		}
		v.Workers = append(v.Workers, x)
	}
	for _, a := range m.sortedAttempts() {
		v.Attempts = append(v.Attempts, invariant.Attempt{
			ID: a.ID, Job: a.Job, Team: a.j.Team, Task: a.Task, Worker: a.Worker,
			Reservation: a.Reservation, Ending: a.cause != CauseNone,
		})
	}
	for _, t := range m.teamOrder {
		v.Teams = append(v.Teams, invariant.Team{ID: t.id, Limit: t.bound(), Running: t.running, LimitKnown: m.teamsKnown && t.limitEnforced()})
	}
	for _, id := range sortedKeys(m.jobs) {
		j := m.jobs[id]
		v.Jobs = append(v.Jobs, invariant.Job{
			ID: j.ID, State: j.State, Idempotent: j.Spec.Idempotent, Tasks: len(j.Tasks),
			Waiting: j.waiting(), Active: j.active(), Done: len(j.Tasks) - j.waiting() - j.active(),
		})
	}
	return v
}
