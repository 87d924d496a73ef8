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
	errMismatchedResponse  = errors.New("the answer names another request")
	errUndelimitedResponse = errors.New("the answer has neither a length nor chunks, so its end cannot be verified")
)

// writerGrace is how long to wait, after the response has been read, for the goroutine
// that wrote the body to be scheduled once more and return.
const writerGrace = 50 * time.Millisecond

// exchange is one attempt to send a request and read its response on one connection.
type exchange struct {
	conn *upstreamConn
	pool *pool
	resp *http.Response
	// sent is set once the kernel accepted a byte of the request.
	sent bool
	// refused is set if the server responded that it did not run the request.
	refused bool
	err     error
	// stopWatch ends the watch on the caller's context. It reports false if the
	// context was done before and the connection was interrupted.
	stopWatch func() bool
	// streamed is set if the body is written by another goroutine.
	streamed bool
	// writeDone is closed when that goroutine has returned. It is nil without such a
	// goroutine, and again once stopWriter has waited for it.
	writeDone chan struct{}
	writeErr  error
	startedAt time.Time
	writtenAt time.Time     // when a streamed request was sent; valid once writeDone is closed
	latency   time.Duration // from the end of the request to the response header
}

// startExchange sends the request on a connection of the pool and reads the response
// header. The exchange must be ended by finishExchange or abandonExchange.
func (p *Plane) startExchange(q *request, pool *pool, target *url.URL, header http.Header) *exchange {
	x := &exchange{pool: pool, startedAt: p.clock.Now()}
	q.setTimeoutHeader(header, q.deadline.Sub(x.startedAt))
	ctx := q.r.Context()
	x.conn, x.err = pool.get(ctx, q.deadline)
	if x.err != nil {
		return x
	}
	if x.err = x.conn.begin(q.deadline); x.err != nil {
		return x
	}
	x.stopWatch = context.AfterFunc(ctx, x.conn.interrupt)
	out := q.outgoing(pool.address, target, header)
	p.send(q, x, out)
	if x.err != nil {
		return x
	}
	x.receive(q, out)
	x.latency = x.timeAtServer(p.clock.Now())
	return x
}

// timeAtServer returns how long the server has had the whole request. The time that
// a caller takes to send a streamed body says nothing about the server.
func (x *exchange) timeAtServer(now time.Time) time.Duration {
	if !x.streamed {
		return now.Sub(x.startedAt)
	}
	if !x.requestWritten() {
		return 0
	}
	return now.Sub(x.writtenAt)
}

// send writes a request with a buffered body. A streamed body is written by a
// goroutine of its own, since the response may begin before the body has ended.
func (p *Plane) send(q *request, x *exchange, out *http.Request) {
	if q.body.stream == nil {
		x.err = x.conn.writeRequest(out)
		x.sent = x.conn.sent.Load() > 0
		return
	}
	_ = http.NewResponseController(q.w).EnableFullDuplex()
	x.streamed = true
	x.writeDone = make(chan struct{})
	go func() {
		defer close(x.writeDone)
		x.writeErr = x.conn.writeRequest(out)
		x.writtenAt = p.clock.Now()
		if x.writeErr != nil {
			// The request will never be complete, so a response need not be awaited.
			x.conn.interrupt()
		}
	}()
}

func (x *exchange) receive(q *request, out *http.Request) {
	x.resp, x.err = x.conn.readResponse(out)
	if x.err != nil {
		x.stopWriter(q)
		return
	}
	x.sent = true
	if x.err = verifyResponse(q, x.resp); x.err != nil {
		x.stopWriter(q)
		return
	}
	x.refused = x.resp.Header.Get(HeaderNotRun) == "true" && x.resp.StatusCode >= http.StatusBadRequest
}

// verifyResponse rejects a response that may belong to another request, or whose end
// could not be told apart from a broken connection.
func verifyResponse(q *request, resp *http.Response) error {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != q.id {
		return errMismatchedResponse
	}
	bodyless := q.r.Method == http.MethodHead || resp.ContentLength == 0
	if resp.ContentLength < 0 && !bodyless && len(resp.TransferEncoding) == 0 {
		return errUndelimitedResponse
	}
	return nil
}

// stopWriter returns once nothing writes the request any more. If the request is still
// being written, it interrupts the connection and the reading of the caller's body.
func (x *exchange) stopWriter(q *request) {
	if x.writeDone == nil {
		return
	}
	select {
	case <-x.writeDone:
	default:
		x.conn.interrupt()
		q.body.interrupt(q.w)
		<-x.writeDone
	}
	x.writeDone = nil
	x.sent = x.sent || x.conn.sent.Load() > 0
}

// requestWritten reports whether the whole request has been sent, without waiting.
func (x *exchange) requestWritten() bool {
	if x.writeDone == nil {
		return x.writeErr == nil
	}
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

// awaitWriter waits up to writerGrace for the writer to return after the response was
// read, and reports whether the whole request was sent.
func (x *exchange) awaitWriter(q *request) bool {
	if x.writeDone == nil {
		return x.writeErr == nil
	}
	if !q.body.stream.ended.Load() {
		return false
	}
	timer := time.NewTimer(writerGrace)
	defer timer.Stop()
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	case <-timer.C:
		return false
	}
}

// finishExchange ends an exchange whose response was read to EOF, and returns the
// connection to the pool if it can be reused.
func (p *Plane) finishExchange(q *request, x *exchange) {
	complete := x.awaitWriter(q)
	x.stopWriter(q)
	drained := x.conn.br.Buffered() == 0
	if x.stopWatch() && complete && drained && !x.resp.Close {
		x.pool.put(x.conn, p.clock.Now())
		return
	}
	x.pool.discard(x.conn)
}

// abandonExchange ends an exchange whose response was not read to EOF. It calls done
// with true at once if nothing was sent, else when the server has closed the connection,
// or with false if the hold timeout passes first.
func (p *Plane) abandonExchange(q *request, x *exchange, done func(ended bool)) {
	if x.conn == nil {
		done(true)
		return
	}
	if x.stopWatch != nil {
		x.stopWatch()
	}
	x.stopWriter(q)
	if !x.sent {
		x.pool.discard(x.conn)
		done(true)
		return
	}
	p.heldSlots.Add(1)
	go func() {
		defer p.releaseHold()
		ended := x.conn.awaitClose(p.holdTimeout)
		x.pool.discard(x.conn)
		if !ended {
			p.holdExpired.Inc(1)
		}
		done(ended)
	}()
}

// outcome classifies a failed exchange for the health of the server.
func (x *exchange) outcome(q *request, now time.Time) route.Outcome {
	switch {
	case q.callerGone() || q.body.failed():
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

// discardRefusalBody reads the short body of a refusal, so that the connection can be
// reused. It reports false if the body is too long or reading it failed.
func (x *exchange) discardRefusalBody() bool {
	const maxRefusalBytes = 64 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxRefusalBytes))
	return err == nil && n < maxRefusalBytes
}
