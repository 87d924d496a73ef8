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

// maxRoundIntervalMS is the longest time between scheduling rounds while jobs wait: aging,
// the restart rate and gang delays change the outcome without an event.
const maxRoundIntervalMS = 1000

// round counts the placed tasks, failed searches and skipped jobs of one scheduling round.
type round struct {
	placed, failedSearches, skipped int
}

// runRoundIfDue runs a scheduling round if its outcome may differ from the last one.
func (m *Machine) runRoundIfDue() {
	m.requeueChanged()
	if m.queue.Len() == 0 || (!m.needsRound && m.nowMS-m.lastRoundMS < maxRoundIntervalMS) {
		return
	}
	m.needsRound = false
	m.lastRoundMS = m.nowMS
	m.queue.BeginRound(fromMillis(m.nowMS))
	var r round
	for r.placed < m.cfg.MaxPlacements && r.failedSearches < m.cfg.MaxFailedSearches && r.skipped < m.cfg.MaxSkippedJobs {
		item, ok := m.queue.Next()
		if !ok {
			return
		}
		m.place(&r, item)
	}
	m.needsRound = true
}

// place places a task or the gang of the offered job, or skips the job.
func (m *Machine) place(r *round, item policy.Item) {
	j, ok := m.jobs[item.Job]
	if !ok {
		m.queue.Remove(item.Job)
		return
	}
	n := m.readyTasks(j)
	size := m.reservation(j)
	if n == 0 || n != item.Tasks || size != item.Size {
		r.skipped++
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
		m.skip(r, j, policy.WaitTeamLimit, "")
	case j.isGang():
		m.placeGang(r, j, size, n)
	default:
		m.placeTask(r, j, size)
	}
}

// countFailedSearch counts a search that found no free capacity. Jobs with a hold are searched
// for in every round and their number is bounded, so they do not count towards MaxFailedSearches.
func (m *Machine) countFailedSearch(r *round, j *job) {
	if m.holds[j.ID] == nil {
		r.failedSearches++
	}
}

// skip excludes the job from the rest of the round. The detail is kept for Explain.
func (m *Machine) skip(r *round, j *job, reason policy.WaitReason, detail string) {
	r.skipped++
	j.noCapacityDetail = detail
	m.queue.Pass(j.ID, reason)
}

// placeTask places one task of a batch job or service.
func (m *Machine) placeTask(r *round, j *job, size domain.Resources) {
	task, restart := m.nextTask(j)
	if task < 0 {
		m.skip(r, j, policy.WaitRestartRate, "")
		return
	}
	req := m.request(j, size)
	req.Avoid = append(req.Avoid, m.avoidedWorkers(&j.Tasks[task])...)
	id, err := m.index.Place(req)
	if err == nil && !m.index.Reserve(id, j.ID, size) {
		err = fmt.Errorf("worker %s has less free capacity than the placement index reported", id)
	}
	if err != nil {
		m.noRoom(r, j, req, size, j.waiting(), err)
		return
	}
	m.popTask(j, restart)
	m.recordIntents(r, j, size, []domain.WorkerID{id}, []int{task}, restart)
}

// noRoom requeues a job with a smaller size if no empty worker could take a task. Otherwise it skips the job, whose n waiting tasks may preempt others
// or hold workers.
func (m *Machine) noRoom(r *round, j *job, req placement.Request, size domain.Resources, n int, err error) {
	if j.lowerCeiling(size, err) {
		r.failedSearches++
		m.requeue(j)
		return
	}
	m.countFailedSearch(r, j)
	m.preempt(j, size, n, err)
	m.skip(r, j, m.noCapacityReason(j), noFitDetail(err))
	if !j.isGang() {
		n = min(m.readyTasks(j), holds.MaxTasksPerJob)
	}
	m.tryHold(j, req, n)
}

// waitPreempting is the wait reason of an urgent job whose preemption victims have not ended
// yet. Unlike policy.WaitNoCapacity it lets the queue offer equal jobs, which need victims of their own.
const waitPreempting policy.WaitReason = "preempting"

func (m *Machine) noCapacityReason(j *job) policy.WaitReason {
	if m.preemptions[j.ID] != nil {
		return waitPreempting
	}
	return policy.WaitNoCapacity
}

// request returns the placement request for one task of the job.
func (m *Machine) request(j *job, size domain.Resources) placement.Request {
	req := placement.Request{Size: size, Zones: j.Spec.Zones, Holder: j.ID, IgnoreHolds: j.urgent()}
	if j.isService() {
		req.Spread = j.ID
	}
	if m.avoidsCanaries(j) {
		req.Avoid = append(req.Avoid, m.canaries...)
	}
	if run := m.roundedRunMS(j); run > 0 {
		req.End = fromMillis(m.nowMS + run)
	}
	return req
}

