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

// owner is a process that takes over the partition through its own store connection.
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

// values decodes a recovery: the snapshot holds four-digit decimal numbers, each record one number.
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

// Guards against a record that is lost, duplicated or reordered when the store fails during an append.
func TestRecoveryAfterFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
	}{
		{"none", store.Fault{Action: store.Slow, Times: 0, Kinds: []store.Kind{store.Delete}}},
		{"response lost", store.Fault{Action: store.LoseAnswer, Times: 1, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"request lost", store.Fault{Action: store.LoseRequest, Times: 1, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"refused three times", store.Fault{Action: store.Refuse, Times: 3, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"response lost and write delayed", store.Fault{Action: store.Late, Times: 1, Delay: 300 * time.Millisecond, Kinds: []store.Kind{store.CompareAndSwap}}},
		{"slow", store.Fault{Action: store.Slow, Times: 4, Delay: 2 * time.Second}},
		{"response lost twice in a row", store.Fault{Action: store.LoseAnswer, Times: 2, Kinds: []store.Kind{store.CompareAndSwap}}},
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

// Guards against a former owner, for instance a paused process, whose append or snapshot takes effect
// after its successor took over.
func TestFormerOwnerIsFenced(t *testing.T) {
	cases := []struct {
		name string
		act  func(*owner) error
	}{
		{"append", func(o *owner) error { return o.append(99) }},
		{"snapshot", func(o *owner) error { return o.log.WriteSnapshot(o.t.Context(), 1, snapshotOf(99)) }},
		{"confirm", func(o *owner) error { return o.log.ConfirmOwnership(o.t.Context()) }},
		{"append after a lost request", func(o *owner) error {
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
				// A retry must be rejected like the first attempt.
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

// Guards against a former owner, for instance a paused process, that overwrites the chunks of the
// snapshot that its successor wrote, so that no later owner can recover the partition.
func TestFormerOwnerKeepsSuccessorSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := store.New()
		paused, successor := newOwner(t, base, "paused"), newOwner(t, base, "successor")
		paused.mustTakeOver()
		paused.mustAppend(0, 1)
		successor.mustTakeOver()
		successor.mustAppend(2)
		if err := successor.log.WriteSnapshot(t.Context(), 4, snapshotOf(3)); err != nil {
			t.Fatal(err)
		}
		var deposed *DeposedError
		if err := paused.log.WriteSnapshot(t.Context(), 2, snapshotOf(2)); !errors.As(err, &deposed) {
			t.Fatalf("error is %v, want a deposition", err)
		}
		checkSequence(t, values(t, newOwner(t, base, "third").mustTakeOver()), 3)
	})
}

// Guards against an append of the former owner that takes effect during the takeover: it must be
// either confirmed and recovered by the successor, or rejected and absent.
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

// Guards against a ring that overwrites a group that no snapshot covers, and against a snapshot that
// loses or duplicates records.
func TestRingOverwritesOnlyCoveredGroups(t *testing.T) {
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

// Guards against owners that fail in succession without a snapshot and whose takeover groups overwrite
// groups that no snapshot covers.
func TestRepeatedTakeOversKeepUncoveredGroups(t *testing.T) {
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
		t.Fatal("takeovers were not rejected before the ring wrapped around")
	}
}

// Guards against a snapshot that becomes current although one of its writes failed.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
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

// Guards against corrupt stored state that is recovered without an error.
func TestCorruptStateIsReported(t *testing.T) {
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
				t.Fatalf("error is %v, want a CorruptError", err)
			}
		})
	}
}
