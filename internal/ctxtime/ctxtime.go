// Package ctxtime provides a sleep that a context can interrupt, and contexts that end when a transfer stalls.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
