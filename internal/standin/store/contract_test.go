package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"auburnpier/internal/adapter/storeguard"
	"auburnpier/internal/adapter/storehttp"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// adapters are the ways to reach the stand-in. Each must keep the contract of
// port.Store, also under the faults of the stand-in.
var adapters = []struct {
	name string
	over func(t *testing.T, f *store.Faulty) port.Store
}{
	{"direct", func(_ *testing.T, f *store.Faulty) port.Store { return f }},
	{"http", overHTTP},
	{"guard", func(_ *testing.T, f *store.Faulty) port.Store {
		return storeguard.New(f, metrics.New(), storeguard.Config{MaxAttempts: 1})
	}},
	{"guard over http", func(t *testing.T, f *store.Faulty) port.Store {
		return storeguard.New(overHTTP(t, f), metrics.New(), storeguard.Config{MaxAttempts: 1})
	}},
}

func overHTTP(t *testing.T, f *store.Faulty) port.Store {
	server := httptest.NewServer(storehttp.Handler(f))
	t.Cleanup(server.Close)
	return storehttp.NewClient(server.URL)
}

func eachAdapter(t *testing.T, test func(t *testing.T, s port.Store, f *store.Faulty)) {
	for _, a := range adapters {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			f := store.NewFaulty(store.New())
			test(t, a.over(t, f), f)
		})
	}
}

func swap(t *testing.T, s port.Store, key string, expected int64, value string) int64 {
	t.Helper()
	revision, err := s.CompareAndSwap(t.Context(), key, expected, []byte(value))
	if err != nil {
		t.Fatalf("compare-and-swap %s at %d: %v", key, expected, err)
	}
	return revision
}

// A write must take effect only at the expected revision, and a conflict must
// carry the current entry.
func TestContractCompareAndSwap(t *testing.T) {
	eachAdapter(t, func(t *testing.T, s port.Store, _ *store.Faulty) {
		first := swap(t, s, "a/x", 0, "one")
		second := swap(t, s, "a/x", first, "two")
		cases := []struct {
			name     string
			call     func() error
			current  int64
			expected int64
		}{
			{"create a present key", func() error { _, err := s.CompareAndSwap(t.Context(), "a/x", 0, nil); return err }, second, 0},
			{"write at an old revision", func() error { _, err := s.CompareAndSwap(t.Context(), "a/x", first, nil); return err }, second, first},
			{"write an absent key", func() error { _, err := s.CompareAndSwap(t.Context(), "a/y", first, nil); return err }, 0, first},
			{"delete at an old revision", func() error { return s.Delete(t.Context(), "a/x", first) }, second, first},
			{"delete an absent key", func() error { return s.Delete(t.Context(), "a/y", 0) }, 0, 0},
		}
		for _, c := range cases {
			var conflict *port.ConflictError
			if err := c.call(); !errors.As(err, &conflict) || conflict.Current.Revision != c.current || conflict.Expected != c.expected {
				t.Errorf("%s: got %v", c.name, err)
			}
		}
		e, err := s.Get(t.Context(), "a/x")
		if err != nil || string(e.Value) != "two" || e.Revision != second || e.Key != "a/x" {
			t.Fatalf("got %+v, %v", e, err)
		}
		if err := s.Delete(t.Context(), "a/x", second); err != nil {
			t.Fatal(err)
		}
		var missing *port.NotFoundError
		if _, err := s.Get(t.Context(), "a/x"); !errors.As(err, &missing) {
			t.Fatalf("got %v", err)
		}
	})
}

// A watch resumed from each returned revision must show every change below
// the prefix once, in order, and nothing else.
func TestContractWatch(t *testing.T) {
	eachAdapter(t, func(t *testing.T, s port.Store, _ *store.Faulty) {
		r1 := swap(t, s, "a/x", 0, "one")
		swap(t, s, "b/x", 0, "other")
		list, at, err := s.List(t.Context(), "a/")
		if err != nil || len(list) != 1 || at <= r1 {
			t.Fatalf("list %+v at %d, %v", list, at, err)
		}
		empty, err := s.Watch(t.Context(), "a/", at, 10*time.Millisecond)
		if err != nil || len(empty.Events) != 0 || empty.Gap || empty.Revision < at {
			t.Fatalf("got %+v, %v", empty, err)
		}
		r2 := swap(t, s, "a/x", r1, "two")
		if err := s.Delete(t.Context(), "a/x", r2); err != nil {
			t.Fatal(err)
		}
		got, err := s.Watch(t.Context(), "a/", at, time.Second)
		if err != nil || len(got.Events) != 2 {
			t.Fatalf("got %+v, %v", got, err)
		}
		if got.Events[0].Entry.Revision != r2 || string(got.Events[0].Entry.Value) != "two" || !got.Events[1].Deleted {
			t.Fatalf("got %+v", got.Events)
		}
		if got.Revision < got.Events[1].Entry.Revision {
			t.Fatalf("complete up to %d, last event at %d", got.Revision, got.Events[1].Entry.Revision)
		}
		waited := make(chan port.WatchResult, 1)
		go func() {
			r, _ := s.Watch(t.Context(), "a/", got.Revision, 5*time.Second)
			waited <- r
		}()
		time.Sleep(20 * time.Millisecond)
		swap(t, s, "a/y", 0, "woken")
		if r := <-waited; len(r.Events) != 1 || string(r.Events[0].Entry.Value) != "woken" {
			t.Fatalf("got %+v", r)
		}
	})
}

