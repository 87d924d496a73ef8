package confsync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// fetchTimeout bounds the fetch of a document from a peer.
const fetchTimeout = 2 * time.Second

// Statement returns what this instance says in each acknowledgement.
func (s *Sync) Statement() Statement {
	// The flag is read before the version: an accepted edit raises the version
	// before it clears the flag, so one of the two shows it.
	st := Statement{EditInFlight: s.flight.active()}
	st.Version = s.freshness.knownVersion()
	version, ok := s.applied()
	st.Applied = version
	_, byStore := s.freshness.times()
	if ok && !byStore.IsZero() {
		st.StoreConfirmed = true
		st.StoreAge = s.clock.Now().Sub(byStore)
	}
	return st
}

// announce reports the present statement.
func (s *Sync) announce() {
	if s.report == nil {
		return
	}
	s.announcing.Lock()
	defer s.announcing.Unlock()
	// The statement is made under the lock, so the last report is the newest.
	s.report(s.Statement())
}

// ReceiveStatement takes the statement of a peer from an acknowledgement of a ping.
// A relayed confirmation counts only for the version in force here.
func (s *Sync) ReceiveStatement(p PeerStatement) {
	s.ReceiveVersion(p.Instance, max(p.Version, p.Applied))
	version, ok := s.applied()
	if !ok || !p.StoreConfirmed || p.Applied != version || p.PingSent.IsZero() || p.StoreAge < 0 {
		return
	}
	s.freshness.confirmByStore(version, p.PingSent.Add(-p.StoreAge))
}

// ReceiveVersion takes the version from any datagram of a peer, and has the
// document fetched if it is newer.
func (s *Sync) ReceiveVersion(from domain.InstanceID, version uint64) {
	if version > s.freshness.knownVersion() {
		s.freshness.hear(version)
		s.announce()
	}
	applied, ok := s.applied()
	if s.peers == nil || ok && version <= applied {
		return
	}
	select {
	case s.newer <- from:
	default: // a fetch is already due
	}
}

// fetch takes the document of a peer if a newer one than the current is known.
func (s *Sync) fetch(ctx context.Context, from domain.InstanceID) {
	if version, ok := s.applied(); ok && version >= s.freshness.knownVersion() {
		return
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := s.peers.FetchConfig(call, from)
	if err != nil {
		s.metrics.CountRetry(metrics.RetryPeerUnreachable)
		return
	}
	doc, err := confdoc.Decode(data)
	if err != nil {
		s.log.Warn("a peer sent a configuration that can't be read", zap.String("peer", string(from)), zap.Error(err))
		return
	}
	s.metrics.Counter("confsync.fetched_from_peer").Inc(1)
	s.adopt(doc)
}

// Document returns the encoded configuration for a peer, or false before the
// first one.
func (s *Sync) Document() ([]byte, bool) {
	current := s.current.Load()
	if current == nil {
		return nil, false
	}
	data, err := confdoc.Encode(current.Doc)
	return data, err == nil
}

// askPeers confirms the configuration by the statements of all other instances
// while the store is unreachable.
func (s *Sync) askPeers() {
	if s.peers == nil || s.watch.Reachable() {
		return
	}
	now := s.clock.Now()
	if s.flight.active() {
		return
	}
	version, ok := s.applied()
	statements, complete := s.peers.Statements()
	if !ok || !complete {
		return
	}
	if at, ok := confirmedByAll(statements, version, now); ok {
		s.freshness.confirmByPeers(version, at)
	}
}
