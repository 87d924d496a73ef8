package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// JobRecord is the stored immutable part of a job.
type JobRecord struct {
	ID             domain.JobID  `cbor:"1,keyasint"`
	Queue          Queue         `cbor:"2,keyasint"`
	Team           domain.TeamID `cbor:"3,keyasint"`
	Spec           Spec          `cbor:"4,keyasint"`
	AcceptedUnixMS int64         `cbor:"5,keyasint"`
	Epoch          int64         `cbor:"6,keyasint"`
}

// StateRecord is the stored progress of a job.
type StateRecord struct {
	State           State         `cbor:"1,keyasint"`
	EndedUnixMS     int64         `cbor:"2,keyasint,omitempty"`
	Steps           []StepRecord  `cbor:"3,keyasint,omitempty"`
	DoneOccurrences []int         `cbor:"4,keyasint,omitempty"`
	Started         bool          `cbor:"5,keyasint,omitempty"`
	Team            domain.TeamID `cbor:"6,keyasint,omitempty"`
	// Queue is empty in records of earlier versions.
	Queue domain.QueueID `cbor:"7,keyasint,omitempty"`
}

// StepRecord is the stored progress of one occurrence of a step.
type StepRecord struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Done       []byte `cbor:"3,keyasint,omitempty"`
	// FailedRuns lists the failed runs of each task, by task index.
	FailedRuns     map[int][]int `cbor:"4,keyasint,omitempty"`
	GangFailedRuns []int         `cbor:"5,keyasint,omitempty"`
	LastRun        int           `cbor:"6,keyasint,omitempty"`
	// AbandonedRuns holds the last abandoned run of each task, by task index.
	AbandonedRuns map[int]int `cbor:"7,keyasint,omitempty"`
	// CrashedRuns lists, by task index, the runs under which the worker's process terminated. Versions
	// that do not know it count from zero.
	CrashedRuns map[int][]int `cbor:"8,keyasint,omitempty"`
	// Checkpoints holds the last checkpoint of each task that has not succeeded, by task index, GangCheckpoint that of a gang. Versions that
	// do not know them begin such tasks again.
	Checkpoints    map[int]string `cbor:"9,keyasint,omitempty"`
	GangCheckpoint string         `cbor:"10,keyasint,omitempty"`
}

// StoredJob is a job's pair of encoded values for the store. Job is nil if only the state changed.
type StoredJob struct {
	ID    domain.JobID
	Job   []byte
	State []byte
	// Ended is set once the job's specification is no longer needed.
	Ended bool
}

// Batch is a set of changes that is written in one transaction.
type Batch struct {
	Jobs        []StoredJob
	DeletedJobs []domain.JobID
	// Members lists all workers that may have tasks, if the list has changed.
	Members   []Member
	takenJobs []takenJob
}

type takenJob struct {
	job     *job
	version int
	state   State
	// occurrences is the number of done occurrences.
	occurrences int
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Jobs) == 0 && len(b.DeletedJobs) == 0 && b.Members == nil }

// maxDeletionsPerBatch leaves most of a batch to jobs that callers wait for.
const maxDeletionsPerBatch = 8

// maxBatchBytes is the size from which on a batch takes no more jobs. Many writes are under way while the store is slow, and a job may be as
// large as the operators permit.
const maxBatchBytes = 256 << 10

// Sizes of a batch, in store entries.
const (
	// MinBatchEntries is the minimum size of a batch. It has space for the list of workers, a
	// new job and the deletions.
	MinBatchEntries = 1 + newJobEntries + deletionEntries*maxDeletionsPerBatch
	newJobEntries   = 2
	deletionEntries = 2
)

// entries returns how many store entries the next write of the job takes.
func (j *job) entries() int {
	// The specification is written with a new job, and deleted when the job ends.
	if !j.durable || j.state.Terminal() {
		return newJobEntries
	}
	return 1
}

// PendingEntries returns how many store entries wait to be written, at most the given number.
func (m *Machine) PendingEntries(most int) int {
	n := deletionEntries * min(len(m.jobsToDelete), maxDeletionsPerBatch)
	if m.membersChanged && !m.membersWriteInFlight {
		n++
	}
	for _, j := range m.unwrittenJobs {
		if n >= most {
			return most
		}
		if j.unwritten && !j.writeInFlight {
			n += j.entries()
		}
	}
	return min(n, most)
}

