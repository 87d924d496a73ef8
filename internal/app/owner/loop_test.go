package owner

import (
	"testing"
	"time"
)

// Guards against one reconcile pass per event: each iterates over all workers, and a large fleet
// has more than a thousand events per second.
func TestEventsShareReconcilePasses(t *testing.T) {
	c := newFleetTest(t, 40, time.Minute)
	cell := c.start("a").awaitOwned(t)
	time.Sleep(300 * time.Millisecond)
	passes := func() int64 { return cell.metrics.Timer("owner.decision").Count() }
	before, start := passes(), time.Now()
	events := 0
	for time.Since(start) < 500*time.Millisecond {
		cell.post(func() {})
		events++
		time.Sleep(100 * time.Microsecond)
	}
	took := time.Since(start)
	most := int64(took/reconcileInterval+took/tickInterval) + 2
	if n := passes() - before; n > most {
		t.Errorf("%d reconcile passes for %d events in %v, want at most %d", n, events, took, most)
	}
}
