package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// slowCommits delays every write, but serves any number of them concurrently.
type slowCommits struct {
	*leasestore.Store
	delay time.Duration
}

func (s *slowCommits) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	time.Sleep(s.delay / 2)
	revision, err := s.Store.Commit(ctx, txn)
	time.Sleep(s.delay / 2)
	return revision, err
}

// Guards against writes that wait for each other while the store is slow: at 540 workers and 180
// jobs per second, with 320 ms per write, submissions were answered after 1.9 s and the ends of
// jobs stored after 2.4 s.
func TestConcurrentWritesWhileStoreIsSlow(t *testing.T) {
	const (
		writeDelay = 320 * time.Millisecond
		perSecond  = 190
		seconds    = 3
		// A job of the short class has one second beyond its run time; acceptance takes one write
		// and leaves the same for the end.
		bound = writeDelay + 200*time.Millisecond
	)
	c := newFleetTest(t, 60, 100*time.Millisecond)
	slow := &slowCommits{Store: c.store}
	c.claimStore = slow
	cell := c.start("a").awaitOwned(t)
	c.submit(cell, "first", 1)
	slow.delay = writeDelay
	var mu sync.Mutex
	var latencies []time.Duration
	var all sync.WaitGroup
	for n := range perSecond * seconds {
		all.Go(func() {
			start := time.Now()
			r := c.submit(cell, fmt.Sprint("j", n), 3)
			mu.Lock()
			defer mu.Unlock()
			if !r.Accepted {
				t.Errorf("submission: %+v", r)
			}
			latencies = append(latencies, time.Since(start))
		})
		time.Sleep(time.Second / perSecond)
	}
	all.Wait()
	slices.Sort(latencies)
	p95 := latencies[len(latencies)*95/100]
	t.Logf("submissions were answered after %v (p50) and %v (p95)", latencies[len(latencies)/2], p95)
	if p95 > bound {
		t.Errorf("p95 of replies is %v, want at most %v", p95, bound)
	}
}
