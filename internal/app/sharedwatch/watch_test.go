package sharedwatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// recorder records the updates of a subscriber and checks that revisions never decrease.
type recorder struct {
	t        *testing.T
	revision int64
	keys     map[string]port.Entry
	seen     []string // values in the order of delivery
}

func (r *recorder) update(u Update) {
	if u.Revision < r.revision {
		r.t.Errorf("revision decreased from %d to %d", r.revision, u.Revision)
	}
	if u.RequestedAt.After(time.Now()) {
		r.t.Error("the request time is after the response")
	}
	r.revision = u.Revision
	for _, ev := range u.Events {
		if ev.Entry.Revision <= r.keys[ev.Entry.Key].Revision {
			r.t.Errorf("key %s at revision %d was delivered again at revision %d", ev.Entry.Key, r.keys[ev.Entry.Key].Revision, ev.Entry.Revision)
		}
		if ev.Deleted {
			delete(r.keys, ev.Entry.Key)
			r.seen = append(r.seen, "-")
			continue
		}
		r.keys[ev.Entry.Key] = ev.Entry
		r.seen = append(r.seen, string(ev.Entry.Value))
	}
}

// After 8 s of store faults of any kind, a subscriber must have the same entries
// as the store. It must never receive a decreasing revision, and must have
// received every change that the store has not compacted.
func TestWatchResumesAfterFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []store.Fault
		// compact is set to compact the store's history while its calls fail.
		compact bool
		// wantAll is set if every change must have been delivered.
		wantAll bool
	}{
		{"no fault", nil, false, true},
		{"down", []store.Fault{{Action: store.Refuse}}, false, true},
		{"hanging", []store.Fault{{Action: store.Hang}}, false, true},
		{"slow", []store.Fault{{Action: store.Slow, Delay: 700 * time.Millisecond}}, false, true},
		{"responses lost", []store.Fault{{Action: store.LoseAnswer}}, false, true},
		{"stale", []store.Fault{{Action: store.Stale}}, false, true},
		{"stale once", []store.Fault{{Action: store.Stale, Times: 1}}, false, true},
		{"gap", []store.Fault{{Action: store.Gap, Times: 2}}, false, false},
		{"gap, then a stale list", []store.Fault{
			{Action: store.Stale, Kinds: []store.Kind{store.List}, Times: 2},
			{Action: store.Gap, Times: 1},
		}, false, false},
		{"gap, then the list fails", []store.Fault{
			{Action: store.Refuse, Kinds: []store.Kind{store.List}, Times: 3},
			{Action: store.Gap, Times: 1},
		}, false, false},
		{"compacted while down", []store.Fault{{Action: store.Refuse}}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				base := store.New()
				f := store.NewFaulty(base)
				w := New(f, port.SystemClock{}, metrics.New(), "shared/")
				r := &recorder{t: t, keys: make(map[string]port.Entry)}
				w.Subscribe(r.update)
				written := writeRounds(t, base, 3)
				go func() { _ = w.Run(ctx) }()
				time.Sleep(3 * time.Second)
				synctest.Wait()
				before := len(r.seen)
				for _, fault := range c.faults {
					f.Inject(fault)
				}
				written = append(written[:0], writeRounds(t, base, 8)...)
				if c.compact {
					base.Compact()
				}
				f.Clear()
				time.Sleep(5 * time.Second)
				cancel()
				synctest.Wait()
				if c.wantAll && fmt.Sprint(r.seen[before:]) != fmt.Sprint(written) {
					t.Errorf("saw %v, want %v", r.seen[before:], written)
				}
				checkEntries(t, base, r)
			})
		})
	}
}

// writeRounds writes two keys, and creates and deletes a third, once a second.
// It returns the values in order, with "-" for a deletion.
func writeRounds(t *testing.T, s *store.Store, rounds int) []string {
	t.Helper()
	var values []string
	put := func(key string) int64 {
		var revision int64
		if e, err := s.Get(t.Context(), key); err == nil {
			revision = e.Revision
		}
		value := fmt.Sprintf("%s@%d", key, revision)
		revision, err := s.CompareAndSwap(t.Context(), key, revision, []byte(value))
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, value)
		return revision
	}
	for range rounds {
		put("shared/a")
		put("shared/b")
		revision := put("shared/c")
		if err := s.Delete(t.Context(), "shared/c", revision); err != nil {
			t.Fatal(err)
		}
		values = append(values, "-")
		if _, err := s.CompareAndSwap(t.Context(), fmt.Sprintf("other/%d", revision), 0, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	return values
}

func checkEntries(t *testing.T, s *store.Store, r *recorder) {
	t.Helper()
	list, _, err := s.List(t.Context(), "shared/")
	if err != nil || len(list) != len(r.keys) {
		t.Fatalf("the store has %d entries and the subscriber %d, error %v", len(list), len(r.keys), err)
	}
	for _, e := range list {
		if r.keys[e.Key].Revision != e.Revision {
			t.Errorf("%s is at revision %d, but the subscriber has revision %d", e.Key, e.Revision, r.keys[e.Key].Revision)
		}
	}
}

// A key deleted during a gap must be delivered as deleted.
func TestGapDeliversDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		base := store.New()
		f := store.NewFaulty(base)
		w := New(f, port.SystemClock{}, metrics.New(), "shared/")
		r := &recorder{t: t, keys: make(map[string]port.Entry)}
		w.Subscribe(r.update)
		revision, err := base.CompareAndSwap(ctx, "shared/a", 0, []byte("a"))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = w.Run(ctx) }()
		time.Sleep(time.Second)
		f.Inject(store.Fault{Action: store.Refuse})
		time.Sleep(pollWait) // until the poll that began before the fault has ended
		if err := base.Delete(ctx, "shared/a", revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		base.Compact()
		f.Clear()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if fmt.Sprint(r.seen) != "[a -]" {
			t.Fatalf("saw %v", r.seen)
		}
		cancel()
		synctest.Wait()
	})
}

// Without changes a watch must make one long poll every 2 s, and under constant
// change at most 2 per second.
func TestWatchCallRate(t *testing.T) {
	cases := []struct {
		name           string
		changeInterval time.Duration // zero for no changes
		maxCalls       int64         // in 60 s
	}{
		{"no changes", 0, 31},
		{"a change every 20 ms", 20 * time.Millisecond, 121},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				base := store.New()
				f := store.NewFaulty(base)
				w := New(f, port.SystemClock{}, metrics.New(), "shared/")
				go func() { _ = w.Run(ctx) }()
				if c.changeInterval > 0 {
					go writeRepeatedly(ctx, base, c.changeInterval)
				}
				time.Sleep(time.Minute)
				reads, _ := f.TotalCalls()
				if reads > c.maxCalls || reads < c.maxCalls/2 {
					t.Fatalf("%d calls in 60 s, want at most %d and at least half of that", reads, c.maxCalls)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func writeRepeatedly(ctx context.Context, s *store.Store, interval time.Duration) {
	var revision int64
	for ctx.Err() == nil {
		revision, _ = s.CompareAndSwap(ctx, "shared/a", revision, []byte("v"))
		ctxtime.Sleep(ctx, interval)
	}
}
