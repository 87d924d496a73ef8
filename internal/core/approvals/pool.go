// Package approvals selects the instance through which a request is sent to the
// approval service, and limits how many requests are in flight.
//
// The service handles the requests of one instance in FIFO order, so a request
// queued there cannot be overtaken by a more urgent one. Each instance is
// therefore sent only enough requests to keep the service busy. All others wait
// at the caller, which picks the most urgent one whenever an instance is free.
//
// The design targets a service close to saturation: a few instances, many
// requests of several milliseconds each, and some of half a second.
package approvals

import (
	"cmp"
	"math"
	"slices"
)

// Limits and defaults of the pool, in milliseconds unless noted.
const (
	// minMediumRequestMS is the least duration of requests that an adaptive pool keeps off the instances that are
	// reserved for short ones: a short request would wait for several times its own duration.
	minMediumRequestMS = 50
	// shortHeadroom times the recent demand of short requests is reserved for them. It covers a burst of twice the demand
	// and the time between the answer to one request and the arrival of the next.
	shortHeadroom = 2.5
	// minReserved and a part of minReservedShare are the least numbers of instances reserved for short requests, if there are enough.
	minReserved      = 2
	minReservedShare = 8
	// MinLongRequestMS is the minimum expected duration of a long request.
	MinLongRequestMS = 100
	// initialRoundTripMS is the assumed network round trip until one is measured.
	initialRoundTripMS = 40
	// maxQueuedMS bounds the work queued at the service for one instance. A short
	// queue keeps the service busy when the next request arrives a little late.
	maxQueuedMS = 10
	// overdueGraceMS is how late an answer may be before the service is assumed to
	// be busy with other work, such as requests of a previous owner.
	overdueGraceMS = 150
	// maxRoundTripMS caps the estimated round trip. Answers of a service that is busy
	// with other work take longer and must not raise the estimate: a higher
	// estimate would send it more requests.
	maxRoundTripMS = 200
	// roundTripSmoothing is the weight of the newest sample in the moving average
	// of the round trip.
	roundTripSmoothing = 0.2
	// failureBackoffMS is how long an instance receives no requests after a failure.
	failureBackoffMS = 200
)

// Grant is the permission to send one request through an instance.
type Grant struct {
	// Instance is the address of the instance.
	Instance string
	// ExpectedMS is the expected processing time at the service.
	ExpectedMS float64
	SentMS     int64
	// DueMS is when the answer is expected.
	DueMS int64
	// onlyInFlight is set when no other request was in flight at the instance, so
	// that the answer is a valid sample of the round trip.
	onlyInFlight bool
}

type instance struct {
	address string
	// grants are the requests in flight.
	grants []Grant
	// idleAtMS is when the service is expected to have processed all of them.
	idleAtMS       float64
	roundTripMS    float64
	backoffUntilMS int64
}

// oneWayMS is the estimated network latency from the instance to the service.
func (i *instance) oneWayMS() float64 { return i.roundTripMS / 2 }

// queueDelayMS is how long a request sent now would be queued at the service.
func (i *instance) queueDelayMS(nowMS int64) float64 {
	return max(0, i.idleAtMS-float64(nowMS)-i.oneWayMS())
}

// responsive reports whether the instance is not backing off and none of its
// requests is overdue.
func (i *instance) responsive(nowMS int64) bool {
	overdue := func(g Grant) bool { return nowMS > g.DueMS+overdueGraceMS }
	return nowMS >= i.backoffUntilMS && !slices.ContainsFunc(i.grants, overdue)
}

func (p *Pool) hasLong(i *instance) bool {
	return slices.ContainsFunc(i.grants, func(g Grant) bool { return p.isLong(g.ExpectedMS) })
}

// almostIdle reports whether a request sent now arrives when the service has nearly processed those in flight, all
// of which have arrived, so that it cannot overtake one.
func (i *instance) almostIdle(nowMS int64) bool {
	inTransit := func(g Grant) bool { return float64(nowMS-g.SentMS) < i.oneWayMS() }
	return i.queueDelayMS(nowMS) < maxQueuedMS && !slices.ContainsFunc(i.grants, inTransit)
}

