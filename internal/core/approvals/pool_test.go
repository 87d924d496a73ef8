package approvals

import (
	"fmt"
	"testing"
)

func poolOf(n int) *Pool {
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

// takeAll takes grants of the duration until none is free.
func takeAll(t *testing.T, p *Pool, expectedMS float64, nowMS int64) []Grant {
	t.Helper()
	var grants []Grant
	for len(grants) < 1000 {
		g, ok := p.Take(expectedMS, nowMS)
		if !ok {
			return grants
		}
		grants = append(grants, g)
	}
	t.Fatal("the pool gives grants without end")
	return nil
}

// Guards against long requests that hold all instances, so that a request of
// some milliseconds waits for half a second.
func TestLongRequestsLeaveInstances(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 97} {
		p := poolOf(n)
		long := takeAll(t, p, 500, 0)
		if want := max(1, n*2/3); len(long) != want {
			t.Errorf("%d long requests are under way at %d instances, want %d", len(long), n, want)
		}
		if n > 1 && !p.Has(10, 0) {
			t.Errorf("no instance of %d is left for a short request", n)
		}
	}
}

// Guards against a request that is sent to an instance whose service is busy
// with a long one.
func TestNothingWaitsBehindALongRequest(t *testing.T) {
	p := poolOf(3)
	busy := make(map[string]bool)
	for _, g := range takeAll(t, p, 500, 0) {
		busy[g.Instance] = true
	}
	for _, g := range takeAll(t, p, 10, 0) {
		if busy[g.Instance] {
			t.Errorf("a short request goes to %s, where a long one is under way", g.Instance)
		}
	}
}

// service is a fake that works through the requests of one instance in turn.
type service struct {
	transitMS int64
	freeMS    float64
	// longestMS is the longest time that a request waited at the service.
	longestMS float64
	workedMS  float64
	answers   []answered
}

type answered struct {
	grant Grant
	atMS  float64
}

func (s *service) send(g Grant, nowMS int64) {
	arrived := float64(nowMS + s.transitMS/2)
	s.longestMS = max(s.longestMS, s.freeMS-arrived)
	s.freeMS = max(s.freeMS, arrived) + g.ExpectedMS
	s.workedMS += g.ExpectedMS
	s.answers = append(s.answers, answered{g, s.freeMS + float64(s.transitMS/2)})
}

func (s *service) deliver(p *Pool, nowMS int64) {
	for len(s.answers) > 0 && s.answers[0].atMS <= float64(nowMS) {
		p.Answered(s.answers[0].grant, nowMS)
		s.answers = s.answers[1:]
	}
}

// Guards against short requests that pile up at the service, where they cannot
// give way to a more urgent one, and against a service that is left idle while
// requests wait, near and far.
func TestShortRequestsKeepTheServiceBusy(t *testing.T) {
	for _, transitMS := range []int64{2, 60, 160} {
		for _, expectedMS := range []float64{11, 80} {
			p, s := poolOf(1), &service{transitMS: transitMS}
			const warmupMS, endMS = 2000, 12_000
			var before float64
			for now := int64(0); now < endMS; now++ {
				s.deliver(p, now)
				if now == warmupMS {
					before, s.longestMS = s.workedMS, 0
				}
				for p.Has(expectedMS, now) {
					g, _ := p.Take(expectedMS, now)
					s.send(g, now)
				}
			}
			used := (s.workedMS - before) / (endMS - warmupMS)
			t.Logf("way %d ms, request %.0f ms: %.2f of the time used, longest wait %.0f ms", transitMS, expectedMS, used, s.longestMS)
			if used < 0.9 {
				t.Errorf("with %d ms of way the service works %.2f of the time on requests of %.0f ms, want 0.90", transitMS, used, expectedMS)
			}
			if most := 2 * expectedMS; s.longestMS > most {
				t.Errorf("with %d ms of way a request of %.0f ms waited %.0f ms at the service, want at most %.0f", transitMS, expectedMS, s.longestMS, most)
			}
		}
	}
}

// Guards against more and more requests for a service that works through
// those of a former owner first: they fail one after the other.
func TestOverdueInstanceGetsNothing(t *testing.T) {
	p := poolOf(1)
	g, _ := p.Take(10, 0)
	for now := g.DueMS; now < g.DueMS+2000; now += 10 {
		if p.Has(10, now) != (now <= g.DueMS+overdueMS) {
			t.Fatalf("%d ms after an answer was due, another request is granted: %v", now-g.DueMS, p.Has(10, now))
		}
	}
	p.Answered(g, g.DueMS+2000)
	if !p.Has(10, g.DueMS+2000) {
		t.Error("the instance is not used after its answer has come")
	}
}

// Guards against a long request that overtakes a short one on another
// connection, so that the short one waits for it.
func TestLongRequestsGoToIdleInstances(t *testing.T) {
	p := poolOf(2)
	short, _ := p.Take(10, 0)
	long, ok := p.Take(500, 0)
	if !ok || long.Instance == short.Instance {
		t.Errorf("the long request goes to %q beside the short one at %q", long.Instance, short.Instance)
	}
	if p.Has(500, 0) {
		t.Error("a second long request is granted where a short one is under way")
	}
}

// Guards against an instance that is asked again at once after it failed, and
// against one that is never asked again.
func TestFailedInstancePauses(t *testing.T) {
	p := poolOf(1)
	g, _ := p.Take(10, 1000)
	p.Failed(g, 1100)
	if p.Has(10, 1100+failPauseMS-1) {
		t.Error("the instance is asked within its pause")
	}
	if !p.Has(10, 1100+failPauseMS) {
		t.Error("the instance is not asked after its pause")
	}
}

// Guards against an instance that counts as free while a request is under way
// because the list of instances was made anew, and against an answer that
// comes for an instance that has left.
func TestInstancesComeAndGo(t *testing.T) {
	p := poolOf(2)
	grants := takeAll(t, p, 500, 0)
	p.SetInstances(addresses(3))
	if more := takeAll(t, p, 500, 0); len(more) != 1 {
		t.Errorf("%d long requests are granted after an instance came, want 1", len(more))
	}
	p.SetInstances(nil)
	p.Answered(grants[0], 600)
	if p.Has(1, 600) {
		t.Error("a pool without instances gives a grant")
	}
	p.SetInstances([]string{"a", "a", "b"})
	if len(p.instances) != 2 {
		t.Errorf("%d instances are known, want each address once", len(p.instances))
	}
}
