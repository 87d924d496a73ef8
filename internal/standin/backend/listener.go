package backend

import (
	"net"
	"sync"
)

// countingListener counts the open connections.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*countedConn]bool
	most  int
}

// countedConn is counted out when it is closed.
type countedConn struct {
	*net.TCPConn
	l *countingListener
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &countedConn{TCPConn: tcp, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*countedConn]bool)
	}
	l.conns[c] = true
	l.most = max(l.most, len(l.conns))
	return c, nil
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.TCPConn.Close()
}

func (l *countingListener) counts() (open, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.most
}

func (l *countingListener) closeAll() {
	l.mu.Lock()
	conns := make([]*countedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
