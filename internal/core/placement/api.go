// Package placement selects the worker on which a task runs. It keeps an index of
// workers by free capacity, filters out workers with a named reason, scores the
// remaining ones, and places gangs all-or-nothing. It performs no I/O and reads no
// clock.
package placement

import (
	"fmt"
	"time"

	"auburnpier/internal/domain"
)

// Worker describes a worker to the index.
type Worker struct {
	ID       domain.WorkerID
	Location domain.Location
	// Capacity is the amount that may be reserved, excluding any headroom.
	Capacity domain.Resources
}

// RejectReason is the stable name of the filter that rejected a worker.
type RejectReason string

// Reasons for which a worker is rejected.
const (
	RejectCPU          RejectReason = "cpu"
	RejectMemory       RejectReason = "memory"
	RejectAccelerators RejectReason = "accelerators"
	RejectZone         RejectReason = "zone"
	RejectAvoided      RejectReason = "avoided"
	RejectLeaving      RejectReason = "leaving"
	RejectQuarantined  RejectReason = "quarantined"
	RejectUnreachable  RejectReason = "unreachable"
	RejectReserved     RejectReason = "reserved_for_gang"
)

// Request describes one task or gang member to place.
type Request struct {
	Size domain.Resources
	// Zones restricts the allowed zones. Empty allows every zone of the index.
	Zones []domain.ZoneID
	// Avoid lists workers on which the task has failed before.
	Avoid []domain.WorkerID
	// Spread is the job whose replicas are spread over racks and zones. Empty means no spreading.
	Spread domain.JobID
	// IgnoreHolds permits the use of capacity held by any job.
	IgnoreHolds bool
	// Holder is the job that places its own tasks: the request may use the capacity
	// held by this job, but not that of others. Empty matches no hold.
	Holder domain.JobID
	// End is the expected end of the task. The task may backfill capacity held for a
	// job that is expected to start at End or later. Zero means that the end is
	// unknown, so the task may not use held capacity.
	End time.Time
}

// Rejection is the number of workers that one filter rejected.
type Rejection struct {
	Reason  RejectReason `json:"reason" cbor:"1,keyasint"`
	Workers int          `json:"workers" cbor:"2,keyasint"`
}

// NoFitError reports that no worker passed all filters.
type NoFitError struct {
	Rejections []Rejection
	// NeverFits is set if the request would not fit even if all workers were empty.
	NeverFits bool
	// NearestSize is the largest size, at most the requested one in each component, that
	// would fit empty workers. It is set only if NeverFits is.
	NearestSize domain.Resources
}

func (e *NoFitError) Error() string {
	if e.NeverFits {
		return fmt.Sprintf("request exceeds the capacity of every worker; the nearest size that fits is %+v", e.NearestSize)
	}
	return fmt.Sprintf("no worker has sufficient free capacity; workers rejected by reason: %v", e.Rejections)
}

// Index finds workers for tasks. Implementations are not safe for concurrent use.
// Results depend only on the sequence of calls.
type Index interface {
	// Upsert adds a worker or updates its capacity. Reservations are kept.
	Upsert(n Worker)
	// Remove deletes a worker and its reservations.
	Remove(id domain.WorkerID)
	// Exclude makes a worker ineligible for the given reason; an empty reason makes it eligible again.
	Exclude(id domain.WorkerID, reason RejectReason)
	// Reserve reserves size on the worker for one task of job. It returns false, and reserves
	// nothing, if the worker is unknown or its free capacity is less than size.
	Reserve(id domain.WorkerID, job domain.JobID, size domain.Resources) bool
	// ForceReserve reserves size even if it exceeds the free capacity, for attempts found running.
	ForceReserve(id domain.WorkerID, job domain.JobID, size domain.Resources)
	// Release releases what Reserve or ForceReserve reserved. It does nothing if the worker has no
	// reservation of the job, for example because it was removed and added again.
	Release(id domain.WorkerID, job domain.JobID, size domain.Resources)
	// Place selects a worker without reserving capacity, or returns a *NoFitError.
	Place(r Request) (domain.WorkerID, error)
	// PlaceGang selects a worker for each of n members without reserving capacity. All
	// are in one zone unless span is set. It returns a *NoFitError if they do not fit.
	PlaceGang(r Request, n int, span bool) ([]domain.WorkerID, error)
	// Hold holds the whole capacity of workers for job until ReleaseHold: what is free now and what
	// becomes free later. Only requests that may use the hold (see Request) are placed there. A worker
	// that another job already holds stays with that job.
	Hold(job domain.JobID, workers []domain.WorkerID)
	// HoldCapacity is like Hold but holds only capacity for one task of size for each time that a worker
	// is listed. The remaining free capacity stays available to all requests.
	HoldCapacity(job domain.JobID, size domain.Resources, workers []domain.WorkerID)
	// SetExpectedStart sets when the job is expected to start on the workers that it holds. Requests
	// whose End is not later may backfill there. A zero time, the default, permits no backfill.
	SetExpectedStart(job domain.JobID, at time.Time)
	// ReleaseHold removes the hold of job.
	ReleaseHold(job domain.JobID)
	// GangCandidates returns a worker for each of n members that would fit them if it were empty, or
	// false if there are too few. A worker is listed once for each of its members. The result minimizes
	// the capacity that has to become free.
	GangCandidates(r Request, n int, span bool) ([]domain.WorkerID, bool)
	// Free returns the free capacity of a worker, and false if it is unknown.
	Free(id domain.WorkerID) (domain.Resources, bool)
	// Total returns the sum of capacities, and Reserved the sum of reservations.
	Total() domain.Resources
	Reserved() domain.Resources
}
