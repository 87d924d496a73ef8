package storehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/httpjson"
	"auburnpier/internal/port"
)

// Client is a port.Store that calls the store over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ port.Store = (*Client)(nil)

// NewClient returns a client of the store at the base URL, such as "http://127.0.0.1:7000". It sets no
// time-outs of its own; deadlines come from the contexts of the calls.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	resp, err := c.call(ctx, pathGet, request{Key: key})
	if err != nil {
		return port.Entry{}, readError("get", err)
	}
	return resp.Entry.toEntry(), nil
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	resp, err := c.call(ctx, pathList, request{Prefix: prefix})
	if err != nil {
		return nil, 0, readError("list", err)
	}
	list := make([]port.Entry, 0, len(resp.Entries))
	for i := range resp.Entries {
		list = append(list, resp.Entries[i].toEntry())
	}
	return list, resp.Revision, nil
}

// CompareAndSwap implements port.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	resp, err := c.call(ctx, pathCAS, request{Key: key, Expected: expected, Value: value})
	if err != nil {
		return 0, writeError("compare-and-swap", key, err)
	}
	return resp.Revision, nil
}

// Delete implements port.Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	_, err := c.call(ctx, pathDelete, request{Key: key, Expected: expected})
	if err != nil {
		return writeError("delete", key, err)
	}
	return nil
}

// Watch implements port.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (port.WatchResult, error) {
	resp, err := c.call(ctx, pathWatch, request{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()})
	if err != nil {
		return port.WatchResult{}, readError("watch", err)
	}
	result := port.WatchResult{Revision: resp.Revision, Gap: resp.Gap}
	for i := range resp.Entries {
		e := resp.Entries[i]
		result.Events = append(result.Events, port.Event{Entry: e.toEntry(), Deleted: e.Deleted})
	}
	return result, nil
}

// statusError is a response with a status that has no typed error of its own.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("store answered status %d: %s", e.status, e.message)
}

// notSentError means that no connection to the store was obtained, so no part of the request was
// sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "no connection to the store: " + e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

func (c *Client) call(ctx context.Context, path string, req request) (*response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	httpReq, err := httpjson.NewPost(ctx, c.base+path, req)
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil && !connected {
		return nil, &notSentError{err: err}
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	return decodeResponse(path, req, httpResp)
}

func decodeResponse(path string, req request, httpResp *http.Response) (*response, error) {
	limit := int64(maxMessageBytes)
	if path == pathList || path == pathWatch {
		limit = maxListResponseBytes
	}
	var resp response
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, limit)).Decode(&resp); err != nil {
		return nil, errors.Wrapf(err, "decode store answer with status %d", httpResp.StatusCode)
	}
	switch httpResp.StatusCode {
	case http.StatusOK:
		return &resp, nil
	case http.StatusNotFound:
		return nil, &port.NotFoundError{Key: req.Key}
	case http.StatusConflict:
		return nil, &port.ConflictError{Key: req.Key, Expected: req.Expected, Current: resp.Entry.toEntry()}
	default:
		return nil, &statusError{status: httpResp.StatusCode, message: resp.Error}
	}
}

func readError(op string, err error) error {
	var notFound *port.NotFoundError
	if errors.As(err, &notFound) {
		return notFound
	}
	return &port.UnavailableError{Op: op, Err: err}
}

// writeError converts the error of a write. Only a 409 or 503 response, or the failure to get a
// connection, proves that the write had no effect; after any other failure its outcome is unknown.
func writeError(op, key string, err error) error {
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return &port.UnavailableError{Op: op, Err: err}
	}
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusServiceUnavailable {
		return &port.UnavailableError{Op: op, Err: err}
	}
	return &port.OutcomeUnknownError{Op: op, Key: key, Err: err}
}
