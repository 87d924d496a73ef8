package sched

import (
	"fmt"

	"auburnpier/internal/core/holds"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// housekeepingIntervalMS is the interval of checks that depend on time alone. Their
// timeouts are whole seconds, so half a second of delay matters little.
const housekeepingIntervalMS = 500

type submitKey struct {
	team domain.TeamID
	key  string
}

// Machine is the state machine of one partition.
type Machine struct {
	cfg   Config
	index placement.Index
	queue policy.Queue

	// Durable state. Only apply changes it.
	seq           uint64
	jobs          map[domain.JobID]*job
	keys          map[submitKey]domain.JobID
	attempts      map[domain.AttemptID]*attempt
	health        map[domain.WorkerID]*workerHealth
	classes       map[classKey]*class
	classOrder    []classKey
	restartBucket bucket

	// Derived from the durable state. open is in order of acceptance and still contains
	// openEnded jobs that have ended; ended is in order of the end.
	open      []*job
	openEnded int
	ended     []*job
	timers    timerHeap

	// Volatile state.
	nowMS   int64
	started bool
	// ticked is set once a Tick has set nowMS in this process.
	ticked               bool
	needsRound           bool
	lastRoundMS          int64
	lastHousekeepingMS   int64
	workers              map[domain.WorkerID]*worker
	workerOrder          []*worker
	racks                map[rackKey][]*worker
	largest              domain.Resources
	teams                map[domain.TeamID]*team
	teamOrder            []*team
	teamsKnown           bool
	formerOwnerStoppedMS int64
	stopping             []*attempt
	changed              []*job
	holds                map[domain.JobID]*hold
	holdLedger           holds.Ledger
	preemptions          map[domain.JobID]*preemption
	canaries             []domain.WorkerID
	stats                Stats

	// Output since the last Ready, and output that waits for its batch to be durable.
	records         []Record
	batch           uint64
	durable         uint64
	unsentStarts    []*attempt
	unsentAcks      []pendingAck
	pendingEnds     map[domain.AttemptID]uint64
	pendingEndOrder []pendingAck
	out             output
}

// New returns an empty machine. It takes ownership of index and queue, which must be empty.
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
		holdLedger:    holds.NewLedger(),
		preemptions:   make(map[domain.JobID]*preemption),
		pendingEnds:   make(map[domain.AttemptID]uint64),
		stats:         Stats{Retries: make(map[metrics.RetryReason]uint64)},
	}
}

// Step processes one event.
func (m *Machine) Step(ev Event) Result {
	m.resumeEnds()
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
	case StartOutcomeUnknown:
		m.startOutcomeUnknown(e)
	case WorkerUnreachable:
		m.workerUnreachable(e)
	case FormerOwnerStopped:
		m.formerOwnerStoppedMS = max(m.formerOwnerStoppedMS, millis(e.At))
	case Durable:
		m.batchDurable(e.Batch)
	case TeamsChanged:
		m.teamsChanged(e)
	case AllotmentsChanged:
		m.allotmentsChanged(e)
	default:
		panic(fmt.Sprintf("sched: unknown event type %T", ev))
	}
	return Result{}
}

// resumeEnds prepares a recovered machine for its first event: it requests again the
// ends that the former owner had requested.
func (m *Machine) resumeEnds() {
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
		m.markChanged(j)
	}
}

// tick advances the time and runs the work that is due.
func (m *Machine) tick(now int64) {
	m.nowMS = max(m.nowMS, now)
	m.ticked = true
	m.fireTimers()
	m.resendStops()
	if m.nowMS-m.lastHousekeepingMS >= housekeepingIntervalMS {
		m.lastHousekeepingMS = m.nowMS
		m.housekeeping()
	}
	m.runRoundIfDue()
}

// housekeeping runs the checks that depend on time alone.
func (m *Machine) housekeeping() {
	m.checkLeaseExpiry()
	m.checkCanaries()
	m.drainLeaving()
	m.enforceLimits()
	m.expireHolds()
	m.dropEndedJobs()
	m.requestAllotments()
}

// Apply applies a record read from the journal. It must not be called after the first Step.
func (m *Machine) Apply(r Record) error {
	if m.started {
		return fmt.Errorf("cannot apply a record after the first event")
	}
	if r.Version == 0 || r.Version > RecordVersion {
		return fmt.Errorf("record has version %d, this process reads up to %d; upgrade it first",
			r.Version, RecordVersion)
	}
	return m.apply(r)
}
