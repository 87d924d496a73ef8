package sched

import (
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// flushTouched brings the policy queue up to date.
func (m *Machine) flushTouched() {
	for _, j := range m.touched {
		j.touched = false
		m.requeue(j)
	}
	clear(m.touched)
	m.touched = m.touched[:0]
}

// requeue offers a job's ready tasks to the queue, or withdraws the job.
func (m *Machine) requeue(j *job) {
	n := m.readyTasks(j)
	t := m.team(j.Team)
	size := domain.Resources{}
	if j.waiting() > 0 {
		size = m.reservation(j)
	}
	demand := size.Scale(int64(j.waiting()))
	t.demand = t.demand.Add(demand).Sub(j.queued)
	j.queued = demand
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
		m.released(j)
	}
}

// released drops what an ended job still holds.
func (m *Machine) released(j *job) {
	m.dropHold(j.ID)
	m.dropPreemption(j.ID)
}

// readyTasks returns how many tasks of the job may be placed now.
func (m *Machine) readyTasks(j *job) int {
	if j.State.Terminal() || j.Cancelled {
		return 0
	}
	if !j.isGang() {
		j.fresh = m.stillWaiting(j, j.fresh)
		j.restarts = m.stillWaiting(j, j.restarts)
		return len(j.fresh) + len(j.restarts)
	}
	if j.GangRestart || j.GangFailed {
		return 0
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == taskWaiting && j.Tasks[i].NotBeforeMS > m.now {
			return 0
		}
	}
	return j.waiting()
}

// stillWaiting drops stale entries from the front of a list. Others are dropped when they get there.
func (m *Machine) stillWaiting(j *job, list []int) []int {
	for len(list) > 0 && j.Tasks[list[0]].State != taskWaiting {
		list = list[1:]
	}
	return list
}
