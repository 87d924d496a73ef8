package approvals

import (
	"fmt"
	"testing"
)

func newTestPool(n int) *Pool {
	p := &Pool{}
	p.SetInstances(addresses(n))
	return p
}

func addresses(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("10.0.0.%d:1", i)
	}
	return list
}

// takeAll takes grants for requests of the duration until the pool refuses.
func takeAll(t *testing.T, p *Pool, expectedMS float64, nowMS int64) []Grant {
	t.Helper()
	var grants []Grant
	for len(grants) < 1000 {
		g, ok := p.Acquire(expectedMS, false, nowMS)
		if !ok {
			return grants
		}
		grants = append(grants, g)
	}
	t.Fatal("the pool does not limit the number of grants")
	return nil
}

// Guards against long requests occupying every instance, which would delay a
// request of a few milliseconds by half a second.
func TestLongRequestsLeaveInstancesForShortOnes(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 97} {
		p := newTestPool(n)
		long := takeAll(t, p, 500, 0)
		if want := max(1, n*2/3); len(long) != want {
			t.Errorf("%d long requests are in flight with %d instances, want %d", len(long), n, want)
		}
		if n > 1 && !p.CanSend(10, false, 0) {
			t.Errorf("none of %d instances accepts a short request", n)
		}
	}
}

// Guards against sending a short request through an instance that already has a
// long one in flight.
func TestShortRequestNotQueuedBehindLongOne(t *testing.T) {
	p := newTestPool(3)
	busy := make(map[string]bool)
	for _, g := range takeAll(t, p, 500, 0) {
		busy[g.Instance] = true
	}
	for _, g := range takeAll(t, p, 10, 0) {
		if busy[g.Instance] {
			t.Errorf("a short request was sent to %s, which has a long one in flight", g.Instance)
		}
	}
}

// service is a fake that processes the requests of one instance in FIFO order.
type service struct {
	roundTripMS int64
	idleAtMS    float64
	// longestWaitMS is the longest time that a request was queued at the service.
	longestWaitMS float64
	busyMS        float64
	pending       []delivery
}

type delivery struct {
	grant Grant
	atMS  float64
}

func (s *service) send(g Grant, nowMS int64) {
	arrived := float64(nowMS + s.roundTripMS/2)
	s.longestWaitMS = max(s.longestWaitMS, s.idleAtMS-arrived)
	s.idleAtMS = max(s.idleAtMS, arrived) + g.ExpectedMS
	s.busyMS += g.ExpectedMS
	s.pending = append(s.pending, delivery{g, s.idleAtMS + float64(s.roundTripMS/2)})
}

func (s *service) deliver(p *Pool, nowMS int64) {
	for len(s.pending) > 0 && s.pending[0].atMS <= float64(nowMS) {
		p.Answered(s.pending[0].grant, nowMS)
		s.pending = s.pending[1:]
	}
}

// Guards against short requests queueing up at the service, where a more urgent
// one cannot overtake them, and against an idle service while requests wait, with
// low and high network latency.
func TestShortRequestsKeepServiceBusyWithShortQueue(t *testing.T) {
	for _, transitMS := range []int64{2, 60, 160} {
		for _, expectedMS := range []float64{11, 80} {
			p, s := newTestPool(1), &service{roundTripMS: transitMS}
			const warmupMS, endMS = 2000, 12_000
			var before float64
			for now := int64(0); now < endMS; now++ {
				s.deliver(p, now)
				if now == warmupMS {
					before, s.longestWaitMS = s.busyMS, 0
				}
				for p.CanSend(expectedMS, false, now) {
					g, _ := p.Acquire(expectedMS, false, now)
					s.send(g, now)
				}
			}
			used := (s.busyMS - before) / (endMS - warmupMS)
			t.Logf("round trip %d ms, request %.0f ms: service utilization %.2f, longest queue wait %.0f ms", transitMS, expectedMS, used, s.longestWaitMS)
			if used < 0.9 {
				t.Errorf("with a round trip of %d ms the service utilization is %.2f for requests of %.0f ms, want 0.90", transitMS, used, expectedMS)
			}
			if most := 2 * expectedMS; s.longestWaitMS > most {
				t.Errorf("with a round trip of %d ms a request of %.0f ms was queued for %.0f ms, want at most %.0f", transitMS, expectedMS, s.longestWaitMS, most)
			}
		}
	}
}

// Guards against sending further requests to a service that is still processing
// those of a previous owner: each of them would time out.
func TestOverdueInstanceReceivesNoRequests(t *testing.T) {
	p := newTestPool(1)
	g, _ := p.Acquire(10, false, 0)
	for now := g.DueMS; now < g.DueMS+2000; now += 10 {
		if p.CanSend(10, false, now) != (now <= g.DueMS+overdueGraceMS) {
			t.Fatalf("%d ms after an answer was due, Has returned %v", now-g.DueMS, p.CanSend(10, false, now))
		}
	}
	p.Answered(g, g.DueMS+2000)
	if !p.CanSend(10, false, g.DueMS+2000) {
		t.Error("the instance is not used again after the overdue answer arrived")
	}
}

// Guards against a long request overtaking a short one on another connection of
// the same instance, which would delay the short one.
func TestLongRequestsGoToIdleInstances(t *testing.T) {
	p := newTestPool(2)
	short, _ := p.Acquire(10, false, 0)
	long, ok := p.Acquire(500, false, 0)
	if !ok || long.Instance == short.Instance {
		t.Errorf("the long request was sent to %q, the short one in flight is at %q", long.Instance, short.Instance)
	}
	if p.CanSend(500, false, 0) {
		t.Error("a long request was granted at an instance with a short one in flight")
	}
}

// Guards against retrying a failed instance at once, and against never using it
// again.
func TestFailedInstanceBacksOff(t *testing.T) {
	p := newTestPool(1)
	g, _ := p.Acquire(10, false, 1000)
	p.Failed(g, 1100)
	if p.CanSend(10, false, 1100+failureBackoffMS-1) {
		t.Error("the instance is used during its backoff")
	}
	if !p.CanSend(10, false, 1100+failureBackoffMS) {
		t.Error("the instance is not used after its backoff")
	}
}

// Guards against losing track of requests in flight when the list of instances is
// replaced, and against mishandling an answer from an instance that was removed.
func TestSetInstancesKeepsInFlightRequests(t *testing.T) {
	p := newTestPool(2)
	grants := takeAll(t, p, 500, 0)
	p.SetInstances(addresses(3))
	if more := takeAll(t, p, 500, 0); len(more) != 1 {
		t.Errorf("%d long requests are granted after an instance was added, want 1", len(more))
	}
	p.SetInstances(nil)
	p.Answered(grants[0], 600)
	if p.CanSend(1, false, 600) {
		t.Error("a pool without instances grants a request")
	}
	p.SetInstances([]string{"a", "a", "b"})
	if len(p.instances) != 2 {
		t.Errorf("the pool has %d instances, want each address once", len(p.instances))
	}
}
