package owner

import (
	"context"
	"testing"
	"time"

	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
	"auburnpier/internal/steady"
)

// slowGrant grants a lease at once and answers late, once the sequence was read.
type slowGrant struct {
	*leasestore.Store
	grantedMS int64
	read      chan struct{}
	alone     bool
}

func (s *slowGrant) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, ttl, err := s.Store.GrantLease(ctx, ttl)
	s.grantedMS = steady.NowMS()
	select {
	case <-s.read:
	case <-time.After(500 * time.Millisecond):
		s.alone = true
	}
	time.Sleep(50 * time.Millisecond)
	return lease, ttl, err
}

func (s *slowGrant) Get(ctx context.Context, key string) (port.Entry, error) {
	if key == sequenceKey {
		defer close(s.read)
	}
	return s.Store.Get(ctx, key)
}

// Guards against a claim that is held for certain after its lease may have
// ended, since the lease runs from the arrival of the call and not from its
// answer, and against a takeover that waits for one store call after the other.
func TestClaimWithSlowStore(t *testing.T) {
	store := &slowGrant{Store: leasestore.New(), read: make(chan struct{})}
	c := newCellTest(t, 50*time.Millisecond)
	o := New(Options{Instance: "a", Address: "a", ClaimTTL: 2 * time.Second}, Ports{Store: store, Workers: c.fleet, Peers: noPeers{}}, nil, nil)
	r, err := o.claim(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if r.claimedMS > store.grantedMS {
		t.Errorf("the claim counts from %d ms after the lease was granted", r.claimedMS-store.grantedMS)
	}
	if store.alone {
		t.Error("the sequence is read only once the lease was granted")
	}
}
