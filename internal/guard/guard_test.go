package guard

import (
	"context"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"auburnpier/internal/metrics"
)

// Guards against an unexpected error of one duty that ends the process or
// leaves no trace.
func TestPanicIsCountedAndReturned(t *testing.T) {
	m := metrics.New()
	if err := Run(zap.NewNop(), m, "test", func() { panic("cause") }); err == nil {
		t.Error("a panic returned no error")
	}
	if err := Run(zap.NewNop(), m, "test", func() {}); err != nil {
		t.Errorf("a duty without a panic returned %v", err)
	}
	if n := m.Counter("panic.test").Count(); n != 1 {
		t.Errorf("%d panics were counted, want 1", n)
	}
	calls := 0
	Keep(context.Background(), zap.NewNop(), m, "test", func() {
		if calls++; calls == 1 {
			panic("once")
		}
	})
	if calls != 2 {
		t.Errorf("a duty that panicked once was run %d times, want 2", calls)
	}
}

// Guards against an aborted answer of net/http that counts as an unexpected error.
func TestAbortedAnswersPass(t *testing.T) {
	defer func() {
		if cause := recover(); cause != http.ErrAbortHandler {
			t.Errorf("recovered %v, want http.ErrAbortHandler", cause)
		}
	}()
	_ = Run(zap.NewNop(), metrics.New(), "test", func() { panic(http.ErrAbortHandler) })
}
