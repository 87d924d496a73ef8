// Package cellapi serves a cell's own interface: jobs under the product's
// names, in JSON with comments. The users' platform has its own, in platform/.
package cellapi

import (
	"errors"
	"io"
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

// JobAnswer is the answer to calls that name a job.
type JobAnswer struct {
	Job domain.JobID `json:"job"`
	// State is empty in the answer to a submission or a cancellation.
	State string `json:"state,omitempty"`
}

// QueueAnswer tells how many accepted jobs of a queue have not begun.
type QueueAnswer struct {
	Queue   domain.QueueID `json:"queue"`
	Waiting int            `json:"waiting"`
}

// JobPath returns the path of a job.
func JobPath(queue domain.QueueID, id domain.JobID) string {
	return "/v1/queues/" + string(queue) + "/jobs/" + string(id)
}

type api struct{ service *entry.Service }

// Register adds the interface to mux.
func Register(mux *http.ServeMux, service *entry.Service) {
	a := &api{service}
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", a.withJob(a.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", a.withJob(a.state))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", a.withJob(a.cancel))
	mux.HandleFunc("GET /v1/queues/{queue}", a.waiting)
}

var jobID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// admit proves the call's key, which stands as "Authorization: Bearer KEY".
func (a *api) admit(w http.ResponseWriter, r *http.Request) (entry.Call, bool) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	call, rejection := a.service.AdmitQueue(domain.QueueID(r.PathValue("queue")), key)
	if rejection != nil {
		refuse(w, rejection, true)
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
		if !jobID.MatchString(id) {
			refusal.Write(w, refusal.Body{Refusal: refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
				"the job's ID is not 16 lower-case hexadecimal digits", "choose such an ID at random")})
			return
		}
		f(w, r, call, domain.JobID(id))
	}
}

func (a *api) submit(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.service.MaxBody()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal.Write(w, refusal.Body{Refusal: refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
			"the job is longer than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes", "make the payload or the list of steps shorter")})
		return
	}
	if err != nil {
		// The caller broke off; nobody reads an answer.
		return
	}
	spec, err := settings.ParseJob("job", raw)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		refusal.Write(w, refusal.Body{Faults: faults.Faults, Refusal: refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			"the job has wrong fields", "correct the fields that the faults name")})
		return
	}
	if rejection := a.service.Submit(r.Context(), call, id, spec, 0); rejection != nil {
		refuse(w, rejection, true)
		return
	}
	httpjson.Write(w, http.StatusOK, JobAnswer{Job: id})
}

func (a *api) state(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	state, rejection := a.service.State(r.Context(), call, id, 0)
	if rejection != nil {
		refuse(w, rejection, true)
		return
	}
	httpjson.Write(w, http.StatusOK, JobAnswer{Job: id, State: state.String()})
}

func (a *api) cancel(w http.ResponseWriter, r *http.Request, call entry.Call, id domain.JobID) {
	if rejection := a.service.Cancel(r.Context(), call, id, 0); rejection != nil {
		// Where no owner has answered, the cancellation may be under way.
		refuse(w, rejection, rejection.Kind != entry.NoOwner)
		return
	}
	httpjson.Write(w, http.StatusOK, JobAnswer{Job: id, State: jobs.Cancelled.String()})
}

func (a *api) waiting(w http.ResponseWriter, r *http.Request) {
	call, ok := a.admit(w, r)
	if !ok {
		return
	}
	n, rejection := a.service.Waiting(r.Context(), call, 0)
	if rejection != nil {
		refuse(w, rejection, true)
		return
	}
	httpjson.Write(w, http.StatusOK, QueueAnswer{Queue: call.Route.Queue.Name, Waiting: n})
}

// kinds maps rejections to statuses and reasons.
var kinds = map[entry.RejectionKind]struct {
	status  int
	reason  refusal.Reason
	message string
}{
	entry.NotReady:     {http.StatusServiceUnavailable, refusal.NotReady, "the instance has no configuration"},
	entry.UnknownQueue: {http.StatusNotFound, refusal.QueueUnknown, "the queue is unknown"},
	entry.UnknownKey:   {http.StatusUnauthorized, refusal.KeyUnknown, "the key is unknown"},
	entry.StaleConfig:  {http.StatusServiceUnavailable, refusal.ConfigurationStale, "the instance cannot prove its configuration"},
	entry.Invalid:      {http.StatusBadRequest, refusal.InvalidRequest, "the call is wrong"},
	entry.UnknownJob:   {http.StatusNotFound, refusal.NotFound, "the job is unknown"},
	entry.NoOwner:      {http.StatusServiceUnavailable, refusal.NotReady, "no instance owns the cell"},
	entry.Refused:      {http.StatusTooManyRequests, refusal.QueueFull, "the job was not accepted"},
	entry.Unknown:      {http.StatusGatewayTimeout, refusal.OutcomeUnknown, "the job may have been accepted"},
}

// refuse answers with a refusal. NotRun tells that the call provably had no
// effect, which an unknown outcome never has.
func refuse(w http.ResponseWriter, r *entry.Rejection, notRun bool) {
	k := kinds[r.Kind]
	body := &refusal.Refusal{Reason: k.reason, Message: k.message, Remedy: r.Remedy, NotRun: notRun && r.Kind != entry.Unknown,
		RetryAfter: r.RetryAfter, Status: k.status}
	if r.Kind == entry.Refused {
		body.Reason = refusal.Reason(r.Remedy)
		body.Remedy = "send it again under the same ID after the time named"
		if r.RetryAfter == 0 {
			body.Remedy = "no worker or limit permits it; ask for less, or have the limit raised"
		}
	}
	refusal.Write(w, refusal.Body{Refusal: body})
}
