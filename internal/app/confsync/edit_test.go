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

func outcomeOf(err error) string {
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

// Guards against an edit whose reported outcome differs from what the store holds, that is applied
// twice, or that takes longer than editTimeout, under each fault of the store.
func TestEditOutcomeMatchesStore(t *testing.T) {
	writes := []store.Kind{store.CompareAndSwap}
	reads := []store.Kind{store.Get}
	cases := []struct {
		name   string
		faults []store.Fault
		edit   confdoc.Edit
		want   string
		share  float64 // of team a in the store afterwards
	}{
		{"no fault", nil, setTeamEdit("a", 1, 5), accepted, 5},
		{"stale base", nil, setTeamEdit("a", 0, 5), conflict, 1},
		{"invalid", nil, setTeamEdit("a", 1, -5), invalid, 1},
		{"write refused once", []store.Fault{{Action: store.Refuse, Kinds: writes, Times: 1}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"write refused throughout", []store.Fault{{Action: store.Refuse, Kinds: writes}}, setTeamEdit("a", 1, 5), notAccepted, 1},
		{"read refused throughout", []store.Fault{{Action: store.Refuse, Kinds: reads}}, setTeamEdit("a", 1, 5), notAccepted, 1},
		{"response lost", []store.Fault{{Action: store.LoseAnswer, Kinds: writes, Times: 1}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"response lost twice", []store.Fault{{Action: store.LoseAnswer, Kinds: writes, Times: 2}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"request lost", []store.Fault{{Action: store.LoseRequest, Kinds: writes, Times: 1}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"requests lost throughout", []store.Fault{{Action: store.LoseRequest, Kinds: writes}}, setTeamEdit("a", 1, 5), unknown, 1},
		{"response lost and reads down", []store.Fault{
			{Action: store.LoseAnswer, Kinds: writes, Times: 1},
			{Action: store.Slow, Kinds: reads, Times: 1},
			{Action: store.Refuse, Kinds: reads},
		}, setTeamEdit("a", 1, 5), unknown, 5},
		{"delayed write overtaken by the retry", []store.Fault{{Action: store.Late, Kinds: writes, Times: 1, Delay: time.Second}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"write hangs", []store.Fault{{Action: store.Hang, Kinds: writes}}, setTeamEdit("a", 1, 5), unknown, 1},
		{"slow store", []store.Fault{{Action: store.Slow, Delay: 2 * time.Second}}, setTeamEdit("a", 1, 5), accepted, 5},
		{"write slower than the edit timeout", []store.Fault{{Action: store.Slow, Kinds: writes, Delay: 8 * time.Second}}, setTeamEdit("a", 1, 5), unknown, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := store.New()
				f := store.NewFaulty(base)
				i := newInstance(f, nil)
				mustApply(i.Sync, setTeamEdit("a", 0, 1))
				for _, fault := range c.faults {
					f.Inject(fault)
				}
				began := time.Now()
				_, err := i.Apply(t.Context(), c.edit)
				if got := outcomeOf(err); got != c.want {
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
					t.Fatal("edit still in flight after the store recovered")
				}
				if after := stored(t, base); after.Teams["a"] != doc.Teams["a"] {
					t.Fatalf("resolving the edit changed the row to %+v", after.Teams["a"])
				}
			})
		})
	}
}

// Guards against a delayed write that takes effect after its edit was resolved as not accepted.
func TestResolvedEditTakesNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := store.New()
		f := store.NewFaulty(base)
		i := newInstance(f, nil)
		mustApply(i.Sync, setTeamEdit("a", 0, 1))
		f.Inject(store.Fault{Action: store.Late, Kinds: []store.Kind{store.CompareAndSwap}, Delay: time.Minute})
		if _, err := i.Apply(t.Context(), setTeamEdit("a", 1, 5)); outcomeOf(err) != unknown {
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

// Guards against a stale read that reverts the configuration or makes an edit fail with a conflict with
// an outdated row.
func TestStaleReadsDoNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		i := newInstance(f, nil)
		mustApply(i.Sync, setTeamEdit("a", 0, 1))
		f.Inject(store.Fault{Action: store.Stale, Kinds: []store.Kind{store.Get}, Times: 3})
		mustApply(i.Sync, setTeamEdit("a", 1, 2)) // reads the same version, not stale yet
		if a := mustApply(i.Sync, setTeamEdit("a", 2, 3)); a.Version != 3 {
			t.Fatalf("got %+v", a)
		}
		if v := i.Current().Version(); v != 3 {
			t.Fatalf("version %d is in force", v)
		}
	})
}

// Guards against a cancelled call that loses the outcome of a write in progress.
func TestCancelledCallKeepsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := store.NewFaulty(store.New())
		i := newInstance(f, nil)
		f.Inject(store.Fault{Action: store.Slow, Kinds: []store.Kind{store.CompareAndSwap}, Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := i.Apply(ctx, setTeamEdit("a", 0, 1)); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an acknowledgement that confirms the version before an edit although the store may
// have accepted the edit: an edit must be announced before its first write, and its version before
// its end.
func TestEditIsAnnouncedBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced []Statement
		base := store.New()
		f := store.NewFaulty(base)
		m := metrics.New()
		w := sharedwatch.New(f, port.SystemClock{}, m, sharedwatch.Prefix)
		s := New(Config{
			Store: f, Watch: w, Clock: port.SystemClock{}, Metrics: m,
			Announce: func(st Statement) {
				if len(announced) == 0 && f.Calls(store.CompareAndSwap) > 0 {
					t.Error("the first announcement came after the first write")
				}
				announced = append(announced, st)
			},
		})
		mustApply(s, setTeamEdit("a", 0, 1))
		s.ReceiveVersion("p", 7)
		var got []string
		for _, st := range announced {
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
