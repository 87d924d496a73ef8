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

// fakeClock stands still until it is moved.
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

var row = domain.VM{ID: "b1", Role: domain.RoleBackend, Address: "127.0.0.1:1", Slots: 8, MaxConnections: 60,
	Location: domain.Location{Region: "lulea", Zone: "a", Rack: "r"}, Queues: []domain.QueueID{"q"}}

// Guards against fields that are lost on the wire, and against a change that
// is seen before the lag of the list.
func TestListOverHTTP(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 30*time.Second)
	front := httptest.NewServer(Handler(list))
	defer front.Close()
	client := NewClient(front.URL)
	leaving := row
	leaving.Leaving = true
	steps := []struct {
		name   string
		change func()
		want   []domain.VM
	}{
		{"empty", func() {}, []domain.VM{}},
		{"added but not visible", func() { list.Put(row) }, []domain.VM{}},
		{"visible", func() { clock.advance(30 * time.Second) }, []domain.VM{row}},
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

// Guards against a broken answer that is taken for a shorter list, which would
// drop live servers.
func TestBrokenAnswers(t *testing.T) {
	whole := `{"vms":[{"id":"b1","role":"backend","address":"127.0.0.1:1","location":{"region":"r","zone":"z"}}]}`
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"no body", func(http.ResponseWriter, *http.Request) {}},
		{"cut off", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(whole[:40])) }},
		{"length not reached", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "500")
			_, _ = w.Write([]byte(whole[:40]))
		}},
		{"other message", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"machines":[]}`)) }},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }},
		{"failure with a list", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(whole))
		}},
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			front := httptest.NewServer(tc.answer)
			defer front.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			if got, err := NewClient(front.URL).List(ctx); err == nil {
				t.Errorf("got list %+v, want an error", got)
			}
		})
	}
}

// Guards against a poller that forgets the list when a poll fails, or that
// does not recover.
func TestPollerKeepsLastList(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	list := vmlist.New(clock, 0)
	list.Put(row)
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
