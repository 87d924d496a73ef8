package requestplane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds connecting. Round trips between regions take 40 ms.
	dialTimeout = 2 * time.Second
	// maxAnswerHeaderBytes bounds the status line and headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// connBufferBytes is the size of each of the two buffers of a connection.
	connBufferBytes = 4 << 10
)

// past is a deadline that fails reads and writes at once.
var past = time.Unix(1, 0)

var errAnswerHeaderTooLong = errors.Newf("answer header is longer than %d bytes", maxAnswerHeaderBytes)

// backendConn is one connection to a backend server or another instance. It
// carries one request at a time and is used by one exchange at a time.
type backendConn struct {
	nc   *net.TCPConn
	raw  syscall.RawConn
	br   *bufio.Reader
	bw   *bufio.Writer
	peek func(fd uintptr) // reads ahead without blocking and sets idle
	// idle is the result of the last peek: the connection is open and silent.
	idle bool
	// sent counts the bytes of the current request that the kernel accepted.
	sent int64
	// headerLeft is what may still be read of the answer's header, or
	// negative while the body is read.
	headerLeft int64
	idleSince  time.Time
}

func dial(ctx context.Context, address string, deadline time.Time) (*backendConn, error) {
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
	c := &backendConn{nc: tcp, raw: raw}
	c.br = bufio.NewReaderSize(readSide{c}, connBufferBytes)
	c.bw = bufio.NewWriterSize(writeSide{c}, connBufferBytes)
	c.peek = c.peekFD
	return c, nil
}

// readSide and writeSide keep Read and Write off the method set of backendConn.
type (
	readSide  struct{ c *backendConn }
	writeSide struct{ c *backendConn }
)

// Read enforces the bound on the answer's header.
func (s readSide) Read(p []byte) (int, error) {
	c := s.c
	if c.headerLeft < 0 {
		return c.nc.Read(p)
	}
	if c.headerLeft == 0 {
		return 0, errAnswerHeaderTooLong
	}
	n, err := c.nc.Read(p[:min(int64(len(p)), c.headerLeft)])
	c.headerLeft -= int64(n)
	return n, err
}

// Write counts what the kernel accepted. A request of which it accepted
// nothing provably did not run.
func (s writeSide) Write(p []byte) (int, error) {
	n, err := s.c.nc.Write(p)
	s.c.sent += int64(n)
	return n, err
}

// ReadFrom sends a streamed body in pieces of a pooled buffer. Without it the
// connection's own small buffer would set the size of each write.
func (s writeSide) ReadFrom(r io.Reader) (int64, error) {
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

// usable reports whether an idle connection is still open and silent. Bytes
// that arrived while no request was out belong to no request, so the
// connection is never used again.
func (c *backendConn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	c.idle = false
	if err := c.raw.Control(c.peek); err != nil {
		return false
	}
	return c.idle
}

func (c *backendConn) peekFD(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.idle = err == syscall.EAGAIN
}

// begin prepares the connection for one request.
func (c *backendConn) begin(deadline time.Time) error {
	c.sent = 0
	c.headerLeft = maxAnswerHeaderBytes
	c.bw.Reset(writeSide{c})
	return c.nc.SetDeadline(deadline)
}

// writeRequest sends the request. The body is read to its end or to an error.
func (c *backendConn) writeRequest(out *http.Request) error {
	if err := out.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readAnswer reads the answer's header. Informational answers are skipped.
func (c *backendConn) readAnswer(out *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols without being asked")
		}
		if resp.StatusCode >= http.StatusOK {
			c.headerLeft = -1
			return resp, nil
		}
	}
}

// interrupt fails the reads and writes of the current exchange.
func (c *backendConn) interrupt() { _ = c.nc.SetDeadline(past) }

func (c *backendConn) close() { _ = c.nc.Close() }

// awaitEnd tells the server that the caller is gone and waits until the
// server ends the connection. It reports false where the bound passed first.
func (c *backendConn) awaitEnd(bound time.Duration) bool {
	_ = c.nc.SetDeadline(time.Now().Add(bound))
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
