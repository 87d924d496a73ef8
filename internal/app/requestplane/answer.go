package requestplane

import (
	"io"
	"net/http"

	"auburnpier/internal/core/route"
)

// streamResponse streams the server's response to the caller. It calls end, which releases
// the slot, as soon as the response has been read to EOF. If reading or writing fails, it
// calls report with the outcome at once, and end only after the server has closed the
// connection or the hold timeout has passed.
func (p *Plane) streamResponse(q *request, x *exchange, end, report func(route.Outcome)) {
	h := q.w.Header()
	copyResponseHeader(h, x.resp.Header)
	if _, ok := h[headerContentType]; !ok {
		// A nil value prevents net/http from sniffing a content type.
		h[headerContentType] = nil
	}
	if p.draining.Load() || q.body.mustCloseConn() {
		h.Set(headerConnection, "close")
	}
	q.w.WriteHeader(x.resp.StatusCode)
	buf := getBuffer()
	defer putBuffer(buf)
	rc := http.NewResponseController(q.w)
	stream := x.resp.ContentLength < 0
	if stream || x.resp.ContentLength > copyBufferBytes {
		// Bounds how long a slow reader can hold the slot. net/http clears the
		// write deadline before the next request of the connection.
		_ = rc.SetWriteDeadline(q.deadline)
	}
	for {
		n, readErr := x.resp.Body.Read(*buf)
		eof := readErr == io.EOF
		if eof {
			p.finishExchange(q, x)
			end(route.Answered)
		} else if readErr != nil {
			p.abortResponse(q, x, x.outcome(q, p.clock.Now()), end, report)
		}
		if err := writeChunk(q.w, rc, (*buf)[:n], stream && !eof); err != nil {
			if !eof {
				p.abortResponse(q, x, route.Abandoned, end, report)
			}
			p.abort(err)
		}
		if eof {
			break
		}
	}
	for name, values := range x.resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	p.answered.Inc(1)
}

// writeChunk writes one chunk of a response to the caller.
func writeChunk(w http.ResponseWriter, rc *http.ResponseController, chunk []byte, flush bool) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	if flush {
		return rc.Flush()
	}
	return nil
}

// abortResponse aborts a response that has begun and cannot be completed.
func (p *Plane) abortResponse(q *request, x *exchange, outcome route.Outcome, end, report func(route.Outcome)) {
	report(outcome)
	p.abandonExchange(q, x, func(ended bool) { end(outcomeAfterHold(ended)) })
	p.abort(errResponseBroken)
}
