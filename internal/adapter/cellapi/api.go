// Package cellapi serves the cell's own HTTP API for jobs, which accepts JSON with
// comments. The API of the users' platform is in platform/.
package cellapi

import (
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"auburnpier/internal/app/entry"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/refusal"
	"auburnpier/internal/settings"
)

// JobResponse is the response to calls that name a job.
type JobResponse struct {
	Job domain.JobID `json:"job"`
	// State is empty in the response to a submission.
	State string `json:"state,omitempty"`
}

// QueueResponse reports the number of the queue's accepted jobs that have not started.
type QueueResponse struct {
	Queue   domain.QueueID `json:"queue"`
	Waiting int            `json:"waiting"`
}

// JobPath returns the path of a job.
func JobPath(queue domain.QueueID, id domain.JobID) string {
	return "/v1/queues/" + string(queue) + "/jobs/" + string(id)
}

// PreviewPath returns the path of previews of the queue's jobs.
func PreviewPath(queue domain.QueueID) string { return "/v1/queues/" + string(queue) + "/preview" }

type api struct{ service *entry.Service }

// Register adds the API's routes to mux.
func Register(mux *http.ServeMux, service *entry.Service) {
	a := &api{service}
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", a.withJob(a.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", a.withJob(a.state))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", a.withJob(a.cancel))
	mux.HandleFunc("GET /v1/queues/{queue}", a.waiting)
	mux.HandleFunc("POST /v1/queues/{queue}/preview", a.preview)
}

var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// admit authenticates the call by the key in the header "Authorization: Bearer KEY".
func (a *api) admit(w http.ResponseWriter, r *http.Request) (entry.Call, bool) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	call, rejection := a.service.AdmitQueue(domain.QueueID(r.PathValue("queue")), key)
	if rejection != nil {
		writeRejection(w, rejection, true)
		return call, false
	}
	return call, true
}

func (a *api) withJob(f func(http.ResponseWriter, *http.Request, entry.Call, domain.JobID)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, ok := a.admit(w, r)
		if !ok {
			return
		}
		id := r.PathValue("id")
		if !jobIDPattern.MatchString(id) {
			refusal.Write(w, refusal.Body{Refusal: refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
				"the job's ID is not 16 lower-case hexadecimal digits", "choose such an ID at random")})
			return
		}
		f(w, r, call, domain.JobID(id))
	}
}

// withSpec reads the job in the body of the call and calls f with it.
func (a *api) withSpec(w http.ResponseWriter, r *http.Request, f func(jobs.Spec)) {
	raw, release, rejection := a.service.ReadBody(w, r)
	if rejection != nil && rejection.Kind == entry.LargeBody {
		refusal.Write(w, refusal.Body{Refusal: refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
			"the job is longer than "+strconv.FormatInt(a.service.MaxBodyBytes(), 10)+" bytes", "make the payload or the list of steps shorter")})
		return
	}
	if rejection != nil {
		writeRejection(w, rejection, true)
		return
	}
	defer release()
	var spec jobs.Spec
	var err error
	a.service.DecodeBody(func() { spec, err = settings.ParseJob("job", raw) })
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		refusal.Write(w, refusal.Body{Faults: faults.Faults, Refusal: refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			"the job has wrong fields", "correct the fields that the faults name")})
		return
	}
	f(spec)
}

func (a *api) submit(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	a.withSpec(w, r, func(spec jobs.Spec) {
		if rejection := a.service.Submit(r.Context(), call, id, spec, 0); rejection != nil {
			writeRejection(w, rejection, true)
			return
		}
		httpjson.Write(w, http.StatusOK, JobResponse{Job: id})
	})
}

func (a *api) preview(w http.ResponseWriter, r *http.Request) {
	call, ok := a.admit(w, r)
	if !ok {
		return
	}
	a.withSpec(w, r, func(spec jobs.Spec) {
		v, rejection := a.service.Preview(r.Context(), call, spec, 0)
		if rejection != nil {
			writeRejection(w, rejection, true)
			return
		}
		httpjson.Write(w, http.StatusOK, v)
	})
}

