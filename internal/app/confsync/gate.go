package confsync

import (
	"fmt"
	"net/http"
	"time"

	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/refusal"
)

// staleRetryAfter is the wait that a refused caller is asked for. It is longer
// than the pause between two attempts to confirm the configuration.
const staleRetryAfter = 2 * time.Second

// Resolve returns what the key proves. It refuses with configuration_stale,
// not_ready or key_unknown. The team of a request comes from here only. The
// part that answers the caller counts the refusal.
func (s *Sync) Resolve(key teamkey.Key) (Identity, error) {
	// Freshness is read first: a version is installed before it is confirmed,
	// so the snapshot read afterwards is at least the confirmed one.
	if err := s.CheckFresh(); err != nil {
		return Identity{}, err
	}
	if key.IsZero() {
		return Identity{}, refusal.New(http.StatusUnauthorized, refusal.KeyMissing,
			"the call carries no key", "present the team's key as a bearer token")
	}
	identity, ok := s.current.Load().Lookup(key)
	if !ok {
		return Identity{}, refusal.New(http.StatusUnauthorized, refusal.KeyUnknown,
			"the key is not known or was withdrawn", "ask an operator of the cell for a key")
	}
	return identity, nil
}

// CheckFresh returns a refusal while the configuration is not fresh.
func (s *Sync) CheckFresh() error {
	if s.Fresh() {
		return nil
	}
	if s.current.Load() == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady,
			"the instance holds no configuration yet", "repeat the call, another instance may be ready").WithRetryAfter(staleRetryAfter)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.ConfigurationStale,
		fmt.Sprintf("the instance could not confirm its configuration for %s", MaxAge),
		"repeat the call, another instance may have contact").WithRetryAfter(staleRetryAfter)
}

// Fresh reports whether keyed work may be accepted.
func (s *Sync) Fresh() bool { return s.freshness.fresh(s.clock.Now()) }

// Ready reports whether a fresh instance may take callers: it holds a
// configuration and that is fresh.
func (s *Sync) Ready() bool { return s.current.Load() != nil && s.Fresh() }

// Age returns how long ago the configuration was last confirmed. It returns
// false while it was never confirmed.
func (s *Sync) Age() (time.Duration, bool) {
	confirmed, _ := s.freshness.times()
	if confirmed.IsZero() {
		return 0, false
	}
	return s.clock.Now().Sub(confirmed), true
}