// Pool is the set of instances that can send requests to the service. It is not
// safe for concurrent use.
type Pool struct {
	// Adaptive reserves instances for short requests by their recent demand instead of a fixed
	// share, and sends a long request while the one before it is still being processed.
	Adaptive bool
	// short measures the demand of short requests.
	short demand
	// changes counts the changes of the instances and their requests. What follows is valid until the next one, at the same time.
	changes   int64
	sendable  [4]cached[bool]
	longInUse cached[float64]
	nextSend  cached[int64]
	// instances are sorted by address. Long requests prefer the front of the list
	// and short ones the back.
	instances []*instance
}

// cached is a result that many steps of a pass ask for.
type cached[T any] struct {
	value   T
	atMS    int64
	changes int64
	valid   bool
}

func (c *cached[T]) get(changes, nowMS int64, compute func() T) T {
	if !c.valid || c.atMS != nowMS || c.changes != changes {
		*c = cached[T]{compute(), nowMS, changes, true}
	}
	return c.value
}

// SetInstances replaces the set of instances. Instances whose address remains keep
// their state.
func (p *Pool) SetInstances(addresses []string) {
	p.changes++
	previous := p.instances
	p.instances = make([]*instance, 0, len(addresses))
	for _, a := range addresses {
		if p.lookup(a) != nil {
			continue
		}
		i := &instance{address: a, roundTripMS: initialRoundTripMS}
		if at := slices.IndexFunc(previous, func(k *instance) bool { return k.address == a }); at >= 0 {
			i = previous[at]
		}
		p.instances = append(p.instances, i)
	}
	slices.SortFunc(p.instances, func(a, b *instance) int { return cmp.Compare(a.address, b.address) })
	if len(previous) == 0 {
		// The demand of short requests is not known yet. A third is reserved at first, since a new owner has a backlog of them.
		p.short.expect(float64(len(p.instances)) / 3 / shortHeadroom)
	}
}

