package requestplane

import (
	"net/http"
	"testing"
	"time"

	"auburnpier/internal/refusal"
	"auburnpier/internal/standin/backend"
)

// Guards against a second run of a request that is not idempotent, a false claim of
// not_run, and a truncated response that the caller cannot detect.
func TestFaultsOfOneServer(t *testing.T) {
	type want struct {
		status int // 0 means that the connection breaks visibly
		reason refusal.Reason
		runs   int
	}
	ok := func(runs int) want { return want{status: http.StatusOK, runs: runs} }
	unknown := func(runs int) want { return want{http.StatusBadGateway, refusal.OutcomeUnknown, runs} }
	broken := want{runs: 1}
	cases := []struct {
		kind backend.Kind
		once want // not idempotent
		idem want // idempotent
	}{
		{backend.None, ok(1), ok(1)},
		{backend.NotRun, ok(1), ok(1)},
		{backend.CloseBefore, unknown(0), ok(1)},
		{backend.ResetBefore, unknown(0), ok(1)},
		{backend.CloseAfter, unknown(1), ok(2)},
		{backend.ResetAfter, unknown(1), ok(2)},
		{backend.HalfClose, unknown(1), ok(2)},
		{backend.TruncateHeader, unknown(1), ok(2)},
		{backend.Malformed, unknown(1), ok(2)},
		{backend.LongHeader, unknown(1), ok(2)},
		{backend.Crossed, unknown(1), ok(2)},
		{backend.NoLength, unknown(1), ok(2)},
		{backend.Truncate, broken, broken},
		{backend.TruncateChunked, broken, broken},
		{backend.Extra, ok(1), ok(1)},
	}
	for _, tc := range cases {
		for _, run := range []struct {
			idempotency string
			reused      bool
			want        want
		}{{"no", false, tc.once}, {"yes", false, tc.idem}, {"no", true, tc.once}, {"yes", true, tc.idem}} {
			name := string(tc.kind) + "/idempotent " + run.idempotency
			if run.reused {
				name += "/reused connection"
			}
			t.Run(name, func(t *testing.T) {
				c := newCell(t, cellOptions{servers: 2, far: true, holdTimeout: 200 * time.Millisecond})
				if run.reused {
					c.do(testRequest{id: "warm", body: "x"})
				}
				c.servers[0].Inject(backend.Fault{Kind: tc.kind, Delay: 50 * time.Millisecond})
				got := c.do(testRequest{id: "id", body: "payload", header: map[string]string{HeaderIdempotency: run.idempotency}})
				if run.want.status == 0 {
					if got.err == nil {
						t.Errorf("got status %d with body %q, want a broken connection", got.status, got.body)
					}
				} else if got.err != nil || got.status != run.want.status || got.reason != run.want.reason {
					t.Errorf("got status %d reason %q error %v, want %+v", got.status, got.reason, got.err, run.want)
				}
				if run.want.status == http.StatusOK && string(got.body) != "payload" {
					t.Errorf("got body %q of another request", got.body)
				}
				if n := c.ran("id"); n != run.want.runs {
					t.Errorf("ran %d times, want %d", n, run.want.runs)
				}
				if got.notRun || (got.err == nil && got.status >= 400 && got.header.Get(HeaderNotRun) != "") {
					t.Error("claims not_run although bytes were written")
				}
				if next := c.do(testRequest{id: "next", body: "next"}); string(next.body) != "next" {
					t.Errorf("next request got status %d body %q error %v", next.status, next.body, next.err)
				}
			})
		}
	}
}

