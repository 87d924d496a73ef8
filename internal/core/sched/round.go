package sched

import (
	"errors"
	"fmt"
	"strconv"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
)

// idleRoundMS is the longest time between rounds while jobs wait: aging, the
// restart rate and gang delays change the outcome without an event.
const idleRoundMS = 1000

// round is the state of one round of placement.
type round struct {
	placed, misses, passes int
	// missed lists sizes of unconstrained requests that found no room in this round.
	missed []domain.Resources
}

// maybeRound runs a round where its outcome may differ from the last one.
func (m *Machine) maybeRound() {
	m.flushTouched()
	if m.queue.Len() == 0 || (!m.dirty && m.now-m.lastRound < idleRoundMS) {
		return
	}
	m.dirty = false
	m.lastRound = m.now
	m.queue.Begin(fromMillis(m.now))
	var r round
	for r.placed < m.cfg.MaxPlacements && r.misses < m.cfg.MaxMisses && r.passes < m.cfg.MaxPasses {
		item, ok := m.queue.Next()
		if !ok {
			return
		}
		m.consider(&r, item)
	}
	m.dirty = true
}

// consider places a task or a gang of the offered job, or passes the job over.
func (m *Machine) consider(r *round, item policy.Item) {
	j, ok := m.jobs[item.Job]
	if !ok {
		m.queue.Remove(item.Job)
		return
	}
	n := m.readyTasks(j)
	size := m.reservation(j)
	if n == 0 || n != item.Tasks || size != item.Size {
		r.passes++
		j.inQueue = true
		m.requeue(j)
		return
	}
	need := size
	if j.isGang() {
		need = size.Scale(int64(n))
	}
	t := m.team(j.Team)
	switch {
	case !t.running.Add(need).Fits(t.bound()):
		m.pass(r, j, policy.WaitTeamLimit, "the team is at its limit")
	case j.isGang():
		m.considerGang(r, j, size, n)
	default:
		m.considerTask(r, j, size)
	}
}

// pass leaves the job out of the rest of the round.
func (m *Machine) pass(r *round, j *job, reason policy.WaitReason, detail string) {
	r.passes++
	j.wait = detail
	m.queue.Pass(j.ID, reason)
}

// considerTask places one task of a batch job or service.
func (m *Machine) considerTask(r *round, j *job, size domain.Resources) {
	task, restart := m.nextTask(j)
	if task < 0 {
		m.pass(r, j, policy.WaitRestarts, "restarts after failures are at their rate")
		return
	}
	req := m.request(j, size)
	req.Avoid = append(req.Avoid, j.Tasks[task].FailedOn...)
	plain := len(req.Avoid) == 0 && len(req.Zones) == 0 && !req.IgnoreReservations
	if plain && r.hopeless(size) && !m.mayBackfill(j) {
		m.pass(r, j, policy.WaitNoRoom, "a smaller or equal task found no room")
		return
	}
	id, err := m.index.Place(req)
	if err != nil && m.mayBackfill(j) {
		req.IgnoreReservations = true
		id, err = m.index.Place(req)
	}
	if err == nil && !m.index.Reserve(id, j.ID, size) {
		err = fmt.Errorf("worker %s has less room than the index offered", id)
	}
	if err != nil {
		r.misses++
		if plain {
			r.missed = append(r.missed, size)
		}
		m.pass(r, j, policy.WaitNoRoom, waitDetail(err))
		m.preempt(j, size, err)
		return
	}
	m.popTask(j, restart)
	m.intend(r, j, size, []domain.WorkerID{id}, []int{task}, restart)
}

// request describes one task of the job to the index.
func (m *Machine) request(j *job, size domain.Resources) placement.Request {
	req := placement.Request{Size: size, Zones: j.Spec.Zones, IgnoreReservations: j.urgent()}
	if j.isService() {
		req.Spread = j.ID
	}
	if j.isGang() || !j.Spec.Idempotent {
		// A canary may fail, which these jobs cannot repair by a retry of one task.
		req.Avoid = append(req.Avoid, m.canaries...)
	}
	return req
}

// hopeless reports whether a request at most as large found no room in this round.
func (r *round) hopeless(size domain.Resources) bool {
	for _, missed := range r.missed {
		if missed.Fits(size) {
			return true
		}
	}
	return false
}

// nextTask returns the next ready task, or -1 where only restarts wait and their rate is used up.
func (m *Machine) nextTask(j *job) (task int, restart bool) {
	if len(j.fresh) > 0 {
		return j.fresh[0], false
	}
	if len(j.restarts) > 0 && m.mayRestart() {
		return j.restarts[0], true
	}
	return -1, false
}

func (m *Machine) popTask(j *job, restart bool) {
	if restart {
		j.restarts = j.restarts[1:]
		return
	}
	j.fresh = j.fresh[1:]
}

// intend records the intents of tasks that are reserved on the workers.
func (m *Machine) intend(r *round, j *job, size domain.Resources, workers []domain.WorkerID, tasks []int, restart bool) {
	record := &IntentsRecord{Job: j.ID, Intents: make([]Intent, 0, len(tasks))}
	for i, task := range tasks {
		record.Intents = append(record.Intents, Intent{
			Attempt: attemptID(j, task), Task: task, Worker: workers[i], BootID: m.worker(workers[i]).bootID,
			// A gang uses the restart rate once.
			Reservation: size, Restart: restart && i == 0,
		})
	}
	m.commit(Record{Intents: record})
	for _, in := range record.Intents {
		a := m.attempts[in.Attempt]
		a.phase = phaseIntended
		a.reserved = true
		m.unsent = append(m.unsent, a)
		if _, ok := m.health[in.Worker]; ok {
			m.updateExclusion(m.worker(in.Worker))
		}
	}
	r.placed += len(tasks)
	j.wait = ""
	m.requeue(j)
	if j.waiting() == 0 {
		m.dropPreemption(j.ID)
	}
}

// attemptID names the next attempt of a task. Intents are durable and counted, so no name is used twice.
func attemptID(j *job, task int) domain.AttemptID {
	return domain.AttemptID(string(j.ID) + "." + strconv.Itoa(task) + "." + strconv.Itoa(j.Tasks[task].Starts+1))
}

// waitDetail says why no worker took a task, with the workers that each filter rejected.
func waitDetail(err error) string {
	var none *placement.NoFitError
	if !errors.As(err, &none) {
		return err.Error()
	}
	if none.Never {
		return fmt.Sprintf("no worker is large enough; the nearest size is %d mCPU, %d MB, %d accelerators",
			none.Nearest.CPUMilli, none.Nearest.MemoryMB, none.Nearest.Accelerators)
	}
	text := "no worker has room now"
	for i, x := range none.Rejections {
		separator := ", "
		if i == 0 {
			separator = "; rejected by "
		}
		text += separator + string(x.Reason) + ": " + strconv.Itoa(x.Workers)
	}
	return text
}
