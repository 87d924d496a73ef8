package workerfeed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// event is one change of the registry of a test.
type event struct {
	info    jobs.WorkerInfo
	removed bool
}

// fakeRegistry keeps a history of events; the revision is their number.
type fakeRegistry struct {
	mu      sync.Mutex
	events  []event
	dropped int
	down    bool
	silent  bool
	calls   int
	changed chan struct{}
}

const staleAfter = staleAfterMS * time.Millisecond

// pageEvents is how many events an answer of the fake holds at most.
const pageEvents = 50

func newRegistry() *fakeRegistry { return &fakeRegistry{changed: make(chan struct{})} }

func (f *fakeRegistry) add(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeRegistry) set(change func(f *fakeRegistry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeRegistry) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	end := time.After(wait)
	f.set(func(f *fakeRegistry) { f.calls++ })
	for {
		f.mu.Lock()
		down, silent, changed := f.down, f.silent, f.changed
		if int(after) < f.dropped {
			f.mu.Unlock()
			return port.RegistryChanges{Gap: true}, nil
		}
		events := f.events[after:]
		f.mu.Unlock()
		if down {
			return port.RegistryChanges{}, errors.New("the store of the test is down")
		}
		if silent {
			<-ctx.Done()
			return port.RegistryChanges{}, ctx.Err()
		}
		if len(events) > 0 {
			got := port.RegistryChanges{More: len(events) > pageEvents}
			events = events[:min(len(events), pageEvents)]
			got.Revision = after + int64(len(events))
			last := make(map[domain.WorkerID]event)
			for _, e := range events {
				last[e.info.ID] = e
			}
			for id, e := range last {
				if e.removed {
					got.Removed = append(got.Removed, id)
				} else {
					got.Updated = append(got.Updated, e.info)
				}
			}
			return got, nil
		}
		select {
		case <-changed:
		case <-end:
			return port.RegistryChanges{Revision: after}, nil
		case <-ctx.Done():
			return port.RegistryChanges{}, ctx.Err()
		}
	}
}

func worker(id string, born int64) jobs.WorkerInfo {
	return jobs.WorkerInfo{ID: domain.WorkerID(id), Address: "10.0.0.1:1", Service: "svc", BornMS: born}
}

func draining(w jobs.WorkerInfo) jobs.WorkerInfo {
	w.Draining = true
	return w
}

func newTestRelay(t *testing.T, f *fakeRegistry) *Relay {
	r := NewRelay(t.Context(), f, metrics.New())
	r.nowMS = func() int64 { return time.Now().UnixMilli() }
	return r
}

func ask(t *testing.T, r *Relay, after int64, wait time.Duration) port.RegistryChanges {
	t.Helper()
	got, err := r.Changes(t.Context(), after, wait)
	if err != nil {
		t.Fatalf("changes after %d: %v", after, err)
	}
	return got
}

// Guards against heartbeats that reach the owner, and against a worker whose
// change is held back among them: a fleet of 3,000 sends 2,000 a second.
func TestRelayPassesOnChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 600
		f := newRegistry()
		stop := make(chan struct{})
		go func() {
			for beat := 0; ; beat++ {
				select {
				case <-stop:
					return
				case <-time.After(1500 * time.Millisecond / workers):
					f.add(event{info: worker(fmt.Sprint("w", beat%workers), 1)})
				}
			}
		}()
		r := newTestRelay(t, f)
		revision, seen := int64(0), make(map[domain.WorkerID]bool)
		for begun := time.Now(); time.Since(begun) < 4*time.Second; {
			got := ask(t, r, revision, time.Second)
			revision = got.Revision
			for _, w := range got.Updated {
				seen[w.ID] = true
			}
		}
		if len(seen) != workers {
			t.Errorf("%d of %d workers were passed on once", len(seen), workers)
		}
		passed := 0
		for begun := time.Now(); time.Since(begun) < 10*time.Second; {
			got := ask(t, r, revision, time.Second)
			revision = got.Revision
			passed += len(got.Updated) + len(got.Removed)
		}
		if passed != 0 {
			t.Errorf("%d heartbeats were passed on in 10 s", passed)
		}
		begun := time.Now()
		f.add(event{info: draining(worker("other", 1))})
		for found := false; !found; {
			got := ask(t, r, revision, time.Second)
			revision = got.Revision
			found = len(got.Updated) == 1 && got.Updated[0].ID == "other"
			if time.Since(begun) > 2*BatchInterval {
				t.Fatalf("a worker that drains was not passed on within %v", 2*BatchInterval)
			}
		}
		close(stop)
	})
}