// TakeBatch returns the pending changes of jobs that are in no other unfinished batch, up to
// mostEntries store entries. mostEntries must be at least MinBatchEntries.
func (m *Machine) TakeBatch(mostEntries int) (*Batch, error) {
	b := &Batch{}
	if m.membersChanged && !m.membersWriteInFlight {
		m.membersChanged, m.membersWriteInFlight = false, true
		b.Members = m.takeMembers()
		mostEntries--
	}
	n := min(len(m.jobsToDelete), maxDeletionsPerBatch)
	b.DeletedJobs = append(b.DeletedJobs, m.jobsToDelete[:n]...)
	m.jobsToDelete = m.jobsToDelete[n:]
	mostEntries -= deletionEntries * n
	var left []*job
	bytes := 0
	for _, j := range m.unwrittenJobs {
		if !j.unwritten {
			continue
		}
		if j.writeInFlight || j.entries() > mostEntries || bytes >= maxBatchBytes {
			left = append(left, j)
			continue
		}
		stored, err := j.stored()
		if err != nil {
			return nil, err
		}
		mostEntries -= j.entries()
		bytes += len(stored.Job) + len(stored.State)
		j.unwritten, j.maybeStored, j.writeInFlight = false, true, true
		b.Jobs = append(b.Jobs, stored)
		b.takenJobs = append(b.takenJobs, takenJob{j, j.version, j.state, len(j.doneOccurrences)})
	}
	m.unwrittenJobs = left
	return b, nil
}

func (j *job) stored() (StoredJob, error) {
	stored := StoredJob{ID: j.id, Ended: j.state.Terminal()}
	var err error
	if stored.State, err = cbor.Marshal(j.stateRecord()); err != nil {
		return stored, fmt.Errorf("encode state of job %s: %w", j.id, err)
	}
	if !j.durable && !stored.Ended {
		if stored.Job, err = cbor.Marshal(j.record()); err != nil {
			return stored, fmt.Errorf("encode job %s: %w", j.id, err)
		}
	}
	return stored, nil
}

// HasChanges reports whether TakeBatch has something to write.
func (m *Machine) HasChanges() bool { return m.PendingEntries(1) > 0 }

// takeMembers lists the workers that may have tasks, including those of a former owner, to be stored.
func (m *Machine) takeMembers() []Member {
	list := make([]Member, 0, len(m.sortedWorkers)+len(m.suspects))
	for _, w := range m.sortedWorkers {
		if w.leftOut = m.cannotHaveTasks(w); w.leftOut {
			w.inStoredMembers = false
			continue
		}
		list = append(list, Member{ID: w.id, Address: w.address, Zone: w.zone, Capacity: w.capacity, VM: w.vm,
			StartedMS: max(w.startedMS, w.registeredStartMS, w.storedStartMS), Restarted: w.restarted})
	}
	for id := range m.suspects {
		if _, ok := m.workers[id]; !ok {
			list = append(list, Member{ID: id})
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// BatchStored handles the successful write of a batch.
func (m *Machine) BatchStored(b *Batch) {
	for _, taken := range b.takenJobs {
		j := taken.job
		j.writeInFlight = false
		j.durable = true
		j.storedVersion = taken.version
		j.storedState = taken.state
		j.storedOccurrences = taken.occurrences
		if taken.state.Terminal() {
			m.stopJob(j)
			m.compactEndedJob(j)
		}
	}
	if b.Members != nil {
		m.membersWriteInFlight = false
	}
	for _, member := range b.Members {
		if w, ok := m.workers[member.ID]; ok && w.address == member.Address && w.capacity == member.Capacity {
			w.inStoredMembers = true
		}
	}
	m.needsPass = true
}

// BatchNotStored handles a batch whose write certainly had no effect. Its changes are written with
// the next batch, and its new jobs may be withdrawn.
func (m *Machine) BatchNotStored(b *Batch) {
	for _, taken := range b.takenJobs {
		j := taken.job
		j.writeInFlight = false
		j.maybeStored = j.durable
		if !j.unwritten {
			j.unwritten = true
			m.unwrittenJobs = append(m.unwrittenJobs, j)
		}
	}
	m.jobsToDelete = append(m.jobsToDelete, b.DeletedJobs...)
	if b.Members != nil {
		m.membersWriteInFlight = false
		m.membersChanged = true
	}
}

// AcknowledgeableEnd returns the number of the worker's last run end that may be acknowledged: the
// effects of all ends up to it are stored, and none of them is withheld.
func (m *Machine) AcknowledgeableEnd(id domain.WorkerID) int64 {
	w, ok := m.workers[id]
	if !ok {
		return 0
	}
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].job.storedVersion >= w.pendingEnds[0].version {
		w.pendingEnds = w.pendingEnds[1:]
	}
	last := w.lastEndNumber
	if len(w.pendingEnds) > 0 {
		last = w.pendingEnds[0].number - 1
	}
	if w.withheldEnd > 0 {
		last = min(last, w.withheldEnd-1)
	}
	return last
}

func (j *job) record() JobRecord {
	return JobRecord{ID: j.id, Queue: *j.queue, Team: j.team.ID, Spec: *j.spec,
		AcceptedUnixMS: j.acceptedUnixMS, Epoch: j.epoch}
}

func (j *job) stateRecord() StateRecord {
	r := StateRecord{State: j.state, EndedUnixMS: j.endedUnixMS, Started: j.started, Team: j.team.ID, Queue: j.queue.Name}
	if j.state.Terminal() {
		return r
	}
	for k := range j.doneOccurrences {
		r.DoneOccurrences = append(r.DoneOccurrences, k)
	}
	sort.Ints(r.DoneOccurrences)
	room := checkpointRoom(maxCheckpointBytes)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if rec, changed := s.record(&room); changed {
				r.Steps = append(r.Steps, rec)
			}
		}
	}
	return r
}

