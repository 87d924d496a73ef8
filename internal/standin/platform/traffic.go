package platform

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of HTTP messages, without those of TCP and IP.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

// Total returns the bytes in both directions.
func (t *Traffic) Total() int64 { return t.Received.Load() + t.Sent.Load() }

// Counted returns a listener whose connections are counted.
func Counted(l net.Listener, t *Traffic) net.Listener { return countingListener{l, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