func (p *Pool) lookup(address string) *instance {
	for _, i := range p.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

// isLong reports whether a request of the expected duration counts as long. An adaptive pool
// reserves few instances for short requests, so requests of medium duration must not use them.
func (p *Pool) isLong(expectedMS float64) bool {
	if p.Adaptive {
		return expectedMS >= minMediumRequestMS
	}
	return expectedMS >= MinLongRequestMS
}

// maxLong is the number of instances that may process a long request at once. The
// others are reserved for short requests.
func (p *Pool) maxLong(nowMS int64) int {
	n := len(p.instances)
	if !p.Adaptive {
		return max(1, n*2/3)
	}
	reserved := max(minReserved, n/minReservedShare, 1+int(math.Ceil(shortHeadroom*p.short.busy(nowMS))))
	return max(1, n-min(n/3, reserved))
}

// LongInUse returns the share of the instances available for long requests that process one.
func (p *Pool) LongInUse(nowMS int64) float64 {
	return p.longInUse.get(p.changes, nowMS, func() float64 {
		return float64(p.countLong()) / float64(p.maxLong(nowMS))
	})
}

// countLong returns the number of instances that process a long request.
func (p *Pool) countLong() int {
	long := 0
	for _, i := range p.instances {
		if p.hasLong(i) {
			long++
		}
	}
	return long
}

// Lanes returns how many requests of the expected duration are processed at once, or
// zero if the pool has no instances.
func (p *Pool) Lanes(expectedMS float64, nowMS int64) int {
	if len(p.instances) == 0 || !p.isLong(expectedMS) {
		return len(p.instances)
	}
	return p.maxLong(nowMS)
}

func (p *Pool) selectInstance(expectedMS float64, overdue bool, nowMS int64) *instance {
	if p.isLong(expectedMS) {
		most := p.maxLong(nowMS)
		if overdue {
			most++
		}
		return p.selectIdle(most, nowMS)
	}
	for _, i := range slices.Backward(p.instances) {
		if i.responsive(nowMS) && i.queueDelayMS(nowMS) < maxQueuedMS {
			return i
		}
	}
	return nil
}

// selectIdle returns an instance without requests in flight for a long request.
// Requests on different connections may overtake each other, so a short one
// already in flight could end up behind the long one.
func (p *Pool) selectIdle(maxLong int, nowMS int64) *instance {
	if p.countLong() < maxLong {
		for _, i := range p.instances {
			if len(i.grants) == 0 && i.responsive(nowMS) {
				return i
			}
		}
	}
	if !p.Adaptive {
		return nil
	}
	for _, i := range p.instances {
		if p.hasLong(i) && i.responsive(nowMS) && i.almostIdle(nowMS) {
			return i
		}
	}
	return nil
}

// CanSend reports whether a request of the expected duration can be sent now. One that
// is overdue may use one of the instances that are reserved for short requests.
func (p *Pool) CanSend(expectedMS float64, overdue bool, nowMS int64) bool {
	kind := 0
	if p.isLong(expectedMS) {
		kind = 1
	}
	if overdue {
		kind += 2
	}
	return p.sendable[kind].get(p.changes, nowMS, func() bool { return p.selectInstance(expectedMS, overdue, nowMS) != nil })
}

// Acquire reserves an instance for a request, or returns false if none is available.
// Each grant must be released with Answered or Failed.
func (p *Pool) Acquire(expectedMS float64, overdue bool, nowMS int64) (Grant, bool) {
	i := p.selectInstance(expectedMS, overdue, nowMS)
	if i == nil {
		return Grant{}, false
	}
	if !p.isLong(expectedMS) {
		p.short.add(expectedMS, nowMS)
	}
	p.changes++
	i.idleAtMS = max(i.idleAtMS, float64(nowMS)+i.oneWayMS()) + expectedMS
	g := Grant{Instance: i.address, ExpectedMS: expectedMS, SentMS: nowMS, DueMS: int64(i.idleAtMS + i.oneWayMS()),
		onlyInFlight: len(i.grants) == 0}
	i.grants = append(i.grants, g)
	return g, true
}

// NextSendMS returns when the next short request may be sent if no answer arrives
// before, or false if the pool has no instances.
func (p *Pool) NextSendMS(nowMS int64) (int64, bool) {
	if len(p.instances) == 0 {
		return 0, false
	}
	return p.nextSend.get(p.changes, nowMS, func() int64 {
		next := int64(math.MaxInt64)
		for _, i := range p.instances {
			next = min(next, max(i.backoffUntilMS, nowMS+int64(max(0, i.queueDelayMS(nowMS)-maxQueuedMS))+1))
		}
		return next
	}), true
}

// Answered releases the grant of an answered request and updates the round-trip
// estimate of its instance.
func (p *Pool) Answered(g Grant, nowMS int64) {
	p.changes++
	i := p.release(g)
	if i == nil || !g.onlyInFlight {
		return
	}
	measuredMS := min(maxRoundTripMS, max(0, float64(nowMS-g.SentMS)-g.ExpectedMS))
	i.roundTripMS += (measuredMS - i.roundTripMS) * roundTripSmoothing
}

// Failed releases the grant of a request that got no answer and starts the backoff
// of its instance.
func (p *Pool) Failed(g Grant, nowMS int64) {
	p.changes++
	if i := p.release(g); i != nil {
		i.backoffUntilMS = nowMS + failureBackoffMS
	}
}

func (p *Pool) release(g Grant) *instance {
	i := p.lookup(g.Instance)
	if i == nil {
		return nil
	}
	if at := slices.Index(i.grants, g); at >= 0 {
		i.grants = slices.Delete(i.grants, at, at+1)
	}
	return i
}
