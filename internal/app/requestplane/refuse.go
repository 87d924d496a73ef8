package requestplane

import (
	"net/http"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// writeRefusal responds with a refusal and counts it by reason.
func (p *Plane) writeRefusal(w http.ResponseWriter, ref *refusal.Refusal) {
	p.metrics.CountRefusal(ref.Reason)
	refusal.Write(w, refusal.Body{Refusal: ref})
}

func refuseQueueFull(queue domain.QueueID) *refusal.Refusal {
	return refusal.New(http.StatusTooManyRequests, refusal.QueueFull,
		"queue "+string(queue)+" has no room for another waiting request of the team",
		"send fewer requests at a time, or wait and send the request again").WithRetryAfter(time.Second)
}

func refuseNoServer(queue domain.QueueID) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoBackendServer,
		"no backend server serves queue "+string(queue),
		"send the request again later, or ask the operators for servers of this queue").WithRetryAfter(time.Second)
}

func refuseNoFreeSlot(queue domain.QueueID) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ForwardingUnavailable,
		"the instance has no free slot of queue "+string(queue)+" for a forwarded request",
		"let the request wait at the instance that accepted it").WithRetryAfter(time.Second)
}

func refuseShuttingDown() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ShuttingDown,
		"the instance is shutting down",
		"send the request again, another instance will take it").WithRetryAfter(time.Second)
}

func refuseDeadlineWaiting() *refusal.Refusal {
	return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded,
		"the deadline passed while the request waited for a free slot",
		"send the request again later, or with a longer "+HeaderTimeout).WithRetryAfter(time.Second)
}

func refuseDeadlineRunning() *refusal.Refusal {
	return refusal.NewOutcomeUnknown(http.StatusGatewayTimeout, refusal.DeadlineExceeded,
		"the deadline passed before the backend server answered, the request may have run",
		"look up the outcome before you repeat the request, or set a longer "+HeaderTimeout).WithRetryAfter(time.Second)
}

func refuseOutcomeUnknown(why string) *refusal.Refusal {
	return refusal.NewOutcomeUnknown(http.StatusBadGateway, refusal.OutcomeUnknown,
		"the backend server may have run the request, but its answer was lost: "+why,
		"look up the outcome before you repeat the request").WithRetryAfter(time.Second)
}

func refuseBackendFailed(why string) *refusal.Refusal {
	return refusal.New(http.StatusBadGateway, refusal.BackendFailed,
		"no backend server took the request: "+why,
		"send the request again later").WithRetryAfter(time.Second)
}

func refuseRetryBudget(why string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.RetryBudgetExhausted,
		"the queue's retry budget is used up: "+why,
		"send the request again later").WithRetryAfter(time.Second)
}

func refuseInvalid(status int, message, remedy string) *refusal.Refusal {
	return refusal.New(status, refusal.InvalidRequest, message, remedy)
}

func refuseBodyStalled() *refusal.Refusal {
	return refusal.NewOutcomeUnknown(http.StatusRequestTimeout, refusal.BodyTooSlow,
		"the request body stalled after a part of it was sent to a backend server, and another request waited for the slot",
		"look up the outcome before you repeat the request, and send the body without a pause").WithRetryAfter(time.Second)
}

func refuseBodyBroken() *refusal.Refusal {
	return refusal.NewOutcomeUnknown(http.StatusBadRequest, refusal.InvalidRequest,
		"the request body ended early after a part of it was sent to a backend server",
		"look up the outcome before you repeat the request")
}
