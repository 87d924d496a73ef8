package ctxtime

import (
	"context"
	"io"
	"time"
)

// stallTimer ends a context when its transfer makes no progress.
type stallTimer struct {
	timer *time.Timer
	stall time.Duration
	// outer is the timer of the enclosing context, or nil.
	outer *stallTimer
}

type stallTimerKey struct{}

// WithStallTimeout returns a context for a call whose duration depends on the size of the response. It ends
// if the response has not begun after first, and later if stall passes without a byte of it. Its cause
// is then context.DeadlineExceeded. Progress is reported by a Reader of the response.
func WithStallTimeout(parent context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{timer: time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) }), stall: stall}
	t.outer, _ = parent.Value(stallTimerKey{}).(*stallTimer)
	return context.WithValue(ctx, stallTimerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// Reader returns a reader of r that reports progress to each enclosing WithStallTimeout of ctx.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	t, _ := ctx.Value(stallTimerKey{}).(*stallTimer)
	if t == nil {
		return r
	}
	return &progressReader{r, t}
}

type progressReader struct {
	io.Reader
	timer *stallTimer
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		for t := p.timer; t != nil; t = t.outer {
			t.timer.Reset(t.stall)
		}
	}
	return n, err
}