// Guards against a refusal without not_run, or with a false one, when no server takes
// the request at all.
func TestNoServerAcceptsRequest(t *testing.T) {
	cases := []struct {
		name   string
		setUp  func(*cell)
		status int
		reason refusal.Reason
	}{
		{"connection refused", func(c *cell) {
			for _, s := range c.servers {
				s.Close()
			}
		}, http.StatusBadGateway, refusal.BackendFailed},
		{"all refuse to run", func(c *cell) {
			for _, s := range c.servers {
				s.SetFault(backend.Fault{Kind: backend.NotRun})
			}
		}, http.StatusBadGateway, refusal.BackendFailed},
		{"none listed", func(c *cell) { c.plane.UpdateVMs(nil) }, http.StatusServiceUnavailable, refusal.NoBackendServer},
		{"no authority", func(c *cell) { c.slots.SetAuthority(false) }, http.StatusGatewayTimeout, refusal.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t, cellOptions{servers: 2})
			tc.setUp(c)
			got := c.do(testRequest{id: "id", body: "x", header: map[string]string{HeaderTimeout: "300"}})
			if got.status != tc.status || got.reason != tc.reason || !got.notRun || got.header.Get(headerRetryAfter) == "" {
				t.Errorf("got %d %q not_run %v Retry-After %q, want %d %q not_run with Retry-After",
					got.status, got.reason, got.notRun, got.header.Get(headerRetryAfter), tc.status, tc.reason)
			}
			if n := c.ran("id"); n != 0 {
				t.Errorf("ran %d times although not_run was claimed", n)
			}
		})
	}
}

// Guards against not_run on a refusal after an earlier attempt that may have run: the
// first server runs the request and closes the connection, then all servers refuse.
func TestEarlierAttemptForbidsNotRun(t *testing.T) {
	c := newCell(t, cellOptions{servers: 2, far: true})
	c.servers[0].Inject(backend.Fault{Kind: backend.CloseAfter})
	c.servers[1].SetFault(backend.Fault{Kind: backend.NotRun})
	c.servers[0].SetFault(backend.Fault{Kind: backend.NotRun})
	got := c.do(testRequest{id: "id", body: "x", header: map[string]string{HeaderIdempotency: "yes"}})
	if c.ran("id") != 1 || got.status < 500 || got.notRun || got.header.Get(HeaderNotRun) != "" {
		t.Errorf("ran %d times, got status %d not_run %v header %q", c.ran("id"), got.status, got.notRun, got.header.Get(HeaderNotRun))
	}
}

// Guards against a client library that silently repeats a request when a reused
// connection breaks, as http.Transport does in these three cases.
func TestNoHiddenRetry(t *testing.T) {
	cases := []struct {
		name, method string
		header       map[string]string
	}{
		{"get marked as not idempotent", http.MethodGet, map[string]string{HeaderIdempotency: "no"}},
		{"post with an idempotency key", http.MethodPost, map[string]string{"Idempotency-Key": "k"}},
		{"options", http.MethodOptions, nil},
	}
	for _, tc := range cases {
		for _, kind := range []backend.Kind{backend.CloseBefore, backend.CloseAfter, backend.ResetAfter} {
			t.Run(tc.name+"/"+string(kind), func(t *testing.T) {
				c := newCell(t, cellOptions{servers: 1})
				c.do(testRequest{method: tc.method, id: "warm", header: tc.header})
				c.servers[0].Inject(backend.Fault{Kind: kind})
				got := c.do(testRequest{method: tc.method, id: "id", header: tc.header})
				if n := c.servers[0].Seen()["id"]; n != 1 || got.reason != refusal.OutcomeUnknown {
					t.Errorf("arrived %d times, got %d %q; want once and outcome_unknown", n, got.status, got.reason)
				}
			})
		}
	}
}

// Guards against a 502 for a request sent on a connection that the server closed
// while it was idle.
func TestIdleConnectionClosedByServer(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1})
	for range 20 {
		if got := c.do(testRequest{id: "id", body: "x"}); got.status != http.StatusOK {
			t.Fatalf("got %d %q", got.status, got.body)
		}
		c.servers[0].CloseIdle()
		c.waitFor("the connection is closed", func() bool { open, _ := c.servers[0].Connections(); return open == 0 })
	}
}
