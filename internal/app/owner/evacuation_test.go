package owner

import (
	"testing"
	"time"

	"auburnpier/internal/domain"
)

// Guards against an owner that accepts or starts work in evacuated zones after a takeover, and
// against work accepted before that is lost.
func TestTakeoverUnderEvacuation(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	c.configAge.Store(int64(time.Hour))
	a := c.start("a")
	first := a.awaitOwned(t)
	if r := c.submit(first, "before", 8); !r.Accepted {
		t.Fatalf("submission was answered with %+v", r)
	}
	time.Sleep(300 * time.Millisecond)
	if n := c.fleet.Starts(); n > 0 {
		t.Fatalf("%d tasks were started while the evacuations were not confirmed", n)
	}
	c.configAge.Store(0)
	c.evacuated = []domain.ZoneID{"z"}
	b := c.start("b")
	a.stop()
	second := b.awaitOwned(t)
	if r := c.submit(second, "refused", 1); r.Reason != reasonZoneEvacuated || r.RetryAfterMS == 0 {
		t.Errorf("a job that only evacuated zones fit was answered with %+v, want %s with a retry delay", r, reasonZoneEvacuated)
	}
	started := c.fleet.Starts()
	time.Sleep(300 * time.Millisecond)
	if n := c.fleet.Starts(); n > started {
		t.Errorf("%d tasks were started in the evacuated zone", n-started)
	}
	config := *second.config
	config.EvacuatedZones = nil
	second.Configure(&config)
	c.awaitCompleted(b, "before")
	c.checkFaults()
}
