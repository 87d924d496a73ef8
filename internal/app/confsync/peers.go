package confsync

import (
	"context"
	"time"

	"auburnpier/internal/domain"
)

// Statement is what an instance says about its configuration in the
// acknowledgement of a ping.
type Statement struct {
	// Version is the highest version that the instance knows of, applied or not.
	Version uint64
	// Applied is the version in force at the instance.
	Applied uint64
	// EditInFlight tells that a write of the instance may still be accepted.
	EditInFlight bool
	// StoreConfirmed tells that the store confirmed the applied version.
	StoreConfirmed bool
	// StoreAge is the age of that confirmation when the statement was made.
	StoreAge time.Duration
}

// PeerStatement is the latest statement of another instance.
type PeerStatement struct {
	Instance domain.InstanceID
	// PingSent is when the acknowledged ping was sent, by this instance's
	// clock. It is zero while the instance has acknowledged nothing.
	PingSent time.Time
	Statement
}

// Peers is what the synchronization needs of the other instances. The
// membership implements it. It also calls Sync.ReceiveStatement for each
// acknowledgement and puts Sync.Statement in each one that it sends.
type Peers interface {
	// Statements returns one entry for each known instance other than this
	// one that is not proven dead, also for those that never acknowledged.
	// complete is false while the set of instances is not known, as before the
	// first contact with the seeds.
	Statements() (statements []PeerStatement, complete bool)
	// FetchConfig returns the encoded document of the instance.
	FetchConfig(ctx context.Context, from domain.InstanceID) ([]byte, error)
}