// Guards against an owner that trusts an instance whose store calls fail or hang.
func TestRelayWithoutStore(t *testing.T) {
	for name, fault := range map[string]func(*fakeRegistry){
		"down":   func(f *fakeRegistry) { f.down = true },
		"silent": func(f *fakeRegistry) { f.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRegistry()
				r := newTestRelay(t, f)
				f.add(event{info: worker("w", 1)})
				revision := ask(t, r, 0, time.Second).Revision
				f.set(fault)
				begun := time.Now()
				for {
					got, err := r.Changes(t.Context(), revision, time.Second)
					var stale *StaleError
					if errors.As(err, &stale) {
						break
					}
					if err != nil {
						t.Fatal(err)
					}
					revision = got.Revision
					if time.Since(begun) > watchWait+BatchInterval+staleAfter {
						t.Fatalf("a relay without the store still answers after %v", time.Since(begun))
					}
				}
				// The answer counts from its arrival and may wait for watchWait.
				if took := time.Since(begun); took > staleAfter+watchWait {
					t.Errorf("the relay had no answer after %v, want at most %v", took, staleAfter+watchWait)
				}
			})
		})
	}
}

// Guards against dropped history that is passed over, and against a gap that
// is answered for ever.
func TestRelayTellsOfGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegistry()
		for n := range 10 {
			f.add(event{info: worker(fmt.Sprint(n), 1)})
		}
		f.set(func(f *fakeRegistry) { f.dropped = 5 })
		r := newTestRelay(t, f)
		for range 2 {
			if got := ask(t, r, 2, time.Second); !got.Gap {
				t.Fatalf("changes after a dropped revision: %+v", got)
			}
		}
		if got := ask(t, r, 6, time.Second); got.Gap || len(got.Updated) != 4 || got.Revision != 10 {
			t.Errorf("after the list was read again: %+v", got)
		}
	})
}

// Guards against instances that go on reading for an owner that has gone.
func TestRelayStopsUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegistry()
		r := newTestRelay(t, f)
		ask(t, r, 0, time.Second)
		time.Sleep(idleAfterMS*time.Millisecond + 2*watchWait)
		calls := 0
		f.set(func(f *fakeRegistry) { calls = f.calls })
		time.Sleep(time.Minute)
		f.set(func(f *fakeRegistry) { calls = f.calls - calls })
		if calls != 0 {
			t.Errorf("%d calls of the store in a minute without a question", calls)
		}
		f.add(event{info: worker("w", 1)})
		if got := ask(t, r, 0, time.Second); len(got.Updated) != 1 {
			t.Errorf("asked again, the relay answers %+v", got)
		}
	})
}

// Guards against a worker that is known in an old state, or kept after its
// removal, when the owner reads by turns at the store and through relays that
// began at other revisions.
func TestRelayAndStoreAgree(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			f := newRegistry()
			readers := []port.WorkerChanges{f, newTestRelay(t, f), newTestRelay(t, f)}
			want, have := make(map[domain.WorkerID]jobs.WorkerInfo), make(map[domain.WorkerID]jobs.WorkerInfo)
			revision, reader := int64(0), 0
			read := func() {
				got, err := readers[reader].Changes(t.Context(), revision, 100*time.Millisecond)
				if err != nil || got.Gap {
					t.Fatalf("seed %d: %+v %v", seed, got, err)
				}
				if got.Revision < revision {
					t.Fatalf("seed %d: revision went back from %d to %d", seed, revision, got.Revision)
				}
				revision = got.Revision
				for _, id := range got.Removed {
					delete(have, id)
				}
				for _, w := range got.Updated {
					have[w.ID] = w
				}
			}
			for range 300 {
				id := domain.WorkerID(fmt.Sprint(rng.IntN(8)))
				switch rng.IntN(6) {
				case 0:
					f.add(event{info: jobs.WorkerInfo{ID: id}, removed: true})
					delete(want, id)
				case 1:
					want[id] = worker(string(id), rng.Int64N(5))
					f.add(event{info: want[id]})
				case 2:
					if w, ok := want[id]; ok {
						want[id] = draining(w)
						f.add(event{info: want[id]})
					}
				case 3:
					if w, ok := want[id]; ok {
						f.add(event{info: w})
					}
				case 4:
					reader = rng.IntN(len(readers))
					read()
				case 5:
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
					read()
				}
			}
			// A relay answers what it has; the rest comes with its next reading.
			for end := time.Now().Add(2*BatchInterval + watchWait); time.Now().Before(end); {
				read()
			}
			if !maps.EqualFunc(have, want, jobs.WorkerInfo.Same) {
				t.Errorf("seed %d: the owner knows %v, the registry holds %v", seed, have, want)
			}
		})
	}
}

// Guards against an instance whose VM was suspended and that takes what it read
// before for recent.
func TestRelayAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegistry()
		r := newTestRelay(t, f)
		suspendedMS := int64(0)
		r.nowMS = func() int64 { return time.Now().UnixMilli() + suspendedMS }
		revision := ask(t, r, 0, 100*time.Millisecond).Revision
		r.mu.Lock()
		suspendedMS = 60_000
		r.mu.Unlock()
		var stale *StaleError
		if got, err := r.Changes(t.Context(), revision, 100*time.Millisecond); !errors.As(err, &stale) {
			t.Errorf("after a minute without the store: %+v %v", got, err)
		}
	})
}
