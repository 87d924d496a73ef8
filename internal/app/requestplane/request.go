package requestplane

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/intake"
)

const (
	pathPrefix = "/v1/queues/"
	pathAction = "request"
	// maxPrefetchBytes is the size up to which a body is read before the request is
	// queued. Such a body can be sent again, and a caller that sends it slowly holds no
	// slot. Longer bodies are streamed and can be sent only once.
	maxPrefetchBytes = 16 << 10
	// prefetchFactor counts the segments that a body is read into and the body.
	prefetchFactor = 2
	// waitingOverheadBytes is the memory of a waiting request besides its headers and
	// body: the goroutine, the connection's buffers and the ticket. It comes to
	// 25.6 KB a request, alike with 1,000, 4,000 and 10,000 requests waiting.
	waitingOverheadBytes = 26 << 10
)

// request is one accepted request.
type request struct {
	r          *http.Request
	w          http.ResponseWriter
	queue      domain.QueueID
	target     url.URL // path and query at the backend server
	caller     Caller
	id         string
	idempotent bool
	deadline   time.Time
	body       body
	// releaseBody releases the memory of a buffered body.
	releaseBody func()
	forwarded   bool
	// mayHaveRun is set once an attempt failed that may have run.
	mayHaveRun bool
	attempts   int
	forwards   int
	// values is the backing array of the header values that the plane sets.
	values     [8]string
	valuesUsed int
}

// body is a request's body: either buffered completely, or streamed once.
type body struct {
	buffered []byte
	stream   *streamedBody // nil if the body is buffered
	length   int64         // -1 if unknown
	trailer  http.Header
	started  bool // the stream was handed to an attempt
}

// streamedBody is a streamed body that records how its reading ended.
type streamedBody struct {
	r            io.Reader
	ended        atomic.Bool  // read to EOF
	callerFailed atomic.Bool  // the caller failed to send all of it
	interrupted  atomic.Bool  // interrupted by the plane
	stalled      atomic.Bool  // interrupted since the caller stalled while others waited for the slot
	waiting      atomic.Bool  // waits for bytes of the caller
	progress     atomic.Int64 // when that wait began, in Unix nanoseconds
}

// interrupt makes the reading of a streamed body fail unless it has reached EOF. The
// caller's connection is unusable afterwards: net/http takes the expired read deadline
// for a disconnected caller, and cancels the later requests of the connection too.
func (b *body) interrupt(w http.ResponseWriter) {
	if b.stream.ended.Load() {
		return
	}
	b.stream.interrupted.Store(true)
	_ = http.NewResponseController(w).SetReadDeadline(expiredDeadline)
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.progress.Store(time.Now().UnixNano())
	b.waiting.Store(true)
	n, err := b.r.Read(p)
	b.waiting.Store(false)
	switch {
	case err == io.EOF:
		b.ended.Store(true)
	case err != nil && !b.interrupted.Load():
		b.callerFailed.Store(true)
	}
	return n, err
}

// failed reports whether the caller failed to send its whole body.
func (b *body) failed() bool {
	return b.stream != nil && (b.stream.callerFailed.Load() || b.stream.stalled.Load() && !b.stream.ended.Load())
}

// callerGone reports whether the caller has disconnected. net/http cancels the context
// after body.interrupt too, which says nothing about the caller.
func (q *request) callerGone() bool {
	interrupted := q.body.stream != nil && q.body.stream.interrupted.Load()
	return q.r.Context().Err() != nil && !interrupted
}

// mustCloseConn reports whether the caller's connection has to be closed after the
// response: either a part of the body may still be unread, which net/http cannot skip
// in full-duplex mode, or the body was interrupted.
func (b *body) mustCloseConn() bool {
	return b.stream != nil && (!b.stream.ended.Load() || b.stream.interrupted.Load())
}

// replayable reports whether the whole body can still be sent.
func (b *body) replayable() bool { return b.stream == nil || !b.started }

// splitPath returns the queue and the target of /v1/queues/{queue}/request[/path].
func splitPath(u *url.URL) (queue domain.QueueID, target url.URL, ok bool) {
	path, found := strings.CutPrefix(u.EscapedPath(), pathPrefix)
	if !found {
		return "", url.URL{}, false
	}
	name, rest, found := strings.Cut(path, "/")
	if !found || name == "" {
		return "", url.URL{}, false
	}
	rest, found = strings.CutPrefix(rest, pathAction)
	if !found || (rest != "" && rest[0] != '/') {
		return "", url.URL{}, false
	}
	if rest == "" {
		rest = "/"
	}
	id, err := url.PathUnescape(name)
	if err != nil {
		return "", url.URL{}, false
	}
	target = url.URL{Path: rest, RawQuery: u.RawQuery}
	if strings.IndexByte(rest, '%') >= 0 {
		target.RawPath = rest
		target.Path, err = url.PathUnescape(rest)
	}
	return domain.QueueID(id), target, err == nil
}

// prefetch buffers a short body. An error means that the caller's body ended early.
func (q *request) prefetch(bodies *intake.Budget, timeout time.Duration) (err error) {
	r := q.r
	q.releaseBody = func() {}
	q.body.length = r.ContentLength
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.body.length = 0
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxPrefetchBytes {
		q.body.stream = &streamedBody{r: r.Body}
		q.body.trailer = r.Trailer
		return nil
	}
	q.body.buffered, q.releaseBody, err = bodies.Read(q.w, r, intake.Limits{MaxBytes: maxPrefetchBytes, Factor: prefetchFactor, Timeout: timeout})
	return err
}

// waitingBytes estimates the memory that the request uses while it waits.
func (q *request) waitingBytes() int64 {
	n := waitingOverheadBytes + len(q.body.buffered)
	for name, values := range q.r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// outgoing returns the request to send to the server or instance at address.
func (q *request) outgoing(address string, target *url.URL, header http.Header) *http.Request {
	out := &http.Request{
		Method:        q.r.Method,
		URL:           target,
		Host:          address,
		Header:        header,
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: q.body.length,
	}
	switch {
	case q.body.stream != nil:
		q.body.started = true
		// Request.Write closes the body, which must not close the caller's.
		out.Body = io.NopCloser(q.body.stream)
		out.Trailer = q.body.trailer
	case len(q.body.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(q.body.buffered))
	}
	return out
}

const hexDigits = "0123456789abcdef"

// newRequestID returns 32 random hexadecimal digits.
func newRequestID() string {
	var b [32]byte
	for half := range 2 {
		v := rand.Uint64()
		for i := range 16 {
			b[half*16+i] = hexDigits[v&15]
			v >>= 4
		}
	}
	return string(b[:])
}
