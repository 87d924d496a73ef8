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

// Guards against short requests that pile up at the service, where they cannot
// give way to a more urgent one, and against a service that is left idle.
func TestShortRequestsKeepTheServiceBusy(t *testing.T) {
	for _, transitMS := range []int64{2, 60, 400} {
		p := poolOf(1)
		now := int64(0)
		for range 50 {
			g, ok := p.Take(10, now)
			if !ok {
				t.Fatal("an idle instance gives no grant")
			}
			now += transitMS + 10
			p.Answered(g, now)
		}
		work := 10 * len(takeAll(t, p, 10, now))
		least, most := min(int(transitMS), maxWindowMS), min(int(transitMS)+windowSlackMS, maxWindowMS)+10
		if work < least || work > most {
			t.Errorf("with %d ms of way %d ms of work are under way, want %d to %d", transitMS, work, least, most)
		}
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
