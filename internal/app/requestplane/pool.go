package requestplane

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// idleTimeout closes idle connections. It is below the idle timeouts that
// servers commonly use (60 s and more), so that the server rarely closes a
// connection at the moment a request is sent on it.
const idleTimeout = 20 * time.Second

var errConnectionBound = errors.New("all connections to the server are in use")

// pool holds the connections to one address.
type pool struct {
	address string
	mu      sync.Mutex
	bound   int // most connections, idle ones included
	open    int
	idle    []*backendConn // least recently used first
	closed  bool
	used    time.Time // last use of a pool of peerPools, guarded by its mutex
}

func newPool(address string, bound int) *pool {
	return &pool{address: address, bound: bound}
}

// get returns an idle connection that is still usable, or a new one. An error
// means that no byte was sent.
func (p *pool) get(ctx context.Context, deadline time.Time) (*backendConn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx, deadline)
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *pool) pop() *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*backendConn, error) {
	p.mu.Lock()
	if p.open >= p.bound {
		p.mu.Unlock()
		return nil, errConnectionBound
	}
	p.open++
	p.mu.Unlock()
	c, err := dial(ctx, p.address, deadline)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// put keeps a connection for the next request.
func (p *pool) put(c *backendConn, now time.Time) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection for good.
func (p *pool) discard(c *backendConn) {
	c.close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// prune closes the connections that were idle for too long.
func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= idleTimeout {
		n++
	}
	old := append([]*backendConn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// trim closes the least recently used idle connections above keep.
func (p *pool) trim(keep int) {
	p.mu.Lock()
	n := max(len(p.idle)-keep, 0)
	old := append([]*backendConn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// closeIdle closes the idle connections, and the others when they are put back.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// count returns the open connections.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
