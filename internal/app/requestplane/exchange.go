package requestplane

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/route"
)

var (
	errCrossedAnswer = errors.New("the answer names another request")
	errNoLength      = errors.New("the answer has neither a length nor chunks, so its end cannot be verified")
)

// writerGrace is the time for the goroutine that wrote a body to be scheduled
// once more after a server has already answered.
const writerGrace = 50 * time.Millisecond

// exchange is one request on one connection.
type exchange struct {
	conn *backendConn
	pool *pool
	resp *http.Response
	// sent tells that the kernel accepted a byte of the request.
	sent bool
	// refused tells that the server answered that it did not run the request.
	refused bool
	err     error
	// detach ends the watch on the caller's context. It reports false where
	// the context has ended and the connection was interrupted.
	detach func() bool
	// streamed tells that the body was written by another goroutine.
	streamed bool
	// writer is closed when the request was sent; nil where that is known.
	writer   chan struct{}
	writeErr error
	began    time.Time
	wrote    time.Time     // when a streamed request was sent; valid once writer is closed
	latency  time.Duration // from the end of the request to the first byte of the answer
}

// start sends the request on a connection of the pool and reads the header of
// the answer. The exchange must be ended by finish or abandon.
func (p *Plane) start(q *request, pool *pool, target *url.URL, header http.Header) *exchange {
	x := &exchange{pool: pool, began: p.clock.Now()}
	q.setTimeout(header, q.deadline.Sub(x.began))
	ctx := q.r.Context()
	x.conn, x.err = pool.get(ctx, q.deadline)
	if x.err != nil {
		return x
	}
	if x.err = x.conn.begin(q.deadline); x.err != nil {
		return x
	}
	x.detach = context.AfterFunc(ctx, x.conn.interrupt)
	out := q.outgoing(pool.address, target, header)
	p.send(q, x, out)
	if x.err != nil {
		return x
	}
	x.receive(q, out)
	x.latency = x.waited(p.clock.Now())
	return x
}

// waited returns how long the server has had the whole request. The time that
// a caller takes to send a streamed body says nothing about the server.
func (x *exchange) waited(now time.Time) time.Duration {
	if !x.streamed {
		return now.Sub(x.began)
	}
	if !x.written() {
		return 0
	}
	return now.Sub(x.wrote)
}

// send writes a request whose body is held whole, and starts to write a
// streamed one, since the answer may begin before the body has ended.
func (p *Plane) send(q *request, x *exchange, out *http.Request) {
	if q.body.stream == nil {
		x.err = x.conn.writeRequest(out)
		x.sent = x.conn.sent > 0
		return
	}
	_ = http.NewResponseController(q.w).EnableFullDuplex()
	x.streamed = true
	x.writer = make(chan struct{})
	go func() {
		defer close(x.writer)
		x.writeErr = x.conn.writeRequest(out)
		x.wrote = p.clock.Now()
		if x.writeErr != nil {
			// The answer cannot be waited for: the request will never be whole.
			x.conn.interrupt()
		}
	}()
}

func (x *exchange) receive(q *request, out *http.Request) {
	x.resp, x.err = x.conn.readAnswer(out)
	if x.err != nil {
		x.stopWriter(q)
		return
	}
	x.sent = true
	if x.err = verify(q, x.resp); x.err != nil {
		x.stopWriter(q)
		return
	}
	x.refused = x.resp.Header.Get(HeaderNotRun) == "true" && x.resp.StatusCode >= http.StatusBadRequest
}

// verify refuses an answer that may not be this request's, or whose end could
// not be told from a broken connection.
func verify(q *request, resp *http.Response) error {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != q.id {
		return errCrossedAnswer
	}
	bodyless := q.r.Method == http.MethodHead || resp.ContentLength == 0
	if resp.ContentLength < 0 && !bodyless && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	return nil
}

// stopWriter waits until the request is no longer written. It interrupts the
// connection, and the caller's body where that has not ended.
func (x *exchange) stopWriter(q *request) {
	if x.writer == nil {
		return
	}
	select {
	case <-x.writer:
	default:
		x.conn.interrupt()
		q.body.cut(q.w)
		<-x.writer
	}
	x.writer = nil
	x.sent = x.sent || x.conn.sent > 0
}

// written reports whether the whole request was sent, without waiting.
func (x *exchange) written() bool {
	if x.writer == nil {
		return x.writeErr == nil
	}
	select {
	case <-x.writer:
		return x.writeErr == nil
	default:
		return false
	}
}

// awaitWriter gives the writer a moment to end after the answer was read, and
// reports whether the whole request was sent.
func (x *exchange) awaitWriter(q *request) bool {
	if x.writer == nil {
		return x.writeErr == nil
	}
	if !q.body.stream.ended.Load() {
		return false
	}
	timer := time.NewTimer(writerGrace)
	defer timer.Stop()
	select {
	case <-x.writer:
		return x.writeErr == nil
	case <-timer.C:
		return false
	}
}

// finish ends an exchange whose answer was read to its end, and keeps the
// connection if nothing else is on it.
func (p *Plane) finish(q *request, x *exchange) {
	whole := x.awaitWriter(q)
	x.stopWriter(q)
	silent := x.conn.br.Buffered() == 0
	if x.detach() && whole && silent && !x.resp.Close {
		x.pool.put(x.conn, p.clock.Now())
		return
	}
	x.pool.discard(x.conn)
}

// abandon ends an exchange whose answer was not read to its end. Done is
// called when the server has ended the connection, or when the hold bound has
// passed and ended is false.
func (p *Plane) abandon(q *request, x *exchange, done func(ended bool)) {
	if x.conn == nil {
		done(true)
		return
	}
	if x.detach != nil {
		x.detach()
	}
	x.stopWriter(q)
	if !x.sent {
		x.pool.discard(x.conn)
		done(true)
		return
	}
	p.holding.Add(1)
	go func() {
		defer p.release()
		ended := x.conn.awaitEnd(p.holdBound)
		x.pool.discard(x.conn)
		if !ended {
			p.holdExpired.Inc(1)
		}
		done(ended)
	}()
}

// outcome classifies a failed exchange for the server's health.
func (x *exchange) outcome(q *request, now time.Time) route.Outcome {
	switch {
	case q.gone() || q.body.failed():
		return route.Abandoned
	case x.refused:
		return route.Refused
	case !now.Before(q.deadline):
		return route.TimedOut
	case !x.sent:
		return route.Unreachable
	}
	return route.Broken
}

// drainRefused reads the short body of a refusal, so that the connection can be kept.
func (x *exchange) drainRefused() bool {
	const maxRefusalBytes = 64 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxRefusalBytes))
	return err == nil && n < maxRefusalBytes
}
