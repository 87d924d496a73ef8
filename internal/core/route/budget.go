package route

import "time"

// Retry budget of a queue: one retry for ten requests, and ten a second.
const (
	budgetPerRequest = 0.1
	budgetPerSecond  = 10.0
	// budgetTimeBurst and budgetRequestBurst bound what an idle queue saves up:
	// one second of the time part and 1000 requests of the request part.
	budgetTimeBurst    = budgetPerSecond
	budgetRequestBurst = 100.0
)

// RetryBudget bounds the retries of one queue, so that retries cannot multiply
// the load of servers that already fail.
type RetryBudget struct {
	byRequest float64
	byTime    float64
	at        time.Time
}

// NewRetryBudget returns a budget that holds one second of the time part.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{byTime: budgetTimeBurst, at: now}
}

// Request counts one request that was accepted.
func (b *RetryBudget) Request() {
	b.byRequest = min(b.byRequest+budgetPerRequest, budgetRequestBurst)
}

// Take uses up one retry and reports whether the budget had one.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.byRequest >= 1 {
		b.byRequest--
		return true
	}
	if b.byTime >= 1 {
		b.byTime--
		return true
	}
	return false
}

func (b *RetryBudget) refill(now time.Time) {
	age := now.Sub(b.at)
	if age <= 0 {
		return
	}
	b.byTime = min(b.byTime+age.Seconds()*budgetPerSecond, budgetTimeBurst)
	b.at = now
}
