// Package logring writes log lines from a separate goroutine through a bounded buffer (the ring).
// When the ring is full, new lines are dropped and counted; callers never block.
package logring

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 8192
	// Lines are collected into one write for flushInterval or until they reach maxBatchBytes.
	flushInterval = 50 * time.Millisecond
	maxBatchBytes = 64 << 10
)

// Writer is a zapcore.WriteSyncer that queues lines in a ring.
type Writer struct {
	out          io.Writer
	lines        chan []byte
	syncRequests chan chan struct{}
	dropped      atomic.Int64
}

// New returns a Writer and starts its goroutine, which writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), syncRequests: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it if the ring is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	// The caller reuses its buffer.
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the ring was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Sync blocks until all queued lines have been written.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	w.syncRequests <- done
	<-done
	return nil
}

func (w *Writer) run() {
	var buffer []byte
	flush := func() {
		if len(buffer) > 0 {
			// An error of the log output itself can't be logged anywhere else.
			_, _ = w.out.Write(buffer)
			buffer = buffer[:0]
		}
	}
	var flushTimer <-chan time.Time
	for {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
			if len(buffer) >= maxBatchBytes {
				flush()
			} else if flushTimer == nil {
				flushTimer = time.After(flushInterval)
			}
		case <-flushTimer:
			flushTimer = nil
			flush()
		case done := <-w.syncRequests:
			for len(w.lines) > 0 {
				buffer = append(buffer, <-w.lines...)
			}
			flush()
			close(done)
		}
	}
}
