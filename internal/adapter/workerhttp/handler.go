package workerhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/httpjson"
	"auburnpier/internal/port"
)

// Handler serves the worker to calls of Client.
func Handler(w port.Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAcquire, handle(func(ctx context.Context, r acquireRequest) (port.Lease, error) {
		return w.AcquireLease(ctx, r.Holder, r.Epoch, r.TTL)
	}))
	mux.HandleFunc("POST "+pathRenew, handle(w.RenewLease))
	mux.HandleFunc("POST "+pathStart, handle(func(ctx context.Context, r startRequest) (emptyResponse, error) {
		return emptyResponse{}, w.Start(ctx, r.Lease, r.Attempts)
	}))
	mux.HandleFunc("POST "+pathStop, handle(func(ctx context.Context, r attemptsRequest) (emptyResponse, error) {
		return emptyResponse{}, w.Stop(ctx, r.Lease, r.Attempts)
	}))
	mux.HandleFunc("POST "+pathCheckpoint, handle(func(ctx context.Context, r attemptsRequest) (emptyResponse, error) {
		return emptyResponse{}, w.Checkpoint(ctx, r.Lease, r.Attempts)
	}))
	mux.HandleFunc("POST "+pathThrottle, handle(func(ctx context.Context, r throttleRequest) (emptyResponse, error) {
		return emptyResponse{}, w.Throttle(ctx, r.Lease, r.Attempt, r.CPUMilli)
	}))
	return mux
}

func handle[Q, R any](call func(context.Context, Q) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&req); err != nil {
			httpjson.Write(w, http.StatusBadRequest, refusedResponse{Error: err.Error()})
			return
		}
		resp, err := call(r.Context(), req)
		var refused *port.LeaseRefusedError
		switch {
		case err == nil:
			httpjson.Write(w, http.StatusOK, resp)
		case errors.As(err, &refused):
			httpjson.Write(w, http.StatusConflict, refusedResponse{Worker: refused.Worker, Lease: refused.Lease, Current: refused.Current})
		default:
			httpjson.Write(w, http.StatusInternalServerError, refusedResponse{Error: err.Error()})
		}
	}
}
