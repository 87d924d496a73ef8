package cellhttp

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Local is what an instance serves to the others.
type Local struct {
	// Owner returns the local owner, nil where another instance owns the cell.
	Owner func() port.OwnerService
	// Approver asks the approval service from this instance.
	Approver port.Approver
	// Workers calls workers from this instance.
	Workers port.WorkerRelay
	// Registry reads the workers' registry from this instance.
	Registry port.WorkerChanges
	// Store makes calls for instances that the store turns away.
	Store    port.LeaseStore
	Instance domain.InstanceID
}

// NewHandler serves the calls of other instances.
func NewHandler(l Local) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathSubmit, ownerCall(l, port.OwnerService.Submit))
	handle(mux, pathCancel, ownerCall(l, port.OwnerService.Cancel))
	handle(mux, pathState, ownerCall(l, port.OwnerService.State))
	handle(mux, pathWaiting, ownerCall(l, port.OwnerService.WaitingJobs))
	handle(mux, pathHello, ownerCall(l, port.OwnerService.Announce))
	handle(mux, pathExplain, ownerCall(l, port.OwnerService.Explain))
	handle(mux, pathOverview, ownerCall(l, func(o port.OwnerService, ctx context.Context, _ struct{}) (port.CellOverview, error) {
		return o.Overview(ctx)
	}))
	handle(mux, pathStore, func(ctx context.Context, c storeCall) (storeReply, error) { return serveStore(ctx, l.Store, c) })
	handle(mux, pathApprove, func(ctx context.Context, c approveCall) (port.ApprovalReply, error) {
		return l.Approver.Approve(ctx, c.Step, c.Workers)
	})
	handle(mux, pathRegistry, serveRegistry(l.Registry))
	if l.Workers != nil {
		mux.HandleFunc("POST "+pathLooks, serveLooks(l.Workers))
		mux.HandleFunc("POST "+pathOrders, serveOrders(l.Workers))
	}
	return mux
}

func ownerCall[C, R any](l Local, f func(port.OwnerService, context.Context, C) (R, error)) func(context.Context, C) (R, error) {
	return func(ctx context.Context, c C) (R, error) {
		o := l.Owner()
		if o == nil {
			var none R
			return none, &port.NotOwnerError{Instance: l.Instance}
		}
		return f(o, ctx, c)
	}
}

// decodeBody reads the call of a request, up to maxBodyBytes.
func decodeBody[C any](w http.ResponseWriter, r *http.Request) (C, error) {
	var c C
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return c, err
	}
	err = cbor.Unmarshal(raw, &c)
	return c, err
}

func handle[C, R any](mux *http.ServeMux, path string, f func(context.Context, C) (R, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		c, err := decodeBody[C](w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := f(r.Context(), c)
		var notOwner *port.NotOwnerError
		switch {
		case errors.As(err, &notOwner):
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		answer, err := cbor.Marshal(result)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// A caller that left has no use for the answer.
		_, _ = w.Write(answer)
	})
}
