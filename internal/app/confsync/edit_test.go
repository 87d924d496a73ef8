package confsync

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

var emptyDoc domain.ConfigDocument

const (
	accepted    = "accepted"
	notAccepted = "not accepted"
	unknown     = "unknown"
	conflict    = "conflict"
	invalid     = "invalid"
)

func verdict(err error) string {
	var n *NotAcceptedError
	var u *OutcomeUnknownError
	var c *confdoc.ConflictError
	var i *confdoc.InvalidError
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &n):
		return notAccepted
	case errors.As(err, &u):
		return unknown
	case errors.As(err, &c):
		return conflict
	case errors.As(err, &i):
		return invalid
	default:
		return err.Error()
	}
}

func stored(t *testing.T, s port.Store) domain.ConfigDocument {
	t.Helper()
	e, err := s.Get(context.Background(), ConfigKey)
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return confdoc.Clone(emptyDoc)
	}
	if err != nil {
		t.Fatal(err)
	}
	doc, err := confdoc.Decode(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Each fault of the store must lead to a true report of the edit, in bounded
// time, and an edit must take effect once.
func TestEditReportsAreTrue(t *testing.T) {
	writes := []store.Kind{store.CompareAndSwap}
	reads := []store.Kind{store.Get}
	cases := []struct {
		name   string
		faults []store.Fault
		edit   confdoc.Edit
		want   string
		share  float64 // of team a in the store afterwards
	}{
		{"no fault", nil, team("a", 1, 5), accepted, 5},
		{"stale base", nil, team("a", 0, 5), conflict, 1},
		{"invalid", nil, team("a", 1, -5), invalid, 1},
		{"write refused once", []store.Fault{{Action: store.Refuse, Kinds: writes, Times: 1}}, team("a", 1, 5), accepted, 5},
		{"write refused throughout", []store.Fault{{Action: store.Refuse, Kinds: writes}}, team("a", 1, 5), notAccepted, 1},
		{"read refused throughout", []store.Fault{{Action: store.Refuse, Kinds: reads}}, team("a", 1, 5), notAccepted, 1},
		{"answer lost", []store.Fault{{Action: store.LoseAnswer, Kinds: writes, Times: 1}}, team("a", 1, 5), accepted, 5},
		{"answer lost twice", []store.Fault{{Action: store.LoseAnswer, Kinds: writes, Times: 2}}, team("a", 1, 5), accepted, 5},
		{"request lost", []store.Fault{{Action: store.LoseRequest, Kinds: writes, Times: 1}}, team("a", 1, 5), accepted, 5},
		{"requests lost throughout", []store.Fault{{Action: store.LoseRequest, Kinds: writes}}, team("a", 1, 5), unknown, 1},
		{"answer lost and reads down", []store.Fault{
			{Action: store.LoseAnswer, Kinds: writes, Times: 1},
			{Action: store.Slow, Kinds: reads, Times: 1},
			{Action: store.Refuse, Kinds: reads},
		}, team("a", 1, 5), unknown, 5},
		{"late write overtaken by the repetition", []store.Fault{{Action: store.Late, Kinds: writes, Times: 1, Delay: time.Second}}, team("a", 1, 5), accepted, 5},
		{"write hangs", []store.Fault{{Action: store.Hang, Kinds: writes}}, team("a", 1, 5), unknown, 1},
		{"slow store", []store.Fault{{Action: store.Slow, Delay: 2 * time.Second}}, team("a", 1, 5), accepted, 5},
		{"write slower than the edit's time", []store.Fault{{Action: store.Slow, Kinds: writes, Delay: 8 * time.Second}}, team("a", 1, 5), unknown, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := store.New()
				f := store.NewFaulty(base)
				i := newInstance(f, nil)
				apply(i.Sync, team("a", 0, 1))
				for _, fault := range c.faults {
					f.Inject(fault)
				}
				began := time.Now()
				_, err := i.Apply(t.Context(), c.edit)
				if got := verdict(err); got != c.want {
					t.Fatalf("reported %s: %v", got, err)
				}
				if took := time.Since(began); took > editTimeout+time.Second {
					t.Fatalf("took %s", took)
				}
				if inFlight := i.Statement().EditInFlight; inFlight != (c.want == unknown) {
					t.Fatalf("in flight is %v", inFlight)
				}
				time.Sleep(5 * time.Second)
				f.Clear()
				doc := stored(t, base)
				if doc.Teams["a"].Share != c.share {
					t.Fatalf("share is %g, want %g", doc.Teams["a"].Share, c.share)
				}
				i.resolve(t.Context())
				if i.Statement().EditInFlight {
					t.Fatal("still in flight after the store is back")
				}
				if after := stored(t, base); after.Teams["a"] != doc.Teams["a"] {
					t.Fatalf("settling changed the row to %+v", after.Teams["a"])
				}
			})
		})
	}
}

