package ctxtime

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"
)

// Guards against a long transfer that is cut off although it makes progress, and against one that stalls and is never given up.
func TestStallTimeout(t *testing.T) {
	const first, stall = 150 * time.Millisecond, 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		bytes int
		pause time.Duration
		want  error
	}{
		{"never begins", 0, 0, context.DeadlineExceeded},
		{"steady and longer than both bounds", 12, 40 * time.Millisecond, nil},
		{"stalls", 3, 400 * time.Millisecond, context.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			outer, cancelOuter := WithStallTimeout(t.Context(), 2*first, 2*stall)
			defer cancelOuter()
			ctx, cancel := WithStallTimeout(outer, first, stall)
			defer cancel()
			source, sink := io.Pipe()
			context.AfterFunc(ctx, func() { sink.CloseWithError(context.Cause(ctx)) })
			go func() {
				for range c.bytes {
					_, _ = sink.Write([]byte{0})
					time.Sleep(c.pause)
				}
				if c.bytes > 0 {
					sink.Close()
				}
			}()
			got, err := io.ReadAll(Reader(ctx, source))
			if !errors.Is(err, c.want) || c.want == nil && len(got) != c.bytes {
				t.Errorf("read %d of %d bytes, error %v, want %v", len(got), c.bytes, err, c.want)
			}
			if outer.Err() != nil {
				t.Errorf("the enclosing context ended: %v", context.Cause(outer))
			}
		})
	}
}
