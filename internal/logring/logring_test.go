package logring

import (
	"bytes"
	"testing"
	"time"
)

// stuck is an output that never takes a line.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a log whose reader stands still and stops the process with it.
func TestFullRingBlocksNobody(t *testing.T) {
	out := stuck{make(chan struct{})}
	defer close(out.release)
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		line := bytes.Repeat([]byte("x"), flushBytes/8)
		for range 3 * ringLines {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writers wait for an output that stands still")
	}
	if w.Dropped() < ringLines {
		t.Errorf("%d dropped lines were counted, want at least %d", w.Dropped(), ringLines)
	}
}

// Guards against lines that are lost or reordered while the output keeps up.
func TestLinesInOrder(t *testing.T) {
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
