package confsync

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxAge is the age of the last confirmation beyond which an instance rejects keyed work. It is also
// the time within which a withdrawn key stops working.
const MaxAge = 8 * time.Second

// freshness records the latest time up to which it is confirmed that no version above the applied one
// was accepted. All times are by the clock of this instance.
type freshness struct {
	mu sync.Mutex
	// known is the highest version reported by any source.
	known uint64
	// confirmed is the latest confirmed time from any source. It stays valid when a higher version is
	// applied: if no version above the lower one was accepted by then, none above the higher one was.
	// It is atomic because every keyed request reads it.
	confirmed atomic.Pointer[time.Time]
	// storeConfirmed is the latest time confirmed by the store, either directly or through the
	// statement of a peer.
	storeConfirmed time.Time
}

// addKnown records that the version exists.
func (f *freshness) addKnown(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = max(f.known, version)
}

// knownVersion returns the highest version known to exist.
func (f *freshness) knownVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// confirmByStore records that a call to the store that began at the given time returned the applied
// version. A version below the highest known one confirms nothing, because the read was stale.
func (f *freshness) confirmByStore(version uint64, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.known {
		return false
	}
	f.storeConfirmed = later(f.storeConfirmed, at)
	f.advance(at)
	return true
}

// confirmByPeers records that at the given time no live instance knew of a newer version.
func (f *freshness) confirmByPeers(version uint64, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.known {
		return false
	}
	f.advance(at)
	return true
}

// advance moves the confirmed time forward. The caller must hold the lock.
func (f *freshness) advance(at time.Time) {
	if old := f.confirmed.Load(); old == nil || at.After(*old) {
		f.confirmed.Store(&at)
	}
}

// times returns the latest time confirmed by any source and the latest one confirmed by the store.
func (f *freshness) times() (confirmed, byStore time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.confirmed.Load(); c != nil {
		confirmed = *c
	}
	return confirmed, f.storeConfirmed
}

func (f *freshness) fresh(now time.Time) bool {
	confirmed := f.confirmed.Load()
	return confirmed != nil && now.Sub(*confirmed) <= MaxAge
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// confirmedByAll returns the time up to which the statements of all other instances confirm the
// version: the time of the oldest acknowledged ping, or now if there are no other instances. It
// returns false if any of them has not acknowledged a ping, knows a newer version or has an edit in
// flight.
func confirmedByAll(statements []PeerStatement, version uint64, now time.Time) (time.Time, bool) {
	at := now
	for _, s := range statements {
		if s.PingSent.IsZero() || s.EditInFlight || s.Version > version {
			return time.Time{}, false
		}
		if s.PingSent.Before(at) {
			at = s.PingSent
		}
	}
	return at, true
}
