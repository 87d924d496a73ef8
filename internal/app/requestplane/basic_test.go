package requestplane

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"auburnpier/internal/domain"
	"auburnpier/internal/standin/backend"
)

// Guards against responses that are truncated, altered or belong to another request.
func TestResponsesAreComplete(t *testing.T) {
	c := newCell(t, cellOptions{servers: 2})
	large := strings.Repeat("0123456789abcdef", 1<<16)
	cases := []struct {
		name, method, body string
		chunked            bool
		query              string
		want               []byte
	}{
		{"no body", http.MethodGet, "", false, "", []byte("no body")},
		{"short body", http.MethodPost, "ping", false, "", []byte("ping")},
		{"short chunked body", http.MethodPost, "ping", true, "", []byte("ping")},
		{"long body", http.MethodPut, large, false, "", []byte(large)},
		{"long chunked body", http.MethodPost, large, true, "", []byte(large)},
		{"long answer", http.MethodGet, "", false, "?bytes=1000000", backend.Pattern("long answer", 1000000)},
		{"head", http.MethodHead, "", false, "", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var body io.Reader = http.NoBody
			if tc.body != "" {
				body = strings.NewReader(tc.body)
			}
			if tc.chunked {
				body = struct{ io.Reader }{body}
			}
			req, _ := http.NewRequest(tc.method, c.url()+tc.query, body)
			req.Header.Set(HeaderRequestID, tc.name)
			resp, err := c.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			got, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d, error %v, body %.80q", resp.StatusCode, err, got)
			}
			if !bytes.Equal(got, tc.want) {
				t.Errorf("got %d bytes %.40q, want %d bytes", len(got), got, len(tc.want))
			}
			if n := c.ran(tc.name); n != 1 {
				t.Errorf("ran %d times, want once", n)
			}
		})
	}
}

// Guards against API keys and forged internal headers reaching a backend server, and
// against a timeout that is not passed on.
func TestHeadersToBackend(t *testing.T) {
	c := newCell(t, cellOptions{servers: 1, row: domain.QueueRow{TimeoutMS: 5000}})
	req, _ := http.NewRequest(http.MethodGet, c.url()+"/a%2Fb?x=1", nil)
	for name, value := range map[string]string{
		"Authorization": "Bearer ap_1_secret", "X-Team": "county", HeaderTeam: "forged", HeaderQueue: "forged",
		"Connection": "X-Private", "X-Private": "1", "X-Public": "1", HeaderNotRun: "true", "Te": "trailers",
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	got := c.servers[0].LastHeader()
	for name, want := range map[string]string{
		"Authorization": "", HeaderTeam: "county", HeaderQueue: testQueue, "X-Private": "", "X-Public": "1",
		HeaderNotRun: "", "Te": "", "X-Forwarded-For": "127.0.0.1",
	} {
		if got.Get(name) != want {
			t.Errorf("header %s is %q, want %q", name, got.Get(name), want)
		}
	}
	if ms := got.Get(HeaderTimeout); ms < "4" || len(ms) != 4 {
		t.Errorf("timeout passed on is %q ms, want a little below 5000", ms)
	}
}

// Guards against spellings of the Authorization header that the key parser accepts
// but the filter misses, so that the key reaches a backend server.
func TestAPIKeysAreNotForwarded(t *testing.T) {
	for value, inside := range map[string]bool{
		"Bearer ap_1_secret": true, "bearer ap_1_secret": true, "BEARER   ap_1_secret ": true,
		"Basic dXNlcjpwYXNz": false, "Bearer other": false, "": false,
	} {
		if got := containsAPIKey(value); got != inside {
			t.Errorf("carriesKey(%q) is %v, want %v", value, got, inside)
		}
	}
}
