package jobs

// Shares of a VM's memory.
const (
	// jobsMemoryShare is for jobs that have not ended, and ended ones that are kept.
	jobsMemoryShare = 0.25
	// tasksMemoryShare is for tasks that have a state of their own, most of which run.
	tasksMemoryShare = 0.15
	// unstartedJobsShare is the part of jobsMemoryShare that jobs without a started task may take when they are read back. The rest is left
	// to those whose tasks run.
	unstartedJobsShare = 0.8
)

// Sizes in bytes, at least what the runtime allocates.
const (
	jobBytes      = 1300
	endedJobBytes = 1300
	// parkedJobBytes is what a job takes of which only the state is held.
	parkedJobBytes = 500
	// stepBytes is the specification and the state of a step, referenceBytes a reference to an earlier one with what the runtime rounds up, and
	// textBytes what each byte of text takes: once in the specification and, until the job is stored, once in its record.
	stepBytes = 1200
	// observedStepBytes is what the observations of a step take in addition, by which speeds and interference are learned: its timings and the means
	// beside maxNeighbours images.
	observedStepBytes = 1200
	referenceBytes    = 9
	textBytes         = 2
	// taskBytes is what a task takes that waits or has succeeded, activeTaskBytes one with a state of its own and a run.
	taskBytes       = 5
	activeTaskBytes = 1000
	// builtTaskBytes is what a waiting task takes in versions that build all tasks of a job at once. An upgrade or a rollback may make one
	// of them the next owner.
	builtTaskBytes = 176
)

// size is the memory that a job takes.
type size struct {
	// held is what this version takes, admitted what any version takes that may own the cell next.
	held, admitted int64
}

func (s size) add(o size) size { return size{s.held + o.held, s.admitted + o.admitted} }
func (s size) sub(o size) size { return size{s.held - o.held, s.admitted - o.admitted} }

// sizeOf returns the memory that a job takes until it ends. The numbers and texts are its caller's.
func (m *Machine) sizeOf(spec *Spec) size {
	perStep := int64(stepBytes)
	if m.cfg.Features.WorkerSpeeds || m.cfg.Features.SeparateInterference {
		perStep += observedStepBytes
	}
	var fixed, tasks int64
	text := int64(len(spec.Payload))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		fixed += perStep + referenceBytes*int64(len(s.After))
		text += int64(len(s.Label) + len(s.DataRack) + len(s.Image))
		tasks += int64(s.Tasks)
	}
	occurrences := int64(1)
	if spec.Recurring() {
		occurrences = int64(min(spec.Occurrences, maxOpenOccurrences))
	}
	fixed = jobBytes + text*textBytes + fixed*occurrences
	tasks *= occurrences
	return size{held: fixed + tasks*taskBytes, admitted: fixed + tasks*builtTaskBytes}
}

// memory tracks the memory of jobs.
type memory struct {
	// vmBytes is the memory of this owner's VM, and leastBytes that of the smallest VM that may own the cell. Zero means no bound.
	vmBytes, leastBytes int64
	// open is what jobs take that have not ended, ended what those take that have.
	open  size
	ended int64
	// freedBytes counts what ended jobs have freed since sinceMS, freedPerMS is the smoothed rate.
	freedBytes, sinceMS int64
	freedPerMS          float64
}

// SetLeastMemory bounds the memory of jobs by that of another VM, in bytes, that may own the cell.
func (m *Machine) SetLeastMemory(bytes int64) {
	if m.memory.leastBytes > 0 {
		m.memory.leastBytes = min(m.memory.leastBytes, bytes)
	}
}

func share(bytes int64, of float64) int64 { return int64(float64(bytes) * of) }

// resize changes the memory that an open job takes.
func (m *Machine) resize(j *job, to size) {
	if freed := j.size.admitted - to.admitted; freed > 0 {
		m.memory.freedBytes += freed
	}
	m.memory.open = m.memory.open.sub(j.size).add(to)
	j.team.openBytes += to.admitted - j.size.admitted
	j.size = to
}

// keepEnded counts the memory that is left of an ended job until it is evicted.
func (m *Machine) keepEnded(j *job) {
	m.resize(j, size{})
	j.kept = true
	m.memory.ended += endedJobBytes
	j.team.endedBytes += endedJobBytes
}

// dropJob counts a job that is no longer held.
func (m *Machine) dropJob(j *job) {
	for _, o := range j.occurrences {
		m.freeTasks(o)
	}
	m.resize(j, size{})
	if j.kept {
		j.kept = false
		m.memory.ended -= endedJobBytes
		j.team.endedBytes -= endedJobBytes
	}
}

// Parameters of the rate at which jobs free memory.
const (
	freedIntervalMS = 1000
	freedWeight     = 0.2
)

// updateFreedRate updates the smoothed rate at which jobs free memory.
func (m *Machine) updateFreedRate() {
	u := &m.memory
	ms := m.nowMS - u.sinceMS
	if ms < freedIntervalMS {
		return
	}
	u.freedPerMS += freedWeight * (float64(u.freedBytes)/float64(ms) - u.freedPerMS)
	u.freedBytes, u.sinceMS = 0, m.nowMS
}

// maxMemoryRetryMS bounds the retry delay while no job has freed memory for a while.
const maxMemoryRetryMS = 30_000

// refuseForMemory refuses a job whose memory, together with that of the accepted ones, the smallest VM does not have. The open jobs of a team may
// take as much as they leave to the others, so that a flood of one team leaves half of the memory to them, and floods of two teams a third. With
// its ended jobs a team may take half of all.
func (m *Machine) refuseForMemory(t *team, spec *Spec) (refusal Refusal, retryMS int64) {
	if m.memory.leastBytes == 0 {
		return NotRefused, 0
	}
	limit, need := share(m.memory.leastBytes, jobsMemoryShare), m.sizeOf(spec).admitted
	if 2*need > limit {
		return RefusedTooLarge, neverFitsRetryMS
	}
	missing := max(t.openBytes+need-(limit-m.memory.ended-m.memory.open.admitted-need), t.openBytes+t.endedBytes+need-limit/2)
	if missing <= 0 {
		return NotRefused, 0
	}
	retry := float64(maxMemoryRetryMS)
	if m.memory.freedPerMS > 0 {
		retry = min(retry, float64(missing)/m.memory.freedPerMS)
	}
	return RefusedMemory, max(minRetryMS, int64(retry))
}

// mayActivate reports whether so many more tasks may be given a state of their own on the smallest VM.
func (m *Machine) mayActivate(n int) bool {
	return m.memory.leastBytes == 0 || int64(m.activeTasks+n)*activeTaskBytes <= share(m.memory.leastBytes, tasksMemoryShare)
}

// MemoryView shows what jobs take of the owner's memory, in bytes.
type MemoryView struct {
	// Admitted counts towards Limit, beyond which jobs are refused. Held is what the present owner takes.
	Admitted int64 `json:"admitted"`
	Held     int64 `json:"held"`
	Limit    int64 `json:"limit"`
	// ActiveTasks is the number of tasks that have a state of their own, and ParkedJobs the number of jobs of which only the state is held.
	ActiveTasks int `json:"active_tasks"`
	ParkedJobs  int `json:"parked_jobs"`
}

func (m *Machine) memoryView() MemoryView {
	parkedBytes := int64(m.parked.count) * parkedJobBytes
	return MemoryView{Admitted: m.memory.open.admitted + m.memory.ended, Held: m.memory.open.held + m.memory.ended + parkedBytes,
		Limit: share(m.memory.leastBytes, jobsMemoryShare), ActiveTasks: m.activeTasks, ParkedJobs: m.parked.count}
}
