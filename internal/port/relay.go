package port

import (
	"context"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// MaxRelayedPolls is the maximum number of polls in one call to a relay.
const MaxRelayedPolls = 512

// RelayedPoll is a worker poll that another instance sends for the owner. It
// carries the owner's fence and lease limit, so it is safe if it takes effect
// late or not at all, as with a direct poll whose response is lost.
type RelayedPoll struct {
	Worker  domain.WorkerID `cbor:"1,keyasint"`
	Address string          `cbor:"2,keyasint"`
	Request PollRequest     `cbor:"3,keyasint"`
}

// RelayedPollResult is the result of a RelayedPoll.
type RelayedPollResult struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
	// Fenced reports whether the worker has already served an owner with a higher fence.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// Failure is set if the worker did not respond; Report is then empty.
	Failure string            `cbor:"3,keyasint,omitempty"`
	Report  jobs.WorkerReport `cbor:"4,keyasint"`
	// Terminated is not read. Earlier versions also set it for refused connections, which prove
	// nothing.
	Terminated bool `cbor:"5,keyasint,omitempty"`
	// Replaced reports whether another incarnation responds at the worker's address.
	Replaced bool `cbor:"6,keyasint,omitempty"`
}

// PollRelay polls workers from another instance. It calls deliver with the
// results as they arrive, never concurrently. Polls whose results were not
// delivered when PollWorkers returns got no response; the error says why.
type PollRelay interface {
	PollWorkers(ctx context.Context, polls []RelayedPoll, deliver func([]RelayedPollResult)) error
}

// MaxRelayedOrders is the maximum number of orders in one call to a relay.
const MaxRelayedOrders = 512

// RelayedOrder is an order to a worker that another instance sends for the
// owner. Exactly one field is set.
type RelayedOrder struct {
	Start    *jobs.StartOrder    `cbor:"1,keyasint,omitempty"`
	Stop     *jobs.StopOrder     `cbor:"2,keyasint,omitempty"`
	Throttle *jobs.ThrottleOrder `cbor:"3,keyasint,omitempty"`
}

// Worker returns the worker that receives the order.
func (o *RelayedOrder) Worker() domain.WorkerID {
	switch {
	case o.Start != nil:
		return o.Start.Worker
	case o.Stop != nil:
		return o.Stop.Worker
	case o.Throttle != nil:
		return o.Throttle.Worker
	}
	return ""
}

// OrderBatch is the orders that an instance sends for the owner in one call.
type OrderBatch struct {
	Fence int64 `cbor:"1,keyasint"`
	// TimeoutMS is the time limit of the call, in milliseconds from its arrival.
	TimeoutMS int64          `cbor:"2,keyasint"`
	Orders    []RelayedOrder `cbor:"3,keyasint"`
}

// OrderResult is the result of the order at Index. If the worker did not
// respond, the order may have taken effect, or may still do so until it expires.
type OrderResult struct {
	Index int               `cbor:"1,keyasint"`
	Start jobs.StartOutcome `cbor:"2,keyasint,omitempty"`
	// Fenced reports whether the worker has already served an owner with a higher fence.
	Fenced bool `cbor:"3,keyasint,omitempty"`
	// Failure is why the order was refused or got no response.
	Failure string `cbor:"4,keyasint,omitempty"`
	// NotDelivered reports whether no connection to the worker could be opened, so that the order
	// certainly had no effect.
	NotDelivered bool `cbor:"5,keyasint,omitempty"`
}

// OrderRelay sends orders to workers from another instance. It calls deliver
// with the results as they arrive, never concurrently. Orders whose results were
// not delivered when SendOrders returns got no response; the error says why.
type OrderRelay interface {
	SendOrders(ctx context.Context, batch OrderBatch, deliver func([]OrderResult)) error
}

// WorkerRelay polls workers and sends them orders for the owner.
type WorkerRelay interface {
	PollRelay
	OrderRelay
}
