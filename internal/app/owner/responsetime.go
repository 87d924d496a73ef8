package owner

import (
	"sync"
	"time"
)

// Bounds and gains of the order timeout.
const (
	// minOrderTimeout is several times the longest round trip between regions.
	minOrderTimeout = 250 * time.Millisecond
	// maxOrderTimeout is the longest wait for any answer. It leaves time for a retry before the
	// order expires.
	maxOrderTimeout = 800 * time.Millisecond
	// Gains of the newest sample, and the number of mean deviations that an answer may take beyond
	// the mean, as in the retransmission timer of TCP.
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
	// minMeanFactor avoids false timeouts when all answers take almost the same time.
	minMeanFactor = 1.5
	// pollMarginRatio is the time that a poll may take beyond its wait, relative to the order
	// timeout.
	pollMarginRatio = 1.6
)

// responseTimes estimates how long workers take to answer orders, or the store to answer writes. An owner that is short of
// processor time sees answers late; if it timed out on them it would send the orders again over new
// connections and have even less time. Orders without an answer are not sampled: a lost answer says
// nothing about the latency of others.
type responseTimes struct {
	mu              sync.Mutex
	mean, deviation float64
}

// observe adds a sample.
func (a *responseTimes) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ms := float64(took.Milliseconds())
	if a.mean == 0 {
		a.mean, a.deviation = ms, ms/2
		return
	}
	off := ms - a.mean
	a.mean += off * meanGain
	a.deviation += (max(off, -off) - a.deviation) * deviationGain
}

// bound returns the time within which nearly all answers come that are not lost.
func (a *responseTimes) bound() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(minMeanFactor*a.mean+deviationFactor*a.deviation) * time.Millisecond
}

// orderTimeout returns how long an order may take.
func (a *responseTimes) orderTimeout() time.Duration {
	return min(maxOrderTimeout, max(minOrderTimeout, a.bound()))
}

// pollMargin returns how long a poll may take beyond its wait.
func (a *responseTimes) pollMargin() time.Duration {
	return time.Duration(pollMarginRatio * float64(a.orderTimeout()))
}
