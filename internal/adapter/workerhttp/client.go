package workerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/port"
)

const (
	dialTimeout = 2 * time.Second
	// deliveryTimeout is shorter than the margin that an owner adds to a lease's time to live before
	// it treats the lease as expired.
	deliveryTimeout = 3 * time.Second
)

// Dialer creates clients that share one connection pool.
type Dialer struct {
	http *http.Client
}

var _ port.WorkerDialer = (*Dialer)(nil)

// NewDialer returns a Dialer. It keeps idle connections for longer than the interval between lease
// renewals, so that a renewal doesn't have to open a connection.
func NewDialer() *Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setDeliveryTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Dialer{http: &http.Client{Transport: transport}}
}

// setDeliveryTimeout makes the kernel discard sent data that the worker has not acknowledged within
// deliveryTimeout, even if the connection has been closed since. Otherwise, an acquisition that the
// owner has abandoned could arrive much later and extend a lease that the owner treats as expired.
func setDeliveryTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deliveryTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}

// Worker implements port.WorkerDialer.
func (d *Dialer) Worker(address string) port.Worker {
	return &Client{address: address, http: d.http}
}

// Client is a port.Worker that calls the worker over HTTP.
type Client struct {
	address string
	http    *http.Client
}

var _ port.Worker = (*Client)(nil)

// AcquireLease implements port.Worker.
func (c *Client) AcquireLease(ctx context.Context, holder domain.InstanceID, epoch domain.Epoch, ttl time.Duration) (port.Lease, error) {
	return call[port.Lease](ctx, c, pathAcquire, acquireRequest{Holder: holder, Epoch: epoch, TTL: ttl})
}

// RenewLease implements port.Worker.
func (c *Client) RenewLease(ctx context.Context, r port.RenewRequest) (port.Lease, error) {
	return call[port.Lease](ctx, c, pathRenew, r)
}

// Start implements port.Worker.
func (c *Client) Start(ctx context.Context, lease domain.LeaseID, requests []port.StartRequest) error {
	_, err := call[emptyResponse](ctx, c, pathStart, startRequest{Lease: lease, Attempts: requests})
	return err
}

// Stop implements port.Worker.
func (c *Client) Stop(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error {
	_, err := call[emptyResponse](ctx, c, pathStop, attemptsRequest{Lease: lease, Attempts: attempts})
	return err
}

// Checkpoint implements port.Worker.
func (c *Client) Checkpoint(ctx context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error {
	_, err := call[emptyResponse](ctx, c, pathCheckpoint, attemptsRequest{Lease: lease, Attempts: attempts})
	return err
}

// Throttle implements port.Worker.
func (c *Client) Throttle(ctx context.Context, lease domain.LeaseID, attempt domain.AttemptID, cpuMilli int64) error {
	_, err := call[emptyResponse](ctx, c, pathThrottle, throttleRequest{Lease: lease, Attempt: attempt, CPUMilli: cpuMilli})
	return err
}

func call[R any](ctx context.Context, c *Client, path string, req any) (R, error) {
	var zero R
	httpReq, err := httpjson.NewPost(ctx, "http://"+c.address+path, req)
	if err != nil {
		return zero, errors.Wrap(err, "worker")
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
	}
	defer func() { _ = httpResp.Body.Close() }()
	return decodeResponse[R](c, httpResp)
}

func decodeResponse[R any](c *Client, httpResp *http.Response) (R, error) {
	var zero, resp R
	d := json.NewDecoder(io.LimitReader(httpResp.Body, maxMessageBytes))
	switch httpResp.StatusCode {
	case http.StatusOK:
		if err := d.Decode(&resp); err != nil {
			return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
		}
		return resp, nil
	case http.StatusConflict:
		var refused refusedResponse
		if err := d.Decode(&refused); err != nil {
			return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
		}
		return zero, &port.LeaseRefusedError{Worker: refused.Worker, Lease: refused.Lease, Current: refused.Current}
	default:
		err := fmt.Errorf("worker answered status %d", httpResp.StatusCode)
		return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
	}
}
