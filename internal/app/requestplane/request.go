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
)

const (
	pathPrefix = "/v1/queues/"
	pathAction = "request"
	// prefetchBytes is the largest body that is read before the request waits.
	// Such a body can be sent again, and a caller that sends it slowly holds no
	// slot. Longer bodies are streamed and can be sent once.
	prefetchBytes = 16 << 10
	// itemOverheadBytes is what a waiting request holds besides its headers and
	// body: the goroutine, the connection's buffers and the ticket. 25.6 KB were
	// measured at 1,000, 4,000 and 10,000 waiting requests.
	itemOverheadBytes = 26 << 10
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
	hop        bool
	// mayHaveRun tells that an earlier attempt may have run.
	mayHaveRun bool
	attempts   int
	forwards   int
	// values backs the header values that the plane sets.
	values     [8]string
	valuesUsed int
}

// body is a request's body: held whole, or streamed once.
type body struct {
	whole   []byte
	stream  *callerBody // nil where the body is held whole
	length  int64       // -1 where it is not known
	trailer http.Header
	started bool // the stream was handed to an attempt
}

// callerBody is a streamed body that remembers how its reading ended.
type callerBody struct {
	r       io.Reader
	ended   atomic.Bool // read to its end
	broken  atomic.Bool // broken off by the caller
	stopped atomic.Bool // cut by the plane
}

// cut fails the reading of a streamed body that has not ended. It makes the
// caller's connection unusable: the server takes the passed deadline for a
// caller that went away, and cancels the later requests of the connection too.
func (b *body) cut(w http.ResponseWriter) {
	if b.stream.ended.Load() {
		return
	}
	b.stream.stopped.Store(true)
	_ = http.NewResponseController(w).SetReadDeadline(past)
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.ended.Store(true)
	case err != nil && !b.stopped.Load():
		b.broken.Store(true)
	}
	return n, err
}

// failed reports whether the caller broke off its body.
func (b *body) failed() bool { return b.stream != nil && b.stream.broken.Load() }

// gone reports whether the caller went away. The server cancels the context
// after a cut too, which says nothing about the caller.
func (q *request) gone() bool {
	cut := q.body.stream != nil && q.body.stream.stopped.Load()
	return q.r.Context().Err() != nil && !cut
}

// spoiled reports whether the server must close the caller's connection after
// the answer: a part of the body may still be unread, which the server cannot
// skip with full duplex, or the body was cut.
func (b *body) spoiled() bool {
	return b.stream != nil && (!b.stream.ended.Load() || b.stream.stopped.Load())
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

// prefetch reads a short body whole. An error is the caller's: its body ended early.
func (q *request) prefetch() error {
	r := q.r
	q.body.length = r.ContentLength
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.body.length = 0
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > prefetchBytes {
		q.body.stream = &callerBody{r: r.Body}
		q.body.trailer = r.Trailer
		return nil
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(q.deadline)
	q.body.whole = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, q.body.whole)
	// The server watches the connection for the caller going away from now on,
	// and would take a passed deadline for that.
	_ = rc.SetReadDeadline(time.Time{})
	return err
}

// waitingBytes estimates the memory that the request holds while it waits.
func (q *request) waitingBytes() int64 {
	n := itemOverheadBytes + len(q.body.whole)
	for name, values := range q.r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// outgoing returns the request that is sent to the server or instance at address.
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
		// The reader is wrapped so that nothing else than the attempt closes it.
		out.Body = io.NopCloser(q.body.stream)
		out.Trailer = q.body.trailer
	case len(q.body.whole) > 0:
		out.Body = io.NopCloser(bytes.NewReader(q.body.whole))
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
