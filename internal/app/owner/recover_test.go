package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// slowLists is a store that takes a while to list what is kept of jobs.
type slowLists struct {
	*leasestore.Store
	takes time.Duration
	lists atomic.Int64
}

func (s *slowLists) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	if prefix == statePrefix || prefix == jobPrefix {
		s.lists.Add(1)
		select {
		case <-time.After(s.takes):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return s.Store.List(ctx, prefix)
}

// Guards against a cell that nobody can take over while the store is slow: the
// list of 4,000 jobs takes longer than a claim lives that is not renewed
// meanwhile, so each successor lost its claim before it had recovered.
func TestRecoveryOutlivesClaim(t *testing.T) {
	c := newCellTest(t, 100*time.Millisecond)
	slow := &slowLists{Store: c.store}
	c.claimStore = slow
	first := c.start("a")
	c.submit(first.owned(t), "before", 4)
	first.stop()
	<-first.done
	// The claim of a test lives for 300 ms.
	slow.takes = 900 * time.Millisecond
	slow.lists.Store(0)
	next := c.start("b")
	cell := next.owned(t)
	<-cell.recovered
	if n := slow.lists.Load(); n > 2 {
		t.Errorf("%d lists were read for one recovery", n)
	}
	c.completed(next, "before")
	c.check()
}

// Guards against submissions that are refused while the next owner reads the
// state of the cell, which takes less than callers would stay away.
func TestSubmissionsWaitForRecovery(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	slow := &slowLists{Store: c.store, takes: recoveryWait / 2}
	c.claimStore = slow
	i := c.start("a")
	cell := i.owned(t)
	if r := c.submit(cell, "early", 1); !r.Accepted {
		t.Errorf("a submission during the recovery was answered with %+v", r)
	}
	c.completed(i, "early")
}

// Guards against a takeover that reads the specification of every job that has
// ended within the last minutes, which are most of those in the store.
func TestEndedJobsLeaveNoSpecification(t *testing.T) {
	c := newCellTest(t, 20*time.Millisecond)
	i := c.start("a")
	cell := i.owned(t)
	for n := range 5 {
		c.submit(cell, fmt.Sprint("j", n), 2)
	}
	for n := range 5 {
		c.completed(i, fmt.Sprint("j", n))
	}
	specs, _, err := c.store.List(t.Context(), jobPrefix)
	if err != nil || len(specs) > 0 {
		t.Errorf("%d specifications are kept of 5 ended jobs (error %v)", len(specs), err)
	}
	states, _, err := c.store.List(t.Context(), statePrefix)
	if err != nil || len(states) != 5 {
		t.Errorf("%d states are kept of 5 ended jobs (error %v)", len(states), err)
	}
}
