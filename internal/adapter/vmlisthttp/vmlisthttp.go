// Package vmlisthttp speaks the platform's VM list over HTTP with JSON: GET
// /v1/vms answers {"vms":[...]} with the rows of domain.VM. Client implements
// port.VMList, Handler serves any port.VMList, and Poller keeps the list fresh.
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
	// maxListBytes bounds an answer: 10,000 rows of about 400 bytes with room to spare.
	maxListBytes = 16 << 20
)

type message struct {
	VMs   []domain.VM `json:"vms"`
	Error string      `json:"error,omitempty"`
}

// Client is a port.VMList over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ port.VMList = (*Client)(nil)

// NewClient returns a client of the list at base, such as "http://127.0.0.1:7001".
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// List implements port.VMList. An answer that is cut off or malformed is an error, never a shorter list.
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
	var m message
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&m); err != nil {
		return nil, errors.Wrapf(err, "decode VM list with status %d, the last list stays in use", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list answered status %d, the last list stays in use: %s", resp.StatusCode, m.Error)
	}
	if m.VMs == nil {
		return nil, errors.New("VM list answer has no field vms, the last list stays in use")
	}
	return m.VMs, nil
}

// Handler serves the list over the protocol of Client.
func Handler(list port.VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		vms, err := list.List(r.Context())
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(message{Error: err.Error()})
			return
		}
		if vms == nil {
			vms = []domain.VM{}
		}
		_ = json.NewEncoder(w).Encode(message{VMs: vms})
	})
	return mux
}
