package sched

import (
	"fmt"

	"auburnpier/internal/core/holds"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// housekeepingMS is the interval of checks that depend on time alone. Their
// bounds are whole seconds, so half a second adds little to them.
const housekeepingMS = 500

type submitKey struct {
	team domain.TeamID
	key  string
}

// Machine is the state machine of one partition.
type Machine struct {
	cfg   Config
	index placement.Index
	queue policy.Queue

	// Durable state. It changes in apply only.
	seq           uint64
	jobs          map[domain.JobID]*job
	keys          map[submitKey]domain.JobID
	attempts      map[domain.AttemptID]*attempt
	health        map[domain.WorkerID]*workerHealth
	classes       map[classKey]*class
	classOrder    []classKey
	restartBucket bucket

	// Derived from the durable state. Open jobs are in order of acceptance and may
	// include openEnded jobs that ended; ended jobs are in order of their end.
	open      []*job
	openEnded int
	ended     []*job
	timers    timerHeap

	// Volatile state.
	now     int64
	started bool
	// ticked tells that now is a time of this process.
	ticked        bool
	dirty         bool
	lastRound     int64
	lastHouse     int64
	workers       map[domain.WorkerID]*worker
	workerOrder   []*worker
	racks         map[rackKey][]*worker
	largest       domain.Resources
	teams         map[domain.TeamID]*team
	teamOrder     []*team
	teamsKnown    bool
	formerStopped int64
	stopping      []*attempt
	touched       []*job
	holds         map[domain.JobID]*hold
	held          holds.Ledger
	preemptions   map[domain.JobID]*preemption
	canaries      []domain.WorkerID
	stats         Stats

	// Output since the last Ready, and what waits for its batch.
	records     []Record
	batch       uint64
	durable     uint64
	unsent      []*attempt
	unacked     []pendingAck
	pendingEnds map[domain.AttemptID]uint64
	endOrder    []pendingAck
	out         output
}

// New returns an empty machine that owns index and queue, which must be empty.
func New(cfg Config, index placement.Index, queue policy.Queue) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:           cfg,
		index:         index,
		queue:         queue,
		jobs:          make(map[domain.JobID]*job),
		keys:          make(map[submitKey]domain.JobID),
		attempts:      make(map[domain.AttemptID]*attempt),
		health:        make(map[domain.WorkerID]*workerHealth),
		classes:       make(map[classKey]*class),
		restartBucket: bucket{Milli: cfg.RestartBurst * 1000},
		workers:       make(map[domain.WorkerID]*worker),
		racks:         make(map[rackKey][]*worker),
		teams:         make(map[domain.TeamID]*team),
		holds:         make(map[domain.JobID]*hold),
		held:          holds.NewLedger(),
		preemptions:   make(map[domain.JobID]*preemption),
		pendingEnds:   make(map[domain.AttemptID]uint64),
		stats:         Stats{Retries: make(map[metrics.RetryReason]uint64)},
	}
}

// Step handles one event.
func (m *Machine) Step(ev Event) Result {
	m.resume()
	switch e := ev.(type) {
	case Tick:
		m.tick(millis(e.Now))
	case Submit:
		return m.submit(e)
	case Cancel:
		return m.cancel(e)
	case WorkersListed:
		m.workersListed(e)
	case LeaseAcquired:
		m.leaseAcquired(e)
	case LeaseRenewed:
		m.leaseRenewed(e)
	case LeaseRefused:
		m.leaseRefused(e)
	case StartAccepted:
		m.startAccepted(e)
	case StartUnknown:
		m.startUnknown(e)
	case WorkerUnreachable:
		m.workerUnreachable(e)
	case FormerOwnerStopped:
		m.formerStopped = max(m.formerStopped, millis(e.At))
	case Durable:
		m.batchDurable(e.Batch)
	case TeamsChanged:
		m.teamsChanged(e)
	case AllotmentsChanged:
		m.allotmentsChanged(e)
	default:
		panic(fmt.Sprintf("sched: event %T is not handled", ev))
	}
	return Result{}
}

// resume prepares a recovered machine for its first event: ends that were asked
// for by the former owner are asked for again.
func (m *Machine) resume() {
	if m.started {
		return
	}
	m.started = true
	for _, a := range m.sortedAttempts() {
		switch {
		case a.j.Cancelled:
			m.requestEnd(a, CauseCancelled)
		case a.j.GangRestart || a.j.GangFailed:
			m.requestEnd(a, CauseGang)
		}
	}
	for _, j := range m.open {
		m.touch(j)
	}
}

// tick moves the time and does what is due.
func (m *Machine) tick(now int64) {
	m.now = max(m.now, now)
	m.ticked = true
	m.fireTimers()
	m.resendStops()
	if m.now-m.lastHouse >= housekeepingMS {
		m.lastHouse = m.now
		m.housekeeping()
	}
	m.maybeRound()
}

// housekeeping runs the checks that depend on time alone.
func (m *Machine) housekeeping() {
	m.checkLapses()
	m.checkProbations()
	m.drainLeaving()
	m.enforceLimits()
	m.checkHolds()
	m.dropEndedJobs()
	m.wishes()
}

// Apply applies a record read back from the journal. It is used only before the first Step.
func (m *Machine) Apply(r Record) error {
	if m.started {
		return fmt.Errorf("records are applied before the first event only")
	}
	if r.Version == 0 || r.Version > RecordVersion {
		return fmt.Errorf("record has version %d, this process reads up to %d; upgrade it first",
			r.Version, RecordVersion)
	}
	return m.apply(r)
}
