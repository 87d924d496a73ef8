package confsync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// fetchTimeout limits the fetch of a document from a peer.
const fetchTimeout = 2 * time.Second

// Statement returns the current statement of this instance, for its next acknowledgement of a ping.
func (s *Sync) Statement() Statement {
	// The flag is read before the version: an accepted edit raises the version before it clears the
	// flag, so at least one of the two reveals the edit.
	st := Statement{EditInFlight: s.inFlight.active()}
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

// announce passes the current statement to Config.Announce.
func (s *Sync) announce() {
	if s.onAnnounce == nil {
		return
	}
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	// The statement is created under the lock, so that reports are never out of order.
	s.onAnnounce(s.Statement())
}

// ReceiveStatement processes the statement that a peer sent in an acknowledgement. A confirmation
// by the store counts only if it is for the version in force at this instance.
func (s *Sync) ReceiveStatement(p PeerStatement) {
	s.ReceiveVersion(p.Instance, max(p.Version, p.Applied))
	version, ok := s.applied()
	if !ok || !p.StoreConfirmed || p.Applied != version || p.PingSent.IsZero() || p.StoreAge < 0 {
		return
	}
	s.freshness.confirmByStore(version, p.PingSent.Add(-p.StoreAge))
}

// ReceiveVersion processes the version in a datagram of a peer. If it is newer than the one in
// force, Run fetches the document.
func (s *Sync) ReceiveVersion(from domain.InstanceID, version uint64) {
	if version > s.freshness.knownVersion() {
		s.freshness.addKnown(version)
		s.announce()
	}
	applied, ok := s.applied()
	if s.peers == nil || ok && version <= applied {
		return
	}
	select {
	case s.fetchFrom <- from:
	default: // a fetch is already queued
	}
}

// fetch gets the document from a peer if a newer version than the one in force is known to exist.
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
		s.log.Warn("cannot decode the configuration document of a peer", zap.String("peer", string(from)), zap.Error(err))
		return
	}
	s.metrics.Counter("confsync.fetched_from_peer").Inc(1)
	s.adopt(doc)
}

// Document returns the encoded configuration in force, or false if there is none yet.
func (s *Sync) Document() ([]byte, bool) {
	current := s.current.Load()
	if current == nil {
		return nil, false
	}
	data, err := confdoc.Encode(current.Doc)
	return data, err == nil
}

// confirmFromPeers tries to confirm the configuration from the statements of all other instances
// while the store is unreachable.
func (s *Sync) confirmFromPeers() {
	if s.peers == nil || s.watch.Reachable() {
		return
	}
	now := s.clock.Now()
	if s.inFlight.active() {
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
