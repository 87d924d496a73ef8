package requestplane

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/standin/backend"
)

// Guards against a late response that reaches the next caller, and against a slot
// that is reused while the server still works on a cancelled request.
func TestLateResponse(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, slots: 1})
	for i := range 5 {
		id := strconv.Itoa(i)
		c.servers[0].Inject(backend.Fault{Kind: backend.Late, Delay: 100 * time.Millisecond})
		if got := c.do(testRequest{id: "late" + id, timeout: 20 * time.Millisecond}); got.err == nil {
			t.Fatalf("got status %d before the caller's timeout", got.status)
		}
		if got := c.do(testRequest{id: "own" + id}); got.status != http.StatusOK || string(got.body) != "own"+id {
			t.Errorf("got status %d body %q, want the response of own%s", got.status, got.body, id)
		}
	}
	if n := c.servers[0].MostRunning(); n != 1 {
		t.Errorf("%d requests ran at once on one slot", n)
	}
}

// Guards against a slot that is never released when the server does not end a
// cancelled request.
func TestHoldTimeout(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, slots: 1, holdTimeout: 100 * time.Millisecond})
	c.servers[0].Inject(backend.Fault{Kind: backend.Late, Delay: time.Second})
	c.do(testRequest{id: "stuck", timeout: 20 * time.Millisecond})
	began := time.Now()
	if got := c.do(testRequest{id: "next"}); got.status != http.StatusOK {
		t.Fatalf("got %d %q", got.status, got.body)
	}
	if waited := time.Since(began); waited < 80*time.Millisecond || waited > 900*time.Millisecond {
		t.Errorf("waited %v for the slot, want about the hold bound of 100ms", waited)
	}
	if n := c.metrics.Counter("requestplane.hold_expired").Count(); n != 1 {
		t.Errorf("hold bound passed %d times, want once", n)
	}
}

// Guards against more requests at a server than it has slots, and against more
// connections than its maximum, while some callers disconnect.
func TestSlotsAndConnectionsBounded(t *testing.T) {
	c := newCell(t, cellOptions{servers: 3, serviceTime: 2 * time.Millisecond})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 5 {
				a := testRequest{id: strconv.Itoa(i*100 + j)}
				if (i+j)%4 == 0 {
					a.timeout = time.Duration(1+(i+j)%7) * time.Millisecond
				}
				c.do(a)
			}
		}()
	}
	wg.Wait()
	for i, s := range c.servers {
		_, most := s.Connections()
		if n := s.MostRunning(); n > 8 || most > 60 {
			t.Errorf("server %d ran %d requests at once over %d connections, want at most 8 over 60", i, n, most)
		}
	}
}

// Guards against a team exceeding its limit, counting the slots held for its cancelled
// requests.
func TestTeamLimit(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, serviceTime: 5 * time.Millisecond})
	c.teams.Set("county", 3)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := testRequest{id: strconv.Itoa(i), team: "county"}
			if i%3 == 0 {
				a.timeout = 3 * time.Millisecond
			}
			c.do(a)
		}()
	}
	wg.Wait()
	if n := c.servers[0].MostRunning(); n > 3 {
		t.Errorf("%d requests of the team ran at once, want at most 3", n)
	}
}

// Guards against new requests on a leaving server, and against aborting those that
// already run there.
func TestLeavingServer(t *testing.T) {
	c := newCell(t, cellOptions{servers: 2, serviceTime: 50 * time.Millisecond})
	done := make(chan testResponse)
	go func() { done <- c.do(testRequest{id: "running"}) }()
	c.waitFor("the request runs", func() bool { return c.servers[0].Running() == 1 })
	c.vms[0].Leaving = true
	c.plane.UpdateVMs(c.vms)
	for i := range 10 {
		c.do(testRequest{id: strconv.Itoa(i)})
	}
	if got := <-done; got.status != http.StatusOK {
		t.Errorf("request on the leaving server got %d, error %v", got.status, got.err)
	}
	if n := len(c.servers[0].Ran()); n != 1 {
		t.Errorf("leaving server ran %d requests, want the one from before", n)
	}
}

// Guards against more connections than the server's row allows, and against
// requests that fail because of that limit.
func TestFewerConnectionsThanSlots(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, serviceTime: 5 * time.Millisecond})
	c.vms[0].MaxConnections = 2
	c.plane.UpdateVMs(c.vms)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if got := c.do(testRequest{id: strconv.Itoa(i)}); got.status != http.StatusOK {
				t.Errorf("got %d %q", got.status, got.reason)
			}
		}()
	}
	wg.Wait()
	if _, most := c.servers[0].Connections(); most > 2 {
		t.Errorf("%d connections at once, want at most 2", most)
	}
}
