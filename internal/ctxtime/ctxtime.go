// Package ctxtime waits for times that a context may cut short.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ends first.
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
