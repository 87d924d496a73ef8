package sched

import (
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// requeueChanged updates the policy queue for all jobs that were marked as changed.
func (m *Machine) requeueChanged() {
	for _, j := range m.changed {
		j.changed = false
		m.requeue(j)
	}
	clear(m.changed)
	m.changed = m.changed[:0]
}

// requeue pushes the job's ready tasks to the queue, or removes the job from it.
func (m *Machine) requeue(j *job) {
	n := m.readyTasks(j)
	t := m.team(j.Team)
	size := domain.Resources{}
	if j.waiting() > 0 {
		size = m.reservation(j)
	}
	demand := size.Scale(int64(j.waiting()))
	t.demand = t.demand.Add(demand).Sub(j.queuedDemand)
	j.queuedDemand = demand
	switch {
	case n > 0:
		j.inQueue = true
		m.queue.Push(policy.Item{
			Job: j.ID, Team: j.Team, Kind: j.Spec.Kind, Priority: j.Spec.Priority,
			Size: size, Tasks: n, Enqueued: fromMillis(j.WaitingSinceMS), Constraint: m.constraint(j),
		})
	case j.inQueue:
		j.inQueue = false
		m.queue.Remove(j.ID)
	}
	if j.State.Terminal() || j.Cancelled {
		m.releaseCapacity(j)
	}
}

// releaseCapacity drops the hold and the preemption of an ended job.
func (m *Machine) releaseCapacity(j *job) {
	m.dropHold(j.ID)
	m.dropPreemption(j.ID)
}

// readyTasks returns how many tasks of the job may be placed now.
func (m *Machine) readyTasks(j *job) int {
	if j.State.Terminal() || j.Cancelled {
		return 0
	}
	if !j.isGang() {
		j.ready = m.trimStale(j, j.ready)
		j.readyRestarts = m.trimStale(j, j.readyRestarts)
		return len(j.ready) + len(j.readyRestarts)
	}
	if j.GangRestart || j.GangFailed {
		return 0
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == taskWaiting && j.Tasks[i].NotBeforeMS > m.nowMS {
			return 0
		}
	}
	return j.waiting()
}

// trimStale drops stale entries from the front of a list. Those further back are dropped once they
// reach the front.
func (m *Machine) trimStale(j *job, list []int) []int {
	for len(list) > 0 && j.Tasks[list[0]].State != taskWaiting {
		list = list[1:]
	}
	return list
}