// record returns the stored state of the step, with the checkpoints for which there is room, and whether it differs from that of a new one.
func (s *step) record(room *checkpointRoom) (StepRecord, bool) {
	r := StepRecord{Occurrence: s.occurrence.number, Step: s.number, GangFailedRuns: s.gangFailedRuns, LastRun: s.lastRun}
	changed := len(s.gangFailedRuns) > 0 || s.open < s.spec.Tasks
	if s.spec.Gang && s.open > 0 && room.take(s.checkpoint) {
		r.GangCheckpoint, changed = s.checkpoint, true
	}
	if s.open < s.spec.Tasks {
		r.Done = make([]byte, (s.spec.Tasks+7)/8)
	}
	for i, last := range s.succeeded {
		if last != 0 {
			r.Done[i/8] |= 1 << (i % 8)
		}
	}
	for _, t := range s.active {
		i := t.index
		if t.phase == taskDone {
			r.Done[i/8] |= 1 << (i % 8)
		}
		if !s.spec.Gang && t.phase != taskDone && room.take(t.checkpoint) {
			if r.Checkpoints == nil {
				r.Checkpoints = make(map[int]string)
			}
			r.Checkpoints[i], changed = t.checkpoint, true
		}
		if number := max(t.abandonedRun, t.formerAbandonedRun); number > 0 {
			if r.AbandonedRuns == nil {
				r.AbandonedRuns = make(map[int]int)
			}
			r.AbandonedRuns[i] = number
			changed = true
		}
		if len(t.failedRuns) > 0 {
			if r.FailedRuns == nil {
				r.FailedRuns = make(map[int][]int)
			}
			r.FailedRuns[i] = t.failedRuns
			changed = true
		}
		if len(t.crashedRuns) > 0 {
			if r.CrashedRuns == nil {
				r.CrashedRuns = make(map[int][]int)
			}
			r.CrashedRuns[i] = t.crashedRuns
			changed = true
		}
	}
	return r, changed
}

// Bounds of the checkpoints in the record of a job: of one, and of all together, since the store accepts 1 MB for a value and jobs have up to 128,000
// tasks. A checkpoint names what was saved. Those beyond are kept in memory only.
const (
	maxStoredCheckpoint = 256
	maxCheckpointBytes  = 64 << 10
)

func storesCheckpoint(value string) bool { return value != "" && len(value) <= maxStoredCheckpoint }

// checkpointRoom is how many bytes of checkpoints a record may still take.
type checkpointRoom int

// take reports whether the checkpoint is stored.
func (r *checkpointRoom) take(value string) bool {
	if !storesCheckpoint(value) || len(value) > int(*r) {
		return false
	}
	*r -= checkpointRoom(len(value))
	return true
}

// RecoverJob loads a stored job, or parks it if the VM has no memory left for it. It must not be called after any other event.
func (m *Machine) RecoverJob(id domain.JobID, jobValue, stateValue []byte) error {
	rec, state, err := decodeStored(id, jobValue, stateValue)
	if err != nil {
		return err
	}
	if state.State.Terminal() {
		m.recoverEnded(id, state)
		return nil
	}
	j := &job{id: id, queue: m.recoveredQueue(&rec.Queue), team: m.teamOf(rec.Team), acceptedUnixMS: rec.AcceptedUnixMS, epoch: rec.Epoch,
		maybeStored: true, durable: true, recovered: true, started: state.Started}
	if m.parksOnRecovery(rec, state) {
		m.park(j, rec)
		return nil
	}
	return m.restore(j, &rec.Spec, state)
}

