package owner

import (
	"sync"
	"time"
)

// Figures of the time that an order may take.
const (
	// minOrderTime is several times the longest way between regions.
	minOrderTime = 250 * time.Millisecond
	// maxOrderTime is how long an answer is waited for at all. It leaves time for a
	// repeat before the order's limit.
	maxOrderTime = 800 * time.Millisecond
	// Weights of the newest answer, and the deviations that an answer may take
	// beyond the mean, as TCP has them.
	answerWeight    = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// meanRatio keeps answers that are all alike from being late by a little.
	meanRatio = 1.5
	// lookSlackRatio is what a look may take beyond its wait, by the time of an order.
	lookSlackRatio = 1.6
)

// answerTimes learns how long workers take to answer orders. An owner short of
// processor time sees answers late; where it gives up on them it sends the
// orders again, over new connections, and has even less time. Orders without an
// answer are not counted: lost answers do not make others slow.
type answerTimes struct {
	mu              sync.Mutex
	mean, deviation float64
}

// note takes the time of an answer.
func (a *answerTimes) note(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ms := float64(took.Milliseconds())
	if a.mean == 0 {
		a.mean, a.deviation = ms, ms/2
		return
	}
	off := ms - a.mean
	a.mean += off * answerWeight
	a.deviation += (max(off, -off) - a.deviation) * deviationWeight
}

// order returns how long an order may take.
func (a *answerTimes) order() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := time.Duration(meanRatio*a.mean+deviations*a.deviation) * time.Millisecond
	return min(maxOrderTime, max(minOrderTime, wait))
}

// lookSlack returns what a look may take beyond its wait.
func (a *answerTimes) lookSlack() time.Duration {
	return time.Duration(lookSlackRatio * float64(a.order()))
}
