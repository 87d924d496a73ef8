// Package workerhttp speaks the worker protocol over HTTP with JSON bodies:
// Client implements port.Worker and Handler serves any port.Worker.
//
// Calls: POST /v1/lease/acquire, /v1/lease/renew, /v1/start, /v1/stop,
// /v1/checkpoint and /v1/throttle. A status of 409 is a refused lease.
package workerhttp

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Paths of the calls.
const (
	pathAcquire    = "/v1/lease/acquire"
	pathRenew      = "/v1/lease/renew"
	pathStart      = "/v1/start"
	pathStop       = "/v1/stop"
	pathCheckpoint = "/v1/checkpoint"
	pathThrottle   = "/v1/throttle"
)

// maxMessageBytes bounds a message; a worker reports some hundreds of attempts at most.
const maxMessageBytes = 4 << 20

type acquireRequest struct {
	Holder domain.InstanceID `json:"holder"`
	Epoch  domain.Epoch      `json:"epoch"`
	TTL    time.Duration     `json:"ttl_ns"`
}

type startRequest struct {
	Lease    domain.LeaseID      `json:"lease_id"`
	Attempts []port.StartRequest `json:"attempts"`
}

type attemptsRequest struct {
	Lease    domain.LeaseID     `json:"lease_id"`
	Attempts []domain.AttemptID `json:"attempts"`
}

type throttleRequest struct {
	Lease    domain.LeaseID   `json:"lease_id"`
	Attempt  domain.AttemptID `json:"attempt"`
	CPUMilli int64            `json:"cpu_milli"`
}

type emptyResponse struct{}

type refusedResponse struct {
	Worker  domain.WorkerID `json:"worker"`
	Lease   domain.LeaseID  `json:"lease_id"`
	Current domain.Epoch    `json:"current_epoch"`
	Error   string          `json:"error,omitempty"`
}
