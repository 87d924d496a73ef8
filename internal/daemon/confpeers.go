package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/domain"
)

// errGone tells that a member left while it was about to be asked.
var errGone = errors.New("the instance is gone; another one will be asked")

// configPeers gives the configuration what the membership knows of it.
type configPeers struct {
	peers *peering.Service
	// applied returns the version in force here.
	applied func() uint64
}

// Statements implements confsync.Peers. The membership has already reduced the
// acknowledgements of all known instances to one time for the version.
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
		return nil, errGone
	}
	answer, err := peer.FetchConfig(ctx, c.applied())
	if err != nil {
		return nil, err
	}
	if answer.Document == nil {
		return nil, errors.Newf("instance %s has no newer configuration than version %d", from, c.applied())
	}
	return answer.Document, nil
}

// announce puts a change of the statement into the acknowledgements that are
// sent from now on. The version comes before the end of an edit.
func (i *Instance) announce(statement confsync.Statement) {
	if statement.EditInFlight {
		i.peers.SetEditInFlight(true)
	}
	i.peers.SetConfigVersion(statement.Applied)
	if !statement.EditInFlight {
		i.peers.SetEditInFlight(false)
	}
}

// exchangeConfig tells the membership when the store confirmed the version in
// force, and the configuration what the membership heard.
func (i *Instance) exchangeConfig() {
	// The time is read before the age is taken: a pause in between must not make
	// the confirmation younger than it is.
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

// appliedVersion returns the version in force, or zero.
func (i *Instance) appliedVersion() uint64 {
	if current := i.config.Current(); current != nil {
		return current.Version()
	}
	return 0
}

var _ confsync.Peers = configPeers{}
