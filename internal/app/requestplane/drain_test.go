package requestplane

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"auburnpier/internal/refusal"
	"auburnpier/internal/standin/backend"
)

// Guards against a shutdown that aborts or refuses an accepted request,
// running or waiting, or that accepts new ones.
func TestDrain(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, slots: 1, serviceTime: 50 * time.Millisecond})
	responses := make(chan testResponse, 3)
	for i := range 3 {
		go func() { responses <- c.do(testRequest{id: strconv.Itoa(i)}) }()
	}
	c.waitFor("one runs and two wait", func() bool {
		u := c.plane.Usage()
		return u.Waiting == 2 && u.Slots["b0"] == 1
	})
	drained := make(chan error, 1)
	go func() { drained <- c.plane.Drain(context.Background()) }()
	c.waitFor("the drain began", func() bool { return c.plane.draining.Load() })
	got := c.do(testRequest{id: "new"})
	if got.status != http.StatusServiceUnavailable || got.reason != refusal.ShuttingDown || !got.notRun {
		t.Errorf("new request got %d %q not_run %v", got.status, got.reason, got.notRun)
	}
	for range 3 {
		if a := <-responses; a.status != http.StatusOK {
			t.Errorf("accepted request got %d %q %v", a.status, a.reason, a.err)
		}
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if u := c.plane.Usage(); len(u.Slots) != 0 || u.Waiting != 0 {
		t.Errorf("drained plane still uses %+v", u)
	}
}

// Guards against a drain that reports idle while a slot is held, or that
// continues after its context is done.
func TestDrainTimeout(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, holdTimeout: 200 * time.Millisecond})
	c.servers[0].Inject(backend.Fault{Kind: backend.Late, Delay: 400 * time.Millisecond})
	c.do(testRequest{id: "gone", timeout: 20 * time.Millisecond})
	c.waitFor("the slot is held", func() bool { return c.plane.heldSlots.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.plane.Drain(ctx); err == nil {
		t.Error("drain reported idle while a slot was held")
	}
	if err := c.plane.Drain(context.Background()); err != nil {
		t.Errorf("drain: %v", err)
	}
}
