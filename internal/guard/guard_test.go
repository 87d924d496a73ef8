package guard

import (
	"context"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"auburnpier/internal/metrics"
)

// Guards against a panic in one duty that ends the process or isn't counted.
func TestPanicIsCountedAndReturnedAsError(t *testing.T) {
	m := metrics.New()
	if err := Run(zap.NewNop(), m, "test", func() { panic("cause") }); err == nil {
		t.Error("Run returned no error after a panic")
	}
	if err := Run(zap.NewNop(), m, "test", func() {}); err != nil {
		t.Errorf("Run returned %v without a panic", err)
	}
	if n := m.Counter("panic.test").Count(); n != 1 {
		t.Errorf("panic counter is %d, want 1", n)
	}
	calls := 0
	RunWithRestart(context.Background(), zap.NewNop(), m, "test", func() {
		if calls++; calls == 1 {
			panic("once")
		}
	})
	if calls != 2 {
		t.Errorf("a duty that panicked once was called %d times, want 2", calls)
	}
}

// Guards against counting http.ErrAbortHandler, by which a handler aborts its response, as an
// unexpected error.
func TestAbortHandlerPanicPropagates(t *testing.T) {
	defer func() {
		if cause := recover(); cause != http.ErrAbortHandler {
			t.Errorf("recovered %v, want http.ErrAbortHandler", cause)
		}
	}()
	_ = Run(zap.NewNop(), metrics.New(), "test", func() { panic(http.ErrAbortHandler) })
}
