package deputy

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// fakeCluster is a fake of the cluster, the clock and the workers. The address of each
// worker is the ID of its lease.
type fakeCluster struct {
	mu        sync.Mutex
	now       time.Time
	confirmed time.Time
	outage    bool
	ended     bool
	epoch     domain.Epoch
	answers   map[string]error
	block     bool // renewals block until their context ends
	sent      []port.RenewRequest
}

func (w *fakeCluster) Now() time.Time                        { return w.now }
func (w *fakeCluster) Incarnation(domain.InstanceID) uint64  { return 1 }
func (w *fakeCluster) Ended(domain.InstanceID, uint64) bool  { return w.ended }
func (w *fakeCluster) Epoch(domain.PartitionID) domain.Epoch { return w.epoch }
func (w *fakeCluster) StoreOutage() bool                     { return w.outage }
func (w *fakeCluster) StoreConfirmedAt() time.Time           { return w.confirmed }
func (w *fakeCluster) Worker(address string) port.Worker     { return &fakeWorker{w: w, address: address} }
func (w *fakeCluster) refuse(lease string, current domain.Epoch) {
	w.answers[lease] = refusedBy(current)
}
func refusedBy(current domain.Epoch) *port.LeaseRefusedError {
	return &port.LeaseRefusedError{Current: current}
}
func shared(lease string, age time.Duration) port.SharedLease {
	return port.SharedLease{Worker: "w-" + domain.WorkerID(lease), Address: lease, Lease: domain.LeaseID(lease), Age: age}
}

type fakeWorker struct {
	port.Worker // nil: any call other than RenewLease panics
	w           *fakeCluster
	address     string
}

func (f *fakeWorker) RenewLease(ctx context.Context, r port.RenewRequest) (port.Lease, error) {
	f.w.mu.Lock()
	f.w.sent = append(f.w.sent, r)
	f.w.mu.Unlock()
	if f.w.block {
		<-ctx.Done()
		return port.Lease{}, ctx.Err()
	}
	return port.Lease{}, f.w.answers[f.address]
}

func list(sequence uint64, leases ...port.SharedLease) port.SharedLeases {
	return port.SharedLeases{From: "owner", Partition: "p", Epoch: 5, Sequence: sequence, Chunks: 1, Leases: leases}
}

// newFakeCluster returns the deputy of a failed owner during a store outage, with the
// leases a and b, which were acquired 4 s ago.
func newFakeCluster(t *testing.T) (*fakeCluster, *Deputy) {
	start := time.Unix(1_800_000_000, 0)
	w := &fakeCluster{now: start, confirmed: start, outage: true, ended: true, epoch: 5, answers: make(map[string]error)}
	d := New(Options{Cluster: w, Workers: w, Clock: w, Log: zap.NewNop(), Metrics: metrics.New()})
	if err := d.ShareLeases(t.Context(), list(1, shared("a", 4*time.Second), shared("b", 4*time.Second))); err != nil {
		t.Fatal(err)
	}
	return w, d
}

