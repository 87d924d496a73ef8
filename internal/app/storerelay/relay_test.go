package storerelay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// refusingStore is a store that refuses writes of this instance.
type refusingStore struct {
	port.LeaseStore
	err   error
	calls int
}

func (s *refusingStore) Commit(context.Context, port.Txn) (int64, error) {
	s.calls++
	return 0, s.err
}

func newRelay(direct port.LeaseStore, peers ...port.LeaseStore) *Store {
	return New(direct, func() []port.LeaseStore { return peers }, metrics.New())
}

// Guards against an instance that cannot write because the store refuses only
// its calls, and against relaying a write that may already have taken effect.
func TestRelayOnlyWithoutEffect(t *testing.T) {
	unavailable := &port.UnavailableError{Op: "commit", Err: errors.New("status 429")}
	unknown := &port.OutcomeUnknownError{Op: "commit", Err: errors.New("no response")}
	cases := []struct {
		name   string
		direct error
		peer   error
		want   error
		writes int
	}{
		{"refused, peer succeeds", unavailable, nil, nil, 1},
		{"refused, peer refused too", unavailable, unavailable, unavailable, 0},
		{"outcome unknown is not relayed", unknown, nil, unknown, 0},
		{"outcome unknown at the peer", unavailable, unknown, unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := leasestore.New()
			var peer port.LeaseStore = store
			if c.peer != nil {
				peer = &refusingStore{err: c.peer}
			}
			_, err := newRelay(&refusingStore{err: c.direct}, peer).Commit(context.Background(), port.Txn{Puts: []port.Put{{Key: "k"}}})
			if !errors.Is(err, c.want) {
				t.Errorf("error is %v, want %v", err, c.want)
			}
			if n := store.Writes(); n != c.writes {
				t.Errorf("%d writes took effect, want %d", n, c.writes)
			}
		})
	}
}

// unresponsiveStore is a store that does not respond to this instance.
type unresponsiveStore struct {
	port.LeaseStore
	calls atomic.Int64
}

func (s *unresponsiveStore) RenewLease(ctx context.Context, _ int64) error {
	s.calls.Add(1)
	<-ctx.Done()
	return &port.OutcomeUnknownError{Op: "keep lease", Err: ctx.Err()}
}

func (s *unresponsiveStore) Get(ctx context.Context, _ string) (port.Entry, error) {
	<-ctx.Done()
	return port.Entry{}, &port.UnavailableError{Op: "get", Err: ctx.Err()}
}

// Guards against an owner that loses its claim because the store does not respond
// to it alone: its renewals timed out before the direct connection counted as
// failed, so none was relayed, and every second all of them used it again.
func TestRenewalsWhenStoreIsUnresponsive(t *testing.T) {
	const ttl, renewals, renewalTimeout = 1200 * time.Millisecond, 12, 600 * time.Millisecond
	store := leasestore.New()
	lease, _, err := store.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	direct := &unresponsiveStore{}
	s := newRelay(direct, store)
	var all sync.WaitGroup
	var mu sync.Mutex
	last, longest := time.Now(), time.Duration(0)
	for range renewals {
		all.Go(func() {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), renewalTimeout)
			defer cancel()
			if s.RenewLease(ctx, lease) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(last))
			last = sent
		})
		time.Sleep(ttl / 4)
	}
	all.Wait()
	if longest = max(longest, time.Since(last)-renewalTimeout); longest > ttl {
		t.Errorf("%v passed between successful renewals, longer than the claim's TTL of %v", longest, ttl)
	}
	t.Logf("longest gap %v, %d calls used the unresponsive direct connection", longest, direct.calls.Load())
}

// Guards against relays that multiply the load of a store outage: an instance
// without a direct connection makes no calls for others, and makes few direct
// calls of its own.
func TestOutageDoesNotMultiplyCalls(t *testing.T) {
	down := &refusingStore{err: &port.UnavailableError{Op: "commit", Err: errors.New("status 503")}}
	s := newRelay(down)
	for range 20 {
		if _, err := s.Commit(context.Background(), port.Txn{}); err == nil {
			t.Fatal("a write succeeded without a store")
		}
		if _, err := s.Direct().Commit(context.Background(), port.Txn{}); err == nil {
			t.Fatal("a relayed write succeeded without a store")
		}
	}
	if down.calls > 3 {
		t.Errorf("%d calls reached the store that is down, want at most 3", down.calls)
	}
}

// failableStore is a store that can be down, and whose watches wait for changes.
type failableStore struct {
	*leasestore.Store
	down atomic.Bool
}

var errStoreDown = &port.UnavailableError{Op: "watch", Err: errors.New("status 503")}

func (s *failableStore) Get(ctx context.Context, key string) (port.Entry, error) {
	if s.down.Load() {
		return port.Entry{}, errStoreDown
	}
	return s.Store.Get(ctx, key)
}

func (s *failableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	if s.down.Load() {
		return port.WatchResult{}, errStoreDown
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against an instance that remains without the store after an outage
// because the call that probed the direct connection was a watch, which gets
// its response late.
func TestReadsRecoverDuringWatches(t *testing.T) {
	store := &failableStore{Store: leasestore.New()}
	s := newRelay(store)
	store.down.Store(true)
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if _, err := s.Watch(t.Context(), "k", 0, 2*time.Second); err != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
	time.Sleep(700 * time.Millisecond)
	store.down.Store(false)
	time.Sleep((probeIntervalMS + 200) * time.Millisecond)
	if _, err := s.Get(t.Context(), "k"); errors.As(err, new(*port.UnavailableError)) {
		t.Errorf("a read %d ms after the outage failed: %v", probeIntervalMS+200, err)
	}
	close(stop)
	all.Wait()
}
