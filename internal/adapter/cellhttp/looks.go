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

// The answer to a call of looks is a sequence of CBOR arrays, each sent as soon
// as it is there. Its end without an error tells that all looks were answered.

// Looks returns the relay of the instance.
func (d *Dialer) Looks(h port.Hello) port.LookRelay { return &peer{d.client, h.Address} }

// Looks implements port.LookRelay.
func (p *peer) Looks(ctx context.Context, looks []port.RelayedLook, deliver func([]port.RelayedReport)) error {
	// A look may be sent twice: what it extends and acknowledges is the same.
	req, err := p.newRequest(ctx, pathLooks, looks)
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
		var batch []port.RelayedReport
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

func serveLooks(relay port.LookRelay) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		looks, err := decodeBody[[]port.RelayedLook](w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if len(looks) > port.MaxRelayedLooks {
			http.Error(w, fmt.Sprintf("%d looks in one call, at most %d are made", len(looks), port.MaxRelayedLooks), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/cbor-seq")
		w.WriteHeader(http.StatusOK)
		flusher := http.NewResponseController(w)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		encoder := cbor.NewEncoder(w)
		err = relay.Looks(ctx, looks, func(batch []port.RelayedReport) {
			if err := errors.Join(encoder.Encode(batch), flusher.Flush()); err != nil {
				// The caller has left; the looks that are under way have no use.
				cancel()
			}
		})
		if err != nil {
			// An aborted connection tells the caller that answers are missing.
			panic(http.ErrAbortHandler)
		}
	}
}
