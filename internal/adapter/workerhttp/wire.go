// Package workerhttp implements the worker protocol, JSON over HTTP: Client implements port.Worker, and
// Handler serves any port.Worker.
//
// The calls are POST /v1/lease/acquire, /v1/lease/renew, /v1/start, /v1/stop, /v1/checkpoint and
// /v1/throttle. Status 409 means that the worker refused the lease.
package workerhttp

import (
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	pathAcquire    = "/v1/lease/acquire"
	pathRenew      = "/v1/lease/renew"
	pathStart      = "/v1/start"
	pathStop       = "/v1/stop"
	pathCheckpoint = "/v1/checkpoint"
	pathThrottle   = "/v1/throttle"
)

// maxMessageBytes limits a request or response; a worker reports a few hundred attempts at most.
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
