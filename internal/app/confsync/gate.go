package confsync

import (
	"fmt"
	"net/http"
	"time"

	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/refusal"
)

// staleRetryAfter is the delay after which a refused caller should retry. It is longer than the
// interval between attempts to confirm the configuration.
const staleRetryAfter = 2 * time.Second

// Resolve returns the identity that the key authenticates. It is the only source of a request's team.
// It refuses with configuration_stale, not_ready, key_missing or key_unknown; the refusal is counted
// where the response is sent, not here.
func (s *Sync) Resolve(key teamkey.Key) (Identity, error) {
	// Freshness is checked first: a version is put in force before it is confirmed, so the snapshot
	// loaded afterwards is at least the confirmed version.
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

// Ready reports whether the instance may receive requests: it has a configuration, which is fresh.
func (s *Sync) Ready() bool { return s.current.Load() != nil && s.Fresh() }

// Age returns the time since the configuration was last confirmed, or false if it never was.
func (s *Sync) Age() (time.Duration, bool) {
	confirmed, _ := s.freshness.times()
	if confirmed.IsZero() {
		return 0, false
	}
	return s.clock.Now().Sub(confirmed), true
}
