package requestplane

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds connecting. A round trip between regions takes 40 ms.
	dialTimeout = 2 * time.Second
	// maxResponseHeaderBytes bounds the status line and headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// connBufferBytes is the size of the read buffer and of the write buffer of a connection.
	connBufferBytes = 4 << 10
)

// expiredDeadline is a deadline in the expiredDeadline, which fails reads and writes immediately.
var expiredDeadline = time.Unix(1, 0)

var errResponseHeaderTooLong = errors.Newf("answer header is longer than %d bytes", maxResponseHeaderBytes)

// upstreamConn is a connection to a backend server or to another instance. It
// is used by one exchange, and therefore carries one request, at a time.
type upstreamConn struct {
	// nc is the TCP connection, or the TLS connection over it.
	nc   closeWriter
	raw  syscall.RawConn
	br   *bufio.Reader
	bw   *bufio.Writer
	peek func(fd uintptr) // peeks without blocking and sets idle
	// idle is the result of the last peek: the connection is open and has no unread bytes.
	idle bool
	// sent counts the bytes that the kernel accepted since the current request began. Reading from a TLS connection may
	// write to it.
	sent atomic.Int64
	// headerBytesLeft is how much may still be read of the response header, or
	// negative while the body is read.
	headerBytesLeft int64
	idleSince       time.Time
}

// closeWriter is a connection of which one direction can be closed.
type closeWriter interface {
	net.Conn
	CloseWrite() error
}

// sentCounter counts the bytes that the kernel accepted. They are counted below TLS, because a request of which any
// encrypted byte was sent may run.
type sentCounter struct {
	*net.TCPConn
	sent *atomic.Int64
}

func (s sentCounter) Write(p []byte) (int, error) {
	n, err := s.TCPConn.Write(p)
	s.sent.Add(int64(n))
	return n, err
}

// dial connects to the address, by TLS unless the configuration is nil.
func dial(ctx context.Context, address string, config *tls.Config, deadline time.Time) (*upstreamConn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close()
		return nil, errors.Newf("connection to %s is not TCP", address)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := &upstreamConn{raw: raw}
	c.nc = sentCounter{tcp, &c.sent}
	c.br = bufio.NewReaderSize(connReader{c}, connBufferBytes)
	c.bw = bufio.NewWriterSize(connWriter{c}, connBufferBytes)
	c.peek = c.peekFD
	if config == nil {
		return c, nil
	}
	if err := c.startTLS(ctx, address, config); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// startTLS verifies the other end, whose certificate has to be valid for the configuration's server name, or if that is
// empty for the host of the address.
func (c *upstreamConn) startTLS(ctx context.Context, address string, config *tls.Config) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName = host
	}
	client := tls.Client(c.nc, config)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := client.HandshakeContext(ctx); err != nil {
		return errors.Wrapf(err, "TLS handshake with %s", address)
	}
	c.nc = client
	return nil
}

// connReader and connWriter keep Read and Write out of the method set of upstreamConn.
type (
	connReader struct{ c *upstreamConn }
	connWriter struct{ c *upstreamConn }
)

// Read enforces maxResponseHeaderBytes.
func (s connReader) Read(p []byte) (int, error) {
	c := s.c
	if c.headerBytesLeft < 0 {
		return c.nc.Read(p)
	}
	if c.headerBytesLeft == 0 {
		return 0, errResponseHeaderTooLong
	}
	n, err := c.nc.Read(p[:min(int64(len(p)), c.headerBytesLeft)])
	c.headerBytesLeft -= int64(n)
	return n, err
}

// Write sends a part of the request.
func (s connWriter) Write(p []byte) (int, error) { return s.c.nc.Write(p) }

// ReadFrom sends a streamed body through a pooled buffer. Without it each write
// would be limited to the connection's own small buffer.
func (s connWriter) ReadFrom(r io.Reader) (int64, error) {
	buf := getBuffer()
	defer putBuffer(buf)
	var total int64
	for {
		n, readErr := r.Read(*buf)
		if n > 0 {
			m, err := s.Write((*buf)[:n])
			total += int64(m)
			if err != nil {
				return total, err
			}
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
	}
}

// usable reports whether an idle connection is still open and has no unread bytes.
// Bytes that arrived while no request was outstanding belong to no request, so such
// a connection must not be reused.
func (c *upstreamConn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	c.idle = false
	if err := c.raw.Control(c.peek); err != nil {
		return false
	}
	return c.idle
}

func (c *upstreamConn) peekFD(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.idle = err == syscall.EAGAIN
}

// begin prepares the connection for the next request.
func (c *upstreamConn) begin(deadline time.Time) error {
	c.sent.Store(0)
	c.headerBytesLeft = maxResponseHeaderBytes
	c.bw.Reset(connWriter{c})
	return c.nc.SetDeadline(deadline)
}

// writeRequest sends the request, reading its body to EOF or to an error.
func (c *upstreamConn) writeRequest(out *http.Request) error {
	if err := out.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readResponse reads the response header. Informational (1xx) responses are skipped.
func (c *upstreamConn) readResponse(out *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols without being asked")
		}
		if resp.StatusCode >= http.StatusOK {
			c.headerBytesLeft = -1
			return resp, nil
		}
	}
}

// interrupt makes the pending reads and writes of the current exchange fail.
func (c *upstreamConn) interrupt() { _ = c.nc.SetDeadline(expiredDeadline) }

func (c *upstreamConn) close() { _ = c.nc.Close() }

// awaitClose half-closes the connection, so that the server notices that the caller has
// disconnected, and waits until the server closes it. It reports false if that does
// not happen within the timeout.
func (c *upstreamConn) awaitClose(timeout time.Duration) bool {
	_ = c.nc.SetDeadline(time.Now().Add(timeout))
	_ = c.nc.CloseWrite()
	buf := getBuffer()
	defer putBuffer(buf)
	for {
		_, err := c.nc.Read(*buf)
		if err == nil {
			continue
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return false
		}
		return true
	}
}
