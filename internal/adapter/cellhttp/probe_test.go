package cellhttp

import (
	"context"
	"errors"
	"net"
	"testing"

	"auburnpier/internal/port"
)

// Guards against an instance that is reported as terminated while it listens or
// because a call to it timed out, and against a terminated one that is not detected.
func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	var failed []string
	d := NewDialer()
	d.OnUnreachable = func(a string) { failed = append(failed, a) }
	if err := d.Probe(context.Background(), address); err != nil {
		t.Errorf("the probe of a listening instance returned %v, want nil", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var terminated *port.ProcessTerminatedError
	if err := d.Probe(context.Background(), address); !errors.As(err, &terminated) {
		t.Errorf("the probe of an address that refuses connections returned %v, want proof that the process has terminated", err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Probe(ended, address); errors.As(err, &terminated) {
		t.Error("a cancelled probe reported the process as terminated")
	}
	if _, err := d.Owner(address).WaitingJobs(ended, "q"); err == nil || len(failed) != 0 {
		t.Errorf("a cancelled call returned %v and OnUnreachable got %q, want an error and no report", err, failed)
	}
	if _, err := d.Owner(address).WaitingJobs(context.Background(), "q"); err == nil || len(failed) != 1 || failed[0] != address {
		t.Errorf("a refused call returned %v and OnUnreachable got %q, want an error and one report", err, failed)
	}
}
