package entry

import "time"

// RejectionKind is the reason why a call was not served.
type RejectionKind uint8

// Kinds of rejections.
const (
	// NotReady means that the instance has no configuration yet.
	NotReady RejectionKind = iota
	UnknownQueue
	UnknownKey
	// StaleConfig means that the configuration has not been confirmed for too long to decide about the call.
	StaleConfig
	// Invalid means that the call is malformed or its job specification is not valid.
	Invalid
	UnknownJob
	// NoOwner means that no owner of the cell could process the call.
	NoOwner
	// JobRefused means that the job was not accepted and will never run.
	JobRefused
	// OutcomeUnknown means that the job may or may not have been accepted.
	OutcomeUnknown
	// Busy means that the jobs being handed in take all the memory that the instance has for them.
	Busy
	// SlowBody means that the body of a job was not complete in time.
	SlowBody
	// LargeBody means that the body is longer than permitted.
	LargeBody
	// PreviewBusy means that too many previews are asked for.
	PreviewBusy
	// Unsupported means that the owner's version cannot answer the call.
	Unsupported
)

var kindNames = [...]string{"not_ready", "queue_unknown", "key_unknown", "configuration_stale", "invalid_request",
	"job_unknown", "no_owner", "job_refused", "outcome_unknown", "busy", "body_too_slow", "body_too_large", "preview_busy", "unsupported"}

// String returns the kind's stable name, which appears in logs and metrics.
func (k RejectionKind) String() string { return kindNames[k] }

// Rejection is the answer to a call that was not served.
type Rejection struct {
	Kind RejectionKind
	// RetryAfter is the delay before the call may be repeated. Zero means that waiting does not help.
	RetryAfter time.Duration
	// Remedy is the action suggested to the caller. For JobRefused it is the owner's reason.
	Remedy string
}
