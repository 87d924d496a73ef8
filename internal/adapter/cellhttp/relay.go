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

// The answer to a call of looks or orders is a sequence of CBOR arrays, each
// sent as soon as it is there. Its end without an error tells that all were answered.

// Workers returns the relay of the instance to the workers.
func (d *Dialer) Workers(h port.InstanceInfo) port.WorkerRelay { return d.peer(h.Address) }

// PollWorkers implements port.PollRelay. A look may be sent twice: what it extends
// and acknowledges is the same.
func (p *peer) PollWorkers(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	return stream(ctx, p, pathLooks, looks, deliver)
}

// SendOrders implements port.OrderRelay. An order may be sent twice: a run has one number.
func (p *peer) SendOrders(ctx context.Context, batch port.OrderBatch, deliver func([]port.OrderResult)) error {
	return stream(ctx, p, pathOrders, batch, deliver)
}

// stream sends a call and delivers the batches of its answer as they come.
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

func serveLooks(relay port.PollRelay) http.HandlerFunc {
	return serveStream(func(looks []port.RelayedPoll) error { return checkCount("looks", len(looks), port.MaxRelayedPolls) }, relay.PollWorkers)
}

func serveOrders(relay port.OrderRelay) http.HandlerFunc {
	return serveStream(func(b port.OrderBatch) error { return checkCount("orders", len(b.Orders), port.MaxRelayedOrders) }, relay.SendOrders)
}

func checkCount(what string, n, most int) error {
	if n > most {
		return fmt.Errorf("%d %s in one call, at most %d are made", n, what, most)
	}
	return nil
}

// serveStream serves a call whose answers are sent as they come.
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
				// The caller has left; what is under way has no use.
				cancel()
			}
		})
		if err != nil {
			// An aborted connection tells the caller that answers are missing.
			panic(http.ErrAbortHandler)
		}
	}
}
