// Package approvals decides through which instance the approval service is
// asked, and when a request has to wait.
//
// The service serves the requests of one instance in turn, so a request that
// waits there cannot give way to a more urgent one. An instance therefore gets
// only what keeps the service busy for it. Everything else waits at the caller,
// which decides anew what is most urgent once an instance is free.
//
// It answers a load at which requests take most of what the service can do: a
// few instances, many requests of some milliseconds, and some of half a second.
package approvals

import (
	"cmp"
	"slices"
)

// Figures of the pool, in milliseconds.
const (
	// LongMS is the duration from which a request counts as long.
	LongMS = 100
	// initialTransitMS is the way to the service and back before one was measured.
	initialTransitMS = 40
	// windowSlackMS keeps the service busy where an answer is a little late.
	windowSlackMS = 10
	// maxWindowMS bounds what waits at an instance; it is below LongMS, so that
	// nothing is sent after a long request.
	maxWindowMS = 80
	// transitWeight is the share of the newest measurement in the smoothed way.
	transitWeight = 0.2
	// failPauseMS is how long an instance whose request failed gets no other.
	failPauseMS = 200
)

// Grant is the permission to send one request through an instance.
type Grant struct {
	// Instance is the address of the instance.
	Instance string
	// ExpectedMS is how long the service works on the request.
	ExpectedMS float64
	// AheadMS is the work that the service has before it from the same instance.
	AheadMS float64
	SentMS  int64
}

// TimeLeftMS is how long the answer should take at most, without the way.
func (g Grant) TimeLeftMS() float64 { return g.AheadMS + g.ExpectedMS }

type instance struct {
	address string
	// workMS is the expected work of the requests that have no answer.
	workMS float64
	// long is the number of long requests among them.
	long          int
	transitMS     float64
	pausedUntilMS int64
}

func (i *instance) takes(nowMS int64) bool {
	return nowMS >= i.pausedUntilMS && i.workMS < min(maxWindowMS, i.transitMS+windowSlackMS)
}

// Pool is the set of instances that can ask the service. It is not safe for
// concurrent use.
type Pool struct {
	instances []*instance
}

// SetInstances replaces the set, by address. What is known of those that stay is kept.
func (p *Pool) SetInstances(addresses []string) {
	known := p.instances
	p.instances = make([]*instance, 0, len(addresses))
	for _, a := range addresses {
		if p.find(a) != nil {
			continue
		}
		i := &instance{address: a, transitMS: initialTransitMS}
		if at := slices.IndexFunc(known, func(k *instance) bool { return k.address == a }); at >= 0 {
			i = known[at]
		}
		p.instances = append(p.instances, i)
	}
	slices.SortFunc(p.instances, func(a, b *instance) int { return cmp.Compare(a.address, b.address) })
}

func (p *Pool) find(address string) *instance {
	for _, i := range p.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

// mostLong is how many instances may have a long request; the others stay for short ones.
func (p *Pool) mostLong() int { return max(1, len(p.instances)*2/3) }

// choose returns the instance with the least work ahead, nil where all have enough.
func (p *Pool) choose(expectedMS float64, nowMS int64) *instance {
	if expectedMS >= LongMS {
		busy := 0
		for _, i := range p.instances {
			if i.long > 0 {
				busy++
			}
		}
		if busy >= p.mostLong() {
			return nil
		}
	}
	var best *instance
	for _, i := range p.instances {
		if i.takes(nowMS) && (best == nil || i.workMS+i.transitMS < best.workMS+best.transitMS) {
			best = i
		}
	}
	return best
}

// Has reports whether a request of that duration could be sent now.
func (p *Pool) Has(expectedMS float64, nowMS int64) bool { return p.choose(expectedMS, nowMS) != nil }

// Take reserves an instance for a request. It reports false where none is free
// for it. Each grant is given back with Answered or Failed.
func (p *Pool) Take(expectedMS float64, nowMS int64) (Grant, bool) {
	i := p.choose(expectedMS, nowMS)
	if i == nil {
		return Grant{}, false
	}
	g := Grant{Instance: i.address, ExpectedMS: expectedMS, AheadMS: i.workMS, SentMS: nowMS}
	i.workMS += expectedMS
	if expectedMS >= LongMS {
		i.long++
	}
	return g, true
}

// Answered gives a grant back and learns the way from its answer.
func (p *Pool) Answered(g Grant, nowMS int64) {
	i := p.release(g)
	if i == nil || g.AheadMS > 0 {
		return
	}
	took := max(0, float64(nowMS-g.SentMS)-g.ExpectedMS)
	i.transitMS += (took - i.transitMS) * transitWeight
}

// Failed gives a grant back whose request had no answer.
func (p *Pool) Failed(g Grant, nowMS int64) {
	if i := p.release(g); i != nil {
		i.pausedUntilMS = nowMS + failPauseMS
	}
}

func (p *Pool) release(g Grant) *instance {
	i := p.find(g.Instance)
	if i == nil {
		return nil
	}
	i.workMS = max(0, i.workMS-g.ExpectedMS)
	if g.ExpectedMS >= LongMS {
		i.long = max(0, i.long-1)
	}
	return i
}
