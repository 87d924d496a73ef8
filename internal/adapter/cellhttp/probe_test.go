package cellhttp

import (
	"context"
	"errors"
	"net"
	"testing"

	"auburnpier/internal/port"
)

// Guards against an instance that is taken for gone while it listens, and one
// whose process has ended and that is not noticed.
func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	var failed []string
	d := NewDialer()
	d.OnFailure = func(a string) { failed = append(failed, a) }
	if err := d.Probe(context.Background(), address); err != nil {
		t.Errorf("an instance that listens is probed with %v", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var gone *port.ProcessTerminatedError
	if err := d.Probe(context.Background(), address); !errors.As(err, &gone) {
		t.Errorf("an address that refuses connections is probed with %v", err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Probe(ended, address); errors.As(err, &gone) {
		t.Error("a probe that was cut short proves that the process is gone")
	}
	if _, err := d.Owner(address).WaitingJobs(ended, "q"); err == nil || len(failed) != 0 {
		t.Errorf("a call that was given up with %v was reported for %q", err, failed)
	}
	if _, err := d.Owner(address).WaitingJobs(context.Background(), "q"); err == nil || len(failed) != 1 || failed[0] != address {
		t.Errorf("a call that failed with %v was reported for %q", err, failed)
	}
}
