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

// recorder keeps what a subscriber saw and checks that nothing steps back.
type recorder struct {
	t        *testing.T
	revision int64
	keys     map[string]port.Entry
	seen     []string // values in the order of delivery
}

func (r *recorder) update(u Update) {
	if u.Revision < r.revision {
		r.t.Errorf("revision went from %d to %d", r.revision, u.Revision)
	}
	if u.RequestedAt.After(time.Now()) {
		r.t.Error("the call began after its answer")
	}
	r.revision = u.Revision
	for _, ev := range u.Events {
		if ev.Entry.Revision <= r.keys[ev.Entry.Key].Revision {
			r.t.Errorf("key %s went from revision %d to %d", ev.Entry.Key, r.keys[ev.Entry.Key].Revision, ev.Entry.Revision)
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

// Whatever the store does for 8 s, a subscriber must afterwards hold the
// entries of the store, must never see a step back, and must have seen every
// single change unless the store compacted it.
func TestWatchResumes(t *testing.T) {
	cases := []struct {
		name   string
		faults []store.Fault
		// compact drops the store's history while its calls fail.
		compact bool
		every   bool // whether every change must have been delivered
	}{
		{"no fault", nil, false, true},
		{"down", []store.Fault{{Action: store.Refuse}}, false, true},
		{"hanging", []store.Fault{{Action: store.Hang}}, false, true},
		{"slow", []store.Fault{{Action: store.Slow, Delay: 700 * time.Millisecond}}, false, true},
		{"answers lost", []store.Fault{{Action: store.LoseAnswer}}, false, true},
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
				if c.every && fmt.Sprint(r.seen[before:]) != fmt.Sprint(written) {
					t.Errorf("saw %v, want %v", r.seen[before:], written)
				}
				checkSame(t, base, r)
			})
		})
	}
}

// writeRounds changes two keys and creates and deletes a third, once a second.
// It returns the values in order; "-" is a deletion.
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

func checkSame(t *testing.T, s *store.Store, r *recorder) {
	t.Helper()
	list, _, err := s.List(t.Context(), "shared/")
	if err != nil || len(list) != len(r.keys) {
		t.Fatalf("the store has %d entries, the subscriber %d, error %v", len(list), len(r.keys), err)
	}
	for _, e := range list {
		if r.keys[e.Key].Revision != e.Revision {
			t.Errorf("%s is at %d, the subscriber has %d", e.Key, e.Revision, r.keys[e.Key].Revision)
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
		time.Sleep(pollWait) // the poll that began before the fault ends
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

// At rest a watch must cost one waiting call each 2 s, and under constant
// change at most 2 a second.
func TestWatchCalls(t *testing.T) {
	cases := []struct {
		name   string
		change time.Duration // between changes; zero for none
		most   int64         // calls in 60 s
	}{
		{"at rest", 0, 31},
		{"changes each 20 ms", 20 * time.Millisecond, 121},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				base := store.New()
				f := store.NewFaulty(base)
				w := New(f, port.SystemClock{}, metrics.New(), "shared/")
				go func() { _ = w.Run(ctx) }()
				if c.change > 0 {
					go changeForever(ctx, base, c.change)
				}
				time.Sleep(time.Minute)
				reads, _ := f.TotalCalls()
				if reads > c.most || reads < c.most/2 {
					t.Fatalf("%d calls in 60 s, want at most %d", reads, c.most)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func changeForever(ctx context.Context, s *store.Store, pause time.Duration) {
	var revision int64
	for ctx.Err() == nil {
		revision, _ = s.CompareAndSwap(ctx, "shared/a", revision, []byte("v"))
		ctxtime.Sleep(ctx, pause)
	}
}
