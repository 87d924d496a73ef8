package allotment

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

func TestHolderNames(t *testing.T) {
	cases := []struct {
		holder      string
		instance    domain.InstanceID
		incarnation uint64
		ok          bool
	}{
		{HolderName("i1", 17), "i1", 17, true},
		{"a/b/17", "a/b", 17, true},
		{"i1/17.3", "i1", 17, true},
		{"i1", "", 0, false},
		{"i1/x", "i1", 0, false},
	}
	for _, c := range cases {
		id, incarnation, ok := ParseHolder(c.holder)
		if id != c.instance || incarnation != c.incarnation || ok != c.ok {
			t.Errorf("%s: got %s %d %v", c.holder, id, incarnation, ok)
		}
	}
}

// The configuration must reach the ledgers of requests and tasks, a lowered
// limit must hold before any store call, and a deleted team must get nothing.
func TestSetFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := store.New()
		w := sharedwatch.New(st, port.SystemClock{}, metrics.New(), sharedwatch.Prefix)
		none := func() map[string]UnitUse { return nil }
		s := NewSet(SetConfig{
			Instance: "i1", Incarnation: 1, Region: "lulea", Store: st, Watch: w, Clock: port.SystemClock{},
			Metrics: metrics.New(), TeamUsage: none, SlotUsage: none,
		})
		if _, complete := s.Bars.Revocations(); complete {
			t.Error("revocations are known before the documents were read")
		}
		requests := TeamRequests{s.Teams}
		if requests.Allowed(team) != 0 || requests.Allowed("") == 0 {
			t.Error("a team has requests before the configuration, or open queues have none")
		}
		go func() { _ = w.Run(ctx) }()
		go s.Run(ctx)
		doc := func(version uint64, limit int64) domain.ConfigDocument {
			row := domain.TeamRow{Share: 1, LimitRequests: limit, Limit: domain.Resources{CPUMilli: limit}}
			return domain.ConfigDocument{Version: version, Teams: map[domain.TeamID]domain.TeamRow{team: row}}
		}
		s.SetConfiguration(doc(1, 40))
		if err := s.Tasks.TakeOver(ctx, "p0", 1, taskUse(0, 40)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if _, complete := s.Bars.Revocations(); !complete {
			t.Error("revocations are not known after the documents were read")
		}
		if requests.Allowed(team) == 0 {
			t.Error("the team has no requests")
		}
		if _, list := s.Tasks.Allowances("p0"); list[team].Amount.CPUMilli != 40 {
			t.Errorf("the partition has %+v", list)
		}
		s.SetConfiguration(doc(2, 1))
		if _, list := s.Tasks.Allowances("p0"); !list[team].Frozen || requests.Allowed(team) > 1 {
			t.Errorf("the lowered limit does not hold: %+v", list)
		}
		s.SetConfiguration(domain.ConfigDocument{Version: 3})
		if requests.Allowed(team) != 0 {
			t.Error("a deleted team has requests")
		}
		time.Sleep(5 * time.Second)
		if err := s.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
		synctest.Wait()
	})
}
