// Package vmlisthttp reads and serves the platform's VM list as JSON over HTTP: GET /v1/vms returns
// {"vms":[...]} with one domain.VM per VM. Client implements port.VMList, Handler serves any
// port.VMList, and Poller keeps the list up to date.
package vmlisthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	path = "/v1/vms"
	// maxResponseBytes limits a response. 10,000 VMs of about 400 bytes each take a quarter of it.
	maxResponseBytes = 16 << 20
)

type listResponse struct {
	VMs   []domain.VM `json:"vms"`
	Error string      `json:"error,omitempty"`
}

// Client is a port.VMList that reads the list over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ port.VMList = (*Client)(nil)

// NewClient returns a client of the VM list at the base URL, such as "http://127.0.0.1:7001".
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// List implements port.VMList. A truncated or malformed response is an error, never a shorter list.
func (c *Client) List(ctx context.Context) ([]domain.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build VM list request; check the address of the VM list in the settings")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "VM list is unreachable, the last list stays in use")
	}
	defer func() { _ = resp.Body.Close() }()
	var body listResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, errors.Wrapf(err, "decode VM list with status %d, the last list stays in use", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list responded with status %d, the last list stays in use: %s", resp.StatusCode, body.Error)
	}
	if body.VMs == nil {
		return nil, errors.New("VM list response has no field vms, the last list stays in use")
	}
	return body.VMs, nil
}

// Handler serves the list to calls of Client.
func Handler(list port.VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		vms, err := list.List(r.Context())
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(listResponse{Error: err.Error()})
			return
		}
		if vms == nil {
			vms = []domain.VM{}
		}
		_ = json.NewEncoder(w).Encode(listResponse{VMs: vms})
	})
	return mux
}
