package cellhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Limits of connections between instances.
const (
	dialTimeout = 600 * time.Millisecond
	// IdleTimeout is the time after which a client closes an idle connection.
	// Servers must use a longer one, because a call on a connection that the server
	// is closing has an unknown outcome.
	IdleTimeout = 10 * time.Second
	// maxIdleConnsPerPeer is the number of idle connections kept per instance. It covers the
	// polls and orders in flight at one instance.
	maxIdleConnsPerPeer = 64
)

// Dialer creates clients of other instances, which share one connection pool.
type Dialer struct {
	client *http.Client
	net    *net.Dialer
	// OnUnreachable is called with the address of each call whose connection broke or
	// was refused. It must be set before the first call.
	OnUnreachable func(address string)
}

// NewDialer returns a dialer with its own connection pool.
func NewDialer() *Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second}
	return &Dialer{net: d, OnUnreachable: func(string) {}, client: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: IdleTimeout,
		DisableCompression: true, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
	}}}
}

// Owner implements entry.Dialer.
func (d *Dialer) Owner(address string) port.OwnerService { return d.peer(address) }

func (d *Dialer) peer(address string) *peer { return &peer{d.client, address, d.OnUnreachable} }

// Probe returns a *port.ProcessTerminatedError if the VM at address refuses connections,
// which proves that its operating system is up and no process listens there.
func (d *Dialer) Probe(ctx context.Context, address string) error {
	conn, err := d.net.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &port.ProcessTerminatedError{Address: address, Err: err}
	case err != nil:
		return &port.OwnerUnreachableError{Address: address, NotSent: true, Err: err}
	}
	return conn.Close()
}

// Approver implements owner.PeerClients.
func (d *Dialer) Approver(h port.InstanceInfo) port.Approver { return d.peer(h.Address) }

// Store returns a client of the store that relays its calls through the instance at address.
func (d *Dialer) Store(address string) port.LeaseStore { return &relayStore{d.peer(address)} }

// peer is a client of another instance.
type peer struct {
	client        *http.Client
	address       string
	onUnreachable func(address string)
}

func (p *peer) newRequest(ctx context.Context, path string, body any) (*http.Request, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode call %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	return req, nil
}

// send sends a request. An error means that no response headers were received.
func (p *peer) send(req *http.Request) (*http.Response, error) {
	resp, err := p.client.Do(req)
	if err != nil {
		if !cancelledOrTimedOut(err) {
			p.onUnreachable(p.address)
		}
		return nil, &port.OwnerUnreachableError{Address: p.address, NotSent: port.NotSent(err), Err: err}
	}
	return resp, nil
}

// cancelledOrTimedOut reports whether the caller cancelled the call or the call timed out. Neither is
// evidence that the other process has terminated.
func cancelledOrTimedOut(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.Canceled) || errors.As(err, &netErr) && netErr.Timeout()
}

// call sends one call and decodes the response.
func call[T any](ctx context.Context, p *peer, path string, body any) (T, error) {
	var result T
	req, err := p.newRequest(ctx, path, body)
	if err != nil {
		return result, err
	}
	// Without GetBody the transport cannot resend a request that may have taken effect.
	req.GetBody = nil
	resp, err := p.send(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(ctxtime.Reader(ctx, resp.Body), maxBodyBytes))
	if err != nil {
		return result, &port.OwnerUnreachableError{Address: p.address, Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := cbor.Unmarshal(raw, &result); err != nil {
			return result, &port.OwnerUnreachableError{Address: p.address, Err: err}
		}
		return result, nil
	case http.StatusMisdirectedRequest:
		return result, &port.NotOwnerError{Instance: domain.InstanceID(p.address)}
	case http.StatusNotFound:
		return result, &port.UnsupportedCallError{Address: p.address, Call: path}
	}
	return result, &port.OwnerUnreachableError{Address: p.address, Err: fmt.Errorf("status %d: %.200s", resp.StatusCode, raw)}
}

// Submit implements port.OwnerService.
func (p *peer) Submit(ctx context.Context, c port.SubmitRequest) (port.SubmitReply, error) {
	return call[port.SubmitReply](ctx, p, pathSubmit, c)
}

// Cancel implements port.OwnerService.
func (p *peer) Cancel(ctx context.Context, c port.JobRequest) (port.CancelReply, error) {
	return call[port.CancelReply](ctx, p, pathCancel, c)
}

// State implements port.OwnerService.
func (p *peer) State(ctx context.Context, c port.JobRequest) (port.StateReply, error) {
	return call[port.StateReply](ctx, p, pathState, c)
}

// WaitingJobs implements port.OwnerService.
func (p *peer) WaitingJobs(ctx context.Context, queue domain.QueueID) (int, error) {
	return call[int](ctx, p, pathWaiting, queue)
}

// Announce implements port.OwnerService.
func (p *peer) Announce(ctx context.Context, h port.AnnounceRequest) (port.AnnounceReply, error) {
	return call[port.AnnounceReply](ctx, p, pathAnnounce, h)
}

// Preview implements port.OwnerService.
func (p *peer) Preview(ctx context.Context, r port.PreviewRequest) (port.PreviewReply, error) {
	return call[port.PreviewReply](ctx, p, pathPreview, r)
}

// Explain implements port.OwnerService.
func (p *peer) Explain(ctx context.Context, job domain.JobID) (port.ExplainReply, error) {
	return call[port.ExplainReply](ctx, p, pathExplain, job)
}

// Overview implements port.OwnerService.
func (p *peer) Overview(ctx context.Context) (port.CellOverview, error) {
	return call[port.CellOverview](ctx, p, pathOverview, struct{}{})
}

// approveCall asks an instance to call the approval service.
type approveCall struct {
	Step    jobs.StepID       `cbor:"1,keyasint"`
	Workers []domain.WorkerID `cbor:"2,keyasint"`
}

// Approve implements port.Approver.
func (p *peer) Approve(ctx context.Context, step jobs.StepID, workers []domain.WorkerID) (port.ApprovalReply, error) {
	return call[port.ApprovalReply](ctx, p, pathApprove, approveCall{step, workers})
}
