package requestplane

import (
	"crypto/tls"
	"net/http"
	"net/url"
	"sync"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// peerPoolRetention is how long an unused pool is kept. It is longer than a connection
// attempt, so that no request still uses a pool that is removed.
const peerPoolRetention = time.Minute

// maxForwards bounds how often one request is forwarded to other instances whose
// reports of free slots turn out to be outdated.
const maxForwards = 50

// peerPools holds the connections to the other instances by address.
type peerPools struct {
	// tls is nil if the instances accept requests in plain text.
	tls       *tls.Config
	mu        sync.Mutex
	byAddress map[string]*pool
}

func (p *peerPools) get(address string, now time.Time) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byAddress[address]
	if found == nil {
		found = newPool(address, p.tls, maxPeerConnections)
		p.byAddress[address] = found
	}
	found.lastUsed = now
	return found
}

// prune closes connections that exceeded the idle timeout and removes unused pools.
func (p *peerPools) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.byAddress {
		pool.prune(now)
		if pool.openCount() == 0 && now.Sub(pool.lastUsed) >= peerPoolRetention {
			delete(p.byAddress, address)
		}
	}
}

func (p *peerPools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAddress {
		pool.trimIdle(0)
	}
}

// mayForward reports when the request may be forwarded to another instance. A
// request that was forwarded to this instance may not. One that another instance
// refused waits here, unless this instance holds no slot for its queue at all.
func (p *Plane) mayForward(q *request) forwarding {
	switch {
	case p.peers == nil || q.forwarded || !q.body.replayable() || q.forwards >= maxForwards:
		return forwardNever
	case q.forwards == 0:
		return forwardAlways
	}
	return forwardWithoutSlots
}

// takePeer returns an instance with a free slot for the queue, or nil.
func (p *Plane) takePeer(queue domain.QueueID) *Peer {
	peer, ok := p.peers.AcquireSlot(queue)
	if !ok {
		return nil
	}
	return &peer
}

// forwardToPeer forwards a request that found no free slot at this instance to one with
// free slots. It reports false if the request should wait at this instance instead. The
// other instance authenticates the caller again, so the key is sent along.
func (p *Plane) forwardToPeer(q *request, peer Peer) (done bool) {
	q.forwards++
	p.forwarded.Inc(1)
	header := q.forwardHeader()
	header[HeaderHop] = q.headerValue("1")
	target := url.URL{Path: q.r.URL.Path, RawPath: q.r.URL.RawPath, RawQuery: q.r.URL.RawQuery}
	x := p.startExchange(q, p.peerPools.get(peer.Address, p.clock.Now()), &target, header)
	if x.err == nil && (!x.refused || isFinalRefusal(x.resp.StatusCode)) {
		p.streamResponse(q, x, func(route.Outcome) { p.peers.ReturnSlot(q.queue, peer.ID) }, func(route.Outcome) {})
		return true
	}
	if x.refused && x.err == nil && x.discardRefusalBody() {
		p.finishExchange(q, x)
	} else {
		p.abandonExchange(q, x, func(bool) {})
	}
	return p.afterFailedForward(q, x)
}

// isFinalRefusal reports whether the status of a refusal by another instance concerns
// the request itself, such as a key that it already knows to be revoked; waiting at this
// instance would then only end at the deadline. A full queue (429) or an instance that
// is not ready (5xx) is no reason to refuse the request.
func isFinalRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests
}

// afterFailedForward decides what follows an attempt to forward that brought no response.
// A request that provably did not run waits at this instance. That takes nothing from
// the retry budget, since no backend server was tried.
func (p *Plane) afterFailedForward(q *request, x *exchange) (done bool) {
	notRun := route.Failure{BytesWritten: x.sent, ServerRefused: x.refused}.NotRun()
	if notRun && q.body.replayable() && !q.callerGone() {
		p.metrics.CountRetry(metrics.RetryPeerUnreachable)
		return false
	}
	ref := p.afterFailure(q, x)
	if ref != nil {
		p.refuse(q, ref)
	}
	return ref != nil
}
