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
	// aheadMS is the work that may wait at the service for an instance. It keeps
	// the service busy where a request comes a little late.
	aheadMS = 10
	// overdueMS is how late an answer may be before the service is taken to be
	// busy with something else, as with requests of a former owner.
	overdueMS = 150
	// maxTransitMS bounds the way that is learned. A service that is busy with
	// something else answers later than that, and must not get more for it.
	maxTransitMS = 200
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
	SentMS     int64
	// DueMS is when the answer is expected.
	DueMS int64
	// alone tells that no other request was under way, so that its answer
	// measures the way.
	alone bool
}

type instance struct {
	address string
	// grants are the requests that have no answer.
	grants []Grant
	// freeMS is when the service will have worked through them.
	freeMS        float64
	transitMS     float64
	pausedUntilMS int64
}

// wayMS is the way of a request to the service.
func (i *instance) wayMS() float64 { return i.transitMS / 2 }

// waitMS is how long a request that is sent now would wait at the service.
func (i *instance) waitMS(nowMS int64) float64 { return max(0, i.freeMS-float64(nowMS)-i.wayMS()) }

// answers reports whether the instance may be used and its requests are
// answered when they should be.
func (i *instance) answers(nowMS int64) bool {
	overdue := func(g Grant) bool { return nowMS > g.DueMS+overdueMS }
	return nowMS >= i.pausedUntilMS && !slices.ContainsFunc(i.grants, overdue)
}

func (i *instance) hasLong() bool {
	return slices.ContainsFunc(i.grants, func(g Grant) bool { return g.ExpectedMS >= LongMS })
}

// Pool is the set of instances that can ask the service. It is not safe for
// concurrent use.
type Pool struct {
	// instances are ordered by address. Long requests are sent through the first
	// ones and short ones through the last.
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

func (p *Pool) choose(expectedMS float64, nowMS int64) *instance {
	if expectedMS >= LongMS {
		return p.chooseIdle(nowMS)
	}
	for _, i := range slices.Backward(p.instances) {
		if i.answers(nowMS) && i.waitMS(nowMS) < aheadMS {
			return i
		}
	}
	return nil
}

// chooseIdle returns an instance for a long request. Requests on different
// connections may overtake each other, so a short one that is under way would
// wait behind it.
func (p *Pool) chooseIdle(nowMS int64) *instance {
	long := 0
	for _, i := range p.instances {
		if i.hasLong() {
			long++
		}
	}
	if long >= p.mostLong() {
		return nil
	}
	for _, i := range p.instances {
		if len(i.grants) == 0 && i.answers(nowMS) {
			return i
		}
	}
	return nil
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
	i.freeMS = max(i.freeMS, float64(nowMS)+i.wayMS()) + expectedMS
	g := Grant{Instance: i.address, ExpectedMS: expectedMS, SentMS: nowMS, DueMS: int64(i.freeMS + i.wayMS()),
		alone: len(i.grants) == 0}
	i.grants = append(i.grants, g)
	return g, true
}

// NextMS returns when the next short request may be sent if nothing is
// answered before, and false where no instance is in use.
func (p *Pool) NextMS(nowMS int64) (int64, bool) {
	next, ok := int64(0), false
	for _, i := range p.instances {
		if at := max(i.pausedUntilMS, nowMS+int64(max(0, i.waitMS(nowMS)-aheadMS))+1); !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

// Answered gives a grant back and learns the way from its answer.
func (p *Pool) Answered(g Grant, nowMS int64) {
	i := p.release(g)
	if i == nil || !g.alone {
		return
	}
	took := min(maxTransitMS, max(0, float64(nowMS-g.SentMS)-g.ExpectedMS))
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
	if at := slices.Index(i.grants, g); at >= 0 {
		i.grants = slices.Delete(i.grants, at, at+1)
	}
	return i
}
