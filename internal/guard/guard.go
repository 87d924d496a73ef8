// Package guard keeps an unexpected error of one duty from ending the process.
package guard

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/metrics"
)

// restartPause is the time between two runs of a duty that panicked, so that an
// error that comes back does not take the processor.
const restartPause = time.Second

// Run calls f and returns an error where it panicked. The panic is counted for
// the duty and logged with its stack.
func Run(log *zap.Logger, m *metrics.Registry, duty string, f func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		m.Counter("panic." + duty).Inc(1)
		err = fmt.Errorf("unexpected error in %s: %v; report it with the stack in the log", duty, cause)
		log.Error("unexpected error", zap.String("duty", duty), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	}()
	f()
	return nil
}

// Keep runs f until it returns without a panic or ctx ends.
func Keep(ctx context.Context, log *zap.Logger, m *metrics.Registry, duty string, f func()) {
	for Run(log, m, duty, f) != nil && ctxtime.Sleep(ctx, restartPause) {
	}
}
