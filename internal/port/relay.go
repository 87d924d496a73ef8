package port

import (
	"context"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// MaxRelayedLooks bounds the looks of one call to a relay.
const MaxRelayedLooks = 512

// RelayedLook is a look that another instance makes for the owner. The fence
// and the limits in it are the owner's, so it may take effect late or not at
// all, like a look of the owner whose answer is lost.
type RelayedLook struct {
	Worker  domain.WorkerID `cbor:"1,keyasint"`
	Address string          `cbor:"2,keyasint"`
	Request LookRequest     `cbor:"3,keyasint"`
}

// RelayedReport is the answer to a RelayedLook.
type RelayedReport struct {
	Worker domain.WorkerID `cbor:"1,keyasint"`
	// Fenced tells that a later owner has spoken to the worker.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// Failure is set where the worker did not answer; Report is then empty.
	Failure string            `cbor:"3,keyasint,omitempty"`
	Report  jobs.WorkerReport `cbor:"4,keyasint"`
}

// LookRelay makes looks from another instance. Deliver is called with the
// answers as they come, never concurrently. Looks that were not delivered when
// Looks returns have no answer; an error tells why.
type LookRelay interface {
	Looks(ctx context.Context, looks []RelayedLook, deliver func([]RelayedReport)) error
}
