package vmlisthttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/standin/vmlist"
)

// fakeClock advances only when advance is called.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var backendVM = domain.VM{ID: "b1", Role: domain.RoleBackend, Address: "127.0.0.1:1", Slots: 8, MaxConnections: 60,
	Location: domain.Location{Region: "lulea", Zone: "a", Rack: "r"}, Queues: []domain.QueueID{"q"}}

// Guards against fields that are lost in transfer, and against a change that becomes visible before the
// lag of the list has passed.
func TestListOverHTTP(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 30*time.Second)
	server := httptest.NewServer(Handler(list))
	defer server.Close()
	client := NewClient(server.URL)
	leaving := backendVM
	leaving.Leaving = true
	steps := []struct {
		name   string
		change func()
		want   []domain.VM
	}{
		{"empty", func() {}, []domain.VM{}},
		{"added but not visible", func() { list.Put(backendVM) }, []domain.VM{}},
		{"visible", func() { clock.advance(30 * time.Second) }, []domain.VM{backendVM}},
		{"leaving", func() { list.SetLeaving("b1"); clock.advance(30 * time.Second) }, []domain.VM{leaving}},
		{"removed", func() { list.Remove("b1"); clock.advance(30 * time.Second) }, []domain.VM{}},
	}
	for _, s := range steps {
		s.change()
		got, err := client.List(context.Background())
		if err != nil || !reflect.DeepEqual(got, s.want) {
			t.Errorf("%s: got %+v, error %v, want %+v", s.name, got, err, s.want)
		}
	}
}

// Guards against taking a broken response for a shorter list, which would remove live backend servers.
func TestBrokenResponsesAreErrors(t *testing.T) {
	complete := `{"vms":[{"id":"b1","role":"backend","address":"127.0.0.1:1","location":{"region":"r","zone":"z"}}]}`
	cases := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"no body", func(http.ResponseWriter, *http.Request) {}},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(complete[:40])) }},
		{"length not reached", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "500")
			_, _ = w.Write([]byte(complete[:40]))
		}},
		{"other message", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"machines":[]}`)) }},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }},
		{"failure with a list", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(complete))
		}},
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			if got, err := NewClient(server.URL).List(ctx); err == nil {
				t.Errorf("got list %+v, want an error", got)
			}
		})
	}
}

// Guards against a poller that drops the list when a poll fails, or that does not recover afterwards.
func TestPollerKeepsLastList(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 0)
	list.Put(backendVM)
	delivered := 0
	p := NewPoller(list, clock, func([]domain.VM) { delivered++ })
	if err := p.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	first := clock.Now()
	clock.advance(time.Second)
	list.Fail(errors.New("down"))
	if err := p.Poll(context.Background()); err == nil {
		t.Error("failed poll reports no error")
	}
	vms, at, last := p.Last()
	if len(vms) != 1 || !at.Equal(first) || last == nil || delivered != 1 {
		t.Errorf("after a failure: %d rows of %v, error %v, %d delivered", len(vms), at, last, delivered)
	}
	list.Fail(nil)
	if err := p.Poll(context.Background()); err != nil || delivered != 2 {
		t.Errorf("after recovery: error %v, %d delivered", err, delivered)
	}
}
