package sched

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

// RecordVersion is the version of the record layout that this package writes.
const RecordVersion = 1

// Record is one durable state change. Exactly one body is set.
type Record struct {
	Version uint8 `cbor:"1,keyasint"`
	// AtMS is the time of the decision in milliseconds since the Unix epoch.
	AtMS              int64                    `cbor:"2,keyasint"`
	Accepted          *AcceptedRecord          `cbor:"3,keyasint,omitempty"`
	Intents           *IntentsRecord           `cbor:"4,keyasint,omitempty"`
	Ended             *EndedRecord             `cbor:"5,keyasint,omitempty"`
	Cancelled         *CancelledRecord         `cbor:"6,keyasint,omitempty"`
	JobsDropped       *JobsDroppedRecord       `cbor:"7,keyasint,omitempty"`
	WorkerRemoved     *WorkerRemovedRecord     `cbor:"8,keyasint,omitempty"`
	CanaryPassed      *CanaryPassedRecord      `cbor:"9,keyasint,omitempty"`
	ReservationRaised *ReservationRaisedRecord `cbor:"10,keyasint,omitempty"`
}

// AcceptedRecord accepts a job.
type AcceptedRecord struct {
	Job  domain.JobID   `cbor:"1,keyasint"`
	Team domain.TeamID  `cbor:"2,keyasint"`
	Spec domain.JobSpec `cbor:"3,keyasint"`
}

// IntentsRecord records the decision to start tasks of one job. It is durable before the
// start messages are sent.
type IntentsRecord struct {
	Job     domain.JobID `cbor:"1,keyasint"`
	Intents []Intent     `cbor:"2,keyasint"`
}

// Intent is the decision to start one task on one boot of one worker.
type Intent struct {
	Attempt     domain.AttemptID `cbor:"1,keyasint"`
	Task        int              `cbor:"2,keyasint"`
	Worker      domain.WorkerID  `cbor:"3,keyasint"`
	BootID      string           `cbor:"4,keyasint"`
	Reservation domain.Resources `cbor:"5,keyasint"`
	// Restart is set if the start counts against the restart rate.
	Restart bool `cbor:"6,keyasint,omitempty"`
}

// Cause is the reason for which the scheduler ends an attempt.
type Cause string

// Causes of stops and checkpoints. CauseNone means that the task ended by itself.
const (
	CauseNone      Cause = ""
	CauseCancelled Cause = "cancelled"
	CausePreempted Cause = "preempted"
	CauseLimit     Cause = "limit_lowered"
	CauseMemory    Cause = "memory_above_reservation"
	CauseLeaving   Cause = "worker_leaving"
	CauseGang      Cause = "gang_restart"
)

// EndedRecord records that an attempt has provably ended or was never started.
type EndedRecord struct {
	Attempt domain.AttemptID `cbor:"1,keyasint"`
	Outcome domain.Outcome   `cbor:"2,keyasint"`
	Cause   Cause            `cbor:"3,keyasint,omitempty"`
	// Peak is the highest reported usage.
	Peak domain.Resources `cbor:"4,keyasint"`
	// RunMS is the run time in milliseconds. Zero means unknown.
	RunMS  int64  `cbor:"5,keyasint,omitempty"`
	Detail string `cbor:"6,keyasint,omitempty"`
	// BlameWorker counts the end against the worker's health.
	BlameWorker bool `cbor:"7,keyasint,omitempty"`
	// Next is what happens to the task. It is recorded so that a successor with
	// different settings never retries a task whose end was reported to a caller.
	Next Next `cbor:"8,keyasint"`
	// NotBeforeMS is the end of the backoff of a retry.
	NotBeforeMS int64 `cbor:"9,keyasint,omitempty"`
	// Failure counts the end towards the attempt limit.
	Failure bool `cbor:"10,keyasint,omitempty"`
	// Restart makes the next start count against the restart rate.
	Restart bool `cbor:"11,keyasint,omitempty"`
	// Stable resets the task's failure count: the attempt ran for Config.StableRun.
	Stable bool `cbor:"12,keyasint,omitempty"`
}

// Next is what happens to a task after an attempt ended.
type Next uint8

// Values of Next. NextRetry queues the task again; the others are final.
const (
	NextRetry Next = iota + 1
	NextSucceeded
	NextFailed
	NextFailedEverywhere
	NextUnknown
	NextCancelled
)

// CancelledRecord cancels jobs.
type CancelledRecord struct {
	Jobs   []domain.JobID `cbor:"1,keyasint"`
	Reason string         `cbor:"2,keyasint,omitempty"`
}

// JobsDroppedRecord deletes ended jobs.
type JobsDroppedRecord struct {
	Jobs []domain.JobID `cbor:"1,keyasint"`
}

// WorkerRemovedRecord deletes the health record of a worker that was removed from the platform's list.
type WorkerRemovedRecord struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
}

// CanaryPassedRecord ends a worker's quarantine: a canary ran for Config.CanaryRun.
type CanaryPassedRecord struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
}

// ReservationRaisedRecord raises the reservation of a running attempt.
type ReservationRaisedRecord struct {
	Attempt     domain.AttemptID `cbor:"1,keyasint"`
	Reservation domain.Resources `cbor:"2,keyasint"`
}

// EncodeRecord returns the CBOR encoding of a record.
func EncodeRecord(r Record) ([]byte, error) {
	return cbor.Marshal(r)
}

// DecodeRecord decodes a record from CBOR. It fails on an unknown layout version, so
// that an older process never drops fields that a newer one wrote.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if r.Version == 0 || r.Version > RecordVersion {
		return Record{}, fmt.Errorf("record has version %d, this process reads up to %d; upgrade it first",
			r.Version, RecordVersion)
	}
	return r, nil
}
