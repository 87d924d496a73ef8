package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/core/approvals"
	"auburnpier/internal/domain"
)

// Config holds the constants of a machine. All durations are milliseconds.
type Config struct {
	// Epoch is the fence of this owner.
	Epoch int64
	// LeaseMS is how far ahead worker leases are extended.
	LeaseMS int64
	// FormerLeaseMS bounds how long tasks of a former owner may run on a worker
	// that this owner cannot reach, counted from the takeover.
	FormerLeaseMS int64
	// StartLimitMS bounds how late an unanswered start may take effect.
	StartLimitMS int64
	// GangWaitMS is how long a gang member waits for the others at its worker.
	GangWaitMS int64
	// StopMS is how long a worker may take to stop a task.
	StopMS int64
	// RetentionMS is how long the state of an ended job is kept.
	RetentionMS int64
	// LimitOvershoot is the part of a team's limit by which it may be exceeded, for
	// a gang that is a little wider than the limit and runs alone.
	LimitOvershoot float64
	// FarFactor multiplies the run time off the data's rack or across racks.
	FarFactor float64
}

// WorkerInfo is what the platform's registry says of a worker.
type WorkerInfo struct {
	ID       domain.WorkerID
	Address  string
	Zone     domain.ZoneID
	Service  string
	Rack     domain.RackID
	Labels   []string
	Capacity domain.Resources
	BornMS   int64
	Draining bool
	// LeavesInMS is the least time that a draining worker still runs.
	LeavesInMS int64
}

// Same reports whether the worker is described as before. The time that a
// draining worker has left is taken when it begins to drain and not compared.
func (w WorkerInfo) Same(o WorkerInfo) bool {
	return w.ID == o.ID && w.Address == o.Address && w.Zone == o.Zone && w.Service == o.Service && w.Rack == o.Rack &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.BornMS == o.BornMS && w.Draining == o.Draining
}

// Machine decides for one cell. It is used by one goroutine.
type Machine struct {
	cfg     Config
	nowMS   int64
	unixMS  int64
	queues  map[domain.QueueID]*Queue
	teams   map[domain.TeamID]*team
	workers map[domain.WorkerID]*worker
	order   []*worker
	// slots is the number of worker slots given out.
	slots    int
	pass     map[string]*servicePass
	lastPass int64
	jobs     map[domain.JobID]*job
	// ready holds steps whose turn has come and that have waiting tasks.
	ready     []*step
	recurring map[domain.JobID]*job
	ended     []*job
	// suspects are workers of a former owner that have not reported.
	suspects map[domain.WorkerID]int64
	// membersChanged tells that the stored set of workers is out of date.
	membersChanged bool
	// membersWriting tells that a write of the set is under way.
	membersWriting bool
	forgotten      []domain.JobID
	dirty          []*job
	approvals      map[domain.QueueID]*approvalStats
	approvers      approvals.Pool
	// loads holds the load of each service as of loadsMS.
	loads   map[string]*load
	loadsMS int64
	// approverAtMS is when a step that found no instance free may find one, zero for none.
	approverAtMS int64
	// imagePaces is the pace at which leftover tasks of an image did not disturb
	// serving tasks.
	imagePaces          map[string]float64
	lastAges, lastLapse int64
	out                 Output
	needsPass           bool
	lastHungMS          int64
}

// New returns an empty machine.
func New(cfg Config, nowMS, unixMS int64) *Machine {
	return &Machine{
		cfg: cfg, nowMS: nowMS, unixMS: unixMS,
		queues:     make(map[domain.QueueID]*Queue),
		teams:      make(map[domain.TeamID]*team),
		workers:    make(map[domain.WorkerID]*worker),
		jobs:       make(map[domain.JobID]*job),
		recurring:  make(map[domain.JobID]*job),
		suspects:   make(map[domain.WorkerID]int64),
		approvals:  make(map[domain.QueueID]*approvalStats),
		imagePaces: make(map[string]float64),
	}
}

// SetTime sets the time at which what follows has happened. Earlier times are ignored.
func (m *Machine) SetTime(nowMS, unixMS int64) {
	m.nowMS = max(m.nowMS, nowMS)
	m.unixMS = unixMS
}

// Advance sets the time and does what is due.
func (m *Machine) Advance(nowMS, unixMS int64) {
	m.SetTime(nowMS, unixMS)
	if m.nowMS-m.lastLapse >= lapseIntervalMS {
		m.lastLapse = m.nowMS
		m.lapse()
	}
	m.openOccurrences()
	m.watchRuns()
	if m.approverAtMS > 0 && m.nowMS >= m.approverAtMS {
		m.approverAtMS = 0
		m.needsPass = true
	}
	if m.nowMS-m.lastAges >= agingMS {
		m.lastAges = m.nowMS
		m.forgetOld()
		m.noteWaits()
		m.needsPass = true
	}
}

