// Package narrowlink limits the rate at which a server sends, like the link of a small VM.
package narrowlink

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Narrowest is the rate of the narrowest links of VMs, 10 Mbit/s, in bytes per second.
const Narrowest = 10_000_000 / 8

// chunkBytes is the size of the pieces that are sent with a pause before each.
const chunkBytes = 16 << 10

// Listener accepts connections that send at most BytesPerSecond each, or any amount while it is 0.
type Listener struct {
	net.Listener
	BytesPerSecond *atomic.Int64
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return conn{c, l.BytesPerSecond}, err
}

type conn struct {
	net.Conn
	bytesPerSecond *atomic.Int64
}

func (c conn) Write(b []byte) (n int, err error) {
	for rest := range slices.Chunk(b, chunkBytes) {
		if rate := c.bytesPerSecond.Load(); rate > 0 {
			time.Sleep(time.Duration(len(rest)) * time.Second / time.Duration(rate))
		}
		sent, err := c.Conn.Write(rest)
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
