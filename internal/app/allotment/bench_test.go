package allotment

import (
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// BenchmarkUpdate measures one response of the watch that contains 4 versions of a
// document with 8 holders, as when 8 instances write once a second.
func BenchmarkUpdate(b *testing.B) {
	for _, teams := range []int{6, 60, 260} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			limits := allot.Limits{Config: 1, Items: make(map[string]allot.Vector)}
			uses := make(map[string]allot.ItemUsage)
			for i := range teams {
				name := fmt.Sprintf("team-with-a-long-name-%03d", i)
				limits.Items[name] = allot.Units(4000)
				uses[name] = allot.ItemUsage{Demand: allot.Units(500)}
			}
			d := allot.New()
			for h := range 8 {
				holder := fmt.Sprintf("instance-%d/1", h)
				d, _ = d.Join(holder, "region")
				d, _ = allot.Plan(d, limits, []allot.HolderUsage{{Holder: holder, Items: uses}})
			}
			data, err := allot.Encode(d)
			if err != nil {
				b.Fatal(err)
			}
			st, m := store.New(), metrics.New()
			w := sharedwatch.New(st, port.SystemClock{}, m, sharedwatch.Prefix)
			l := New(Config{
				Key: TeamsKey, Store: st, Watch: w, Clock: port.SystemClock{}, Metrics: m,
				Limits: func() allot.Limits { return limits }, ByPeak: true,
			})
			l.JoinInstance("instance-0/1")
			revision := int64(0)
			for b.Loop() {
				var events []port.Event
				for range 4 {
					revision++
					events = append(events, port.Event{Entry: port.Entry{Key: TeamsKey, Value: data, Revision: revision}})
				}
				l.onUpdate(sharedwatch.Update{RequestedAt: time.Now(), Events: events, Revision: revision})
			}
			b.ReportMetric(float64(len(data)), "doc-bytes")
		})
	}
}