// lapseIntervalMS is how late a lapsed worker may be noticed.
const lapseIntervalMS = 50

// agingMS is the interval of checks that bounds of whole seconds depend on.
const agingMS = 250

// Configure replaces the queues and teams.
func (m *Machine) Configure(queues []Queue, teams []Team) {
	m.queues = make(map[domain.QueueID]*Queue, len(queues))
	for i := range queues {
		m.queues[queues[i].Name] = &queues[i]
	}
	for _, t := range m.teams {
		t.known = false
	}
	for _, row := range teams {
		t := m.teamOf(row.ID)
		t.Team, t.known = row, true
	}
	for _, j := range m.jobs {
		if q, ok := m.queues[j.queue.Name]; ok && !j.state.Terminal() {
			j.queue = q
		}
	}
	m.needsPass = true
}

func (m *Machine) teamOf(id domain.TeamID) *team {
	t, ok := m.teams[id]
	if !ok {
		t = &team{Team: Team{ID: id}, tokensMS: m.nowMS, tokens: -1, demand: make(map[int]demand)}
		m.teams[id] = t
	}
	return t
}

// ListWorkers takes the registry's present list.
func (m *Machine) ListWorkers(list []WorkerInfo) {
	seen := make(map[domain.WorkerID]bool, len(list))
	before := len(m.order)
	for _, info := range list {
		seen[info.ID] = true
		m.register(info)
	}
	if len(m.order) > before {
		m.sortWorkers()
	}
	for _, w := range m.order {
		if w.registered && !seen[w.id] {
			w.registered = false
			m.out.note("worker_unlisted", w.id, "")
		}
	}
	m.needsPass = true
}

func (m *Machine) register(info WorkerInfo) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = m.addWorker(info.ID)
		m.membersChanged = true
	}
	if ok && (w.address != info.Address || w.capacity != info.Capacity) {
		// A successor would ask, and find gone, the worker at its former address.
		w.recorded = false
		m.membersChanged = true
	}
	if info.Draining && !w.draining {
		m.out.note("worker_draining", w.id, "")
		w.leavesMS = m.nowMS + info.LeavesInMS
	}
	w.registered = true
	w.address, w.zone, w.service, w.rack = info.Address, info.Zone, info.Service, info.Rack
	w.labels, w.capacity, w.draining = info.Labels, info.Capacity, info.Draining
}

// Member is a worker that may have tasks, as the store names it. With its
// address a successor can ask it, or learn that it is gone, also where the
// registry does not list it any more.
type Member struct {
	ID       domain.WorkerID  `cbor:"1,keyasint"`
	Address  string           `cbor:"2,keyasint,omitempty"`
	Zone     domain.ZoneID    `cbor:"3,keyasint,omitempty"`
	Capacity domain.Resources `cbor:"4,keyasint"`
}

// SuspectWorkers names workers that the former owner may have given tasks.
func (m *Machine) SuspectWorkers(members []Member) {
	for _, member := range members {
		w, ok := m.workers[member.ID]
		if ok && w.contacted {
			continue
		}
		m.suspects[member.ID] = m.nowMS + m.cfg.FormerLeaseMS
		if !ok && member.Address != "" {
			w = m.addWorker(member.ID)
			w.address, w.zone, w.capacity, w.recorded = member.Address, member.Zone, member.Capacity, true
		}
	}
	m.sortWorkers()
}

func (m *Machine) addWorker(id domain.WorkerID) *worker {
	w := &worker{id: id, runs: make(map[TaskID]*run), slowness: 1, lastMS: m.nowMS,
		deadMS: m.nowMS + m.cfg.FormerLeaseMS, slot: m.slots}
	m.workers[id] = w
	m.slots++
	m.order = append(m.order, w)
	return w
}

