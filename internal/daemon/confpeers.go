package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/domain"
)

// errNotMember is returned when a member left before it could be called.
var errNotMember = errors.New("the instance has left the member list; another one will be called")

// configPeers provides configuration synchronization with what the membership
// knows of the other instances' configurations.
type configPeers struct {
	peers *peering.Service
	// applied returns the version in force on this instance.
	applied func() uint64
}

// Statements implements confsync.Peers. The membership has already combined the
// acknowledgements of all known instances into one time for the version, so at
// most one statement is returned.
func (c configPeers) Statements() ([]confsync.PeerStatement, bool) {
	if len(c.peers.List()) == 0 {
		return nil, c.peers.Joined()
	}
	version := c.applied()
	all := c.peers.PeersConfirmation(version)
	if all.At.IsZero() {
		return nil, false
	}
	statement := confsync.Statement{Version: version, Applied: version}
	return []confsync.PeerStatement{{PingSent: all.At, Statement: statement}}, c.peers.Joined()
}

// FetchConfig implements confsync.Peers.
func (c configPeers) FetchConfig(ctx context.Context, from domain.InstanceID) ([]byte, error) {
	peer, ok := c.peers.Peer(from)
	if !ok {
		return nil, errNotMember
	}
	reply, err := peer.FetchConfig(ctx, c.applied())
	if err != nil {
		return nil, err
	}
	if reply.Document == nil {
		return nil, errors.Newf("instance %s has no newer configuration than version %d", from, c.applied())
	}
	return reply.Document, nil
}

// publishStatement includes a changed statement in all acknowledgements sent from now on.
// When an edit ends, the new version is set before the in-flight mark is cleared.
func (i *Instance) publishStatement(statement confsync.Statement) {
	if statement.EditInFlight {
		i.peers.SetEditInFlight(true)
	}
	i.peers.SetConfigVersion(statement.Applied)
	if !statement.EditInFlight {
		i.peers.SetEditInFlight(false)
	}
}

// exchangeConfig reports to the membership when the store last confirmed the
// version in force, and passes what the membership received from other instances
// to configuration synchronization.
func (i *Instance) exchangeConfig() {
	// The clock is read before the age: otherwise a pause in between would make the
	// confirmation appear more recent than it is.
	now := i.clock.Now()
	statement := i.config.Statement()
	if statement.StoreConfirmed {
		i.peers.StoreConfirmed(statement.Applied, now.Add(-statement.StoreAge))
	}
	if version, holder := i.peers.NewestVersion(); holder != "" && version > statement.Applied {
		i.config.ReceiveVersion(holder, version)
	}
	relayed := i.peers.RelayedConfirmation(statement.Applied)
	if !relayed.At.IsZero() {
		i.config.ReceiveStatement(confsync.PeerStatement{
			PingSent:  relayed.At,
			Statement: confsync.Statement{Version: relayed.Version, Applied: relayed.Version, StoreConfirmed: true},
		})
	}
}

// appliedVersion returns the version in force, or zero if there is none.
func (i *Instance) appliedVersion() uint64 {
	if current := i.config.Current(); current != nil {
		return current.Version()
	}
	return 0
}

var _ confsync.Peers = configPeers{}
