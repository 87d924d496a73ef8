package confsync

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// instance is a Sync with its watch, without the rest of the daemon.
type instance struct {
	*Sync
	watch   *sharedwatch.Watcher
	metrics *metrics.Registry
}

func newInstance(s port.Store, peers Peers) *instance {
	m := metrics.New()
	w := sharedwatch.New(s, port.SystemClock{}, m, sharedwatch.Prefix)
	return &instance{
		Sync:    New(Config{Store: s, Watch: w, Peers: peers, Clock: port.SystemClock{}, Metrics: m}),
		watch:   w,
		metrics: m,
	}
}

// start runs the instance in the background until ctx ends.
func (i *instance) start(ctx context.Context) {
	go func() { _ = i.watch.Run(ctx) }()
	go func() { _ = i.Run(ctx) }()
}

func setTeamEdit(id string, based uint64, share float64) confdoc.Edit {
	row := domain.TeamRow{Share: share, LimitRequests: 10}
	return confdoc.Edit{
		ID:      fmt.Sprintf("set-%s-%d-%g", id, based, share),
		SetTeam: &confdoc.SetTeam{Team: domain.TeamID(id), Based: based, Row: row},
	}
}

func grantKeyEdit(t testing.TB, k teamkey.Key, team domain.TeamID) confdoc.Edit {
	t.Helper()
	return confdoc.Edit{ID: "grant-" + k.ID(), GrantKey: &confdoc.GrantKey{
		KeyID: k.ID(), Team: team, SecretSHA256: k.SecretSHA256(), Granted: time.Unix(0, 0).UTC(),
	}}
}

func testKey(t testing.TB, seed string) teamkey.Key {
	t.Helper()
	k, err := teamkey.Generate(strings.NewReader(strings.Repeat(seed, 32)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// mustApply applies the edit. It panics on an error, because fault functions without a *testing.T
// call it.
func mustApply(s *Sync, e confdoc.Edit) confdoc.EditResult {
	a, err := s.Apply(context.Background(), e)
	if err != nil {
		panic(fmt.Sprintf("edit %s: %v", e.ID, err))
	}
	return a
}

// Guards against instances of a new cell, which has no document, that do not become ready, and against
// granted and withdrawn keys that do not reach every instance.
func TestEditsReachEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := store.New()
		a, b := newInstance(st, nil), newInstance(st, nil)
		if a.Ready() || a.Current() != nil {
			t.Fatal("ready before the first contact with the store")
		}
		a.start(ctx)
		b.start(ctx)
		synctest.Wait()
		if !a.Ready() || !b.Ready() {
			t.Fatal("not ready in a new cell")
		}
		key := testKey(t, "a")
		mustApply(a.Sync, setTeamEdit("marine", 0, 1))
		mustApply(b.Sync, grantKeyEdit(t, key, "marine"))
		time.Sleep(3 * time.Second)
		for _, i := range []*instance{a, b} {
			id, err := i.Resolve(key)
			if err != nil || id.Team != "marine" {
				t.Fatalf("resolve: %+v, %v", id, err)
			}
		}
		mustApply(a.Sync, confdoc.Edit{ID: "w", WithdrawKey: &confdoc.WithdrawKey{KeyID: key.ID(), Based: 2}})
		time.Sleep(3 * time.Second)
		if _, err := b.Resolve(key); err == nil {
			t.Fatal("a withdrawn key is accepted")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a lower version, a deletion or an unreadable document that replaces the configuration
// in force, or that confirms it.
func TestNeverReverts(t *testing.T) {
	low, _, err := confdoc.Apply(confdoc.Clone(emptyDoc), setTeamEdit("a", 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	high, _, err := confdoc.Apply(low, setTeamEdit("a", 1, 2))
	if err != nil {
		t.Fatal(err)
	}
	lowBytes, err := confdoc.Encode(low)
	if err != nil {
		t.Fatal(err)
	}
	event := func(ev port.Event) func(*instance) {
		return func(i *instance) {
			i.onUpdate(sharedwatch.Update{RequestedAt: time.Now(), Events: []port.Event{ev}, Revision: 99})
		}
	}
	cases := []struct {
		name   string
		source func(i *instance)
	}{
		{"watch shows a lower version", event(port.Event{Entry: port.Entry{Key: ConfigKey, Value: lowBytes, Revision: 99}})},
		{"watch shows a deletion", event(port.Event{Entry: port.Entry{Key: ConfigKey, Revision: 99}, Deleted: true})},
		{"watch shows an unreadable document", event(port.Event{Entry: port.Entry{Key: ConfigKey, Value: []byte("{"), Revision: 99}})},
		{"store shows no document", func(i *instance) { i.onUpdate(sharedwatch.Update{RequestedAt: time.Now(), Revision: 99}) }},
		{"peer sends a lower version", func(i *instance) { i.adopt(low) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(store.New(), nil)
			i.adopt(high)
			c.source(i)
			if v := i.Current().Version(); v != 2 {
				t.Errorf("version %d is in force", v)
			}
			if i.Fresh() {
				t.Error("the version was confirmed")
			}
		})
	}
}
