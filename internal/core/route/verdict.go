package route

// MaxAttempts bounds the attempts to run one request.
const MaxAttempts = 4

// Failure describes an attempt that brought no response.
type Failure struct {
	// BytesWritten reports whether any byte of the request was written to a connection.
	BytesWritten bool
	// ServerRefused reports whether the server responded that it did not run the request.
	ServerRefused bool
}

// NotRun reports whether the attempt provably did not run.
func (f Failure) NotRun() bool { return !f.BytesWritten || f.ServerRefused }

// Request describes a request after a failed attempt.
type Request struct {
	Idempotent bool
	// Replayable reports whether the whole body can be sent again.
	Replayable bool
	// Attempts counts the attempts so far, including the failed one.
	Attempts int
}

// RetryDecision is the decision after a failed attempt.
type RetryDecision int

// Retry decisions.
const (
	// GiveUp means that the request fails.
	GiveUp RetryDecision = iota
	// RetryNotRun means to try again because the attempt provably did not run.
	RetryNotRun
	// RetryIdempotent means to try again because the request is idempotent.
	RetryIdempotent
)

// DecideRetry decides whether a request may be tried again. A request that is not
// idempotent is never tried again after an attempt that may have run.
func DecideRetry(r Request, f Failure) RetryDecision {
	if r.Attempts >= MaxAttempts || !r.Replayable {
		return GiveUp
	}
	if f.NotRun() {
		return RetryNotRun
	}
	if r.Idempotent {
		return RetryIdempotent
	}
	return GiveUp
}
