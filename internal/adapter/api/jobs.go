package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/domain"
	"auburnpier/internal/fault"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/refusal"
)

// maxWait bounds how long a wait call is held open.
const maxWait = time.Minute

func (s *Server) submit(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
	spec, release, err := decode[domain.JobSpec](s, w, r)
	defer release()
	if err != nil {
		s.refuse(w, err)
		return
	}
	spec.Normalize()
	if faults := spec.Validate(); len(faults) > 0 {
		s.refuse(w, invalid(faults))
		return
	}
	if s.o.Cell.Draining() {
		s.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.ShuttingDown,
			"this instance is shutting down", "submit the job to another instance").WithRetryAfter(time.Second))
		return
	}
	status, err := s.o.Jobs.Submit(r.Context(), id.Team, spec)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+string(status.ID))
	httpjson.Write(w, http.StatusCreated, status)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
	s.answerJob(w)(s.o.Jobs.Status(r.Context(), id.Team, id.Operator, jobID(r)))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
	s.answerJob(w)(s.o.Jobs.Explain(r.Context(), id.Team, id.Operator, jobID(r)))
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
	s.answerJob(w)(s.o.Jobs.Cancel(r.Context(), id.Team, id.Operator, jobID(r)))
}

func (s *Server) wait(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
	wait := maxWait
	if text := r.URL.Query().Get("timeout_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
			var faults fault.List
			faults.Add("timeout_ms", strconv.Quote(text), "0 to 60000", "set a number of milliseconds in that range")
			s.refuse(w, invalid(faults))
			return
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	s.answerJob(w)(s.o.Jobs.Wait(ctx, id.Team, id.Operator, jobID(r)))
}

func (s *Server) answerJob(w http.ResponseWriter) func(domain.JobStatus, error) {
	return func(status domain.JobStatus, err error) {
		if err != nil {
			s.refuse(w, err)
			return
		}
		httpjson.Write(w, http.StatusOK, status)
	}
}

func jobID(r *http.Request) domain.JobID { return domain.JobID(r.PathValue("id")) }