// Guards against a deputy that renews leases although it is not needed or no
// longer allowed to, or that fails to renew them. Each case ticks once per second
// for 30 s of simulated time and counts the renewals of the leases a and b.
func TestRenewsOnlyWhileNeededAndAllowed(t *testing.T) {
	cases := []struct {
		name   string
		before func(w *fakeCluster, d *Deputy)
		at12   func(t *testing.T, w *fakeCluster, d *Deputy) // called at 12 s, between the renewals at 10 s and 20 s
		a, b   int
	}{
		{name: "owner failed, store unavailable", a: 4, b: 4},
		{name: "owner alive", before: func(w *fakeCluster, _ *Deputy) { w.ended = false }},
		{name: "owner failed, store available", before: func(w *fakeCluster, _ *Deputy) { w.outage = false }},
		{name: "store never confirmed", before: func(w *fakeCluster, _ *Deputy) { w.confirmed = time.Time{} }},
		{name: "last store confirmation too old", before: func(w *fakeCluster, _ *Deputy) {
			w.confirmed = w.now.Add(-maxConfirmationAge - time.Second)
		}},
		{name: "last store confirmation too old after 15 s", a: 2, b: 2, before: func(w *fakeCluster, _ *Deputy) {
			w.confirmed = w.now.Add(15*time.Second - maxConfirmationAge)
		}},
		{name: "store available again", a: 2, b: 2, at12: func(_ *testing.T, w *fakeCluster, _ *Deputy) { w.outage = false }},
		{name: "owner alive after all", a: 2, b: 2, at12: func(_ *testing.T, w *fakeCluster, _ *Deputy) { w.ended = false }},
		{name: "deposed, then a list from the superseded owner", a: 2, b: 2, at12: func(t *testing.T, w *fakeCluster, d *Deputy) {
			if last := d.Depose("p", 6); w.now.Sub(last) != 2*time.Second {
				t.Errorf("the latest renewal was sent %s ago, want 2s", w.now.Sub(last))
			}
			if d.ShareLeases(t.Context(), list(2, shared("a", 0))) == nil {
				t.Error("the list of a superseded owner was accepted")
			}
		}},
		{name: "deposed before the first list", before: func(_ *fakeCluster, d *Deputy) { d.Depose("p", 6) }},
		{name: "deposed only below the present epoch", a: 4, b: 4, at12: func(_ *testing.T, _ *fakeCluster, d *Deputy) { d.Depose("p", 5) }},
		{name: "a member advertises a higher epoch, then becomes unreachable", a: 2, b: 2, at12: func(t *testing.T, w *fakeCluster, d *Deputy) {
			w.epoch = 6
			d.Tick(t.Context())
			w.epoch = 0
		}},
		{name: "lease refused, then shared again", a: 1, b: 4, before: func(w *fakeCluster, _ *Deputy) { w.refuse("a", 5) },
			at12: func(t *testing.T, w *fakeCluster, d *Deputy) {
				delete(w.answers, "a")
				_ = d.ShareLeases(t.Context(), list(2, shared("a", 16*time.Second), shared("b", 16*time.Second)))
			}},
		{name: "lease refused because of a higher epoch", a: 2, b: 2, at12: func(t *testing.T, w *fakeCluster, d *Deputy) {
			w.refuse("a", 6)
			w.now = w.now.Add(8 * time.Second)
			d.renew(t.Context(), d.partitions["p"], "a")
			w.sent = w.sent[:len(w.sent)-1] // the renewal that was refused
		}},
		{name: "unanswered renewals are retried every second", a: 31, b: 4, before: func(w *fakeCluster, _ *Deputy) {
			w.answers["a"] = &port.WorkerUnreachableError{Address: "a"}
		}},
		{name: "lease removed, then the previous list arrives late", a: 2, b: 4, at12: func(t *testing.T, _ *fakeCluster, d *Deputy) {
			if err := d.ShareLeases(t.Context(), list(3, shared("b", 16*time.Second))); err != nil {
				t.Error(err)
			}
			if d.ShareLeases(t.Context(), list(2, shared("a", 16*time.Second), shared("b", 16*time.Second))) == nil {
				t.Error("a list was accepted after a later one")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, d := newFakeCluster(t)
			start := w.now
			if c.before != nil {
				c.before(w, d)
			}
			for s := range 31 {
				w.now = start.Add(time.Duration(s) * time.Second)
				d.Tick(t.Context())
				if s == 12 && c.at12 != nil {
					c.at12(t, w, d)
				}
			}
			count := make(map[domain.LeaseID]int)
			for _, r := range w.sent {
				count[r.Lease]++
				if r.Wait != 0 || len(r.Acknowledged) > 0 {
					t.Errorf("renewal %+v has a wait or acknowledgements", r)
				}
			}
			if count["a"] != c.a || count["b"] != c.b {
				t.Errorf("renewals of a: %d, want %d; of b: %d, want %d", count["a"], c.a, count["b"], c.b)
			}
		})
	}
}

// Guards against a lease that expires later than the owner assumes: the elapsed
// time sent with a renewal must not exceed the real time since the acquisition,
// however long the list was delayed.
func TestElapsedNeverExceedsRealTime(t *testing.T) {
	for _, c := range []struct{ age, delay, wait, want time.Duration }{
		{age: 0, delay: 0, wait: 0, want: 0},
		{age: 5 * time.Second, delay: 3 * time.Second, wait: 12 * time.Second, want: 17 * time.Second},
		{age: time.Hour, delay: 0, wait: time.Millisecond, want: time.Hour + time.Millisecond},
		{age: -time.Second, delay: time.Second, wait: time.Second, want: time.Second},
	} {
		w, d := newFakeCluster(t)
		w.now = w.now.Add(c.delay)
		_ = d.ShareLeases(t.Context(), list(2, shared("c", c.age)))
		w.now = w.now.Add(c.wait)
		d.Tick(t.Context())
		if len(w.sent) != 1 || w.sent[0].Elapsed != c.want {
			t.Errorf("%+v: sent %+v", c, w.sent)
		}
	}
}

// Guards against Depose returning while a renewal is still in flight.
func TestDeposeWaitsForCallsInFlight(t *testing.T) {
	w, d := newFakeCluster(t)
	w.block = true
	ticked := make(chan struct{})
	go func() { d.Tick(t.Context()); close(ticked) }()
	for inFlight := 0; inFlight < 2; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		inFlight = len(w.sent)
		w.mu.Unlock()
	}
	start := time.Now()
	if last := d.Depose("p", 6); !last.Equal(w.now) {
		t.Errorf("the latest renewal was sent at %s, want %s", last, w.now)
	}
	if elapsed := time.Since(start); elapsed > callTimeout/2 {
		t.Errorf("Depose waited %s for the renewals in flight, want at most %s", elapsed, callTimeout/2)
	}
	<-ticked
	d.Tick(t.Context())
	if len(w.sent) != 2 {
		t.Errorf("%d renewals, want only the 2 sent before Depose", len(w.sent))
	}
}

// Guards against a list that is used before all of its chunks have arrived, or
// that is assembled from chunks of two lists.
func TestListInChunks(t *testing.T) {
	w, d := newFakeCluster(t)
	first := list(2, shared("c", 0))
	first.Chunks = 2
	second := list(2, shared("d", 0))
	second.Chunks, second.Chunk = 2, 1
	stray := second
	stray.Sequence = 3
	if d.ShareLeases(t.Context(), first) != nil || d.ShareLeases(t.Context(), stray) == nil {
		t.Error("the first chunk was refused, or the chunk of another list was accepted")
	}
	d.Tick(t.Context())
	if err := d.ShareLeases(t.Context(), second); err != nil {
		t.Error(err)
	}
	d.Tick(t.Context())
	var got []domain.LeaseID
	for _, r := range w.sent {
		got = append(got, r.Lease)
	}
	slices.Sort(got)
	if !slices.Equal(got, []domain.LeaseID{"a", "b", "c", "d"}) {
		t.Errorf("renewed %v", got)
	}
}
