package requestplane

import (
	"io"
	"net/http"

	"auburnpier/internal/core/route"
)

// answer streams the answer to the caller. End gives the slot back once the
// answer was read to its end; where it was not, the slot is held until the
// server has ended the connection. Report tells the outcome at once.
func (p *Plane) answer(q *request, x *exchange, end, report func(route.Outcome)) {
	h := q.w.Header()
	answerHeader(h, x.resp.Header)
	if _, ok := h[headerContentType]; !ok {
		// A nil value keeps net/http from guessing a type.
		h[headerContentType] = nil
	}
	if p.draining.Load() || q.body.spoiled() {
		h.Set(headerConnection, "close")
	}
	q.w.WriteHeader(x.resp.StatusCode)
	buf := getBuffer()
	defer putBuffer(buf)
	rc := http.NewResponseController(q.w)
	stream := x.resp.ContentLength < 0
	if stream || x.resp.ContentLength > copyBufferBytes {
		// A caller that reads slowly holds the slot until its deadline at most.
		// The server clears the deadline before the next request.
		_ = rc.SetWriteDeadline(q.deadline)
	}
	for {
		n, readErr := x.resp.Body.Read(*buf)
		last := readErr == io.EOF
		if last {
			p.finish(q, x)
			end(route.Answered)
		} else if readErr != nil {
			p.breakOff(q, x, x.outcome(q, p.clock.Now()), end, report)
		}
		if err := forward(q.w, rc, (*buf)[:n], stream && !last); err != nil {
			if !last {
				p.breakOff(q, x, route.Abandoned, end, report)
			}
			p.abort(err)
		}
		if last {
			break
		}
	}
	for name, values := range x.resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	p.answered.Inc(1)
}

// forward writes one piece of an answer to the caller.
func forward(w http.ResponseWriter, rc *http.ResponseController, piece []byte, flush bool) error {
	if len(piece) == 0 {
		return nil
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if flush {
		return rc.Flush()
	}
	return nil
}

// breakOff aborts an answer that cannot be completed.
func (p *Plane) breakOff(q *request, x *exchange, outcome route.Outcome, end, report func(route.Outcome)) {
	report(outcome)
	p.abandon(q, x, func(ended bool) { end(heldOutcome(ended)) })
	p.abort(errAnswerBroken)
}
