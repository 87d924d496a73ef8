package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"auburnpier/internal/metrics"
)

const (
	// ConnectionBytes is the estimated memory of a caller's connection without a body: the goroutine, the buffers of
	// net/http and the header. A request that waits in serve takes 25.6 KB.
	ConnectionBytes = 32 << 10
	// writeStallTimeout is how long a write to a caller may make no progress.
	writeStallTimeout = 5 * time.Second
	// maxHeaderFields bounds the fields of a header, each of which takes over 100 bytes besides its text. Without a
	// bound, 470 connections with 2,200 short fields each took 120 MB.
	maxHeaderFields = 200
)

// connState says who has to act on a connection.
type connState = int32

const (
	// awaiting: the caller has to send a request, or the rest of one.
	awaiting connState = iota
	// handling: the request was read completely and is not answered yet.
	handling
	closing
)

// Conns bounds the connections of callers. At the bound the connection that has gone longest without
// progress is closed in favour of a new one, unless its request is being handled.
type Conns struct {
	limit int
	now   func() time.Time
	// plain is set if connections carry HTTP without TLS.
	plain bool

	mu   sync.Mutex
	open map[*conn]struct{}

	evicted, refused, stalledWrites, headersRefused gometrics.Counter
	connections                                     gometrics.Gauge
}

// NewConns returns a bound of that many connections, which carry HTTP, or TLS unless plain is set.
func NewConns(limit int, plain bool, m *metrics.Registry) *Conns {
	return &Conns{
		limit: limit, plain: plain, now: time.Now, open: make(map[*conn]struct{}),
		evicted:        m.Counter("intake.connection_evicted"),
		refused:        m.Counter("intake.connection_refused"),
		stalledWrites:  m.Counter("intake.response_timed_out"),
		headersRefused: m.Counter("intake.header_refused"),
		connections:    m.Gauge("intake.connections"),
	}
}

// DescriptorLimit returns the number of descriptors that the operating system grants the process, or most if that is less.
func DescriptorLimit(most int64) int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > uint64(most) {
		return most
	}
	return int64(limit.Cur)
}

// Listen returns a listener whose connections are bounded. The server that uses it calls Context as its ConnContext,
// and its handler is one of Handler.
func (c *Conns) Listen(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.conns.add(nc); accepted != nil {
			return accepted, nil
		}
		_ = nc.Close()
	}
}

// add counts a new connection, and closes another one if there are too many. It returns nil if all others are
// being handled.
func (c *Conns) add(nc net.Conn) *conn {
	c.mu.Lock()
	var victim *conn
	if len(c.open) >= c.limit {
		if victim = c.takeVictim(); victim == nil {
			c.mu.Unlock()
			c.refused.Inc(1)
			return nil
		}
		delete(c.open, victim)
		c.evicted.Inc(1)
	}
	added := &conn{Conn: nc, conns: c}
	added.waiting.Store(true)
	added.headerDue.Store(c.plain)
	added.progress.Store(c.now().UnixNano())
	c.open[added] = struct{}{}
	c.connections.Update(int64(len(c.open)))
	c.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return added
}

// takeVictim returns the connection that has gone longest without progress while its caller had to send, or nil if there is
// none. The state of the connection is closing afterwards, so that no request on it begins to be handled.
func (c *Conns) takeVictim() *conn {
	for {
		var victim *conn
		for x := range c.open {
			if x.state.Load() == awaiting && x.waiting.Load() && (victim == nil || x.progress.Load() < victim.progress.Load()) {
				victim = x
			}
		}
		if victim == nil || victim.state.CompareAndSwap(awaiting, closing) {
			return victim
		}
	}
}

func (c *Conns) remove(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, x)
	c.connections.Update(int64(len(c.open)))
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	conns *Conns
	state atomic.Int32
	// waiting is set while the process waits for bytes of the caller. Between two reads of a streamed body it is
	// the process, not the caller, that makes no progress.
	waiting  atomic.Bool
	progress atomic.Int64 // time of the last progress in Unix nanoseconds
	received atomic.Int64 // bytes since then
	// writeDeadline is the deadline that the server has set, in Unix nanoseconds, or zero.
	writeDeadline atomic.Int64
	// headerDue is set when the next bytes begin a header.
	headerDue atomic.Bool
	header    headerLines // used by the reading goroutine only
}

