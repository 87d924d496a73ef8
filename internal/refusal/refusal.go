// Package refusal holds the typed refusals that callers and operators see. A
// refusal names its reason and a remedy, says whether the work provably did
// not run, and tells when waiting helps.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is the stable name of a refusal. Each reason has its own counter.
type Reason string

// Reasons of refusals.
const (
	InvalidRequest        Reason = "invalid_request"
	BodyTooLarge          Reason = "body_too_large"
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
)

// Reasons lists every reason, so that each has a counter from the start.
func Reasons() []Reason {
	return []Reason{
		InvalidRequest, BodyTooLarge, UnsupportedMediaType, KeyMissing, KeyUnknown, KeyNotOperator,
		ConfigurationStale, NotReady, ShuttingDown, StoreUnavailable, NotFound, RowConflict, InvalidTable,
		IdempotencyMismatch, NeverFits, LimitTooSmall, QueueFull, QueueUnknown, NoBackendServer,
		DeadlineExceeded, OutcomeUnknown, RetryBudgetExhausted, BackendFailed, PartitionUnavailable,
		TeamLimit, TeamUnknown, EditOutcomeUnknown, InstanceOverloaded, InternalError, ForwardingUnavailable,
	}
}

// Refusal is a refused piece of work.
type Refusal struct {
	Reason Reason `json:"reason"`
	// Message says what is wrong and names the field where there is one.
	Message string `json:"message"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy"`
	// NotRun is true only where the work provably did not run. It is absent otherwise.
	NotRun bool `json:"not_run,omitempty"`
	// RetryAfter is set where waiting helps.
	RetryAfter time.Duration `json:"-"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error returns the message with the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; %s", r.Reason, r.Message, r.Remedy)
}

// New returns a refusal of work that provably did not run.
func New(status int, reason Reason, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Remedy: remedy, NotRun: true, Status: status}
}

// jobStatus maps the reasons for which a scheduler refuses jobs, so that
// decisions need not know how they are carried.
var jobStatus = map[Reason]int{
	InvalidRequest:      http.StatusBadRequest,
	TeamUnknown:         http.StatusForbidden,
	IdempotencyMismatch: http.StatusConflict,
	LimitTooSmall:       http.StatusUnprocessableEntity,
	NeverFits:           http.StatusUnprocessableEntity,
	QueueFull:           http.StatusTooManyRequests,
}

// ForJob returns a refusal of a job that did not run, with the status of its reason.
func ForJob(reason Reason, message, remedy string) *Refusal {
	return New(jobStatus[reason], reason, message, remedy)
}

// NewOutcomeUnknown returns a refusal of work that may have run.
func NewOutcomeUnknown(status int, reason Reason, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Remedy: remedy, Status: status}
}

// WithRetryAfter returns a copy of r that asks the caller to wait.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	c := *r
	c.RetryAfter = wait
	return &c
}

// FromError returns the refusal in the chain of err, or an internal error that
// makes no claim about whether the work ran.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewOutcomeUnknown(http.StatusInternalServerError, InternalError, err.Error(),
		"look up the outcome before you repeat the call, and report the message to the operators")
}
