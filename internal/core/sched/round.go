package sched

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"auburnpier/internal/core/holds"
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
}

// maybeRound runs a round where its outcome may differ from the last one.
func (m *Machine) maybeRound() {
	m.flushTouched()
	if m.queue.Len() == 0 || (!m.dirty && m.now-m.lastRound < idleRoundMS) {
		return
	}
	m.dirty = false
	m.lastRound = m.now
	m.queue.BeginRound(fromMillis(m.now))
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
		m.pass(r, j, policy.WaitTeamLimit, "")
	case j.isGang():
		m.considerGang(r, j, size, n)
	default:
		m.considerTask(r, j, size)
	}
}

// missed counts a search without result. Holders are searched for in every round and
// their number is bounded, so they leave MaxMisses to the other jobs.
func (m *Machine) missed(r *round, j *job) {
	if m.holds[j.ID] == nil {
		r.misses++
	}
}

// pass leaves the job out of the rest of the round. The detail is kept for explain.
func (m *Machine) pass(r *round, j *job, reason policy.WaitReason, detail string) {
	r.passes++
	j.wait = detail
	m.queue.Pass(j.ID, reason)
}

// considerTask places one task of a batch job or service.
func (m *Machine) considerTask(r *round, j *job, size domain.Resources) {
	task, restart := m.nextTask(j)
	if task < 0 {
		m.pass(r, j, policy.WaitRestartRate, "")
		return
	}
	req := m.request(j, size)
	req.Avoid = append(req.Avoid, m.avoided(&j.Tasks[task])...)
	id, err := m.index.Place(req)
	if err == nil && !m.index.Reserve(id, j.ID, size) {
		err = fmt.Errorf("worker %s has less room than the index offered", id)
	}
	if j.lowerCeiling(size, err) {
		r.misses++
		m.requeue(j)
		return
	}
	if err != nil {
		m.missed(r, j)
		m.preempt(j, size, j.waiting(), err)
		m.pass(r, j, m.missReason(j), waitDetail(err))
		m.holdRoom(j, req, min(m.readyTasks(j), holds.MaxTasksPerJob))
		return
	}
	m.popTask(j, restart)
	m.intend(r, j, size, []domain.WorkerID{id}, []int{task}, restart)
}

// waitPreempting is passed for an urgent job that waits for victims to end. Unlike
// policy.WaitNoCapacity it lets the queue offer equal jobs, which need victims of their own.
const waitPreempting policy.WaitReason = "preempting"

func (m *Machine) missReason(j *job) policy.WaitReason {
	if m.preemptions[j.ID] != nil {
		return waitPreempting
	}
	return policy.WaitNoCapacity
}

// request describes one task of the job to the index.
func (m *Machine) request(j *job, size domain.Resources) placement.Request {
	req := placement.Request{Size: size, Zones: j.Spec.Zones, Holder: j.ID, IgnoreHolds: j.urgent()}
	if j.isService() {
		req.Spread = j.ID
	}
	if m.avoidsCanaries(j) {
		req.Avoid = append(req.Avoid, m.canaries...)
	}
	if run := m.roundedRunMS(j); run > 0 {
		req.End = fromMillis(m.now + run)
	}
	return req
}

// avoidsCanaries reports whether the job is kept off workers on probation: a
// canary may fail, which these jobs cannot repair by a retry of one task. After
// AvoidFor they take such workers too, because no other job may come to end the probation.
func (m *Machine) avoidsCanaries(j *job) bool {
	return (j.isGang() || !j.Spec.Idempotent) && m.now-j.WaitingSinceMS < m.cfg.AvoidFor.Milliseconds()
}

// constraint names what restricts the workers of a job's next task, so that the
// queue skips jobs of the same restrictions after one of them found no room. A job
// that holds room finds it where equal jobs do not, so its constraint is its own.
func (m *Machine) constraint(j *job) string {
	var b strings.Builder
	for _, z := range j.Spec.Zones {
		b.WriteString("z" + string(z) + " ")
	}
	if j.urgent() {
		b.WriteString("urgent ")
	}
	if m.avoidsCanaries(j) {
		b.WriteString("settled ")
	}
	if j.isGang() && j.Spec.SpanZones {
		b.WriteString("span ")
	}
	if run := m.roundedRunMS(j); run > 0 {
		b.WriteString("r" + strconv.FormatInt(run, 10) + " ")
	}
	for _, id := range m.avoidedNext(j) {
		b.WriteString("a" + string(id) + " ")
	}
	if m.holds[j.ID] != nil {
		b.WriteString("holds room for " + string(j.ID))
	}
	return b.String()
}

// avoidedNext lists the workers that the job's next task or gang avoids.
func (m *Machine) avoidedNext(j *job) []domain.WorkerID {
	switch {
	case len(j.fresh) > 0:
		return m.avoided(&j.Tasks[j.fresh[0]])
	case len(j.restarts) > 0:
		return m.avoided(&j.Tasks[j.restarts[0]])
	case !j.isGang():
		return nil
	}
	var list []domain.WorkerID
	for i := range j.Tasks {
		list = append(list, m.avoided(&j.Tasks[i])...)
	}
	return list
}

// avoided lists the workers on which the task failed, for a limited time.
func (m *Machine) avoided(t *durableTask) []domain.WorkerID {
	if len(t.FailedOn) == 0 || m.now-t.NotBeforeMS >= m.cfg.AvoidFor.Milliseconds() {
		return nil
	}
	return t.FailedOn
}

// roundedRunMS returns the expected run time of a batch task, rounded up to a
// power of two so that the queue can group jobs. Zero means unknown.
func (m *Machine) roundedRunMS(j *job) int64 {
	run := m.expectedRunMS(j)
	if run <= 0 || j.isGang() {
		return 0
	}
	return 1 << bits.Len64(uint64(run-1))
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
	m.claimUsed(j, workers[0])
	m.holdUsed(j, workers[0])
	m.requeue(j)
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
	if none.NeverFits {
		return fmt.Sprintf("no worker is large enough; the nearest size is %d mCPU, %d MB, %d accelerators",
			none.NearestSize.CPUMilli, none.NearestSize.MemoryMB, none.NearestSize.Accelerators)
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
