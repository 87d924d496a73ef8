package journal

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

const partition = domain.PartitionID("lulea")

// owner is one process that takes the partition over through its own connection.
type owner struct {
	t     *testing.T
	store *store.Faulty
	log   *Log
	ids   int
	name  domain.InstanceID
}

func newOwner(t *testing.T, base *store.Store, name string) *owner {
	return &owner{t: t, store: store.NewFaulty(base), name: domain.InstanceID(name)}
}

func (o *owner) takeOver(ctx context.Context) (Recovery, error) {
	log, r, err := TakeOver(ctx, Options{
		Store: o.store, Partition: partition, Owner: o.name, Metrics: metrics.New(),
		NewID: func() string {
			o.ids++
			return fmt.Sprintf("%s-%d", o.name, o.ids)
		},
	})
	o.log = log
	return r, err
}

func (o *owner) mustTakeOver() Recovery {
	o.t.Helper()
	r, err := o.takeOver(o.t.Context())
	if err != nil {
		o.t.Fatalf("%s: take over: %v", o.name, err)
	}
	return r
}

func (o *owner) append(values ...int) error {
	records := make([]cbor.RawMessage, 0, len(values))
	for _, v := range values {
		raw, err := cbor.Marshal(v)
		if err != nil {
			o.t.Fatal(err)
		}
		records = append(records, raw)
	}
	_, err := o.log.Append(o.t.Context(), records)
	return err
}

func (o *owner) mustAppend(values ...int) {
	o.t.Helper()
	if err := o.append(values...); err != nil {
		o.t.Fatalf("%s: append: %v", o.name, err)
	}
}

// values returns what a recovery holds: a snapshot of decimal numbers, then records.
func values(t *testing.T, r Recovery) []int {
	t.Helper()
	var list []int
	for n := 0; n < len(r.Snapshot); n += 4 {
		v, err := strconv.Atoi(string(r.Snapshot[n : n+4]))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, v)
	}
	for _, g := range r.Groups {
		for _, raw := range g.Records {
			var v int
			if err := cbor.Unmarshal(raw, &v); err != nil {
				t.Fatal(err)
			}
			list = append(list, v)
		}
	}
	return list
}

func snapshotOf(n int) []byte {
	var b []byte
	for v := range n {
		b = append(b, fmt.Sprintf("%04d", v)...)
	}
	return b
}

func checkSequence(t *testing.T, got []int, n int) {
	t.Helper()
	if len(got) != n {
		t.Fatalf("%d records were recovered, want %d: %v", len(got), n, got)
	}
	for i, v := range got {
		if v != i {
			t.Fatalf("record %d is %d", i, v)
		}
	}
}

// Guards against a record that is lost, doubled or reordered by one store fault.
func TestRecoveryAfterFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
	}{
		{"none", store.Fault{Action: store.Slow, Times: 0, Kinds: []store.Kind{store.Delete}}},
		{"answer lost after effect", store.Fault{Action: store.LoseAnswer, Times: 1, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"request lost", store.Fault{Action: store.LoseRequest, Times: 1, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"refused three times", store.Fault{Action: store.Refuse, Times: 3, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"late effect after a lost answer", store.Fault{Action: store.Late, Times: 1, Delay: 300 * time.Millisecond, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"slow", store.Fault{Action: store.Slow, Times: 4, Delay: 2 * time.Second}},
		{"answers lost twice in a row", store.Fault{Action: store.LoseAnswer, Times: 2, Kinds: []store.Kind{store.CompareAndSwap}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := store.New()
				first := newOwner(t, base, "first")
				first.mustTakeOver()
				first.mustAppend(0)
				first.store.Inject(c.fault)
				first.mustAppend(1, 2)
				first.mustAppend(3)
				first.store.Clear()
				second := newOwner(t, base, "second")
				r := second.mustTakeOver()
				checkSequence(t, values(t, r), 4)
				if r.Previous != "first" {
					t.Fatalf("previous owner is %q", r.Previous)
				}
			})
		})
	}
}

// Guards against a former owner whose write takes effect after its successor
// took over: a paused one, and one whose write is delivered late.
func TestFormerOwnerIsFenced(t *testing.T) {
	cases := []struct {
		name string
		act  func(*owner) error
	}{
		{"append", func(o *owner) error { return o.append(99) }},
		{"snapshot", func(o *owner) error { return o.log.WriteSnapshot(o.t.Context(), 1, snapshotOf(99)) }},
		{"confirm", func(o *owner) error { return o.log.ConfirmOwnership(o.t.Context()) }},
		{"append after a lost answer", func(o *owner) error {
			o.store.Inject(store.Fault{Action: store.LoseRequest, Times: 1, Kinds: []store.Kind{store.CompareAndSwap}})
			return o.append(99)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := store.New()
				paused, successor := newOwner(t, base, "paused"), newOwner(t, base, "successor")
				paused.mustTakeOver()
				paused.mustAppend(0, 1)
				successor.mustTakeOver()
				successor.mustAppend(2)
				var deposed *DeposedError
				// A second try must not succeed where the first one was refused.
				for range 2 {
					if err := c.act(paused); !errors.As(err, &deposed) {
						t.Fatalf("error is %v, want a deposition", err)
					}
				}
				checkSequence(t, values(t, newOwner(t, base, "third").mustTakeOver()), 3)
			})
		})
	}
}

