package requestplane

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// flood runs n callers of the team that send requests until stop is called.
func (c *cell) flood(team string, n int) (stop func() []testResponse) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []testResponse
	end := make(chan struct{})
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := 0; ; j++ {
				select {
				case <-end:
					return
				default:
				}
				got := c.do(testRequest{id: team + strconv.Itoa(i) + "-" + strconv.Itoa(j), team: team})
				mu.Lock()
				all = append(all, got)
				mu.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	return func() []testResponse {
		close(end)
		wg.Wait()
		return all
	}
}

// Guards against a flood of requests of one team that delays another team's requests
// or makes the full queue refuse them.
func TestFloodOfOneTeam(t *testing.T) {
	cases := []struct {
		name  string
		row   domain.QueueRow
		bytes int64
	}{
		{"length bound", domain.QueueRow{MaxWaiting: 40}, 0},
		{"byte bound", domain.QueueRow{MaxWaiting: 1000}, 40 * (waitingOverheadBytes + 512)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const work = 20 * time.Millisecond
			c := newCell(t, cellOptions{servers: 1, slots: 2, serviceTime: work, row: tc.row, bytes: tc.bytes})
			stop := c.flood("owner", 80)
			c.waitFor("the flood waits", func() bool { return c.plane.Usage().Waiting >= 38 })
			// Counts the requests that ran meanwhile rather than the time, which also
			// grows on a busy machine.
			most := 0
			for i := range 20 {
				before := len(c.servers[0].Ran())
				got := c.do(testRequest{id: "office" + strconv.Itoa(i), team: "office"})
				most = max(most, len(c.servers[0].Ran())-before)
				if got.status != http.StatusOK {
					t.Errorf("request of the small team got %d %q", got.status, got.reason)
				}
			}
			// In order of arrival about 40 requests would run first.
			if most > 20 {
				t.Errorf("%d requests ran while one of the small team waited behind a flood", most)
			}
			full := 0
			for _, got := range stop() {
				if got.status != http.StatusOK {
					full++
					if got.reason != refusal.QueueFull || !got.notRun {
						t.Fatalf("flooding team got %d %q not_run %v", got.status, got.reason, got.notRun)
					}
				}
			}
			if full == 0 {
				t.Error("no request of the flood was refused, so the bound was not reached")
			}
		})
	}
}

// Guards against slots that are not divided by share while two teams both have more
// demand than there are slots.
func TestSlotsFollowShares(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, slots: 4, serviceTime: 10 * time.Millisecond})
	c.admission.shares["large"] = 3
	c.admission.shares["small"] = 1
	stopLarge, stopSmall := c.flood("large", 30), c.flood("small", 30)
	time.Sleep(time.Second)
	small, large := 0, 0
	for id := range c.servers[0].Ran() {
		if strings.HasPrefix(id, "small") {
			small++
		} else {
			large++
		}
	}
	stopLarge()
	stopSmall()
	if ratio := float64(large) / float64(small); ratio < 2.7 || ratio > 3.3 {
		t.Errorf("the team with 3 times the share ran %.2f times the requests (%d to %d)", ratio, large, small)
	}
}

// Guards against requests that wait past their deadline, or are then reported as possibly
// run.
func TestDeadlineWhileWaiting(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, slots: 1, serviceTime: 300 * time.Millisecond})
	go c.do(testRequest{id: "first"})
	c.waitFor("the slot is in use", func() bool { return c.servers[0].Running() == 1 })
	began := time.Now()
	got := c.do(testRequest{id: "late", header: map[string]string{HeaderTimeout: "50"}})
	if got.status != http.StatusGatewayTimeout || !got.notRun || time.Since(began) > 250*time.Millisecond {
		t.Errorf("got %d not_run %v after %v, want 504 not_run soon after 50ms", got.status, got.notRun, time.Since(began))
	}
	c.waitFor("the slot is free", func() bool { return c.servers[0].Running() == 0 })
	if c.ran("late") != 0 {
		t.Error("the refused request ran")
	}
}

// Guards against claiming not_run when the deadline passes while the server works.
func TestDeadlineWhileRunning(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, serviceTime: 300 * time.Millisecond})
	got := c.do(testRequest{id: "id", header: map[string]string{HeaderTimeout: "50", HeaderIdempotency: "yes"}})
	if got.status != http.StatusGatewayTimeout || got.notRun || got.reason != refusal.DeadlineExceeded {
		t.Errorf("got %d %q not_run %v, want 504 deadline_exceeded without not_run", got.status, got.reason, got.notRun)
	}
}
