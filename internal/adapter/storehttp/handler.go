package storehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/httpjson"
	"auburnpier/internal/port"
)

// maxWatchWait limits the wait of a watch; a longer one is cut to it.
const maxWatchWait = time.Minute

// Handler serves the store to calls of Client.
func Handler(s port.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathGet, handle(func(ctx context.Context, req request) (*response, error) {
		e, err := s.Get(ctx, req.Key)
		return &response{Entry: toWire(e)}, err
	}))
	mux.HandleFunc("POST "+pathList, handle(func(ctx context.Context, req request) (*response, error) {
		list, revision, err := s.List(ctx, req.Prefix)
		resp := &response{Revision: revision}
		for _, e := range list {
			resp.Entries = append(resp.Entries, *toWire(e))
		}
		return resp, err
	}))
	mux.HandleFunc("POST "+pathCAS, handle(func(ctx context.Context, req request) (*response, error) {
		revision, err := s.CompareAndSwap(ctx, req.Key, req.Expected, req.Value)
		return &response{Revision: revision}, err
	}))
	mux.HandleFunc("POST "+pathDelete, handle(func(ctx context.Context, req request) (*response, error) {
		return &response{}, s.Delete(ctx, req.Key, req.Expected)
	}))
	mux.HandleFunc("POST "+pathWatch, handle(func(ctx context.Context, req request) (*response, error) {
		wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWatchWait)
		result, err := s.Watch(ctx, req.Prefix, req.After, wait)
		resp := &response{Revision: result.Revision, Gap: result.Gap}
		for _, ev := range result.Events {
			e := toWire(ev.Entry)
			e.Deleted = ev.Deleted
			resp.Entries = append(resp.Entries, *e)
		}
		return resp, err
	}))
	return mux
}

func handle(call func(context.Context, request) (*response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&req); err != nil {
			httpjson.Write(w, http.StatusBadRequest, &response{Error: err.Error()})
			return
		}
		resp, err := call(r.Context(), req)
		if err != nil {
			respondError(w, err)
			return
		}
		httpjson.Write(w, http.StatusOK, resp)
	}
}

func respondError(w http.ResponseWriter, err error) {
	var notFound *port.NotFoundError
	var conflict *port.ConflictError
	var unavailable *port.UnavailableError
	var unknown *port.OutcomeUnknownError
	switch {
	case errors.As(err, &notFound):
		httpjson.Write(w, http.StatusNotFound, &response{Error: err.Error()})
	case errors.As(err, &conflict):
		httpjson.Write(w, http.StatusConflict, &response{Error: err.Error(), Entry: toWire(conflict.Current)})
	case errors.As(err, &unavailable):
		httpjson.Write(w, http.StatusServiceUnavailable, &response{Error: err.Error()})
	case errors.As(err, &unknown):
		// The caller could take any response as proof of the outcome, so the connection is aborted
		// without one.
		panic(http.ErrAbortHandler)
	default:
		httpjson.Write(w, http.StatusInternalServerError, &response{Error: err.Error()})
	}
}
