// Package apiclient calls the HTTP interface of an instance.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/route"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// maxAnswerBytes bounds a JSON answer.
const maxAnswerBytes = 16 << 20

// Client calls one server. It is safe for concurrent use.
type Client struct {
	base string
	key  teamkey.Key
	http *http.Client
}

// New returns a client that presents the key, if it is not zero.
func New(base string, key teamkey.Key, transport http.RoundTripper) *Client {
	return &Client{base: base, key: key, http: &http.Client{Transport: transport}}
}

// RefusedError is a refusal by the server.
type RefusedError struct {
	refusal.Refusal
	// Faults lists the wrong fields of a table.
	Faults []confdoc.Fault
	// Conflict holds the current row where another edit came first.
	Conflict *confdoc.ConflictError
}

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return &e.Refusal }

// UnreachableError tells that the server gave no answer.
type UnreachableError struct {
	Server string
	Err    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s, check the address or name another instance with --server: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, spec domain.JobSpec) (domain.JobStatus, error) {
	return call[domain.JobStatus](ctx, c, http.MethodPost, "/v1/jobs", spec)
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	return call[domain.JobStatus](ctx, c, http.MethodGet, jobPath(id, ""), nil)
}

// Explain returns the state of a job with its history.
func (c *Client) Explain(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	return call[domain.JobStatus](ctx, c, http.MethodGet, jobPath(id, "/explain"), nil)
}

// PreviewRequest tells what would become of a request to the queue now.
func (c *Client) PreviewRequest(ctx context.Context, queue domain.QueueID) (route.Preview, error) {
	return call[route.Preview](ctx, c, http.MethodGet, "/v1/queues/"+url.PathEscape(string(queue))+"/preview", nil)
}

// Wait returns the state of a job when it has ended or the timeout, at most a minute, has passed.
func (c *Client) Wait(ctx context.Context, id domain.JobID, timeout time.Duration) (domain.JobStatus, error) {
	path := jobPath(id, "/wait?timeout_ms="+strconv.FormatInt(timeout.Milliseconds(), 10))
	return call[domain.JobStatus](ctx, c, http.MethodGet, path, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id domain.JobID) (domain.JobStatus, error) {
	return call[domain.JobStatus](ctx, c, http.MethodDelete, jobPath(id, ""), nil)
}

// Table returns the configuration in force.
func (c *Client) Table(ctx context.Context) (api.Table, error) {
	return call[api.Table](ctx, c, http.MethodGet, "/v1/table", nil)
}

// Edit applies one change of the configuration.
func (c *Client) Edit(ctx context.Context, e confdoc.Edit) (confdoc.EditResult, error) {
	return call[confdoc.EditResult](ctx, c, http.MethodPost, "/v1/edits", e)
}

// Status reports on all instances.
func (c *Client) Status(ctx context.Context) ([]api.InstanceStatus, error) {
	return call[[]api.InstanceStatus](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Drain begins a graceful shutdown of the instance that answers.
func (c *Client) Drain(ctx context.Context) error {
	_, err := call[struct {
		Status string `json:"status"`
	}](ctx, c, http.MethodPost, "/v1/drain", nil)
	return err
}

// Request sends a request to a queue and returns the answer unread. The caller closes it.
func (c *Client) Request(ctx context.Context, method string, queue domain.QueueID, path string, header http.Header, body io.Reader) (*http.Response, error) {
	target := c.base + "/v1/queues/" + url.PathEscape(string(queue)) + "/request" + path
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{Server: c.base, Err: err}
	}
	return resp, nil
}

// Answer sends a request to a queue and returns the body of the answer. An error status is returned as an error, as Refused reads it.
func (c *Client) Answer(ctx context.Context, method string, queue domain.QueueID, path string, header http.Header, body io.Reader) (string, error) {
	resp, err := c.Request(ctx, method, queue, path, header, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return "", Refused(resp, raw)
	}
	return string(raw), nil
}

func jobPath(id domain.JobID, suffix string) string {
	return "/v1/jobs/" + url.PathEscape(string(id)) + suffix
}

func (c *Client) authorize(req *http.Request) {
	if !c.key.IsZero() {
		req.Header.Set("Authorization", "Bearer "+c.key.Reveal())
	}
}

func call[R any](ctx context.Context, c *Client, method, path string, body any) (R, error) {
	var zero R
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return zero, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return zero, errors.Wrap(err, "build request; check the server address")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return zero, &UnreachableError{Server: c.base, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeAnswer[R](c, resp)
}

func decodeAnswer[R any](c *Client, resp *http.Response) (R, error) {
	var zero, answer R
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return zero, &UnreachableError{Server: c.base, Err: err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return zero, Refused(resp, raw)
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return zero, errors.Wrapf(err, "decode answer with status %d", resp.StatusCode)
	}
	return answer, nil
}

// Refused returns the typed refusal in an answer.
func Refused(resp *http.Response, raw []byte) error {
	var body struct {
		refusal.Refusal
		Faults  []confdoc.Fault        `json:"faults"`
		Current *confdoc.ConflictError `json:"current"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Reason == "" {
		return errors.Newf("the server answered status %d without a refusal; check that --server names an auburnpier instance", resp.StatusCode)
	}
	e := &RefusedError{Refusal: body.Refusal, Faults: body.Faults, Conflict: body.Current}
	e.Status = resp.StatusCode
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}
