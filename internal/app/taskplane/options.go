// Package taskplane runs the partitions of the task plane that this instance
// owns: it takes them over, writes the state machine's records to the journal,
// sends its calls to the workers and responds to submitters.
//
// A partition has one goroutine each for the state machine, the journal, the
// clock and the allotments, and two for each worker: one makes calls, the other
// renews the lease. They communicate over bounded channels.
package taskplane

import (
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Intervals and limits of a partition's loops.
const (
	// leaseTTL is the time to live of worker leases.
	leaseTTL = 30 * time.Second
	// renewInterval leaves two attempts before a lease expires.
	renewInterval = 10 * time.Second
	// workerCallTimeout bounds one call to a worker.
	workerCallTimeout = 3 * time.Second
	// minGroupInterval is the minimum time between two journal groups. It limits a
	// partition to 4 store writes per second.
	minGroupInterval = 250 * time.Millisecond
	// tickInterval bounds how long a placement waits for a scheduling round.
	tickInterval = 50 * time.Millisecond
	// notifyTicks is the number of ticks between two checks of the jobs that callers wait for.
	notifyTicks = 3
	// inboxLength is the maximum number of events queued for the state machine.
	inboxLength = 4096
	// batchQueueLength is the maximum number of batches queued for the journal.
	batchQueueLength = 4096
	// maxSnapshotGroups and maxSnapshotAge bound what a new owner has to replay.
	maxSnapshotGroups = 200
	maxSnapshotAge    = 60 * time.Second
	// ownershipCheckInterval is how often an idle owner checks that it was not superseded.
	ownershipCheckInterval = 10 * time.Second
	// selfFenceTimeout is longer than a store outage of one hour. See section 4.2
	// of docs/design.md.
	selfFenceTimeout = 75 * time.Minute
	// maxJournalDelay is the age of the oldest batch that is not durable at which
	// new work is refused.
	maxJournalDelay = 2 * time.Second
	// durableTimeout bounds how long a submitter waits for its job to become durable.
	durableTimeout = 10 * time.Second
	// drainGrace is the time allowed for the last group and snapshot when the
	// partition is handed over.
	drainGrace = 5 * time.Second
)

// Options holds the dependencies and settings of the task plane.
type Options struct {
	Instance domain.InstanceID
	Store    port.Store
	Workers  port.WorkerDialer
	// Allotments divides the teams' limits among the partitions.
	Allotments Allotments
	Clock      port.Clock
	Weights    policy.Weights
	// MaxHeld is the maximum fraction of a partition's capacity held for waiting jobs.
	MaxHeld float64
	// ReservationDelay is how long a job waits before capacity is held for it.
	ReservationDelay time.Duration
	Log              *zap.Logger
	Metrics          *metrics.Registry
	// NewID returns unique IDs of at most 26 characters without dots.
	NewID func() string
	// Deputies reports whether a deputy may still renew a lease of this instance.
	// It is nil if leases are not shared.
	Deputies LeaseDeputies
	// ListLag is the maximum lag of the platform's VM list.
	ListLag time.Duration
}
