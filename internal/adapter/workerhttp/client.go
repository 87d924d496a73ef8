package workerhttp

import (
	"bytes"
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
	"auburnpier/internal/port"
)

const (
	dialTimeout = 2 * time.Second
	// deliveryBound is shorter than the margin that an owner adds to the time
	// to live of a lease before it counts the lease as lapsed.
	deliveryBound = 3 * time.Second
)

// Dialer makes clients that share one connection pool.
type Dialer struct {
	http *http.Client
}

var _ port.WorkerDialer = (*Dialer)(nil)

// NewDialer returns a dialer. Idle connections are kept for longer than the
// renewal interval of leases, so that a renewal needs no new connection.
func NewDialer() *Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: boundDelivery}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Dialer{http: &http.Client{Transport: transport}}
}

// boundDelivery makes the kernel drop bytes that the worker did not
// acknowledge within deliveryBound, also after the connection was closed. An
// acquisition that was given up can then not arrive much later and extend a
// lease that the owner counts as lapsed.
func boundDelivery(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deliveryBound.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Worker implements port.Workers.
func (d *Dialer) Worker(address string) port.Worker {
	return &Client{address: address, http: d.http}
}

// Client is a port.Worker over HTTP.
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
	body, err := json.Marshal(req)
	if err != nil {
		return zero, errors.Wrap(err, "encode worker request")
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return zero, errors.Wrap(err, "build worker request")
	}
	// GetBody is cleared so that the transport never repeats a call by itself.
	hr.GetBody = nil
	hr.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(hr)
	if err != nil {
		return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	return decode[R](c, answer)
}

func decode[R any](c *Client, answer *http.Response) (R, error) {
	var zero, resp R
	d := json.NewDecoder(io.LimitReader(answer.Body, maxMessageBytes))
	switch answer.StatusCode {
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
		err := fmt.Errorf("worker answered status %d", answer.StatusCode)
		return zero, &port.WorkerUnreachableError{Address: c.address, Err: err}
	}
}
