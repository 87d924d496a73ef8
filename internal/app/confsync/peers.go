package confsync

import (
	"context"
	"time"

	"auburnpier/internal/domain"
)

// Statement is the state of an instance's configuration that it sends in each acknowledgement of a
// ping.
type Statement struct {
	// Version is the highest version that the instance knows to exist, whether applied or not.
	Version uint64
	// Applied is the version in force at the instance.
	Applied uint64
	// EditInFlight reports whether the store may still accept a write of the instance.
	EditInFlight bool
	// StoreConfirmed reports whether the store has confirmed the applied version.
	StoreConfirmed bool
	// StoreAge is the age of that confirmation when the statement was created.
	StoreAge time.Duration
}

// PeerStatement is the latest statement of another instance.
type PeerStatement struct {
	Instance domain.InstanceID
	// PingSent is the time at which the acknowledged ping was sent, by the local clock. It is zero if
	// the peer has not acknowledged any ping yet.
	PingSent time.Time
	Statement
}

// Peers gives access to the other instances. It is implemented on the membership, which also passes
// each received acknowledgement to Sync.ReceiveStatement and puts Sync.Statement in each one it sends.
type Peers interface {
	// Statements returns an entry for each other known instance that is not proven dead, including
	// those that never acknowledged a ping. complete is false while the set of instances is unknown,
	// for example before the first contact with the seeds.
	Statements() (statements []PeerStatement, complete bool)
	// FetchConfig returns the encoded document of the instance.
	FetchConfig(ctx context.Context, from domain.InstanceID) ([]byte, error)
}
