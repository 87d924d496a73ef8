package route

import (
	"math"
	"time"
)

// latencyDecay is the time constant of the latency average. With 10 s, a peak lasts
// long enough to steer a few hundred requests away and has decayed within a minute.
const latencyDecay = 10 * time.Second

// PeakLatency is an exponentially weighted average of latencies that follows
// a higher sample at once and lower ones gradually. The zero value has no samples.
type PeakLatency struct {
	value     float64 // nanoseconds
	updatedAt time.Time
	samples   int64
}

// Observe adds one sample.
func (l *PeakLatency) Observe(now time.Time, sample time.Duration) {
	l.samples++
	s := float64(sample)
	if l.samples == 1 || s > l.value {
		l.value = s
		l.updatedAt = now
		return
	}
	w := l.weight(now)
	l.value = l.value*w + s*(1-w)
	l.updatedAt = now
}

// Value returns the average. It decays towards zero while there are no new samples, so
// that a server that was slow once is tried again.
func (l *PeakLatency) Value(now time.Time) time.Duration {
	return time.Duration(l.value * l.weight(now))
}

// Samples returns the number of samples observed.
func (l *PeakLatency) Samples() int64 { return l.samples }

func (l *PeakLatency) weight(now time.Time) float64 {
	age := now.Sub(l.updatedAt)
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(latencyDecay))
}