func (m *Machine) sortWorkers() {
	slices.SortFunc(m.order, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
}

// WorkerGone tells that the process of a worker is certainly not there any
// more, so that all that ran on it has ended. An order without an answer may
// still reach the next process at its address; its run is kept until its limit.
func (m *Machine) WorkerGone(id domain.WorkerID) {
	if _, ok := m.suspects[id]; ok {
		delete(m.suspects, id)
		m.membersChanged = true
	}
	m.needsPass = true
	w, ok := m.workers[id]
	if !ok {
		return
	}
	// It gets work again once a look was answered.
	w.contacted, w.unanswered = false, true
	ended := func(r *run) bool { return r.confirmedMS > 0 }
	if m.dropRuns(w, ended) > 0 {
		m.out.note("worker_gone", w.id, "")
	}
	if len(w.runs) == 0 {
		w.deadMS = min(w.deadMS, m.nowMS)
	}
}

// Suspects returns the number of workers that may still run tasks of a former owner unseen.
func (m *Machine) Suspects() int { return len(m.suspects) }

// lapse ends what ran on workers whose lease has certainly expired.
func (m *Machine) lapse() {
	for id, until := range m.suspects {
		if m.nowMS >= until {
			delete(m.suspects, id)
			m.membersChanged = true
			m.out.note("suspect_lapsed", id, "")
			m.needsPass = true
		}
	}
	kept := m.order[:0]
	for _, w := range m.order {
		// A worker that was not looked at in time, by an owner short of processor
		// time, still lists how its runs ended; only one that does not answer is given up.
		if m.nowMS >= w.deadMS && len(w.runs) > 0 && w.unanswered {
			m.out.note("worker_lapsed", w.id, "")
			m.recordGivenUp(w)
			m.dropRuns(w, anyRun)
		}
		if !w.registered && len(w.runs) == 0 && m.nowMS >= w.deadMS {
			delete(m.workers, w.id)
			w.loseEnds()
			m.membersChanged = true
			m.out.Forgotten = append(m.out.Forgotten, w.id)
			continue
		}
		kept = append(kept, w)
	}
	m.order = kept
}

// recordGivenUp has the store tell later owners which runs are given up. The
// worker may be back and list the success of one of them after a second run was
// started, has ended and is forgotten.
func (m *Machine) recordGivenUp(w *worker) {
	for _, r := range w.runs {
		t := r.task
		if j := t.step.job; !j.state.Terminal() && !t.step.spec.Lasting && !t.step.spec.CopiesAllowed {
			m.markDirty(j)
			t.givenUp, t.givenUpVersion = max(t.givenUp, r.number), j.version
		}
	}
}

func anyRun(*run) bool { return true }

// sortedRuns returns the worker's runs in the order of their tasks.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.task.id(), b.task.id()) })
	return runs
}

// dropRuns ends the runs of a worker that have certainly ended, and counts them.
func (m *Machine) dropRuns(w *worker, ended func(*run) bool) int {
	runs := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !ended(r) })
	if w.givenUp == nil {
		w.givenUp = make(map[TaskID]int)
	}
	for _, r := range runs {
		w.givenUp[r.task.id()] = r.number
		m.endRun(r, EndLapsed, "")
	}
	return len(runs)
}

func compareTasks(a, b TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// CompletedUnstored reports whether a job has completed, and its workers list
// the ends of its tasks until these are stored, to a later owner as well. A
// worker that leaves or is silent may be gone before, and a later owner would
// run the tasks again.
func (m *Machine) CompletedUnstored(id domain.JobID) bool {
	j, ok := m.jobs[id]
	if !ok || !j.durable || j.state != Completed || j.endsLost {
		return false
	}
	for _, w := range m.order {
		for _, p := range w.pending {
			if p.job == j && (w.draining || w.emptied || !w.registered || w.unanswered || !m.heard(w)) {
				return false
			}
		}
	}
	return true
}

// loseEnds notes that the worker lists its ends no longer.
func (w *worker) loseEnds() {
	for _, p := range w.pending {
		p.job.endsLost = p.job.endsLost || p.job.storedVersion < p.version
	}
	w.pending = nil
}

// Known reports the state that the store holds for a job.
func (m *Machine) Known(id domain.JobID) (State, domain.TeamID, bool) {
	j, ok := m.jobs[id]
	if !ok || !j.durable {
		return 0, "", false
	}
	return j.shownState.Shown(j.everActive), j.team.ID, true
}

// Waiting counts the accepted jobs of a queue of which no task has started.
func (m *Machine) Waiting(queue domain.QueueID) int {
	n := 0
	for _, j := range m.jobs {
		if j.queue.Name == queue && j.durable && !j.everActive && !j.state.Terminal() && !j.spec.Recurring() {
			n++
		}
	}
	return n
}

func (m *Machine) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j)
	}
}

// forgetOld drops jobs that ended longer than the retention ago.
func (m *Machine) forgetOld() {
	n := 0
	for ; n < len(m.ended) && m.unixMS-m.ended[n].endedUnix > m.cfg.RetentionMS; n++ {
		j := m.ended[n]
		delete(m.jobs, j.id)
		m.forgotten = append(m.forgotten, j.id)
	}
	clear(m.ended[:n])
	m.ended = m.ended[n:]
}
