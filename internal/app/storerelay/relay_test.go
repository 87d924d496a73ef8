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

// turnedAway is a store that refuses this instance only.
type turnedAway struct {
	port.LeaseStore
	err   error
	calls int
}

func (s *turnedAway) Commit(context.Context, port.Txn) (int64, error) {
	s.calls++
	return 0, s.err
}

func relayOver(direct port.LeaseStore, peers ...port.LeaseStore) *Store {
	return New(direct, func() []port.LeaseStore { return peers }, metrics.New())
}

// Guards against an instance that stands idle because the store turns it away,
// and against a write that is relayed although it may have taken effect.
func TestRelay(t *testing.T) {
	unavailable := &port.UnavailableError{Op: "commit", Err: errors.New("status 429")}
	unknown := &port.OutcomeUnknownError{Op: "commit", Err: errors.New("no answer")}
	cases := []struct {
		name   string
		direct error
		peer   error
		want   error
		writes int
	}{
		{"turned away, peer serves", unavailable, nil, nil, 1},
		{"turned away, peer too", unavailable, unavailable, unavailable, 0},
		{"outcome unknown is not relayed", unknown, nil, unknown, 0},
		{"outcome unknown at the peer", unavailable, unknown, unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := leasestore.New()
			var peer port.LeaseStore = store
			if c.peer != nil {
				peer = &turnedAway{err: c.peer}
			}
			_, err := relayOver(&turnedAway{err: c.direct}, peer).Commit(context.Background(), port.Txn{Puts: []port.Put{{Key: "k"}}})
			if !errors.Is(err, c.want) {
				t.Errorf("error is %v, want %v", err, c.want)
			}
			if n := store.Writes(); n != c.writes {
				t.Errorf("%d writes took effect, want %d", n, c.writes)
			}
		})
	}
}

// silent is a store that does not answer this instance.
type silent struct {
	port.LeaseStore
	calls atomic.Int64
}

func (s *silent) RenewLease(ctx context.Context, _ int64) error {
	s.calls.Add(1)
	<-ctx.Done()
	return &port.OutcomeUnknownError{Op: "keep lease", Err: ctx.Err()}
}

func (s *silent) Get(ctx context.Context, _ string) (port.Entry, error) {
	<-ctx.Done()
	return port.Entry{}, &port.UnavailableError{Op: "get", Err: ctx.Err()}
}

// Guards against an owner that loses its claim because the store is silent to
// it alone: its renewals gave up before the way counted as failed, so none went
// through another instance, and again each second all went the silent way.
func TestRenewalsPassASilentWay(t *testing.T) {
	const ttl, renewals, renewalTime = 1200 * time.Millisecond, 12, 600 * time.Millisecond
	store := leasestore.New()
	lease, _, err := store.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	direct := &silent{}
	s := relayOver(direct, store)
	var all sync.WaitGroup
	var mu sync.Mutex
	last, worst := time.Now(), time.Duration(0)
	for range renewals {
		all.Go(func() {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), renewalTime)
			defer cancel()
			if s.RenewLease(ctx, lease) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			worst = max(worst, time.Since(last))
			last = sent
		})
		time.Sleep(ttl / 4)
	}
	all.Wait()
	if worst = max(worst, time.Since(last)-renewalTime); worst > ttl {
		t.Errorf("%v passed between answered renewals, the claim lives for %v", worst, ttl)
	}
	t.Logf("worst gap %v, %d calls went the silent way", worst, direct.calls.Load())
}

// Guards against an outage of the store that is multiplied: an instance that
// does not reach the store itself makes no calls for others, and tries its own
// way once a second.
func TestOutageIsNotMultiplied(t *testing.T) {
	down := &turnedAway{err: &port.UnavailableError{Op: "commit", Err: errors.New("status 503")}}
	s := relayOver(down)
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

// outage is a store that is down for a while, and whose watches last.
type outage struct {
	*leasestore.Store
	down atomic.Bool
}

var errDown = &port.UnavailableError{Op: "watch", Err: errors.New("status 503")}

func (o *outage) Get(ctx context.Context, key string) (port.Entry, error) {
	if o.down.Load() {
		return port.Entry{}, errDown
	}
	return o.Store.Get(ctx, key)
}

func (o *outage) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	if o.down.Load() {
		return port.WatchResult{}, errDown
	}
	return o.Store.Watch(ctx, prefix, after, wait)
}

// Guards against an instance that stays without the store after an outage
// because the call that tried the way again was a watch, which is answered late.
func TestWayOpensAgainBesideWatches(t *testing.T) {
	store := &outage{Store: leasestore.New()}
	s := relayOver(store)
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
	time.Sleep((directRetryMS + 200) * time.Millisecond)
	if _, err := s.Get(t.Context(), "k"); errors.As(err, new(*port.UnavailableError)) {
		t.Errorf("%d ms after the outage a read was answered with %v", directRetryMS+200, err)
	}
	close(stop)
	all.Wait()
}
