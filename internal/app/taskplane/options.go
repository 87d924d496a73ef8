// Package taskplane runs the partitions of the task plane that this instance
// owns: it takes them over, makes the machine's records durable, carries its
// messages to the workers and answers submitters.
//
// Each duty of a partition has one goroutine: the machine, the journal, the
// clock, and one for each worker. They are joined by bounded channels.
package taskplane

import (
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Intervals and bounds of a partition's loops.
const (
	// leaseTTL is the time to live of worker leases.
	leaseTTL = 30 * time.Second
	// renewInterval leaves two tries before a lease lapses.
	renewInterval = 10 * time.Second
	// workerCallTimeout bounds one call to a worker.
	workerCallTimeout = 3 * time.Second
	// groupInterval is the least time between two journal groups, so that a
	// partition costs the store at most 4 writes a second.
	groupInterval = 250 * time.Millisecond
	// tickInterval bounds how long a placement waits for its round.
	tickInterval = 50 * time.Millisecond
	// notifyTicks is the number of ticks between two looks at the jobs that callers wait for.
	notifyTicks = 3
	// inboxLength bounds the events that wait for the machine.
	inboxLength = 4096
	// batchQueueLength bounds the batches that wait for the journal.
	batchQueueLength = 4096
	// maxSnapshotGroups and maxSnapshotAge bound what a successor replays.
	maxSnapshotGroups = 200
	maxSnapshotAge    = 60 * time.Second
	// confirmInterval is how often an idle owner checks that it was not superseded.
	confirmInterval = 10 * time.Second
	// selfFenceBound outlasts a store outage of an hour. See section 4.2 of docs/design.md.
	selfFenceBound = 75 * time.Minute
	// stallBound is how old the oldest batch that is not durable may be before
	// new work is refused.
	stallBound = 2 * time.Second
	// confirmTimeout bounds how long a submitter waits for its job to be durable.
	confirmTimeout = 10 * time.Second
	// drainGrace is the time that the last group and snapshot may take at a hand-over.
	drainGrace = 5 * time.Second
)

// Options are what the task plane needs from its surroundings.
type Options struct {
	Instance domain.InstanceID
	Store    port.Store
	Workers  port.WorkerDialer
	// Allotments divides the teams' limits over the partitions.
	Allotments Allotments
	Clock      port.Clock
	Weights    policy.Weights
	// MaxHeld is the part of a partition that waiting jobs may hold.
	MaxHeld float64
	// ReservationDelay is how long a job waits until room is held for it.
	ReservationDelay time.Duration
	Log              *zap.Logger
	Metrics          *metrics.Registry
	// NewID returns unique IDs of 26 characters or fewer without a dot.
	NewID func() string
	// Deputies tells whether a deputy may renew a lease of this instance. It may
	// be nil where leases are not shared.
	Deputies LeaseDeputies
	// ListLag is how far the platform's list may lag behind.
	ListLag time.Duration
}
