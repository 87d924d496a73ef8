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
	// LeaseMargin is added to LeaseTTL before an unreachable worker's lease counts as expired.
	LeaseMargin time.Duration
	// ListLag is how long a VM must be missing from the platform's list before it counts as removed.
	ListLag time.Duration
	// MemoryHeadroomPercent of each worker's memory is never reserved, because usage reports lag.
	MemoryHeadroomPercent int64
	// MaxPlacements bounds the tasks placed in one scheduling round, and so the duration of one Step.
	MaxPlacements int
	// MaxFailedSearches bounds the jobs for which one round searches without finding free
	// capacity and, as a separate count, the jobs that have a hold.
	MaxFailedSearches int
	// MaxSkippedJobs bounds the jobs that one round skips without a search, because a
	// smaller request found no free capacity or the restart rate is used up.
	MaxSkippedJobs int
	// MaxJobs bounds the jobs that have not ended.
	MaxJobs int
	// MaxTasksPerJob bounds the tasks of one job.
	MaxTasksPerJob int
	// MaxAttempts bounds the failed attempts of one task if the job sets no limit.
	MaxAttempts int
	// BackoffBase is the wait before the first retry. It doubles up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// RestartsPerSecond and RestartBurst limit restarts after a failure.
	RestartsPerSecond int64
	RestartBurst      int64
	// MaxFailedWorkers is the number of distinct workers on which a task fails before
	// it is not retried any more.
	MaxFailedWorkers int
	// AvoidPeriod is how long a task that is ready to start avoids workers on which it
	// failed. After that it may use them again: a small partition may have no others.
	AvoidPeriod time.Duration
	// StableRun is how long a replica must run before its failure count is reset.
	StableRun time.Duration
	// A worker is quarantined after QuarantineFailures consecutive failures of tasks
	// from at least QuarantineClasses job classes.
	QuarantineFailures int
	QuarantineClasses  int
	// QuarantineWait is the first wait before a canary task is placed. It doubles up to QuarantineMax.
	QuarantineWait time.Duration
	QuarantineMax  time.Duration
	// CanaryRun is how long a canary must run without failing to end the quarantine.
	CanaryRun time.Duration
	// RackWindow is the period within which half of a rack's workers must become
	// unreachable for a rack failure.
	RackWindow time.Duration
	// GangDelay is how long a gang waits before it may hold workers regardless of
	// MaxHeld. Only one gang at a time may do so.
	GangDelay time.Duration
	// MaxHeld is the largest fraction of the partition's dominant resource that all
	// jobs except that gang may hold together. Held capacity stays idle until enough of
	// it is free. The default is that of the benchmark's counting deployment.
	MaxHeld float64
	// MaxHoldTime is how long a job holds the same workers before it chooses again, and
	// PreemptionHold how long an urgent job holds the capacity that it preempted.
	MaxHoldTime    time.Duration
	PreemptionHold time.Duration
	// CheckpointGrace is the time that a checkpoint may take before the task is stopped.
	CheckpointGrace time.Duration
	// ResendAfter is the delay before a stop or checkpoint without effect is sent again.
	ResendAfter time.Duration
	// EstimateSamples is the number of usage samples kept for each job class, and
	// MinEstimateSamples the number from which they are used.
	EstimateSamples    int
	MinEstimateSamples int
	// MaxClasses bounds the job classes with estimates.
	MaxClasses int
	// MaxEvents bounds the history of one job.
	MaxEvents int
	// EndedRetention is how long an ended job remains available to queries and idempotency
	// checks, and MaxEnded bounds the ended jobs kept.
	EndedRetention time.Duration
	MaxEnded       int
}

// DefaultConfig returns the production settings.
func DefaultConfig() Config {
	return Config{
		LeaseTTL:              30 * time.Second,
		LeaseMargin:           5 * time.Second,
		ListLag:               30 * time.Second,
		MemoryHeadroomPercent: 5,
		MaxPlacements:         500,
		MaxFailedSearches:     64,
		MaxSkippedJobs:        4_000,
		MaxJobs:               100_000,
		MaxTasksPerJob:        10_000,
		MaxAttempts:           5,
		BackoffBase:           time.Second,
		BackoffMax:            time.Minute,
		RestartsPerSecond:     20,
		RestartBurst:          40,
		MaxFailedWorkers:      3,
		AvoidPeriod:           30 * time.Second,
		StableRun:             10 * time.Minute,
		QuarantineFailures:    3,
		QuarantineClasses:     2,
		QuarantineWait:        30 * time.Second,
		QuarantineMax:         30 * time.Minute,
		CanaryRun:             20 * time.Second,
		RackWindow:            30 * time.Second,
		GangDelay:             30 * time.Second,
		MaxHeld:               0.12,
		MaxHoldTime:           time.Minute,
		PreemptionHold:        10 * time.Second,
		CheckpointGrace:       2 * time.Second,
		ResendAfter:           time.Second,
		EstimateSamples:       64,
		MinEstimateSamples:    5,
		MaxClasses:            2_000,
		MaxEvents:             24,
		EndedRetention:        15 * time.Minute,
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
	setDefault(&c.MaxFailedSearches, d.MaxFailedSearches)
	setDefault(&c.MaxSkippedJobs, d.MaxSkippedJobs)
	setDefault(&c.MaxJobs, d.MaxJobs)
	setDefault(&c.MaxTasksPerJob, d.MaxTasksPerJob)
	setDefault(&c.MaxAttempts, d.MaxAttempts)
	setDefault(&c.BackoffBase, d.BackoffBase)
	setDefault(&c.BackoffMax, d.BackoffMax)
	setDefault(&c.RestartsPerSecond, d.RestartsPerSecond)
	setDefault(&c.RestartBurst, d.RestartBurst)
	setDefault(&c.MaxFailedWorkers, d.MaxFailedWorkers)
	setDefault(&c.AvoidPeriod, d.AvoidPeriod)
	setDefault(&c.StableRun, d.StableRun)
	setDefault(&c.QuarantineFailures, d.QuarantineFailures)
	setDefault(&c.QuarantineClasses, d.QuarantineClasses)
	setDefault(&c.QuarantineWait, d.QuarantineWait)
	setDefault(&c.QuarantineMax, d.QuarantineMax)
	setDefault(&c.CanaryRun, d.CanaryRun)
	setDefault(&c.RackWindow, d.RackWindow)
	setDefault(&c.GangDelay, d.GangDelay)
	setDefault(&c.MaxHeld, d.MaxHeld)
	setDefault(&c.MaxHoldTime, d.MaxHoldTime)
	setDefault(&c.PreemptionHold, d.PreemptionHold)
	setDefault(&c.CheckpointGrace, d.CheckpointGrace)
	setDefault(&c.ResendAfter, d.ResendAfter)
	setDefault(&c.EstimateSamples, d.EstimateSamples)
	setDefault(&c.MinEstimateSamples, d.MinEstimateSamples)
	setDefault(&c.MaxClasses, d.MaxClasses)
	setDefault(&c.MaxEvents, d.MaxEvents)
	setDefault(&c.EndedRetention, d.EndedRetention)
	setDefault(&c.MaxEnded, d.MaxEnded)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
