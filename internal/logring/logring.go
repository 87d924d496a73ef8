// Package logring writes log lines from a goroutine of its own through a
// bounded ring. A full ring drops lines and counts them; it blocks nobody.
package logring

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringLines bounds the lines that wait.
	ringLines = 8192
	// flushInterval collects lines into one write.
	flushInterval = 50 * time.Millisecond
	flushBytes    = 64 << 10
)

// Writer is a zapcore.WriteSyncer over a ring.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// New returns a writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, ringLines), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	// The caller uses its buffer again.
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the ring full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Sync writes the lines that wait.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	w.flushes <- done
	<-done
	return nil
}

func (w *Writer) run() {
	var buffer []byte
	flush := func() {
		if len(buffer) > 0 {
			// Nobody is left to tell where the log itself cannot be written.
			_, _ = w.out.Write(buffer)
			buffer = buffer[:0]
		}
	}
	var due <-chan time.Time
	for {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
			if len(buffer) >= flushBytes {
				flush()
			} else if due == nil {
				due = time.After(flushInterval)
			}
		case <-due:
			due = nil
			flush()
		case done := <-w.flushes:
			for len(w.lines) > 0 {
				buffer = append(buffer, <-w.lines...)
			}
			flush()
			close(done)
		}
	}
}
