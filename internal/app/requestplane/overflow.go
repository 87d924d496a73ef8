package requestplane

import (
	"net/http"
	"net/url"
	"sync"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
)

// forgetPeer is longer than a connection attempt, so that no request still uses the pool.
const forgetPeer = time.Minute

// maxForwards bounds how often one request is sent to other instances on
// reports of free slots that proved outdated.
const maxForwards = 50

// peerPools holds the connections to the other instances by address.
type peerPools struct {
	mu        sync.Mutex
	byAddress map[string]*pool
}

func (p *peerPools) get(address string, now time.Time) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byAddress[address]
	if found == nil {
		found = newPool(address, peerConnections)
		p.byAddress[address] = found
	}
	found.used = now
	return found
}

// prune closes old connections and forgets addresses that were not used for a while.
func (p *peerPools) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.byAddress {
		pool.prune(now)
		if pool.count() == 0 && now.Sub(pool.used) >= forgetPeer {
			delete(p.byAddress, address)
		}
	}
}

func (p *peerPools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAddress {
		pool.trim(0)
	}
}

// mayForward reports whether the request may go to another instance. A
// forwarded request goes no further. One that came back waits here, unless
// this instance holds no slot for it at all.
func (p *Plane) mayForward(q *request) bool {
	if p.peers == nil || q.hop || !q.body.replayable() {
		return false
	}
	return q.forwards == 0 || q.forwards < maxForwards && !p.disp.holds(q.queue)
}

// takePeer returns an instance with a free slot for the queue, or nil.
func (p *Plane) takePeer(queue domain.QueueID) *Peer {
	peer, ok := p.peers.Take(queue)
	if !ok {
		return nil
	}
	return &peer
}

// overflow forwards a request that finds no free slot here to an instance with
// free slots. It reports false where the request should wait here instead. The
// other instance resolves the key again, so the key is sent along.
func (p *Plane) overflow(q *request, peer Peer) (done bool) {
	q.forwards++
	p.forwarded.Inc(1)
	header := q.forwardHeader()
	header[HeaderHop] = q.value("1")
	target := url.URL{Path: q.r.URL.Path, RawPath: q.r.URL.RawPath, RawQuery: q.r.URL.RawQuery}
	x := p.start(q, p.peerPools.get(peer.Address, p.clock.Now()), &target, header)
	if x.err == nil && (!x.refused || final(x.resp.StatusCode)) {
		p.answer(q, x, func(route.Outcome) { p.peers.Return(q.queue, peer.ID) }, func(route.Outcome) {})
		return true
	}
	if x.refused && x.err == nil && x.drainRefused() {
		p.finish(q, x)
	} else {
		p.abandon(q, x, func(bool) {})
	}
	return p.afterOverflow(q, x)
}

// final reports whether a refusal by the other instance concerns the request
// itself, such as a key that it knows to be withdrawn. Waiting here would end
// at the deadline. A lack of room or of readiness there is no reason to refuse.
func final(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests
}

// afterOverflow decides what follows a forwarding without an answer. A request
// that provably did not run waits here, which takes nothing of the retry
// budget since no backend server was tried.
func (p *Plane) afterOverflow(q *request, x *exchange) (done bool) {
	notRun := route.Failure{BytesWritten: x.sent, ServerRefused: x.refused}.NotRun()
	if notRun && q.body.replayable() && !q.gone() {
		p.metrics.Retried(metrics.RetryPeerUnreachable)
		return false
	}
	ref := p.afterFailure(q, x)
	if ref != nil {
		p.refuse(q, ref)
	}
	return ref != nil
}
