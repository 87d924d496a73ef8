package jobs

import (
	"cmp"
	"fmt"
	"slices"

	"auburnpier/internal/domain"
)

// parkedJobs are accepted jobs of which only the state is held, because the stored ones take more memory than the VM has. They are read from the
// store again when there is room, in the order of their priority and acceptance, or when a worker lists a run of theirs.
type parkedJobs struct {
	count int
	// queue holds parked jobs in the order in which they are loaded. It may list jobs that are no longer parked.
	queue []*job
	// failed holds the demanded jobs that could not be read.
	failed []*job
	// loading is the number of jobs that are being read, loadingBytes what they take then.
	loading, loadingBytes int64
	// nextMS is when the next ones are chosen.
	nextMS int64
}

// parking is the state of a parked job.
type parking struct {
	// size is what the job takes once it is loaded.
	size size
	// loading is set while the job is read from the store, and demanded if it is needed whatever memory is left.
	loading, demanded bool
}

// Parameters of parked jobs.
const (
	// maxLoading bounds the jobs that are read from the store at a time.
	maxLoading = 16
	// loadIntervalMS is the time between two choices of jobs to load.
	loadIntervalMS = 50
	// loadRetryMS is the least time after a failed read before others are begun.
	loadRetryMS = 500
	// minLoadShare is the least part of the memory for jobs that loaded ones may take beside the states of parked ones.
	minLoadShare = 0.25
)

// park keeps only the state of a recovered job.
func (m *Machine) park(j *job, rec *JobRecord) {
	j.parking = &parking{size: m.sizeOf(&rec.Spec)}
	j.spec = &Spec{Occurrences: rec.Spec.Occurrences}
	m.jobs[j.id] = j
	m.parked.count++
	m.parked.queue = append(m.parked.queue, j)
	j.team.parked++
	m.resize(j, size{admitted: j.parking.size.admitted})
}

// unpark ends the parking of a job that was loaded or has ended.
func (m *Machine) unpark(j *job) {
	p := j.parking
	if p == nil {
		return
	}
	m.endLoading(p)
	m.withdrawDemand(j)
	j.parking = nil
	m.parked.count--
	j.team.parked--
}

// parksOnRecovery reports whether a stored job is parked: with it, the jobs would take more memory than the VM has for them.
func (m *Machine) parksOnRecovery(rec *JobRecord, state *StateRecord) bool {
	if m.memory.vmBytes == 0 {
		return false
	}
	limit := m.loadLimit()
	if !state.Started && len(state.Steps) == 0 {
		limit = share(limit, unstartedJobsShare)
	}
	return m.memory.open.held+m.sizeOf(&rec.Spec).held > limit
}

// loadLimit returns the memory that loaded jobs may take. Whatever the states of the parked ones take, a part is left, so that all run in the end.
func (m *Machine) loadLimit() int64 {
	limit := share(m.memory.vmBytes, jobsMemoryShare)
	return max(limit-int64(m.parked.count)*parkedJobBytes, share(limit, minLoadShare))
}

// demandLoad has a parked job loaded whatever memory is left: a worker has listed a run of it.
func (m *Machine) demandLoad(j *job) {
	if j.parking.demanded {
		return
	}
	j.parking.demanded = true
	j.team.demanded++
	m.startLoading(j)
}

func (m *Machine) withdrawDemand(j *job) {
	if j.parking.demanded {
		j.parking.demanded = false
		j.team.demanded--
	}
}

func (m *Machine) startLoading(j *job) {
	p := j.parking
	if p == nil || p.loading {
		return
	}
	p.loading = true
	m.parked.loading++
	m.parked.loadingBytes += p.size.held
	m.out.Loads = append(m.out.Loads, j.id)
}

func (m *Machine) endLoading(p *parking) {
	if p.loading {
		p.loading = false
		m.parked.loading--
		m.parked.loadingBytes -= p.size.held
	}
}

// planLoads chooses the parked jobs to load. Before every worker of a former owner has reported, or its lease has expired, a task of a parked
// job may run there unnoticed, but none of its tasks would be started either.
func (m *Machine) planLoads() {
	p := &m.parked
	if p.count == 0 || m.nowMS < p.nextMS {
		return
	}
	p.nextMS = m.nowMS + loadIntervalMS
	for _, j := range p.failed {
		m.startLoading(j)
	}
	p.failed = nil
	if len(m.suspects) > 0 {
		return
	}
	limit := m.loadLimit()
	for len(p.queue) > 0 && p.loading < maxLoading {
		if j := p.queue[0]; j.parking != nil && !j.parking.loading {
			if m.memory.open.held+p.loadingBytes+j.parking.size.held > limit {
				return
			}
			m.startLoading(j)
		}
		p.queue[0] = nil
		p.queue = p.queue[1:]
	}
}

// CountParked returns the number of jobs of which only the state is held.
func (m *Machine) CountParked() int { return m.parked.count }

// sortParked brings the parked jobs into the order in which they are loaded.
func (m *Machine) sortParked() {
	slices.SortFunc(m.parked.queue, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), cmp.Compare(a.acceptedUnixMS, b.acceptedUnixMS), cmp.Compare(a.id, b.id))
	})
}

// JobLoaded completes a parked job with its stored values.
func (m *Machine) JobLoaded(id domain.JobID, jobValue, stateValue []byte) error {
	j, ok := m.jobs[id]
	if !ok || j.parking == nil {
		return nil
	}
	rec, state, err := decodeStored(id, jobValue, stateValue)
	if err == nil && state.State.Terminal() {
		err = fmt.Errorf("parked job %s has ended in the store", id)
	}
	if err != nil {
		m.SetUnreadable(id)
		return err
	}
	m.unpark(j)
	if err := m.restore(j, &rec.Spec, state); err != nil {
		m.SetUnreadable(id)
		return err
	}
	m.resumeReports()
	return nil
}

// resumeReports handles what workers have listed of a job that was parked until now.
func (m *Machine) resumeReports() {
	for _, w := range m.sortedWorkers {
		rows, ends := w.parkedRuns, w.parkedEnds
		w.parkedRuns = nil
		m.handleEnds(w, ends)
		for _, row := range rows {
			m.handleRunning(w, row)
		}
	}
	m.needsPass = true
}

// JobNotLoaded handles a failed read of a parked job. It is read again.
func (m *Machine) JobNotLoaded(id domain.JobID) {
	j, ok := m.jobs[id]
	if !ok || j.parking == nil {
		return
	}
	m.endLoading(j.parking)
	m.parked.nextMS = m.nowMS + loadRetryMS
	if j.parking.demanded {
		m.parked.failed = append(m.parked.failed, j)
		return
	}
	m.parked.queue = slices.Insert(m.parked.queue, 0, j)
}

// parkedJob returns the parked job that a task belongs to, or nil.
func (m *Machine) parkedJob(id TaskID) *job {
	if j := m.jobs[id.Job]; j != nil && j.parking != nil {
		return j
	}
	return nil
}
