// Package guard recovers panics of background tasks and handlers (duties), so that a fault in one
// of them doesn't end the process.
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

// restartDelay is the delay before a duty that panicked is restarted, so that a panic that recurs
// at once doesn't become a busy loop.
const restartDelay = time.Second

// Run calls f and returns an error if it panics. The panic is counted under the name of the duty
// and logged with its stack trace. http.ErrAbortHandler is passed on to net/http.
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

// RunWithRestart calls f again after each panic, until f returns normally or ctx is done.
func RunWithRestart(ctx context.Context, log *zap.Logger, m *metrics.Registry, duty string, f func()) {
	for Run(log, m, duty, f) != nil && ctxtime.Sleep(ctx, restartDelay) {
	}
}
