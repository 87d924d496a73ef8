package owner

import (
	"testing"
	"time"
)

// Guards against rounds of decisions that grow with the events: each goes over
// all workers, and a large fleet has more than a thousand events a second.
func TestEventsShareRoundsOfDecisions(t *testing.T) {
	c := newFleetTest(t, 40, time.Minute)
	cell := c.start("a").owned(t)
	time.Sleep(300 * time.Millisecond)
	rounds := func() int64 { return cell.metrics.Timer("owner.decision").Count() }
	before, begun := rounds(), time.Now()
	events := 0
	for time.Since(begun) < 500*time.Millisecond {
		cell.post(func() {})
		events++
		time.Sleep(100 * time.Microsecond)
	}
	took := time.Since(begun)
	most := int64(took/reconcileInterval+took/tickInterval) + 2
	if n := rounds() - before; n > most {
		t.Errorf("%d rounds of decisions for %d events in %v, want at most %d", n, events, took, most)
	}
}
