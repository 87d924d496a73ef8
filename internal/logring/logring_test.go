package logring

import (
	"bytes"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a blocked log output that blocks the callers too, and so stops the process.
func TestFullRingDoesNotBlockWriters(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	defer close(out.release)
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		line := bytes.Repeat([]byte("x"), maxBatchBytes/8)
		for range 3 * maxQueuedLines {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("callers of Write block while the output is blocked")
	}
	if w.Dropped() < maxQueuedLines {
		t.Errorf("%d dropped lines counted, want at least %d", w.Dropped(), maxQueuedLines)
	}
}

// Guards against lines that are lost, reordered, or overwritten when the caller reuses its buffer.
func TestLinesKeepOrderAndContent(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	buffer := []byte("a\n")
	for _, c := range "abc" {
		buffer[0] = byte(c)
		_, _ = w.Write(buffer)
	}
	if err := w.Sync(); err != nil || out.String() != "a\nb\nc\n" {
		t.Errorf("output is %q, %v", out.String(), err)
	}
}
