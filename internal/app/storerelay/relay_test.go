package storerelay

import (
	"context"
	"errors"
	"testing"

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