// A write that arrives after its edit was settled must not take effect.
func TestSettledEditStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := store.New()
		f := store.NewFaulty(base)
		i := newInstance(f, nil)
		apply(i.Sync, team("a", 0, 1))
		f.Inject(store.Fault{Action: store.Late, Kinds: []store.Kind{store.CompareAndSwap}, Delay: time.Minute})
		if _, err := i.Apply(t.Context(), team("a", 1, 5)); verdict(err) != unknown {
			t.Fatal(err)
		}
		f.Clear()
		i.resolve(t.Context())
		time.Sleep(2 * time.Minute)
		if doc := stored(t, base); doc.Teams["a"].Share != 1 || i.Statement().EditInFlight {
			t.Fatalf("the late write took effect: %+v", doc.Teams["a"])
		}
	})
}

// A stale read must neither revert the configuration nor make an edit report
// a conflict with a row that is out of date.
func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		i := newInstance(f, nil)
		apply(i.Sync, team("a", 0, 1))
		f.Inject(store.Fault{Action: store.Stale, Kinds: []store.Kind{store.Get}, Times: 3})
		apply(i.Sync, team("a", 1, 2)) // reads the same version, not stale yet
		if a := apply(i.Sync, team("a", 2, 3)); a.Version != 3 {
			t.Fatalf("got %+v", a)
		}
		if v := i.Current().Version(); v != 3 {
			t.Fatalf("version %d is in force", v)
		}
	})
}

// Cancelling the call must not lose the outcome of a write that has begun.
func TestCancelledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		i := newInstance(f, nil)
		f.Inject(store.Fault{Action: store.Slow, Kinds: []store.Kind{store.CompareAndSwap}, Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := i.Apply(ctx, team("a", 0, 1)); err != nil {
			t.Fatal(err)
		}
	})
}

// Peers must be told of an edit before the store can accept it, and of its
// version before they are told that it has ended. Otherwise an acknowledgement
// in between would confirm the version before it.
func TestAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var said []Statement
		base := store.New()
		f := store.NewFaulty(base)
		m := metrics.New()
		w := sharedwatch.New(f, port.SystemClock{}, m, sharedwatch.Prefix)
		s := New(Config{
			Store: f, Watch: w, Clock: port.SystemClock{}, Metrics: m,
			Announce: func(st Statement) {
				if len(said) == 0 && f.Calls(store.CompareAndSwap) > 0 {
					t.Error("the first announcement came after the write")
				}
				said = append(said, st)
			},
		})
		apply(s, team("a", 0, 1))
		s.ReceiveVersion("p", 7)
		var got []string
		for _, st := range said {
			got = append(got, fmt.Sprintf("known %d applied %d edit %v", st.Version, st.Applied, st.EditInFlight))
		}
		want := []string{
			"known 0 applied 0 edit true", "known 0 applied 0 edit true",
			"known 1 applied 1 edit true", "known 1 applied 1 edit false", "known 7 applied 1 edit false",
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got  %q\nwant %q", got, want)
		}
	})
}
