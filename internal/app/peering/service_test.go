package peering

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

var testSecret = []byte("a secret of the peering tests")

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

type echoParts struct{ version uint64 }

func (e echoParts) FetchConfig(_ context.Context, newerThan uint64) (port.PeerConfig, error) {
	if newerThan >= e.version {
		return port.PeerConfig{Version: e.version}, nil
	}
	return port.PeerConfig{Version: e.version, Document: []byte(`{"version":9}`)}, nil
}

func (e echoParts) Forward(_ context.Context, call port.ForwardedCall) ([]byte, error) {
	if call.Team == "" {
		return nil, refusal.New(http.StatusForbidden, refusal.TeamUnknown, "no team", "send a key").After(3 * time.Second)
	}
	return append([]byte(call.Operation), call.Payload...), nil
}

func startService(t *testing.T, id domain.InstanceID, address string, seeds ...string) *Service {
	t.Helper()
	p, err := New(Settings{
		ID:          id,
		Incarnation: 1,
		Address:     address,
		Seeds:       seeds,
		Secret:      testSecret,
	}, Deps{Clock: port.SystemClock{}, Metrics: metrics.New()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run of %s: %v", id, err)
		}
	})
	return p
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not seen in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against instances that do not find each other by seeds, and against
// calls that lose their team, operation or refusal on the way.
func TestInstancesFindAndCallEachOther(t *testing.T) {
	addressA, addressB := freeAddress(t), freeAddress(t)
	a := startService(t, "a", addressA, addressA, addressB)
	b := startService(t, "b", addressB, addressA)
	b.Handle(Handlers{Config: echoParts{9}, Jobs: echoParts{}})
	waitFor(t, "a lists b", func() bool { _, ok := a.Get("b"); return ok })
	waitFor(t, "b lists a", func() bool { _, ok := b.Get("a"); return ok })

	peer, ok := a.Peer("b")
	if !ok {
		t.Fatal("a has no calls for b")
	}
	config, err := peer.FetchConfig(t.Context(), 8)
	if err != nil || config.Version != 9 || string(config.Document) != `{"version":9}` {
		t.Fatalf("FetchConfig = %+v, %v", config, err)
	}
	call := port.ForwardedCall{From: "a", Partition: "p", Operation: port.PeerSubmit, Team: "t", Payload: []byte("{}")}
	payload, err := peer.Forward(t.Context(), call)
	if err != nil || string(payload) != "submit{}" {
		t.Fatalf("Forward = %q, %v", payload, err)
	}
	call.Team = ""
	_, err = peer.Forward(t.Context(), call)
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Reason != refusal.TeamUnknown || !refused.NotRun || refused.RetryAfter != 3*time.Second {
		t.Fatalf("Forward without a team = %v, want the refusal of the owner", err)
	}
}
