package domain

// TeamID names a team. It is chosen by operators.
type TeamID string

// QueueID names a request queue.
type QueueID string

// JobID names an accepted job. It is unique in the cell.
type JobID string

// AttemptID names one attempt to run one task of a job.
type AttemptID string

// WorkerID names a worker VM.
type WorkerID string

// BackendID names a backend server VM.
type BackendID string

// InstanceID names one auburnpierd process slot. A replaced VM gets a new ID.
type InstanceID string

// PartitionID names a set of availability zones with one owner.
type PartitionID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region.
type RegionID string

// RackID names a rack inside an availability zone.
type RackID string

// LeaseID names one lease that a worker granted.
type LeaseID string

// Epoch counts the owners of a partition. A higher epoch supersedes a lower one.
type Epoch uint64

// Location tells where a VM stands.
type Location struct {
	Region RegionID `json:"region" cbor:"1,keyasint"`
	Zone   ZoneID   `json:"zone" cbor:"2,keyasint"`
	Rack   RackID   `json:"rack,omitempty" cbor:"3,keyasint,omitempty"`
}
