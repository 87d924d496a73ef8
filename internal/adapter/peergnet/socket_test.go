package peergnet

import (
	"net"
	"testing"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/loopback"
)

func listen(t *testing.T, secret []byte, queue int) (*Socket, string, *metrics.Registry) {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	m := metrics.New()
	s, err := Listen(Options{Address: address, Secret: secret, QueueLength: queue, Clock: port.SystemClock{}, Metrics: m})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
	return s, address, m
}

func waitForCount(t *testing.T, m *metrics.Registry, name string, want int64) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for m.Counter(name).Count() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s is %d, want %d", name, m.Counter(name).Count(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against datagrams that arrive with a source address other than the sender's listening address,
// to which the reply is sent.
func TestDatagramsArriveWithListeningAddress(t *testing.T) {
	a, addressA, _ := listen(t, testSecret, 16)
	b, addressB, _ := listen(t, testSecret, 16)
	for _, c := range []struct {
		from, to *Socket
		source   string
		target   string
	}{{a, b, addressA, addressB}, {b, a, addressB, addressA}} {
		if err := c.from.Send(membership.Datagram{To: c.target, Message: *testMessage()}); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-c.to.Datagrams():
			if got.From != c.source || got.Message.Seq != 7 {
				t.Errorf("received %+v from %s, want the message from %s", got.Message, got.From, c.source)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no datagram arrived")
		}
	}
}

// Guards against datagrams that are dropped without counting the reason.
func TestSocketCountsDroppedDatagramsByReason(t *testing.T) {
	sender, _, sent := listen(t, testSecret, 1)
	receiver, address, m := listen(t, testSecret, 2)
	raw, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	write := func(datagram []byte) {
		if _, err := raw.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	encode := func(secret []byte, sequence uint64, now time.Time) []byte {
		message := testMessage()
		message.Digest.Sequence = sequence
		datagram, err := testCodec(t, secret).encode(message, now)
		if err != nil {
			t.Fatal(err)
		}
		return datagram
	}
	now := time.Now()
	write([]byte("noise"))
	waitForCount(t, m, CounterMalformed, 1)
	write(encode([]byte("the secret of another cell"), 1, now))
	waitForCount(t, m, CounterUnauthenticated, 1)
	write(encode(testSecret, 1, now.Add(-time.Hour)))
	waitForCount(t, m, CounterClockSkew, 1)
	first := encode(testSecret, 1, now)
	write(first)
	write(first)
	waitForCount(t, m, CounterReplayed, 1)
	write(encode(testSecret, 2, now))
	write(encode(testSecret, 3, now))
	waitForCount(t, m, CounterQueueFull, 1)
	if got := len(receiver.Datagrams()); got != 2 {
		t.Errorf("%d datagrams are queued, want 2", got)
	}
	large := testMessage()
	for range 30 {
		large.Updates = append(large.Updates, large.Updates[1])
	}
	if err := sender.Send(membership.Datagram{To: address, Message: *large}); err == nil {
		t.Error("a message over the size limit was sent")
	}
	waitForCount(t, sent, CounterTooLarge, 1)
}
