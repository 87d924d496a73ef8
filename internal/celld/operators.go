package celld

import (
	"context"
	"errors"
	"net/http"
	"time"

	"auburnpier/internal/adapter/cellapi"
	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/port"
)

// operatorTimeout bounds how long an operator's request waits for the owner. A
// takeover takes up to 2 s.
const operatorTimeout = 3 * time.Second

// errNoOwner is returned if this instance knows no owner of the cell.
var errNoOwner = errors.New("no instance is known to own the cell; ask again in a few seconds")

// operatorHandler serves the metrics, the operator endpoints and the cell's own
// API for jobs. Operator endpoints expose neither payloads nor keys.
func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", i.serveMetrics)
	mux.HandleFunc("GET /status", i.serveStatus)
	mux.HandleFunc("GET /jobs/{id}", i.serveExplain)
	cellapi.Register(mux, i.service)
	return mux
}

func (i *Instance) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	s := port.InstanceStatus{Instance: i.settings.Instance, Region: i.settings.Region, Zone: i.settings.Zone,
		Ready: i.service.Ready(), Draining: i.draining.Load(), ConfigAgeMS: i.config.AgeMS()}
	if c := i.config.CellConfig(); c != nil {
		s.ConfigVersion = c.Version
	}
	if claim := i.directory.Ownership().Claim; claim != nil {
		s.Owner, s.OwnerAddress, s.Epoch = claim.Instance, claim.Address, claim.Epoch
	}
	if cell, err := i.overview(ctx); err != nil {
		s.CellError = err.Error()
	} else {
		s.Cell = &cell
	}
	httpjson.Write(w, http.StatusOK, s)
}

func (i *Instance) overview(ctx context.Context) (port.CellOverview, error) {
	client, _ := i.directory.Owner()
	if client == nil {
		return port.CellOverview{}, errNoOwner
	}
	return client.Overview(ctx)
}

func (i *Instance) serveExplain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	client, _ := i.directory.Owner()
	if client == nil {
		httpjson.Write(w, http.StatusServiceUnavailable, port.ErrorResponse{Error: errNoOwner.Error()})
		return
	}
	reply, err := client.Explain(ctx, domain.JobID(r.PathValue("id")))
	switch {
	case err != nil:
		httpjson.Write(w, http.StatusServiceUnavailable, port.ErrorResponse{Error: err.Error()})
	case !reply.Found:
		httpjson.Write(w, http.StatusNotFound, port.ErrorResponse{Error: "the owner knows no such job; it may have ended longer ago than states are kept, look into the logs"})
	default:
		httpjson.Write(w, http.StatusOK, reply.Job)
	}
}
