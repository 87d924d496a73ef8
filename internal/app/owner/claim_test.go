package owner

import (
	"context"
	"sync/atomic"
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
	r, err := o.acquireClaim(context.Background(), 0)
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

// countedLists counts the lists of the claim.
type countedLists struct {
	*leasestore.Store
	lists atomic.Int64
}

func (s *countedLists) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	if prefix == ownerKey {
		s.lists.Add(1)
	}
	return s.Store.List(ctx, prefix)
}

// Guards against a successor that reads the claim again although its watch has
// told that it ended: with a slow store each call is a part of the takeover.
func TestSuccessorClaimsAtOnce(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	a := c.start("a")
	a.owned(t)
	counted := &countedLists{Store: c.store}
	c.claimStore = counted
	b := c.start("b")
	// The successor has listed the claim and watches it.
	for deadline := time.Now().Add(5 * time.Second); counted.lists.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	before := counted.lists.Load()
	a.stop()
	b.owned(t)
	if n := counted.lists.Load() - before; n > 0 {
		t.Errorf("the successor listed the claim %d times after it had ended", n)
	}
}

// lossyKeeps loses two of three answers to renewals, which the caller notices
// when its time is over.
type lossyKeeps struct {
	*leasestore.Store
	calls atomic.Int64
}

func (s *lossyKeeps) RenewLease(ctx context.Context, lease int64) error {
	if err := s.Store.RenewLease(ctx, lease); err != nil || s.calls.Add(1)%3 == 0 {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a claim that counts as unconfirmed, so that submissions are
// refused, because renewals wait for answers that are lost.
func TestLostRenewals(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	lossy := &lossyKeeps{Store: c.store}
	c.claimStore = lossy
	cell := c.start("a").owned(t)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !cell.claimConfirmed() {
			t.Fatal("the claim is not confirmed although every third renewal is answered")
		}
	}
}
