package route

import (
	"math"
	"time"
)

// latencyDecay is the time constant of the latency average. Ten seconds hold
// a peak long enough to steer a few hundred requests away and forget it
// within a minute.
const latencyDecay = 10 * time.Second

// PeakLatency is an exponentially weighted average of answer times that takes
// a higher sample at once and a lower one gradually. The zero value is empty.
type PeakLatency struct {
	value   float64 // nanoseconds
	at      time.Time
	samples int64
}

// Observe adds one sample.
func (l *PeakLatency) Observe(now time.Time, sample time.Duration) {
	l.samples++
	s := float64(sample)
	if l.samples == 1 || s > l.value {
		l.value = s
		l.at = now
		return
	}
	w := l.weight(now)
	l.value = l.value*w + s*(1-w)
	l.at = now
}

// Value returns the average. Without samples a peak fades towards zero, so
// that a server that was slow once is tried again.
func (l *PeakLatency) Value(now time.Time) time.Duration {
	return time.Duration(l.value * l.weight(now))
}

// Samples returns the number of samples seen.
func (l *PeakLatency) Samples() int64 { return l.samples }

func (l *PeakLatency) weight(now time.Time) float64 {
	age := now.Sub(l.at)
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(latencyDecay))
}
