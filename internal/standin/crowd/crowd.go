// Package crowd is a stand-in for uncontrolled clients. They open many
// connections at once, stop just short of the end of a request, and keep the
// connections open.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Shape is how the clients send.
type Shape string

// Shapes. All but Headers stop one byte short of the end of the body.
const (
	// Whole sends the body with a declared length in one piece.
	Whole Shape = "whole"
	// Pieces sends it in many writes, the clients in turns.
	Pieces Shape = "pieces"
	// LargeChunks and TinyChunks send a chunked body without its last byte.
	LargeChunks Shape = "large chunks"
	TinyChunks  Shape = "tiny chunks"
	// Headers sends a part of the header and no body.
	Headers Shape = "headers"
)

// BodyShapes are the shapes that send a body.
func BodyShapes() []Shape { return []Shape{Whole, Pieces, LargeChunks, TinyChunks} }

const (
	pieceBytes      = 16 << 10
	largeChunkBytes = 16 << 10
	tinyChunkBytes  = 16
	// sendTimeout bounds how long a client goes on sending to a server that reads slowly or not at all.
	sendTimeout = 15 * time.Second
	// settleTime is for the process to read what the kernel has taken from the clients.
	settleTime = time.Second
)

// Alone waits until no other process tests with a crowd. Packages are tested at the same time, and a
// crowd takes much of the machine.
func Alone() (release func(), err error) {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("auburnpier-crowd-%d.lock", os.Getuid())), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		_ = f.Close()
		return nil, err
	}
	return func() { _ = f.Close() }, nil
}

// Crowd is a set of connected clients.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Send connects the given number of clients and sends the head, which consists of a request line and
// header lines without the length, and the body but for its last byte. It returns settleTime after all
// clients have stopped sending or were refused.
func Send(address, head string, body []byte, clients int, shape Shape) *Crowd {
	c := &Crowd{}
	wire := encode(head, body, shape)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() { c.send(address, wire, shape) })
	}
	group.Wait()
	time.Sleep(settleTime)
	return c
}

func encode(head string, body []byte, shape Shape) []byte {
	var b bytes.Buffer
	b.WriteString(head)
	switch shape {
	case Headers:
		b.WriteString("X-Unfinished: ")
	case Whole, Pieces:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body[:len(body)-1])
	case LargeChunks:
		writeChunks(&b, body[:len(body)-1], largeChunkBytes)
	case TinyChunks:
		writeChunks(&b, body[:len(body)-1], tinyChunkBytes)
	}
	return b.Bytes()
}

func writeChunks(b *bytes.Buffer, body []byte, size int) {
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(b, "%x\r\n", n)
		b.Write(body[:n])
		b.WriteString("\r\n")
		body = body[n:]
	}
}

// send is one client. Being refused or disconnected is no failure.
func (c *Crowd) send(address string, wire []byte, shape Shape) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	step := len(wire)
	if shape == Pieces {
		step = pieceBytes
	}
	for len(wire) > 0 {
		n := min(step, len(wire))
		if _, err := conn.Write(wire[:n]); err != nil {
			return
		}
		wire = wire[n:]
		if shape == Pieces {
			// Lets the other clients send their next piece.
			time.Sleep(time.Millisecond)
		}
	}
}

// Close disconnects the clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// Server is the process that a crowd connects to.
type Server struct {
	Address string
	PID     int
	// Ended returns how the process has ended, or nil while it runs.
	Ended func() error
}

// Request is what each client of a crowd sends.
type Request struct {
	// Head consists of a request line and header lines without the length.
	Head  string
	Body  []byte
	Shape Shape
}

// Bounds are what the process may take. A MB has 1,000,000 bytes.
type Bounds struct {
	ResidentMB, Descriptors int
}

// T is what Check needs of a test.
type T interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// Check sends the requests of a crowd. It checks what the process takes, and that ordinary calls are answered while the crowd is connected and
// afterwards.
func Check(t T, s Server, r Request, clients int, bounds Bounds, ordinary func() error) {
	t.Helper()
	taken := watch(s.PID)
	connected := Send(s.Address, r.Head, r.Body, clients, r.Shape)
	defer connected.Close()
	during := ordinary()
	taken.stopWatching()
	connected.Close()
	after := ordinary()
	t.Logf("%d clients: %.0f MB of %d, %d descriptors of %d; while they are connected: %v; afterwards: %v",
		clients, taken.residentMB, bounds.ResidentMB, taken.descriptors, bounds.Descriptors, during, after)
	if err := s.Ended(); err != nil {
		t.Fatalf("%v", err)
	}
	if taken.err != nil || taken.residentMB > float64(bounds.ResidentMB) || taken.descriptors > bounds.Descriptors {
		t.Errorf("the process took %.0f MB and %d descriptors, allowed are %d and %d; error %v",
			taken.residentMB, taken.descriptors, bounds.ResidentMB, bounds.Descriptors, taken.err)
	}
	if during != nil {
		t.Errorf("an ordinary call while the clients are connected: %v", during)
	}
	if after != nil {
		t.Errorf("an ordinary call afterwards: %v", after)
	}
}

// Ordinary calls like an ordinary client, which repeats a refused call up to four times.
func Ordinary(call func() error) error {
	var err error
	for range ordinaryCalls {
		if err = call(); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

const ordinaryCalls = 5

// peak follows the memory and the descriptors of a process.
type peak struct {
	stop, done chan struct{}
	// residentMB is the highest resident memory seen in MB of 1,000,000 bytes, and descriptors the
	// highest number of open descriptors. Both are valid after stopWatching.
	residentMB  float64
	descriptors int
	err         error
}

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// watch samples the process until stopWatching.
func watch(pid int) *peak {
	p := &peak{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(p.done)
		for {
			p.sample(pid)
			select {
			case <-p.stop:
				p.sample(pid)
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return p
}

// stopWatching takes the last sample.
func (p *peak) stopWatching() {
	close(p.stop)
	<-p.done
}

func (p *peak) sample(pid int) {
	resident, err := residentMB(pid)
	if err != nil {
		p.err = err
		return
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		p.err = err
		return
	}
	p.residentMB = max(p.residentMB, resident)
	p.descriptors = max(p.descriptors, len(open))
}

func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib * 1024 / 1e6, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident memory, so it has ended", pid)
}
