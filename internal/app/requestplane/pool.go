package requestplane

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// idleTimeout closes idle connections. It is below the idle timeouts that
// servers commonly use (60 s and more), so that the server rarely closes a
// connection at the moment a request is sent on it.
const idleTimeout = 20 * time.Second

var errConnectionLimit = errors.New("all connections to the server are in use")

// pool holds the connections to one address.
type pool struct {
	address  string
	tls      *tls.Config // nil for plain TCP
	mu       sync.Mutex
	maxOpen  int // maximum number of connections, idle ones included
	open     int
	idle     []*upstreamConn // least recently used first
	closed   bool
	lastUsed time.Time // last use; only set for pools of peerPools and guarded by its mutex
}

func newPool(address string, config *tls.Config, bound int) *pool {
	return &pool{address: address, tls: config, maxOpen: bound}
}

// get returns an idle connection that is still usable, or a new one. If it fails,
// no byte of a request was sent.
func (p *pool) get(ctx context.Context, deadline time.Time) (*upstreamConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx, deadline)
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *pool) popIdle() *upstreamConn {
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

func (p *pool) dial(ctx context.Context, deadline time.Time) (*upstreamConn, error) {
	p.mu.Lock()
	if p.open >= p.maxOpen {
		p.mu.Unlock()
		return nil, errConnectionLimit
	}
	p.open++
	p.mu.Unlock()
	c, err := dial(ctx, p.address, p.tls, deadline)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// put returns a connection to the pool, or closes it if the pool is closed.
func (p *pool) put(c *upstreamConn, now time.Time) {
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

// discard closes a connection and removes it from the count.
func (p *pool) discard(c *upstreamConn) {
	c.close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// prune closes the connections that exceeded the idle timeout.
func (p *pool) prune(now time.Time) {
	p.discardOldest(func() int {
		n := 0
		for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= idleTimeout {
			n++
		}
		return n
	})
}

// trimIdle closes the least recently used idle connections, so that at most keep are left.
func (p *pool) trimIdle(keep int) {
	p.discardOldest(func() int { return max(len(p.idle)-keep, 0) })
}

// discardOldest closes as many of the least recently used idle connections as count returns, which is called with the lock held.
func (p *pool) discardOldest(count func() int) {
	p.mu.Lock()
	n := count()
	old := slices.Clone(p.idle[:n])
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// closeIdle closes the idle connections now, and the others when they are put back.
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

// openCount returns the number of open connections.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
