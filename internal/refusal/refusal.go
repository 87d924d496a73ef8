// Package refusal defines the typed errors with which requests and jobs are
// refused. A refusal gives a reason and a remedy, states whether the work is
// proven not to have run, and when a retry makes sense.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is the stable identifier of a kind of refusal. Each reason has its own counter.
type Reason string

// Refusal reasons.
const (
	InvalidRequest        Reason = "invalid_request"
	BodyTooLarge          Reason = "body_too_large"
	BodyTooSlow           Reason = "body_too_slow"
	UnsupportedMediaType  Reason = "unsupported_media_type"
	KeyMissing            Reason = "key_missing"
	KeyUnknown            Reason = "key_unknown"
	KeyNotOperator        Reason = "key_not_operator"
	ConfigurationStale    Reason = "configuration_stale"
	NotReady              Reason = "not_ready"
	ShuttingDown          Reason = "shutting_down"
	StoreUnavailable      Reason = "store_unavailable"
	NotFound              Reason = "not_found"
	RowConflict           Reason = "row_conflict"
	InvalidTable          Reason = "invalid_table"
	IdempotencyMismatch   Reason = "idempotency_mismatch"
	NeverFits             Reason = "never_fits"
	LimitTooSmall         Reason = "limit_too_small"
	QueueFull             Reason = "queue_full"
	QueueUnknown          Reason = "queue_unknown"
	NoBackendServer       Reason = "no_backend_server"
	DeadlineExceeded      Reason = "deadline_exceeded"
	OutcomeUnknown        Reason = "outcome_unknown"
	RetryBudgetExhausted  Reason = "retry_budget_exhausted"
	BackendFailed         Reason = "backend_failed"
	PartitionUnavailable  Reason = "partition_unavailable"
	TeamLimit             Reason = "team_limit"
	TeamUnknown           Reason = "team_unknown"
	EditOutcomeUnknown    Reason = "edit_outcome_unknown"
	InstanceOverloaded    Reason = "instance_overloaded"
	InternalError         Reason = "internal_error"
	ForwardingUnavailable Reason = "forwarding_unavailable"
	Unsupported           Reason = "unsupported"
)

// Reasons returns all reasons, so that the counter of each exists from startup on.
func Reasons() []Reason {
	return []Reason{
		InvalidRequest, BodyTooLarge, BodyTooSlow, UnsupportedMediaType, KeyMissing, KeyUnknown, KeyNotOperator,
		ConfigurationStale, NotReady, ShuttingDown, StoreUnavailable, NotFound, RowConflict, InvalidTable,
		IdempotencyMismatch, NeverFits, LimitTooSmall, QueueFull, QueueUnknown, NoBackendServer,
		DeadlineExceeded, OutcomeUnknown, RetryBudgetExhausted, BackendFailed, PartitionUnavailable,
		TeamLimit, TeamUnknown, EditOutcomeUnknown, InstanceOverloaded, InternalError, ForwardingUnavailable, Unsupported,
	}
}

// Refusal is the error for a refused request or job.
type Refusal struct {
	Reason Reason `json:"reason"`
	// Message says what is wrong and names the invalid field, if any.
	Message string `json:"message"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy"`
	// NotRun is true only if the work is proven not to have run.
	NotRun bool `json:"not_run,omitempty"`
	// RetryAfter is set if a later retry may succeed.
	RetryAfter time.Duration `json:"-"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error returns the message with the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; %s", r.Reason, r.Message, r.Remedy)
}

// New returns a refusal of work that is proven not to have run.
func New(status int, reason Reason, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Remedy: remedy, NotRun: true, Status: status}
}

// jobStatusCodes maps the reasons for which the scheduler refuses jobs to HTTP status
// codes, so that the scheduler does not depend on HTTP.
var jobStatusCodes = map[Reason]int{
	InvalidRequest:      http.StatusBadRequest,
	TeamUnknown:         http.StatusForbidden,
	IdempotencyMismatch: http.StatusConflict,
	LimitTooSmall:       http.StatusUnprocessableEntity,
	NeverFits:           http.StatusUnprocessableEntity,
	QueueFull:           http.StatusTooManyRequests,
}

// ForJob returns a refusal of a job that has not run, with the status code of its reason.
func ForJob(reason Reason, message, remedy string) *Refusal {
	return New(jobStatusCodes[reason], reason, message, remedy)
}

// NewOutcomeUnknown returns a refusal of work that may have run.
func NewOutcomeUnknown(status int, reason Reason, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Remedy: remedy, Status: status}
}

// WithRetryAfter returns a copy of r that asks the caller to retry after wait.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	c := *r
	c.RetryAfter = wait
	return &c
}

// FromError returns the refusal in the chain of err, or else an internal error
// that leaves open whether the work has run.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewOutcomeUnknown(http.StatusInternalServerError, InternalError, err.Error(),
		"look up the outcome before you repeat the call, and report the message to the operators")
}
