// Package storerelay calls the platform's store through another instance while
// the store refuses or does not respond to this one. A call is relayed at most
// once, and only by an instance with a working direct connection to the store.
package storerelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

const (
	// probeIntervalMS is the time between probes of the direct connection while it fails.
	probeIntervalMS = 500
	// probeKey is the key that a probe reads. It need not exist: not found is a response.
	probeKey = "auburnpier/probe"
	// directTimeout is the time without a response after which the direct connection
	// counts as failed, even if the caller's deadline ended the call. A slow store
	// responds within 400 ms.
	directTimeout = 500 * time.Millisecond
	// maxPeersPerCall bounds the instances through which one call is relayed in turn.
	maxPeersPerCall = 2
)

// Store is a port.LeaseStore that falls back to relaying calls through other instances.
type Store struct {
	leaseStoreFunc
	direct port.LeaseStore
	// peers returns the stores that are called through other instances.
	peers   func() []port.LeaseStore
	metrics *metrics.Registry
	// directFailedMS is the time of the last failed direct call, zero after a success.
	directFailedMS atomic.Int64
	// lastResponseMS is when a call last got a response, directly or through another instance.
	lastResponseMS atomic.Int64
	// lastProbeMS is when the direct connection last failed or was last probed.
	lastProbeMS atomic.Int64
}

// New returns a store that calls direct and falls back to the peers.
func New(direct port.LeaseStore, peers func() []port.LeaseStore, m *metrics.Registry) *Store {
	s := &Store{direct: direct, peers: peers, metrics: m}
	s.lastResponseMS.Store(steady.NowMS())
	s.leaseStoreFunc = s.call
	return s
}

// Direct returns the store that this instance serves to others. Its calls are not relayed again.
func (s *Store) Direct() port.LeaseStore { return leaseStoreFunc(s.callForPeer) }

// callForPeer makes a call for another instance. It fails immediately while the
// direct connection fails, so that relays do not multiply the load of a store outage.
func (s *Store) callForPeer(ctx context.Context, _ string, call func(port.LeaseStore) error) error {
	if !s.healthy() {
		return &port.UnavailableError{Op: "relay", Err: errDirectFailed}
	}
	return s.callDirect(ctx, call)
}

// callDirect calls the store directly and records whether it responded.
func (s *Store) callDirect(ctx context.Context, call func(port.LeaseStore) error) error {
	start := time.Now()
	err := call(s.direct)
	unresponsive := errors.Is(context.Cause(ctx), context.DeadlineExceeded) && time.Since(start) >= directTimeout
	if ctx.Err() == nil || unresponsive {
		s.recordResult(err)
	}
	return err
}

// healthy reports whether the last direct call got a response. While it did not,
// a separate read probes the direct connection. Regular calls are not used as
// probes: they would wait for an unresponsive store, and a watch gets its response
// long after the connection has recovered.
func (s *Store) healthy() bool { return s.directFailedMS.Load() == 0 }

// probe reads a key to test the direct connection.
func (s *Store) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	_, err := s.direct.Get(ctx, probeKey)
	s.recordResult(err)
}

// probeDue reports whether to probe the failed direct connection now, and if so
// starts the next probe interval.
func (s *Store) probeDue() bool {
	now, last := steady.NowMS(), s.lastProbeMS.Load()
	return now-last > probeIntervalMS && s.lastProbeMS.CompareAndSwap(last, now)
}

func (s *Store) recordResult(err error) {
	var unknown *port.OutcomeUnknownError
	if port.HadNoEffect(err) || errors.As(err, &unknown) {
		now := steady.NowMS()
		s.directFailedMS.Store(now)
		// A failed call counts as a probe: the next probe follows after a full interval.
		s.lastProbeMS.Store(now)
		return
	}
	s.directFailedMS.Store(0)
}

// call makes a call and measures its duration.
func (s *Store) call(ctx context.Context, op string, call func(port.LeaseStore) error) error {
	start := time.Now()
	err := s.route(ctx, call)
	result := resultName(err)
	if result == "ok" || result == "refused" {
		s.lastResponseMS.Store(steady.NowMS())
	}
	s.metrics.Timer("store." + op + "." + result).UpdateSince(start)
	return err
}

// LastResponseAgeMS returns the time since a call last got a response.
func (s *Store) LastResponseAgeMS() int64 { return steady.NowMS() - s.lastResponseMS.Load() }

// resultName returns the name of a call's result for the metrics.
func resultName(err error) string {
	var unknown *port.OutcomeUnknownError
	switch {
	case err == nil:
		return "ok"
	case port.HadNoEffect(err):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "refused"
}

// route makes a call directly and, if that provably had no effect, through other instances.
func (s *Store) route(ctx context.Context, call func(port.LeaseStore) error) error {
	var err error = &port.UnavailableError{Op: "call", Err: errDirectFailed}
	if !s.healthy() && s.probeDue() {
		go s.probe()
	}
	if s.healthy() {
		err = s.callDirect(ctx, call)
		if !port.HadNoEffect(err) || ctx.Err() != nil {
			return err
		}
	}
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, p := range peers[:min(len(peers), maxPeersPerCall)] {
		relayErr := call(p)
		if !port.HadNoEffect(relayErr) {
			s.metrics.Counter("store.relayed").Inc(1)
			return relayErr
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

var errDirectFailed = errors.New("the store did not respond to the last direct call of this instance")
