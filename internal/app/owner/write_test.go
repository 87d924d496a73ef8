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

// slowCommits is a store that takes a while for each write and serves any
// number of them at once.
type slowCommits struct {
	*leasestore.Store
	takes time.Duration
}

func (s *slowCommits) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	time.Sleep(s.takes / 2)
	revision, err := s.Store.Commit(ctx, txn)
	time.Sleep(s.takes / 2)
	return revision, err
}

// Guards against answers that wait for one write after the other while the
// store is slow: at 540 workers and 180 jobs a second, with 320 ms for each
// write, submissions were answered after 1.9 s and their ends stored after 2.4 s.
func TestManyJobsWhileStoreIsSlow(t *testing.T) {
	const (
		takes     = 320 * time.Millisecond
		perSecond = 190
		seconds   = 3
		// A job of the short class has a second beyond its run; acceptance takes
		// the time of one write and leaves as much for the end.
		bound = takes + 200*time.Millisecond
	)
	c := newFleetTest(t, 60, 100*time.Millisecond)
	slow := &slowCommits{Store: c.store}
	c.claimStore = slow
	cell := c.start("a").owned(t)
	c.submit(cell, "first", 1)
	slow.takes = takes
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	for n := range perSecond * seconds {
		all.Go(func() {
			begun := time.Now()
			r := c.submit(cell, fmt.Sprint("j", n), 3)
			mu.Lock()
			defer mu.Unlock()
			if !r.Accepted {
				t.Errorf("submission: %+v", r)
			}
			took = append(took, time.Since(begun))
		})
		time.Sleep(time.Second / perSecond)
	}
	all.Wait()
	slices.Sort(took)
	p95 := took[len(took)*95/100]
	t.Logf("submissions were answered after %v (p50) and %v (p95)", took[len(took)/2], p95)
	if p95 > bound {
		t.Errorf("p95 of answers is %v, want at most %v", p95, bound)
	}
}
