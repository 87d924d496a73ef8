package domain

// TeamID identifies a team. Operators choose it.
type TeamID string

// QueueID identifies a request queue.
type QueueID string

// JobID identifies an accepted job. It is unique in the cell.
type JobID string

// AttemptID identifies one attempt to run a task of a job.
type AttemptID string

// WorkerID identifies a worker VM.
type WorkerID string

// BackendID identifies a backend server VM.
type BackendID string

// InstanceID identifies an auburnpierd instance. It survives restarts of the
// process; a replaced VM gets a new ID.
type InstanceID string

// PartitionID identifies a set of availability zones that has one owner.
type PartitionID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region.
type RegionID string

// RackID identifies a rack in an availability zone.
type RackID string

// LeaseID identifies a lease that a worker granted.
type LeaseID string

// Epoch numbers the successive owners of a partition. A higher epoch supersedes a lower one.
type Epoch uint64

// Location is the place of a VM.
type Location struct {
	Region RegionID `json:"region" cbor:"1,keyasint"`
	Zone   ZoneID   `json:"zone" cbor:"2,keyasint"`
	Rack   RackID   `json:"rack,omitempty" cbor:"3,keyasint,omitempty"`
}
