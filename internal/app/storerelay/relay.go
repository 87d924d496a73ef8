// Package storerelay reaches the platform's store through another instance
// while this one is turned away or cut off from it. A call is relayed once at
// most, and only by an instance that reaches the store itself.
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
	// directRetryMS is the time between tries of the direct way while it fails.
	directRetryMS = 500
	// probeKey is read to try the direct way. That it is missing is an answer.
	probeKey = "auburnpier/probe"
	// directSilence without an answer counts as a failure of the direct way also
	// where the caller then gives up. A slow store answers within 400 ms.
	directSilence = 500 * time.Millisecond
	// maxPeers bounds the instances that are asked for one call.
	maxPeers = 2
)

// Store is a port.LeaseStore that falls back on other instances.
type Store struct {
	calls
	direct port.LeaseStore
	// peers returns the stores of other instances.
	peers   func() []port.LeaseStore
	metrics *metrics.Registry
	// failedMS is when a direct call last failed, zero after a success.
	failedMS atomic.Int64
	// answeredMS is when a call last had an answer, directly or through another instance.
	answeredMS atomic.Int64
	// probeMS is when the direct way last failed or was tried in spite of failures.
	probeMS atomic.Int64
}

// New returns a store over direct and the peers.
func New(direct port.LeaseStore, peers func() []port.LeaseStore, m *metrics.Registry) *Store {
	s := &Store{direct: direct, peers: peers, metrics: m}
	s.answeredMS.Store(steady.NowMS())
	s.calls = s.run
	return s
}

// Direct returns what this instance serves to others: calls that are not relayed again.
func (s *Store) Direct() port.LeaseStore { return calls(s.guarded) }

// guarded refuses calls of others at once while the direct way fails, so that
// an outage of the store is not multiplied by relays.
func (s *Store) guarded(ctx context.Context, _ string, call func(port.LeaseStore) error) error {
	if !s.healthy() {
		return &port.UnavailableError{Op: "relay", Err: errDirectFailed}
	}
	return s.callDirect(ctx, call)
}

// callDirect makes a call to the store itself and notes whether it answered.
func (s *Store) callDirect(ctx context.Context, call func(port.LeaseStore) error) error {
	begun := time.Now()
	err := call(s.direct)
	silent := errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(begun) >= directSilence
	if ctx.Err() == nil || silent {
		s.note(err)
	}
	return err
}

// healthy reports whether the last direct call was answered. While it was not,
// a read of its own tries the way: calls that did would wait for a store that
// is silent, and a watch is answered long after the way is open again.
func (s *Store) healthy() bool { return s.failedMS.Load() == 0 }

// probe tries the direct way.
func (s *Store) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directSilence)
	defer cancel()
	_, err := s.direct.Get(ctx, probeKey)
	s.note(err)
}

// probeDue reports whether the direct way should be tried in spite of failures.
func (s *Store) probeDue() bool {
	now, last := steady.NowMS(), s.probeMS.Load()
	return now-last > directRetryMS && s.probeMS.CompareAndSwap(last, now)
}

func (s *Store) note(err error) {
	var unknown *port.OutcomeUnknownError
	if port.HadNoEffect(err) || errors.As(err, &unknown) {
		now := steady.NowMS()
		s.failedMS.Store(now)
		// The failure is as good as a try: the next one comes after the usual time.
		s.probeMS.Store(now)
		return
	}
	s.failedMS.Store(0)
}

// run times a call.
func (s *Store) run(ctx context.Context, op string, call func(port.LeaseStore) error) error {
	begun := time.Now()
	err := s.route(ctx, call)
	result := outcome(err)
	if result == "ok" || result == "refused" {
		s.answeredMS.Store(steady.NowMS())
	}
	s.metrics.Timer("store." + op + "." + result).UpdateSince(begun)
	return err
}

// LastResponseAgeMS returns the time since a call last got a response.
func (s *Store) LastResponseAgeMS() int64 { return steady.NowMS() - s.answeredMS.Load() }

// outcome names the result of a call for the metrics.
func outcome(err error) string {
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

// route makes a call directly and, where that had no effect, through others.
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
	for _, p := range peers[:min(len(peers), maxPeers)] {
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

var errDirectFailed = errors.New("the store did not answer this instance within the last second")
