package requestplane

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/standin/backend"
)

var allFaults = []backend.Kind{
	backend.Slow, backend.NotRun, backend.CloseBefore, backend.ResetBefore, backend.CloseAfter, backend.ResetAfter,
	backend.HalfClose, backend.Truncate, backend.TruncateChunked, backend.TruncateHeader, backend.NoLength,
	backend.Late, backend.Extra, backend.Crossed, backend.Malformed,
}

// Sends requests to servers with random faults and checks that each one finished with its
// own response, was refused with a correct not_run, or was reported as unknown. Guards
// against requests that are lost, run twice or get the response of another.
func TestEveryRequestIsAccountedFor(t *testing.T) {
	c := newCell(t, cellOptions{servers: 4, serviceTime: time.Millisecond, holdTimeout: 100 * time.Millisecond,
		row: domain.QueueRow{MaxWaiting: 60}})
	const callers, each = 100, 20
	rng := rand.New(rand.NewPCG(7, 11))
	for _, s := range c.servers {
		for range callers * each / 2 {
			f := backend.Fault{Delay: time.Duration(rng.IntN(20)) * time.Millisecond}
			if rng.IntN(4) == 0 {
				f.Kind = allFaults[rng.IntN(len(allFaults))]
			}
			s.Inject(f)
		}
	}
	responses := make(map[string]testResponse)
	requests := make(map[string]testRequest)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		var mine []testRequest
		for j := range each {
			mine = append(mine, randomRequest(rng, strconv.Itoa(i)+"-"+strconv.Itoa(j)))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, a := range mine {
				got := c.do(a)
				mu.Lock()
				responses[a.id], requests[a.id] = got, a
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	finished, refused, unknown := 0, 0, 0
	for id, got := range responses {
		a, runs := requests[id], c.ran(id)
		if a.header[HeaderIdempotency] != "yes" && runs > 1 {
			t.Errorf("%s is not idempotent and ran %d times", id, runs)
		}
		switch {
		case got.err == nil && got.status == http.StatusOK:
			finished++
			if runs == 0 || !bytes.Equal(got.body, wantBody(a)) {
				t.Errorf("%s ran %d times and got %d bytes %.40q", id, runs, len(got.body), got.body)
			}
		case got.notRun:
			refused++
			if runs != 0 {
				t.Errorf("%s claims not_run with %q but ran %d times", id, got.reason, runs)
			}
		default:
			unknown++
		}
	}
	t.Logf("%d finished, %d refused as not run, %d unknown to the caller", finished, refused, unknown)
	if finished+refused+unknown != callers*each || finished == 0 || refused == 0 || unknown == 0 {
		t.Errorf("%d finished, %d refused, %d unknown of %d", finished, refused, unknown, callers*each)
	}
	for i, s := range c.servers {
		_, most := s.Connections()
		if most > 60 {
			t.Errorf("server %d had %d connections at once", i, most)
		}
	}
	c.waitFor("all slots are free", func() bool { return len(c.plane.Usage().Slots) == 0 })
}

func randomRequest(rng *rand.Rand, id string) testRequest {
	a := testRequest{id: id, team: "team" + strconv.Itoa(rng.IntN(3)), header: map[string]string{HeaderIdempotency: "no"}}
	if rng.IntN(2) == 0 {
		a.header[HeaderIdempotency] = "yes"
	}
	switch rng.IntN(4) {
	case 0:
		a.body = string(backend.Pattern(id, rng.IntN(100000)+1))
	case 1:
		a.query = "?bytes=" + strconv.Itoa(rng.IntN(100000)+1)
	}
	if rng.IntN(5) == 0 {
		a.timeout = time.Duration(1+rng.IntN(30)) * time.Millisecond
	}
	return a
}

func wantBody(a testRequest) []byte {
	if a.query != "" {
		n, _ := strconv.Atoi(a.query[len("?bytes="):])
		return backend.Pattern(a.id, n)
	}
	if a.body != "" {
		return []byte(a.body)
	}
	return []byte(a.id)
}
