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

// LocalServices holds the services that an instance offers to the others.
type LocalServices struct {
	// Owner returns the local owner, or nil if this instance does not own the cell.
	Owner func() port.OwnerService
	// Approver calls the approval service.
	Approver port.Approver
	// Workers relays polls and orders to workers. It may be nil.
	Workers port.WorkerRelay
	// Registry reads the workers' registry.
	Registry port.WorkerChanges
	// Store makes store calls on behalf of instances whose own calls the store rejects.
	Store    port.LeaseStore
	Instance domain.InstanceID
}

// NewHandler returns the HTTP handler of calls from other instances.
func NewHandler(l LocalServices) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathSubmit, ownerHandler(l, port.OwnerService.Submit))
	handle(mux, pathCancel, ownerHandler(l, port.OwnerService.Cancel))
	handle(mux, pathState, ownerHandler(l, port.OwnerService.State))
	handle(mux, pathWaiting, ownerHandler(l, port.OwnerService.WaitingJobs))
	handle(mux, pathAnnounce, ownerHandler(l, port.OwnerService.Announce))
	handle(mux, pathPreview, ownerHandler(l, port.OwnerService.Preview))
	handle(mux, pathExplain, ownerHandler(l, port.OwnerService.Explain))
	handle(mux, pathOverview, ownerHandler(l, func(o port.OwnerService, ctx context.Context, _ struct{}) (port.CellOverview, error) {
		return o.Overview(ctx)
	}))
	handle(mux, pathStore, func(ctx context.Context, c storeCall) (storeReply, error) { return serveStore(ctx, l.Store, c) })
	handle(mux, pathApprove, func(ctx context.Context, c approveCall) (port.ApprovalReply, error) {
		return l.Approver.Approve(ctx, c.Step, c.Workers)
	})
	handle(mux, pathRegistry, serveRegistry(l.Registry))
	if l.Workers != nil {
		mux.HandleFunc("POST "+pathPolls, servePolls(l.Workers))
		mux.HandleFunc("POST "+pathOrders, serveOrders(l.Workers))
	}
	return mux
}

// ownerHandler returns a function that calls the local owner, or fails with a *port.NotOwnerError.
func ownerHandler[C, R any](l LocalServices, f func(port.OwnerService, context.Context, C) (R, error)) func(context.Context, C) (R, error) {
	return func(ctx context.Context, c C) (R, error) {
		o := l.Owner()
		if o == nil {
			var none R
			return none, &port.NotOwnerError{Instance: l.Instance}
		}
		return f(o, ctx, c)
	}
}

// decodeBody reads and decodes the request body, of up to maxBodyBytes.
func decodeBody[C any](w http.ResponseWriter, r *http.Request) (C, error) {
	var c C
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return c, err
	}
	err = cbor.Unmarshal(raw, &c)
	return c, err
}

// handle registers f for the path. A *port.NotOwnerError becomes status 421, any other error 502.
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
		raw, err := cbor.Marshal(result)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// The only possible error is that the caller disconnected.
		_, _ = w.Write(raw)
	})
}