// headerLines counts the lines of a header as it arrives.
type headerLines struct {
	open  bool // the header has not ended
	count int
	empty bool // the current line is empty so far
}

// add counts the lines that end in p.
func (h *headerLines) add(p []byte) {
	for _, b := range p {
		switch {
		case !h.open:
			return
		case b == '\n':
			// An empty line ends the header, unless it precedes the request line.
			h.open = !h.empty || h.count == 0
			if !h.empty {
				h.count++
			}
			h.empty = true
		case b != '\r':
			h.empty = false
		}
	}
}

// tooManyFieldsError makes net/http refuse a request whose header has too many fields.
type tooManyFieldsError struct{}

func (tooManyFieldsError) Error() string { return "the header has too many fields" }

// Read implements net.Conn.
func (x *conn) Read(p []byte) (int, error) {
	x.waiting.Store(true)
	n, err := x.Conn.Read(p)
	x.waiting.Store(false)
	if x.received.Add(int64(n)) >= progressBytes {
		x.made()
	}
	if x.state.Load() == awaiting {
		if n > 0 && x.headerDue.Swap(false) {
			x.header = headerLines{open: true, empty: true}
		}
		// The request line is counted, too.
		if x.header.add(p[:n]); x.header.count > maxHeaderFields+1 {
			x.conns.headersRefused.Inc(1)
			return 0, tooManyFieldsError{}
		}
	}
	return n, err
}

// made records progress.
func (x *conn) made() {
	x.received.Store(0)
	x.progress.Store(x.conns.now().UnixNano())
}

// Write implements net.Conn. It fails if the caller reads nothing for writeStallTimeout.
func (x *conn) Write(p []byte) (written int, err error) {
	for {
		deadline := time.Now().Add(writeStallTimeout)
		if set := x.writeDeadline.Load(); set != 0 && set < deadline.UnixNano() {
			deadline = time.Unix(0, set)
		}
		if err := x.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := x.Conn.Write(p[written:])
		written += n
		if n > 0 {
			x.progress.Store(x.conns.now().UnixNano())
		}
		timeout, ok := err.(net.Error)
		if !ok || !timeout.Timeout() {
			return written, err
		}
		if set := x.writeDeadline.Load(); set != 0 && set <= time.Now().UnixNano() {
			return written, err
		}
		if n == 0 {
			x.conns.stalledWrites.Inc(1)
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (x *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		x.writeDeadline.Store(0)
	} else {
		x.writeDeadline.Store(t.UnixNano())
	}
	return x.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (x *conn) SetDeadline(t time.Time) error {
	if err := x.SetWriteDeadline(t); err != nil {
		return err
	}
	return x.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (x *conn) Close() error {
	x.conns.remove(x)
	return x.Conn.Close()
}

// complete records that the request was read completely. It reports false if the connection is being closed in favour of
// another one, in which case the request must not be handled.
func (x *conn) complete() bool { return x.state.CompareAndSwap(awaiting, handling) }

// answered records that the caller has to act again.
func (x *conn) answered() {
	x.made()
	x.headerDue.Store(x.conns.plain)
	x.state.CompareAndSwap(handling, awaiting)
}

type connKey struct{}

// Context makes the connection known to Handler. It is a ConnContext of http.Server.
func (c *Conns) Context(ctx context.Context, nc net.Conn) context.Context {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn() // TLS
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// Handler follows the requests of each connection.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if len(r.Header) > maxHeaderFields {
			c.headersRefused.Inc(1)
			w.Header().Set("Connection", "close")
			_ = x.SetReadDeadline(expired)
			http.Error(w, "the header has too many fields; send at most 200", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		defer x.answered()
		if r.Body == nil || r.Body == http.NoBody {
			if !x.complete() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		// net/http looks at the type of the body of its own request.
		copied := *r
		tracked := &trackedBody{ReadCloser: r.Body, conn: x}
		copied.Body = tracked
		next.ServeHTTP(w, &copied)
		if !tracked.ended.Load() {
			// net/http reads the rest of the body, for which it sets no deadline.
			_ = x.SetReadDeadline(time.Now().Add(discardTimeout))
		}
	})
}

// trackedBody notices the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn  *conn
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended.Swap(true) && !b.conn.complete() {
		return n, net.ErrClosed
	}
	return n, err
}
