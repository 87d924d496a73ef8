package sched

import (
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// placeGang places all waiting members of a gang, or none.
func (m *Machine) placeGang(r *round, j *job, size domain.Resources, n int) {
	tasks, restart := waitingMembers(j)
	if restart && !m.restartAllowed() {
		m.skip(r, j, policy.WaitRestartRate, "")
		return
	}
	req := m.request(j, size)
	for _, i := range tasks {
		req.Avoid = append(req.Avoid, m.avoidedWorkers(&j.Tasks[i])...)
	}
	if zone, ok := m.gangZone(j); ok {
		req.Zones = []domain.ZoneID{zone}
	}
	workers, err := m.index.PlaceGang(req, n, j.Spec.SpanZones)
	if err == nil {
		err = m.reserveGang(j, size, workers)
	}
	if err != nil {
		m.noRoom(r, j, req, size, n, err)
		return
	}
	m.recordIntents(r, j, size, workers, tasks, restart)
}

// gangZone returns the availability zone that a late member has to join. Such a member
// exists if one start of a gang that is not idempotent was refused while the other
// members run.
func (m *Machine) gangZone(j *job) (domain.ZoneID, bool) {
	if j.Spec.SpanZones || j.active() == 0 {
		return "", false
	}
	for i := range j.Tasks {
		if a, ok := m.attempts[j.Tasks[i].Attempt]; ok {
			return m.worker(a.Worker).location.Zone, true
		}
	}
	return "", false
}

// waitingMembers returns the waiting tasks and whether one of them restarts after a failure.
func waitingMembers(j *job) (tasks []int, restart bool) {
	for i := range j.Tasks {
		if j.Tasks[i].State != taskWaiting {
			continue
		}
		tasks = append(tasks, i)
		restart = restart || j.Tasks[i].Restart
	}
	return tasks, restart
}

// reserveGang reserves every member, or none.
func (m *Machine) reserveGang(j *job, size domain.Resources, workers []domain.WorkerID) error {
	for i, id := range workers {
		if m.index.Reserve(id, j.ID, size) {
			continue
		}
		for _, done := range workers[:i] {
			m.index.Release(done, j.ID, size)
		}
		return &placement.NoFitError{}
	}
	return nil
}
