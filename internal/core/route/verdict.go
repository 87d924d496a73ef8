package route

// MaxAttempts bounds the servers that one request is tried on.
const MaxAttempts = 4

// Failure describes an attempt that brought no answer.
type Failure struct {
	// BytesWritten tells that a byte of the request was handed to a connection.
	BytesWritten bool
	// ServerRefused tells that the server answered that it did not run the request.
	ServerRefused bool
}

// NotRun reports whether the attempt provably did not run.
func (f Failure) NotRun() bool { return !f.BytesWritten || f.ServerRefused }

// Request describes what is known of a request after a failed attempt.
type Request struct {
	Idempotent bool
	// Replayable tells that the whole body can be sent again.
	Replayable bool
	// Attempts counts the attempts so far, the failed one included.
	Attempts int
}

// Verdict says what follows a failed attempt.
type Verdict int

// Verdicts.
const (
	// GiveUp ends the request with its final answer.
	GiveUp Verdict = iota
	// RetryNotRun tries again because the attempt provably did not run.
	RetryNotRun
	// RetryIdempotent tries again because a second run does no harm.
	RetryIdempotent
)

// Judge decides whether a request may be tried again. A request that is not
// idempotent is never tried again after an attempt that may have run.
func Judge(r Request, f Failure) Verdict {
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
