package cellhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/port"
)

// The response to a call with polls or orders is a sequence of CBOR arrays, each
// sent as soon as its results are available. A sequence that ends without an
// error is complete.

// Workers returns a client of the instance that relays polls and orders to workers.
func (d *Dialer) Workers(h port.InstanceInfo) port.WorkerRelay { return d.peer(h.Address) }

// PollWorkers implements port.PollRelay. The transport may resend a poll: it is idempotent, since it
// extends and acknowledges the same again.
func (p *peer) PollWorkers(ctx context.Context, polls []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	return stream(ctx, p, pathPolls, polls, deliver)
}

// SendOrders implements port.OrderRelay. The transport may resend an order: workers recognise repeated
// orders by the run's number.
func (p *peer) SendOrders(ctx context.Context, batch port.OrderBatch, deliver func([]port.OrderResult)) error {
	return stream(ctx, p, pathOrders, batch, deliver)
}

// stream sends a call and delivers each batch of the response as it arrives.
func stream[C, A any](ctx context.Context, p *peer, path string, body C, deliver func([]A)) error {
	req, err := p.newRequest(ctx, path, body)
	if err != nil {
		return err
	}
	resp, err := p.send(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &port.OwnerUnreachableError{Address: p.address, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	decoder := cbor.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes))
	for {
		var batch []A
		err := decoder.Decode(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &port.OwnerUnreachableError{Address: p.address, Err: err}
		}
		deliver(batch)
	}
}

func servePolls(relay port.PollRelay) http.HandlerFunc {
	return serveStream(func(polls []port.RelayedPoll) error { return checkCount("looks", len(polls), port.MaxRelayedPolls) }, relay.PollWorkers)
}

func serveOrders(relay port.OrderRelay) http.HandlerFunc {
	return serveStream(func(b port.OrderBatch) error { return checkCount("orders", len(b.Orders), port.MaxRelayedOrders) }, relay.SendOrders)
}

func checkCount(what string, n, limit int) error {
	if n > limit {
		return fmt.Errorf("%d %s in one call, at most %d are made", n, what, limit)
	}
	return nil
}

// serveStream returns a handler that sends each batch of results as soon as it is available.
func serveStream[C, A any](check func(C) error, run func(context.Context, C, func([]A)) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, err := decodeBody[C](w, r)
		if err == nil {
			err = check(call)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/cbor-seq")
		w.WriteHeader(http.StatusOK)
		flusher := http.NewResponseController(w)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		encoder := cbor.NewEncoder(w)
		err = run(ctx, call, func(batch []A) {
			if err := errors.Join(encoder.Encode(batch), flusher.Flush()); err != nil {
				// The caller has disconnected, so the calls in flight are no longer needed.
				cancel()
			}
		})
		if err != nil {
			// Aborting the connection signals to the caller that results are missing.
			panic(http.ErrAbortHandler)
		}
	}
}
