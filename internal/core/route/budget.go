package route

import "time"

// Retry budget of a queue: one retry per ten requests, plus ten retries per second.
const (
	budgetPerRequest = 0.1
	budgetPerSecond  = 10.0
	// budgetTimeBurst and budgetRequestBurst bound the retries that a queue accumulates:
	// those of one second, and those of 1000 requests.
	budgetTimeBurst    = budgetPerSecond
	budgetRequestBurst = 100.0
)

// RetryBudget bounds the retries of one queue, so that retries cannot multiply
// the load on servers that are already failing.
type RetryBudget struct {
	requestRetries float64
	timeRetries    float64
	refilledAt     time.Time
}

// NewRetryBudget returns a budget that starts with the time-based retries of one second.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{timeRetries: budgetTimeBurst, refilledAt: now}
}

// AddRequest credits the budget for one accepted request.
func (b *RetryBudget) AddRequest() {
	b.requestRetries = min(b.requestRetries+budgetPerRequest, budgetRequestBurst)
}

// TakeRetry uses one retry and reports whether the budget had one.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.requestRetries >= 1 {
		b.requestRetries--
		return true
	}
	if b.timeRetries >= 1 {
		b.timeRetries--
		return true
	}
	return false
}

func (b *RetryBudget) refill(now time.Time) {
	age := now.Sub(b.refilledAt)
	if age <= 0 {
		return
	}
	b.timeRetries = min(b.timeRetries+age.Seconds()*budgetPerSecond, budgetTimeBurst)
	b.refilledAt = now
}
