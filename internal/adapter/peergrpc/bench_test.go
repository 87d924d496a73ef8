package peergrpc

import (
	"testing"

	"auburnpier/internal/port"
)

// BenchmarkForward measures an authenticated call over loopback with a payload
// of the size of a small job.
func BenchmarkForward(b *testing.B) {
	s, err := NewServer(options(testSecret), &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	l := listenLoopback(b)
	go func() { _ = s.Serve(l) }()
	defer s.Stop(0)
	c, err := NewClient(options(testSecret))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	peer := c.Peer(l.Addr().String())
	call := port.ForwardedCall{From: "a", Partition: "p", Operation: port.PeerSubmit, Team: "t", Payload: make([]byte, 400)}
	for b.Loop() {
		if _, err := peer.Forward(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}