// Guards against a write of the former owner that was sent before and takes
// effect while the successor takes over.
func TestTakeOverRacesWithAppend(t *testing.T) {
	for delay := time.Millisecond; delay < 40*time.Millisecond; delay += 3 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := store.New()
				former, successor := newOwner(t, base, "former"), newOwner(t, base, "successor")
				former.mustTakeOver()
				former.mustAppend(0)
				former.store.Inject(store.Fault{Action: store.Slow, Delay: delay, Kinds: []store.Kind{store.CompareAndSwap}})
				successor.store.Inject(store.Fault{Action: store.Slow, Delay: 10 * time.Millisecond})
				written := make(chan error, 1)
				go func() { written <- former.append(1) }()
				r := successor.mustTakeOver()
				err := <-written
				recovered := len(values(t, r))
				var deposed *DeposedError
				switch {
				case err == nil && recovered != 2:
					t.Fatal("the former owner's write was confirmed, but the successor does not have it")
				case err != nil && !errors.As(err, &deposed):
					t.Fatalf("error is %v, want a deposition", err)
				case err != nil && recovered != 1:
					t.Fatal("the former owner's write was refused, but the successor has it")
				}
			})
		})
	}
}

// Guards against a ring that overwrites a group which no snapshot covers, and
// against a snapshot that loses or doubles records.
func TestRingWrapsOnlyBehindSnapshots(t *testing.T) {
	base := store.New()
	o := newOwner(t, base, "owner")
	o.mustTakeOver()
	var full *RingFullError
	n := 0
	for ; n < RingSlots; n++ {
		if err := o.append(n); err != nil {
			if !errors.As(err, &full) {
				t.Fatal(err)
			}
			break
		}
	}
	if n != RingSlots-takeoverReserve-1 {
		t.Fatalf("%d groups fit before the ring is full, want %d", n, RingSlots-takeoverReserve-1)
	}
	checkSequence(t, values(t, newOwner(t, base, "peek").mustTakeOver()), n)
	o = newOwner(t, base, "owner")
	o.mustTakeOver()
	for round := range 4 {
		if err := o.log.WriteSnapshot(t.Context(), o.log.Next()-1, snapshotOf(n)); err != nil {
			t.Fatalf("snapshot %d: %v", round, err)
		}
		for range 150 {
			o.mustAppend(n)
			n++
		}
	}
	checkSequence(t, values(t, newOwner(t, base, "reader").mustTakeOver()), n)
}

// Guards against owners that die in a row without a snapshot and overwrite groups.
func TestTakeOversInARow(t *testing.T) {
	base := store.New()
	o := newOwner(t, base, "owner")
	o.mustTakeOver()
	n := 0
	for o.append(n) == nil {
		n++
	}
	var full *RingFullError
	for i := range RingSlots {
		next := newOwner(t, base, fmt.Sprintf("owner-%d", i))
		r, err := next.takeOver(t.Context())
		if errors.As(err, &full) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		checkSequence(t, values(t, r), n)
	}
	if full == nil {
		t.Fatal("takeovers never stopped before the ring wrapped")
	}
}

// Guards against a snapshot that is in force before all of its chunks are.
func TestSnapshotIsCutOff(t *testing.T) {
	large := make([]byte, 0, 3*MaxChunkBytes)
	for len(large) < 3*MaxChunkBytes {
		large = append(large, "0000"...)
	}
	for failing := range 4 {
		t.Run(fmt.Sprintf("write %d fails", failing), func(t *testing.T) {
			base := store.New()
			o := newOwner(t, base, "owner")
			o.mustTakeOver()
			o.mustAppend(0, 1, 2)
			keys := []string{"snapshot/lulea/1/000", "snapshot/lulea/1/001", "snapshot/lulea/1/002", "snapshot/lulea/manifest"}
			o.store.Inject(store.Fault{Action: store.Refuse, Key: keys[failing], Kinds: []store.Kind{store.CompareAndSwap}})
			var down *port.UnavailableError
			if err := o.log.WriteSnapshot(t.Context(), o.log.Next()-1, large); !errors.As(err, &down) {
				t.Fatalf("error is %v, want an unavailable store", err)
			}
			checkSequence(t, values(t, newOwner(t, base, "reader").mustTakeOver()), 3)
		})
	}
}

// Guards against damaged state that is read as if it were whole.
func TestDamageIsReported(t *testing.T) {
	cases := []struct{ name, key string }{
		{"ring slot", "journal/lulea/002"},
		{"manifest", "snapshot/lulea/manifest"},
		{"chunk", "snapshot/lulea/1/000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base := store.New()
			o := newOwner(t, base, "owner")
			o.mustTakeOver()
			if err := o.log.WriteSnapshot(t.Context(), 1, snapshotOf(3)); err != nil {
				t.Fatal(err)
			}
			o.mustAppend(3)
			e, err := base.Get(t.Context(), c.key)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := base.CompareAndSwap(t.Context(), c.key, e.Revision, []byte("\xffdamaged")); err != nil {
				t.Fatal(err)
			}
			var corrupt *CorruptError
			if _, err := newOwner(t, base, "reader").takeOver(t.Context()); !errors.As(err, &corrupt) {
				t.Fatalf("error is %v, want damage", err)
			}
		})
	}
}