// avoidsCanaries reports whether the job must avoid quarantined workers that may take a
// canary: a canary may fail, and these jobs cannot recover by retrying one task. After
// AvoidPeriod they use such workers too, because there may be no other job to serve as canary.
func (m *Machine) avoidsCanaries(j *job) bool {
	return (j.isGang() || !j.Spec.Idempotent) && m.nowMS-j.WaitingSinceMS < m.cfg.AvoidPeriod.Milliseconds()
}

// constraint encodes what restricts the choice of workers for the job's next task, so that the
// queue skips jobs with the same restrictions after one of them found no free capacity. A
// job with a hold can find capacity where equal jobs do not, so its constraint is unique.
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
	for _, id := range m.avoidedByNext(j) {
		b.WriteString("a" + string(id) + " ")
	}
	if m.holds[j.ID] != nil {
		b.WriteString("holds room for " + string(j.ID))
	}
	return b.String()
}

// avoidedByNext lists the workers that the job's next task, or its gang, avoids.
func (m *Machine) avoidedByNext(j *job) []domain.WorkerID {
	switch {
	case len(j.ready) > 0:
		return m.avoidedWorkers(&j.Tasks[j.ready[0]])
	case len(j.readyRestarts) > 0:
		return m.avoidedWorkers(&j.Tasks[j.readyRestarts[0]])
	case !j.isGang():
		return nil
	}
	var list []domain.WorkerID
	for i := range j.Tasks {
		list = append(list, m.avoidedWorkers(&j.Tasks[i])...)
	}
	return list
}

// avoidedWorkers lists the workers on which the task failed, until AvoidPeriod has passed.
func (m *Machine) avoidedWorkers(t *durableTask) []domain.WorkerID {
	if len(t.FailedOn) == 0 || m.nowMS-t.NotBeforeMS >= m.cfg.AvoidPeriod.Milliseconds() {
		return nil
	}
	return t.FailedOn
}

// roundedRunMS returns the expected run time of a batch task, rounded up to a
// power of two so that the queue can group jobs. Zero means that it is unknown.
func (m *Machine) roundedRunMS(j *job) int64 {
	run := m.expectedRunMS(j)
	if run <= 0 || j.isGang() {
		return 0
	}
	return 1 << bits.Len64(uint64(run-1))
}

// nextTask returns the next ready task, or -1 if only restarts are ready and their rate is used up.
func (m *Machine) nextTask(j *job) (task int, restart bool) {
	if len(j.ready) > 0 {
		return j.ready[0], false
	}
	if len(j.readyRestarts) > 0 && m.restartAllowed() {
		return j.readyRestarts[0], true
	}
	return -1, false
}

// popTask removes the task that nextTask returned from its list.
func (m *Machine) popTask(j *job, restart bool) {
	if restart {
		j.readyRestarts = j.readyRestarts[1:]
		return
	}
	j.ready = j.ready[1:]
}

// recordIntents records the intents of tasks whose resources are reserved on the workers.
func (m *Machine) recordIntents(r *round, j *job, size domain.Resources, workers []domain.WorkerID, tasks []int, restart bool) {
	record := &IntentsRecord{Job: j.ID, Intents: make([]Intent, 0, len(tasks))}
	for i, task := range tasks {
		record.Intents = append(record.Intents, Intent{
			Attempt: nextAttemptID(j, task), Task: task, Worker: workers[i], BootID: m.worker(workers[i]).bootID,
			// A gang counts once against the restart rate.
			Reservation: size, Restart: restart && i == 0,
		})
	}
	m.commit(Record{Intents: record})
	for _, in := range record.Intents {
		a := m.attempts[in.Attempt]
		a.phase = phaseIntended
		a.reserved = true
		m.unsentStarts = append(m.unsentStarts, a)
		if _, ok := m.health[in.Worker]; ok {
			m.updateExclusion(m.worker(in.Worker))
		}
	}
	r.placed += len(tasks)
	j.noCapacityDetail = ""
	m.consumeTarget(j, workers[0])
	m.consumeHold(j, workers[0])
	m.requeue(j)
}

// nextAttemptID returns the ID of a task's next attempt. Intents are durable and counted, so no ID
// is used twice.
func nextAttemptID(j *job, task int) domain.AttemptID {
	return domain.AttemptID(string(j.ID) + "." + strconv.Itoa(task) + "." + strconv.Itoa(j.Tasks[task].Starts+1))
}

// noFitDetail returns the reason why no worker can take a task, with the number of workers that
// each filter rejected.
func noFitDetail(err error) string {
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