func (a *api) state(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	state, rejection := a.service.State(r.Context(), call, id, 0)
	if rejection != nil {
		writeRejection(w, rejection, true)
		return
	}
	httpjson.Write(w, http.StatusOK, JobResponse{Job: id, State: state.String()})
}

func (a *api) cancel(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	if rejection := a.service.Cancel(r.Context(), call, id, 0); rejection != nil {
		// If no owner responded, the cancellation may still take effect.
		writeRejection(w, rejection, rejection.Kind != entry.NoOwner)
		return
	}
	httpjson.Write(w, http.StatusOK, JobResponse{Job: id, State: jobs.Cancelled.String()})
}

func (a *api) waiting(w http.ResponseWriter, r *http.Request) {
	call, ok := a.admit(w, r)
	if !ok {
		return
	}
	n, rejection := a.service.Waiting(r.Context(), call, 0)
	if rejection != nil {
		writeRejection(w, rejection, true)
		return
	}
	httpjson.Write(w, http.StatusOK, QueueResponse{Queue: call.Route.Queue.Name, Waiting: n})
}

// rejectionReplies maps rejections to HTTP statuses, reasons and messages.
var rejectionReplies = map[entry.RejectionKind]struct {
	status  int
	reason  refusal.Reason
	message string
}{
	entry.NotReady:       {http.StatusServiceUnavailable, refusal.NotReady, "the instance has no configuration"},
	entry.UnknownQueue:   {http.StatusNotFound, refusal.QueueUnknown, "the queue is unknown"},
	entry.UnknownKey:     {http.StatusUnauthorized, refusal.KeyUnknown, "the key is unknown"},
	entry.StaleConfig:    {http.StatusServiceUnavailable, refusal.ConfigurationStale, "the instance cannot prove its configuration"},
	entry.Invalid:        {http.StatusBadRequest, refusal.InvalidRequest, "the call is wrong"},
	entry.UnknownJob:     {http.StatusNotFound, refusal.NotFound, "the job is unknown"},
	entry.NoOwner:        {http.StatusServiceUnavailable, refusal.NotReady, "no instance owns the cell"},
	entry.JobRefused:     {http.StatusTooManyRequests, refusal.QueueFull, "the job was not accepted"},
	entry.OutcomeUnknown: {http.StatusGatewayTimeout, refusal.OutcomeUnknown, "the job may have been accepted"},
	entry.SlowBody:       {http.StatusRequestTimeout, refusal.BodyTooSlow, "the job was not complete in time"},
	entry.Busy:           {http.StatusServiceUnavailable, refusal.InstanceOverloaded, "the instance has no memory for another job now"},
	entry.PreviewBusy:    {http.StatusServiceUnavailable, refusal.InstanceOverloaded, "too many previews are asked for"},
	entry.Unsupported:    {http.StatusNotImplemented, refusal.Unsupported, "the owner of the cell can't answer the call"},
}

// writeRejection responds with a refusal. notRun states that the call certainly had no
// effect; it is ignored if the outcome is unknown.
func writeRejection(w http.ResponseWriter, r *entry.Rejection, notRun bool) {
	reply := rejectionReplies[r.Kind]
	body := &refusal.Refusal{Reason: reply.reason, Message: reply.message, Remedy: r.Remedy, NotRun: notRun && r.Kind != entry.OutcomeUnknown,
		RetryAfter: r.RetryAfter, Status: reply.status}
	if r.Kind == entry.JobRefused {
		body.Reason = refusal.Reason(r.Remedy)
		body.Remedy = "send it again under the same ID after the time named"
		if r.RetryAfter == 0 {
			body.Remedy = "no worker or limit permits it; ask for less, or have the limit raised"
		}
	}
	refusal.Write(w, refusal.Body{Refusal: body})
}
