package owner

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// heldCommits keeps writes of job states under way while a gate is set, or has the store refuse them.
type heldCommits struct {
	*leasestore.Store
	gate            atomic.Pointer[chan struct{}]
	held            atomic.Int64
	refuses, losing atomic.Bool
}

func (s *heldCommits) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	gate := s.gate.Load()
	if gate == nil || !writesState(txn) {
		return s.Store.Commit(ctx, txn)
	}
	s.held.Add(1)
	<-*gate
	switch {
	case s.refuses.Load():
		return 0, &port.UnavailableError{Op: "commit", Err: errors.New("refused")}
	case s.losing.Load():
		return 0, &port.OutcomeUnknownError{Op: "commit", Err: errors.New("lost")}
	}
	return s.Store.Commit(ctx, txn)
}

func writesState(txn port.Txn) bool {
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, statePrefix) {
			return true
		}
	}
	return false
}

// hold keeps the writes of job states that follow under way until the returned function is called.
func (s *heldCommits) hold() (release func()) {
	gate := make(chan struct{})
	s.gate.Store(&gate)
	return func() {
		s.gate.Store(nil)
		close(gate)
	}
}

// awaitHeld waits until a write is held.
func (s *heldCommits) awaitHeld(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.held.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no state of a job is written after 5 s")
		}
	}
}

// storedEnd reports whether the store holds the end of the job.
func (c *cellTest) storedEnd(id string) bool {
	c.t.Helper()
	entry, err := c.store.Get(context.Background(), statePrefix+id)
	if err != nil {
		c.t.Fatal(err)
	}
	var r jobs.StateRecord
	if err := cbor.Unmarshal(entry.Value, &r); err != nil {
		c.t.Fatal(err)
	}
	return r.State.Terminal()
}

// Guards against a cancellation that is acknowledged while the write of the job's end is only under way: the
// store is down, the claim runs out, and the next owner knows of no cancellation and runs the job. The job has
// ended by a cancellation sent before or by its last success, and the write is late, refused or lost.
func TestCancellationIsAcknowledgedOnceStored(t *testing.T) {
	const wait = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		runTime     time.Duration
		fate        func(*heldCommits)
		ownerChange bool
	}{
		"cancelled, write late":    {runTime: time.Minute},
		"cancelled, write refused": {runTime: time.Minute, fate: func(s *heldCommits) { s.refuses.Store(true) }},
		"cancelled, write lost":    {runTime: time.Minute, fate: func(s *heldCommits) { s.losing.Store(true) }, ownerChange: true},
		"completed, write late":    {runTime: 50 * time.Millisecond},
		"completed, write refused": {runTime: 50 * time.Millisecond, fate: func(s *heldCommits) { s.refuses.Store(true) }},
		"completed, write lost":    {runTime: 50 * time.Millisecond, fate: func(s *heldCommits) { s.losing.Store(true) }, ownerChange: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCellTest(t, tc.runTime)
			c.claimTTL = 2 * time.Second
			store := &heldCommits{Store: c.store}
			c.claimStore = store
			i := c.start("a")
			cell := i.awaitOwned(t)
			if r := c.submit(cell, "job", 1); !r.Accepted {
				t.Fatalf("submission: %+v", r)
			}
			release := store.hold()
			cancel := func(when string) bool {
				ctx, stop := context.WithTimeout(t.Context(), wait)
				defer stop()
				r, err := cell.Cancel(ctx, port.JobRequest{Job: "job", Team: "team"})
				if stored := c.storedEnd("job"); err == nil && r.Done && !stored {
					t.Errorf("%s: a cancellation is acknowledged, and the store holds no end of the job", when)
				}
				return err == nil && r.Done
			}
			if tc.runTime > wait {
				cancel("first cancellation")
			}
			store.awaitHeld(t)
			cancel("while the write is under way")
			if tc.fate != nil {
				tc.fate(store)
			}
			release()
			cancel("after the write")
			if tc.ownerChange {
				i.stop()
				<-i.done
				store.losing.Store(false)
				i = c.start("b")
				cell = i.awaitOwned(t)
			}
			for deadline := time.Now().Add(5 * time.Second); !cancel("in the end"); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("no cancellation is acknowledged 5 s after the store takes writes again")
				}
			}
		})
	}
}

// Guards against a cancellation that gets no answer until its deadline, and one that is kept for the whole term,
// although its job was refused because the store took no writes.
func TestCancellationOfRefusedSubmission(t *testing.T) {
	c := newCellTest(t, time.Minute)
	c.claimTTL = 4 * storeDownAfter
	store := &heldCommits{Store: c.store}
	c.claimStore = store
	cell := c.start("a").awaitOwned(t)
	c.submit(cell, "before", 1)
	release := store.hold()
	submitted := make(chan port.SubmitReply, 1)
	go func() { submitted <- c.submit(cell, "job", 1) }()
	store.awaitHeld(t)
	c.store.SetFault(leasestore.Down)
	defer c.store.SetFault(leasestore.None)
	release()
	ctx, stop := context.WithTimeout(t.Context(), 3*storeDownAfter)
	defer stop()
	r, err := cell.Cancel(ctx, port.JobRequest{Job: "job", Team: "team"})
	if s := <-submitted; s.Accepted || s.RetryAfterMS == 0 {
		t.Fatalf("the submission is answered with %+v, want a refusal", s)
	}
	if err != nil || r.Found || ctx.Err() != nil {
		t.Errorf("the cancellation of a refused job is answered with %+v, %v (context: %v), want that the job is not known", r, err, ctx.Err())
	}
}
