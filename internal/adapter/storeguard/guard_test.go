package storeguard

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// Guards against retrying a write that the store may already have applied: only calls that provably
// had no effect may be retried.
func TestRetriesOnlyCallsWithoutEffect(t *testing.T) {
	cases := []struct {
		name   string
		action store.Action
		times  int
		calls  int64
		ok     bool
	}{
		{"no fault", store.Refuse, 0, 1, true},
		{"refused once", store.Refuse, 1, 2, true},
		{"refused every time", store.Refuse, 9, 3, false},
		{"lost response", store.LoseAnswer, 1, 1, false},
		{"lost request", store.LoseRequest, 1, 1, false},
		{"hanging", store.Hang, 1, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := store.NewFaulty(store.New())
				if c.times > 0 {
					f.Inject(store.Fault{Action: c.action, Times: c.times})
				}
				m := metrics.New()
				start := time.Now()
				_, err := New(f, m, Config{}).CompareAndSwap(t.Context(), "k", 0, nil)
				if (err == nil) != c.ok || f.Calls(store.CompareAndSwap) != c.calls {
					t.Fatalf("%d calls, error %v", f.Calls(store.CompareAndSwap), err)
				}
				if m.Counter("store.calls.cas").Count() != c.calls || m.Counter("retry.store_unavailable").Count() != c.calls-1 {
					t.Fatalf("counted %d calls, %d retries", m.Counter("store.calls.cas").Count(), m.Counter("retry.store_unavailable").Count())
				}
				if took := time.Since(start); took > 3*DefaultTimeout+time.Second {
					t.Fatalf("took %s", took)
				}
			})
		})
	}
}

// Guards against a timeout that ends a watch before its wait is over.
func TestWatchTimeoutIncludesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		g := New(f, metrics.New(), Config{})
		start := time.Now()
		if _, err := g.Watch(t.Context(), "k", 0, 10*time.Second); err != nil || time.Since(start) != 10*time.Second {
			t.Fatalf("after %s: %v", time.Since(start), err)
		}
		f.Inject(store.Fault{Action: store.Hang, Times: 1})
		start = time.Now()
		if _, err := g.Watch(t.Context(), "k", 0, 2*time.Second); err == nil || time.Since(start) != 2*time.Second+DefaultTimeout {
			t.Fatalf("after %s: %v", time.Since(start), err)
		}
		synctest.Wait()
	})
}

// Calls over the budget must wait, and must be refused without reaching the store if the wait would
// exceed the timeout.
func TestCallsOverBudgetWaitOrAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		m := metrics.New()
		g := New(f, m, Config{WritesPerSecond: 10, ReadsPerSecond: 10})
		start := time.Now()
		for range 40 {
			_, _ = g.Get(t.Context(), "k")
		}
		if took := time.Since(start); took < 2900*time.Millisecond || took > 3100*time.Millisecond {
			t.Fatalf("40 reads at 10/s after a burst of 10 took %s", took)
		}
		results := make(chan error, 60)
		for range cap(results) {
			go func() {
				_, err := g.CompareAndSwap(context.Background(), "k", 0, nil)
				results <- err
			}()
		}
		refused := 0
		for range cap(results) {
			var unavailable *port.UnavailableError
			if err := <-results; errors.Is(err, ErrOverBudget) && errors.As(err, &unavailable) {
				refused++
			}
		}
		// A burst of 10, then 10/s until the timeout of 1.5 s, gives 25 calls.
		if refused < 34 || refused > 36 || f.Calls(store.CompareAndSwap) != int64(60-refused) {
			t.Fatalf("%d refused, %d calls", refused, f.Calls(store.CompareAndSwap))
		}
	})
}
