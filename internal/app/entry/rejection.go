package entry

import "time"

// RejectionKind tells why a call was not served.
type RejectionKind uint8

// Kinds of rejections.
const (
	NotReady RejectionKind = iota
	UnknownQueue
	UnknownKey
	// StaleConfig tells that a key cannot be proven against a recent configuration.
	StaleConfig
	// Invalid tells that the call itself is wrong.
	Invalid
	UnknownJob
	// NoOwner tells that the call was not run because nobody could decide it.
	NoOwner
	// Refused tells that the job was not accepted and never runs.
	Refused
	// Unknown tells that the job may or may not have been accepted.
	Unknown
)

var kindNames = [...]string{"not_ready", "queue_unknown", "key_unknown", "configuration_stale", "invalid_request",
	"job_unknown", "no_owner", "job_refused", "outcome_unknown"}

// String returns the kind's stable name.
func (k RejectionKind) String() string { return kindNames[k] }

// Rejection is the answer to a call that was not served.
type Rejection struct {
	Kind RejectionKind
	// RetryAfter tells when the call may be repeated. Zero means that waiting does not help.
	RetryAfter time.Duration
	// Remedy says what to do.
	Remedy string
}
