package confsync

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxAge is the age of a confirmation after which an instance fails closed. It
// is also the bound within which a withdrawn key stops working.
const MaxAge = 8 * time.Second

// freshness keeps the latest time for which it is confirmed that no version
// above the applied one was accepted. Times are those of this instance.
type freshness struct {
	mu sync.Mutex
	// known is the highest version heard of from any source.
	known uint64
	// confirmed is the latest confirmed time from any source. It stays valid
	// when a higher version is applied: no version above the lower one was
	// accepted by then, hence none above the higher one.
	// It is read by each keyed request, hence without the lock.
	confirmed atomic.Pointer[time.Time]
	// storeConfirmed is the latest time confirmed by the store, by a call of
	// this instance or by one that a peer relayed.
	storeConfirmed time.Time
}

// hear notes that the version exists.
func (f *freshness) hear(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = max(f.known, version)
}

// knownVersion returns the highest version heard of.
func (f *freshness) knownVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// confirmByStore records that the store showed the version, which is applied,
// in a call that began at the time. A version below one heard of confirms
// nothing, because the store then answered from its past.
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

// confirmByPeers records that every live instance knew nothing newer.
func (f *freshness) confirmByPeers(version uint64, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.known {
		return false
	}
	f.advance(at)
	return true
}

// advance moves the confirmed time forward. The caller holds the lock.
func (f *freshness) advance(at time.Time) {
	if old := f.confirmed.Load(); old == nil || at.After(*old) {
		f.confirmed.Store(&at)
	}
}

// times returns the latest confirmed time, and the latest one from the store.
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

// confirmedByAll returns the time that the statements of all other instances
// confirm for the version: the oldest of their pings. It returns false when one
// of them has not acknowledged, knows a newer version or has an edit in flight.
// now is the result where this instance is the only one.
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