// decodeStored decodes the stored values of a job. The record is nil if the job has ended.
func decodeStored(id domain.JobID, jobValue, stateValue []byte) (*JobRecord, *StateRecord, error) {
	state := &StateRecord{}
	if err := cbor.Unmarshal(stateValue, state); err != nil {
		return nil, nil, fmt.Errorf("decode state of job %s: %w", id, err)
	}
	switch {
	case state.State > Cancelled:
		return nil, nil, fmt.Errorf("stored job %s has the unknown state %s", id, state.State)
	case state.State.Terminal() && jobValue == nil:
		return nil, state, nil
	case jobValue == nil:
		return nil, nil, fmt.Errorf("specification of stored job %s in state %s is missing", id, state.State)
	}
	rec := &JobRecord{}
	if err := cbor.Unmarshal(jobValue, rec); err != nil {
		return nil, nil, fmt.Errorf("decode job %s: %w", id, err)
	}
	if l := rec.Spec.Validate(); len(l) > 0 {
		return nil, nil, fmt.Errorf("specification of stored job %s is invalid: %s", id, l.String())
	}
	return rec, state, nil
}

// recoveredQueue returns the queue with its present settings, or else with those of the first job that was recovered in it.
func (m *Machine) recoveredQueue(stored *Queue) *Queue {
	if q, ok := m.queues[stored.Name]; ok {
		return q
	}
	q, ok := m.recoveredQueues[stored.Name]
	if !ok {
		q = stored
		m.recoveredQueues[stored.Name] = q
	}
	return q
}

// restore completes a recovered job with its steps and their progress.
func (m *Machine) restore(j *job, spec *Spec, state *StateRecord) error {
	m.insert(j, spec, state.DoneOccurrences)
	for _, s := range state.Steps {
		if err := m.recoverStep(j, s); err != nil {
			return err
		}
	}
	for _, o := range j.occurrences {
		m.markReady(o)
	}
	return nil
}

// SetUnreadable records that the store holds a job whose values this version cannot read. Its tasks are neither started nor
// stopped, and what workers list of them is not acknowledged: the owner that can read the job still needs it.
func (m *Machine) SetUnreadable(id domain.JobID) {
	m.unreadable[id] = true
	if j, ok := m.jobs[id]; ok {
		m.unpark(j)
		m.removeJob(j)
	}
	m.resumeReports()
}

// IsUnreadable reports whether the store holds the job and this version cannot read it.
func (m *Machine) IsUnreadable(id domain.JobID) bool { return m.unreadable[id] }

func (m *Machine) recoverEnded(id domain.JobID, state *StateRecord) {
	j := &job{id: id, queue: &Queue{Name: state.Queue}, team: m.teamOf(state.Team), spec: &Spec{},
		state: state.State, storedState: state.State, endedUnixMS: state.EndedUnixMS, maybeStored: true, durable: true, started: state.Started}
	m.jobs[id] = j
	m.endedJobs = append(m.endedJobs, j)
	m.keepEnded(j)
}

func (m *Machine) recoverStep(j *job, r StepRecord) error {
	o, ok := j.occurrences[r.Occurrence]
	if !ok && r.Occurrence >= 0 && r.Occurrence < j.spec.Occurrences && !j.doneOccurrences[r.Occurrence] {
		// The clock of this instance may be behind that of the one that opened the occurrence.
		o, ok = m.openOccurrence(j, r.Occurrence), true
	}
	if !ok || r.Step < 0 || r.Step >= len(o.steps) {
		return fmt.Errorf("stored state of job %s refers to occurrence %d, step %d, which does not exist", j.id, r.Occurrence, r.Step)
	}
	s := o.steps[r.Step]
	s.gangFailedRuns, s.hasFailed = r.GangFailedRuns, len(r.GangFailedRuns)+len(r.FailedRuns) > 0
	s.gangRun, s.lastRun, s.formerRun = r.LastRun, r.LastRun, r.LastRun
	if r.GangCheckpoint != "" {
		s.setCheckpoint(r.GangCheckpoint)
	}
	for i := range s.spec.Tasks {
		if c := r.Checkpoints[i]; c != "" {
			m.task(s, i).checkpoint = c
		}
		failed, crashed, abandoned := r.FailedRuns[i], r.CrashedRuns[i], r.AbandonedRuns[i]
		done := i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
		if !done && len(failed) == 0 && len(crashed) == 0 && abandoned == 0 {
			continue
		}
		t := m.task(s, i)
		t.failedRuns, t.formerAbandonedRun = failed, abandoned
		t.setCrashes(crashed)
		if done {
			m.finishTask(t)
		}
	}
	return nil
}

// FinishRecovery sorts the ended jobs by the time of their end, and the parked ones by the order in which they are loaded. It is called after the last
// RecoverJob.
func (m *Machine) FinishRecovery() {
	m.sortParked()
	sort.SliceStable(m.endedJobs, func(i, k int) bool { return m.endedJobs[i].endedUnixMS < m.endedJobs[k].endedUnixMS })
}