// Faults must surface as the typed errors, and a write must be reported as
// without effect only where it had none.
func TestContractFaults(t *testing.T) {
	write := func(ctx context.Context, s port.Store) error {
		_, err := s.CompareAndSwap(ctx, "a/x", 0, []byte("v"))
		return err
	}
	read := func(ctx context.Context, s port.Store) error {
		_, err := s.Get(ctx, "a/none")
		return err
	}
	watch := func(ctx context.Context, s port.Store) error {
		_, err := s.Watch(ctx, "a/", 0, time.Millisecond)
		return err
	}
	const (
		unavailable = "unavailable"
		unknown     = "unknown"
		missing     = "missing"
		none        = "none"
	)
	cases := []struct {
		name    string
		fault   store.Fault
		call    func(context.Context, port.Store) error
		want    string
		written bool // whether the write is in the store afterwards
	}{
		{"refused write", store.Fault{Action: store.Refuse}, write, unavailable, false},
		{"refused read", store.Fault{Action: store.Refuse}, read, unavailable, false},
		{"refused watch", store.Fault{Action: store.Refuse}, watch, unavailable, false},
		{"write with lost answer", store.Fault{Action: store.LoseAnswer}, write, unknown, true},
		{"write with lost request", store.Fault{Action: store.LoseRequest}, write, unknown, false},
		{"late write", store.Fault{Action: store.Late, Delay: 30 * time.Millisecond}, write, unknown, true},
		{"read with lost answer", store.Fault{Action: store.LoseAnswer}, read, unavailable, false},
		{"hanging write", store.Fault{Action: store.Hang}, write, unknown, false},
		{"hanging read", store.Fault{Action: store.Hang}, read, unavailable, false},
		{"slow write", store.Fault{Action: store.Slow, Delay: 20 * time.Millisecond}, write, none, true},
		{"write slower than the deadline", store.Fault{Action: store.Slow, Delay: 250 * time.Millisecond}, write, unknown, true},
		{"slow read", store.Fault{Action: store.Slow, Delay: 20 * time.Millisecond}, read, missing, false},
		{"fault of another kind", store.Fault{Action: store.Refuse, Kinds: []store.Kind{store.List}}, write, none, true},
		{"fault of another key", store.Fault{Action: store.Refuse, Key: "b/"}, write, none, true},
	}
	kindOf := func(err error) string {
		var u *port.UnavailableError
		var o *port.OutcomeUnknownError
		var m *port.NotFoundError
		switch {
		case err == nil:
			return none
		case errors.As(err, &u):
			return unavailable
		case errors.As(err, &o):
			return unknown
		case errors.As(err, &m):
			return missing
		default:
			return err.Error()
		}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachAdapter(t, func(t *testing.T, s port.Store, f *store.Faulty) {
				f.Inject(c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
				defer cancel()
				if got := kindOf(c.call(ctx, s)); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
				f.Clear()
				if got := becomesWritten(t, f, c.written); got != c.written {
					t.Errorf("written is %v, want %v", got, c.written)
				}
			})
		})
	}
}

// becomesWritten waits for a late effect where one is expected.
func becomesWritten(t *testing.T, f *store.Faulty, expected bool) bool {
	t.Helper()
	for range 200 {
		_, err := f.Get(t.Context(), "a/x")
		if err == nil || !expected {
			return err == nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Stale reads and gaps of the stand-in must be visible through every adapter.
func TestContractStaleAndGap(t *testing.T) {
	eachAdapter(t, func(t *testing.T, s port.Store, f *store.Faulty) {
		old := swap(t, s, "a/x", 0, "old")
		f.Inject(store.Fault{Action: store.Stale, Times: 2})
		swap(t, s, "a/x", old, "new")
		e, err := s.Get(t.Context(), "a/x")
		if err != nil || string(e.Value) != "old" {
			t.Fatalf("stale get: %+v, %v", e, err)
		}
		if _, at, err := s.List(t.Context(), "a/"); err != nil || at != old {
			t.Fatalf("stale list at %d, %v", at, err)
		}
		f.Inject(store.Fault{Action: store.Gap, Times: 1})
		r, err := s.Watch(t.Context(), "a/", old, time.Second)
		if err != nil || !r.Gap || len(r.Events) != 0 || r.Revision <= old {
			t.Fatalf("gap: %+v, %v", r, err)
		}
		r, err = s.Watch(t.Context(), "a/", old, time.Second)
		if err != nil || r.Gap || len(r.Events) != 1 {
			t.Fatalf("after the gap: %+v, %v", r, err)
		}
		reads, writes := f.TotalCalls()
		if reads != 4 || writes != 2 || f.Calls(store.Watch) != 2 {
			t.Fatalf("counted %d reads, %d writes", reads, writes)
		}
	})
}

// A history that was compacted must be answered with a gap.
func TestCompaction(t *testing.T) {
	s := store.New()
	first := swap(t, s, "a/x", 0, "one")
	last := swap(t, s, "a/x", first, "two")
	s.Compact()
	if r, err := s.Watch(t.Context(), "a/", first, 0); err != nil || !r.Gap {
		t.Fatalf("got %+v, %v", r, err)
	}
	if r, err := s.Watch(t.Context(), "a/", last, 0); err != nil || r.Gap {
		t.Fatalf("got %+v, %v", r, err)
	}
}

// A write to a store that accepts no connection had no effect. Reported as
// unknown, it would keep an edit in flight for the length of the outage.
func TestHTTPConnectionRefused(t *testing.T) {
	server := httptest.NewServer(storehttp.Handler(store.New()))
	server.Close()
	s := storehttp.NewClient(server.URL)
	var unavailable *port.UnavailableError
	if _, err := s.CompareAndSwap(t.Context(), "k", 0, nil); !errors.As(err, &unavailable) {
		t.Fatalf("got %v", err)
	}
	if err := s.Delete(t.Context(), "k", 1); !errors.As(err, &unavailable) {
		t.Fatalf("got %v", err)
	}
}
