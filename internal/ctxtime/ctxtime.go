// Package ctxtime provides sleeps and loops that a context can interrupt, and contexts that end when a transfer stalls.
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

// Every calls f each time the interval has passed, until ctx is done.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for tick(ctx, ticker) {
		f()
	}
}

// Repeat calls f at once and then like Every.
func Repeat(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		if !tick(ctx, ticker) {
			return
		}
	}
}

// tick waits for the ticker and returns true, or returns false as soon as ctx is done.
func tick(ctx context.Context, ticker *time.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ticker.C:
		return true
	}
}
