package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/domain"
)

// maxRefusalBytes bounds what is read of a refusal.
const maxRefusalBytes = 1 << 20

// RequestCommand sends one request to a queue.
type RequestCommand struct {
	Queue      string            `arg:"" help:"Name of the queue."`
	Method     string            `help:"HTTP method." default:"POST" short:"X"`
	Path       string            `help:"Path that the backend server gets." default:"/"`
	Data       string            `help:"Body of the request." short:"d"`
	DataFile   string            `help:"File with the body; '-' is standard input."`
	Header     map[string]string `help:"Further headers, as name=value." short:"H"`
	Idempotent bool              `help:"The request may run again after it may have run."`
}

// Run implements the command.
func (c *RequestCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	body := []byte(c.Data)
	if c.DataFile != "" {
		if body, err = readFile(g, c.DataFile); err != nil {
			return err
		}
	}
	header := http.Header{}
	for name, value := range c.Header {
		header.Set(name, value)
	}
	header.Set("Idempotency", map[bool]string{true: "yes", false: "no"}[c.Idempotent])
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	resp, err := client.Request(ctx, c.Method, domain.QueueID(c.Queue), c.Path, header, bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.print(g, resp)
}

func (c *RequestCommand) print(g *Globals, resp *http.Response) error {
	if resp.StatusCode >= http.StatusBadRequest {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		if err != nil {
			return &apiclient.UnreachableError{Server: g.Server, Err: err}
		}
		var refused *apiclient.RefusedError
		if err := apiclient.Refused(resp, raw); errors.As(err, &refused) {
			return err
		}
		// The answer of the backend server itself, which may be an error of the application.
		fmt.Fprintf(g.errOut, "auburnpier: the backend server answered %s\n", resp.Status)
		_, err = g.out.Write(raw)
		return err
	}
	if _, err := io.Copy(g.out, resp.Body); err != nil {
		return &apiclient.UnreachableError{Server: g.Server, Err: errors.Wrap(err, "the answer was cut off and is not whole")}
	}
	return nil
}
