package intake

import (
	"errors"
	"net/http"
	"time"

	"auburnpier/internal/refusal"
)

// retryAfter is the delay after which callers whose body was not read are asked to retry.
const retryAfter = time.Second

// Refusal returns the refusal of a request whose body Read could not take for lack of memory or in time, or nil for other
// errors. Such a request has not run.
func Refusal(err error) *refusal.Refusal {
	var evicted *EvictedError
	var full *FullError
	var timeout *TimeoutError
	switch {
	case errors.As(err, &evicted):
		return refusal.New(http.StatusServiceUnavailable, refusal.InstanceOverloaded,
			"the body stalled while the instance needed its memory", "send the request again without a pause").WithRetryAfter(retryAfter)
	case errors.As(err, &full):
		return refusal.New(http.StatusServiceUnavailable, refusal.InstanceOverloaded,
			"the instance has no memory for another body now", "send the request again after the time named").WithRetryAfter(retryAfter)
	case errors.As(err, &timeout):
		return refusal.New(http.StatusRequestTimeout, refusal.BodyTooSlow,
			"the body was not complete within "+timeout.Limit.String(), "send the request again without a pause").WithRetryAfter(retryAfter)
	}
	return nil
}
