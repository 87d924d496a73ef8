// Package placement decides on which worker a task is placed: it keeps an
// index of workers with their free capacity, filters workers by name of
// reason, scores the rest, and places gangs whole. It has no I/O and no clock.
package placement

import (
	"fmt"
	"time"

	"auburnpier/internal/domain"
)

// Node is a worker as the index sees it.
type Node struct {
	ID       domain.WorkerID
	Location domain.Location
	// Capacity is what may be reserved, with any headroom already taken off.
	Capacity domain.Resources
}

// RejectReason is the stable name of the filter that rejected a worker.
type RejectReason string

// Reasons why a worker is rejected.
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

// Request is one task or one member of a gang to place.
type Request struct {
	Size domain.Resources
	// Zones restricts the choice. Empty allows every zone of the index.
	Zones []domain.ZoneID
	// Avoid lists workers on which the task failed before.
	Avoid []domain.WorkerID
	// Spread names the job whose replicas are kept apart over racks and zones. Empty means no spreading.
	Spread domain.JobID
	// IgnoreReservations passes every hold, whichever gang has it.
	IgnoreReservations bool
	// Holder is the gang that places its own members: it passes the holds of
	// this job and no others. Empty passes none.
	Holder domain.JobID
	// End is the expected end of the task. The task may backfill on workers
	// held for a gang that is expected to start at End or later. Zero means
	// that the end is unknown, so the task is kept off held workers.
	End time.Time
}

// Rejection counts the workers that one filter rejected.
type Rejection struct {
	Reason  RejectReason `json:"reason" cbor:"1,keyasint"`
	Workers int          `json:"workers" cbor:"2,keyasint"`
}

// NoFitError tells that no worker passed all filters.
type NoFitError struct {
	Rejections []Rejection
	// Never tells that no worker of the index fits the request even when it is empty.
	Never bool
	// Nearest is the largest size, at most the requested one in each
	// component, that fits some empty worker. It is set where Never is.
	Nearest domain.Resources
}

func (e *NoFitError) Error() string {
	if e.Never {
		return fmt.Sprintf("no worker is large enough; the nearest size that fits is %+v", e.Nearest)
	}
	return fmt.Sprintf("no worker has room now: %v", e.Rejections)
}

// Index answers where a task can run. Implementations are not safe for
// concurrent use. The order of calls alone determines every answer.
type Index interface {
	// Upsert adds a worker or changes its capacity. Reservations are kept.
	Upsert(n Node)
	// Remove forgets a worker and its reservations.
	Remove(id domain.WorkerID)
	// Exclude keeps a worker from being chosen, for the reason; an empty reason includes it again.
	Exclude(id domain.WorkerID, reason RejectReason)
	// Reserve takes size from the worker for one task of job. It returns false, and reserves
	// nothing, where the worker is unknown or has less room than size.
	Reserve(id domain.WorkerID, job domain.JobID, size domain.Resources) bool
	// ForceReserve takes size even where it exceeds the room, for attempts found running.
	ForceReserve(id domain.WorkerID, job domain.JobID, size domain.Resources)
	// Release gives back what Reserve or ForceReserve took. It does nothing where the worker has
	// no reservation of the job, as after it was removed and added again.
	Release(id domain.WorkerID, job domain.JobID, size domain.Resources)
	// Place chooses a worker without reserving it, or returns a *NoFitError.
	Place(r Request) (domain.WorkerID, error)
	// PlaceGang chooses a worker for each of n members without reserving
	// them, all in one zone unless span is set, or returns a *NoFitError.
	PlaceGang(r Request, n int, span bool) ([]domain.WorkerID, error)
	// Hold keeps the free room of workers, now and as it frees up, for the gang of job until
	// Unhold. Only requests that pass the hold (see Request) are placed there. A worker that
	// another gang holds stays with that gang.
	Hold(job domain.JobID, workers []domain.WorkerID)
	// HoldRoom is Hold for a part of the workers: it keeps room for one member of size on each
	// listed worker, as often as the worker is listed. What is free beyond that stays open to all.
	HoldRoom(job domain.JobID, size domain.Resources, workers []domain.WorkerID)
	// ExpectStart sets when the gang that holds workers is expected to start. Requests with an
	// End up to then may backfill there. A zero time, as after Hold, allows no backfill.
	ExpectStart(job domain.JobID, at time.Time)
	// Unhold ends the reservation of the gang of job.
	Unhold(job domain.JobID)
	// GangCandidates returns a worker for each of n members that would hold them if it were empty,
	// or false where there are too few. A worker is listed as often as it has members. The choice
	// is the one for which the least has to free up.
	GangCandidates(r Request, n int, span bool) ([]domain.WorkerID, bool)
	// Free returns the room of a worker and whether it is known.
	Free(id domain.WorkerID) (domain.Resources, bool)
	// Total returns the sum of capacities, and Reserved the sum of reservations.
	Total() domain.Resources
	Reserved() domain.Resources
}
