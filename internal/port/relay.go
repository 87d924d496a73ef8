package port

import (
	"context"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// MaxRelayedPolls bounds the looks of one call to a relay.
const MaxRelayedPolls = 512

// RelayedPoll is a look that another instance makes for the owner. The fence
// and the limits in it are the owner's, so it may take effect late or not at
// all, like a look of the owner whose answer is lost.
type RelayedPoll struct {
	Worker  domain.WorkerID `cbor:"1,keyasint"`
	Address string          `cbor:"2,keyasint"`
	Request PollRequest     `cbor:"3,keyasint"`
}

// RelayedPollResult is the answer to a RelayedPoll.
type RelayedPollResult struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
	// Fenced tells that a later owner has spoken to the worker.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// Failure is set where the worker did not answer; Report is then empty.
	Failure string            `cbor:"3,keyasint,omitempty"`
	Report  jobs.WorkerReport `cbor:"4,keyasint"`
	// Terminated tells that the failure proves that the worker's process has ended.
	Terminated bool `cbor:"5,keyasint,omitempty"`
}

// PollRelay makes looks from another instance. Deliver is called with the
// answers as they come, never concurrently. Looks that were not delivered when
// Looks returns have no answer; an error tells why.
type PollRelay interface {
	PollWorkers(ctx context.Context, looks []RelayedPoll, deliver func([]RelayedPollResult)) error
}

// MaxRelayedOrders bounds the orders of one call to a relay.
const MaxRelayedOrders = 512

// RelayedOrder is an order to a worker that another instance sends for the
// owner. One of the fields is set.
type RelayedOrder struct {
	Start *jobs.StartOrder `cbor:"1,keyasint,omitempty"`
	Stop  *jobs.StopOrder  `cbor:"2,keyasint,omitempty"`
	Pace  *jobs.PaceOrder  `cbor:"3,keyasint,omitempty"`
}

// Worker returns the worker that the order is for.
func (o *RelayedOrder) Worker() domain.WorkerID {
	switch {
	case o.Start != nil:
		return o.Start.Worker
	case o.Stop != nil:
		return o.Stop.Worker
	case o.Pace != nil:
		return o.Pace.Worker
	}
	return ""
}

// OrderBatch is what an instance orders for the owner in one call.
type OrderBatch struct {
	Fence int64 `cbor:"1,keyasint"`
	// TimeoutMS is how long the call may take, in ms from its arrival.
	TimeoutMS int64          `cbor:"2,keyasint"`
	Orders    []RelayedOrder `cbor:"3,keyasint"`
}

// OrderResult is the answer to the order with the index. Without an answer of
// the worker the order may have taken effect, or may do so until its limit.
type OrderResult struct {
	Index int               `cbor:"1,keyasint"`
	Start jobs.StartOutcome `cbor:"2,keyasint,omitempty"`
	// Fenced tells that a later owner has spoken to the worker.
	Fenced bool `cbor:"3,keyasint,omitempty"`
	// Failure explains an order that was refused or not answered.
	Failure string `cbor:"4,keyasint,omitempty"`
}

// OrderRelay sends orders from another instance. Deliver is called with the
// answers as they come, never concurrently. Orders that were not delivered when
// Orders returns have no answer; an error tells why.
type OrderRelay interface {
	SendOrders(ctx context.Context, batch OrderBatch, deliver func([]OrderResult)) error
}

// WorkerRelay calls workers for the owner.
type WorkerRelay interface {
	PollRelay
	OrderRelay
}
