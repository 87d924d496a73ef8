package sched

import (
	"time"

	"auburnpier/internal/domain"
)

// Config holds the settings of a partition's machine. Zero fields take the
// values of DefaultConfig.
type Config struct {
	Partition domain.PartitionID
	// LeaseTTL is the time to live of a worker lease.
	LeaseTTL time.Duration
	// LeaseMargin is added to LeaseTTL before an unreachable worker's lease counts as lapsed.
	LeaseMargin time.Duration
	// ListLag is how long the platform's list must lack a VM before it counts as gone.
	ListLag time.Duration
	// MemoryHeadroomPercent of each worker's memory is never reserved, because usage reports lag.
	MemoryHeadroomPercent int64
	// MaxPlacements bounds the tasks placed in one round, and so the time of one Step.
	MaxPlacements int
	// MaxMisses bounds the jobs that find no room in one round, and apart from them
	// the jobs that hold room.
	MaxMisses int
	// MaxPasses bounds the jobs that one round passes over without a search,
	// because a smaller request found no room or restarts are at their rate.
	MaxPasses int
	// MaxJobs bounds the jobs that have not ended.
	MaxJobs int
	// MaxTasksPerJob bounds the tasks of one job.
	MaxTasksPerJob int
	// MaxAttempts bounds the failed attempts of one task where the job does not say.
	MaxAttempts int
	// BackoffBase is the wait before the first retry. It doubles up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// RestartsPerSecond and RestartBurst limit restarts after a failure.
	RestartsPerSecond int64
	RestartBurst      int64
	// FailedEverywhere is the number of distinct workers after which a failing task ends.
	FailedEverywhere int
	// AvoidFor is how long a task that may start is kept off workers on which it
	// failed. Then it takes them too: a small partition may have no others.
	AvoidFor time.Duration
	// StableRun is how long a replica must run before its earlier failures are forgotten.
	StableRun time.Duration
	// QuarantineFailures failed starts in a row, of QuarantineClasses job classes, quarantine a worker.
	QuarantineFailures int
	QuarantineClasses  int
	// QuarantineWait is the first wait before a canary. It doubles up to QuarantineMax.
	QuarantineWait time.Duration
	QuarantineMax  time.Duration
	// CanaryRun is how long a canary must run without failing to end the probation.
	CanaryRun time.Duration
	// RackWindow is the time within which half of a rack becomes unreachable in a rack failure.
	RackWindow time.Duration
	// GangDelay is the wait after which one gang at a time reserves workers, of
	// whatever size it is.
	GangDelay time.Duration
	// MaxHeld is the fraction of the partition's dominant resource that other jobs
	// hold at most. Held room is idle until enough of it is free. The default is
	// that of the benchmark's counting deployment.
	MaxHeld float64
	// HoldMax is how long a job holds the same workers before it chooses again,
	// and PreemptionHold how long an urgent job holds the room it preempted.
	HoldMax        time.Duration
	PreemptionHold time.Duration
	// CheckpointGrace is the time that a checkpoint may take before the task is stopped.
	CheckpointGrace time.Duration
	// ResendAfter is the wait before a stop or checkpoint without effect is sent again.
	ResendAfter time.Duration
	// EstimateSamples is the number of peaks kept for each job class, and
	// EstimateMin the number from which they count.
	EstimateSamples int
	EstimateMin     int
	// MaxClasses bounds the job classes with estimates.
	MaxClasses int
	// MaxEvents bounds the history of one job.
	MaxEvents int
	// KeepEnded is how long an ended job answers queries and idempotency keys,
	// and MaxEnded bounds the ended jobs kept.
	KeepEnded time.Duration
	MaxEnded  int
}

// DefaultConfig returns the settings of production.
func DefaultConfig() Config {
	return Config{
		LeaseTTL:              30 * time.Second,
		LeaseMargin:           5 * time.Second,
		ListLag:               30 * time.Second,
		MemoryHeadroomPercent: 5,
		MaxPlacements:         500,
		MaxMisses:             64,
		MaxPasses:             4_000,
		MaxJobs:               100_000,
		MaxTasksPerJob:        10_000,
		MaxAttempts:           5,
		BackoffBase:           time.Second,
		BackoffMax:            time.Minute,
		RestartsPerSecond:     20,
		RestartBurst:          40,
		FailedEverywhere:      3,
		AvoidFor:              30 * time.Second,
		StableRun:             10 * time.Minute,
		QuarantineFailures:    3,
		QuarantineClasses:     2,
		QuarantineWait:        30 * time.Second,
		QuarantineMax:         30 * time.Minute,
		CanaryRun:             20 * time.Second,
		RackWindow:            30 * time.Second,
		GangDelay:             30 * time.Second,
		MaxHeld:               0.12,
		HoldMax:               time.Minute,
		PreemptionHold:        10 * time.Second,
		CheckpointGrace:       2 * time.Second,
		ResendAfter:           time.Second,
		EstimateSamples:       64,
		EstimateMin:           5,
		MaxClasses:            2_000,
		MaxEvents:             24,
		KeepEnded:             15 * time.Minute,
		MaxEnded:              20_000,
	}
}

// withDefaults fills zero fields from DefaultConfig.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.LeaseTTL, d.LeaseTTL)
	setDefault(&c.LeaseMargin, d.LeaseMargin)
	setDefault(&c.ListLag, d.ListLag)
	setDefault(&c.MemoryHeadroomPercent, d.MemoryHeadroomPercent)
	setDefault(&c.MaxPlacements, d.MaxPlacements)
	setDefault(&c.MaxMisses, d.MaxMisses)
	setDefault(&c.MaxPasses, d.MaxPasses)
	setDefault(&c.MaxJobs, d.MaxJobs)
	setDefault(&c.MaxTasksPerJob, d.MaxTasksPerJob)
	setDefault(&c.MaxAttempts, d.MaxAttempts)
	setDefault(&c.BackoffBase, d.BackoffBase)
	setDefault(&c.BackoffMax, d.BackoffMax)
	setDefault(&c.RestartsPerSecond, d.RestartsPerSecond)
	setDefault(&c.RestartBurst, d.RestartBurst)
	setDefault(&c.FailedEverywhere, d.FailedEverywhere)
	setDefault(&c.AvoidFor, d.AvoidFor)
	setDefault(&c.StableRun, d.StableRun)
	setDefault(&c.QuarantineFailures, d.QuarantineFailures)
	setDefault(&c.QuarantineClasses, d.QuarantineClasses)
	setDefault(&c.QuarantineWait, d.QuarantineWait)
	setDefault(&c.QuarantineMax, d.QuarantineMax)
	setDefault(&c.CanaryRun, d.CanaryRun)
	setDefault(&c.RackWindow, d.RackWindow)
	setDefault(&c.GangDelay, d.GangDelay)
	setDefault(&c.MaxHeld, d.MaxHeld)
	setDefault(&c.HoldMax, d.HoldMax)
	setDefault(&c.PreemptionHold, d.PreemptionHold)
	setDefault(&c.CheckpointGrace, d.CheckpointGrace)
	setDefault(&c.ResendAfter, d.ResendAfter)
	setDefault(&c.EstimateSamples, d.EstimateSamples)
	setDefault(&c.EstimateMin, d.EstimateMin)
	setDefault(&c.MaxClasses, d.MaxClasses)
	setDefault(&c.MaxEvents, d.MaxEvents)
	setDefault(&c.KeepEnded, d.KeepEnded)
	setDefault(&c.MaxEnded, d.MaxEnded)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
