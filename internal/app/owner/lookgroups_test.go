package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/workerfeed"
	"auburnpier/internal/app/workerrelay"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// relayFault is what goes wrong at an instance that looks for the owner.
type relayFault int

const (
	relayWorks relayFault = iota
	// relayDead refuses calls.
	relayDead
	// relaySilent never answers.
	relaySilent
	// relayCut reaches no worker.
	relayCut
	// relayBreaks ends after the first answers.
	relayBreaks
)

// fakePeers are instances that look at the workers of a fleet.
type fakePeers struct {
	workers port.WorkerClient
	// registry is what the instances read for the owner.
	registry *feedRegistry
	mu       sync.Mutex
	faults   map[domain.InstanceID]relayFault
}

func (p *fakePeers) Approver(port.InstanceInfo) port.Approver { return nil }

func (p *fakePeers) Workers(h port.InstanceInfo) port.WorkerRelay { return &fakeRelay{p, h.Instance} }

func (p *fakePeers) Registry(h port.InstanceInfo) port.WorkerChanges {
	if p.registry == nil {
		return fixedRegistry{}
	}
	return &fakeFeed{p, h.Instance, workerfeed.NewRelay(context.Background(), p.registry.at(string(h.Instance)), metrics.New())}
}

func (p *fakePeers) fault(id domain.InstanceID) relayFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[id]
}

func (p *fakePeers) set(id domain.InstanceID, f relayFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[id] = f
}

type fakeRelay struct {
	peers *fakePeers
	id    domain.InstanceID
}

var errRelay = errors.New("the instance of the test fails")

func (r *fakeRelay) PollWorkers(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	relay := workerrelay.New(r.peers.workers, zap.NewNop(), metrics.New())
	return r.play(ctx, len(looks), func(n int) error { return relay.PollWorkers(ctx, looks[:n], deliver) }, func() {
		var batch []port.RelayedPollResult
		for _, l := range looks {
			batch = append(batch, port.RelayedPollResult{Worker: l.Worker, Failure: "no way to the worker"})
		}
		deliver(batch)
	})
}

func (r *fakeRelay) SendOrders(ctx context.Context, batch port.OrderBatch, deliver func([]port.OrderResult)) error {
	relay := workerrelay.New(r.peers.workers, zap.NewNop(), metrics.New())
	orders := batch.Orders
	serve := func(n int) error {
		batch.Orders = orders[:n]
		return relay.SendOrders(ctx, batch, deliver)
	}
	return r.play(ctx, len(orders), serve, func() {
		var answers []port.OrderResult
		for i := range orders {
			answers = append(answers, port.OrderResult{Index: i, Start: jobs.StartUnanswered, Failure: "no way to the worker"})
		}
		deliver(answers)
	})
}

// play serves the first n calls of count, or tells that no worker is reached,
// by the fault of the instance.
func (r *fakeRelay) play(ctx context.Context, count int, serve func(n int) error, unreachable func()) error {
	switch r.peers.fault(r.id) {
	case relayWorks:
		return serve(count)
	case relaySilent:
		<-ctx.Done()
		return ctx.Err()
	case relayCut:
		unreachable()
		return nil
	case relayBreaks:
		if err := serve(count / 2); err != nil {
			return err
		}
	}
	return errRelay
}

// ownLooks counts the looks that the owner makes itself.
type ownLooks struct {
	port.WorkerClient
	count atomic.Int64
}

func (o *ownLooks) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	o.count.Add(1)
	return o.WorkerClient.Poll(ctx, id, address, r)
}

// greet keeps the instances known to the cell until the test ends.
func greet(t *testing.T, cell *Cell, instances int) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	hello := func() {
		for n := range instances {
			name := fmt.Sprintf("r%d", n)
			if _, err := cell.Announce(ctx, port.AnnounceRequest{Hello: port.InstanceInfo{Instance: domain.InstanceID(name), Address: name, CPUMilli: 400}}); err != nil {
				return
			}
		}
	}
	hello()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			hello()
		}
	}()
}

// Guards against an owner whose own calls grow with the fleet: at the size of
// the target it must hear of every worker each second without calling it.
func TestLooksAtTargetSize(t *testing.T) {
	const workers, instances = 1500, 30
	c := newFleetTest(t, workers, 100*time.Millisecond)
	own := &ownLooks{WorkerClient: c.fleet}
	c.workers = own
	c.directWorkers = 400
	c.peers = &fakePeers{workers: c.fleet, faults: make(map[domain.InstanceID]relayFault)}
	i := c.start("a")
	cell := i.owned(t)
	greet(t, cell, instances)
	time.Sleep(3 * time.Second)
	before := own.count.Load()
	const measured = 3 * time.Second
	time.Sleep(measured)
	if perSecond := float64(own.count.Load()-before) / measured.Seconds(); perSecond > workers/10 {
		t.Errorf("the owner makes %.0f looks/s itself at %d idle workers, want at most a tenth of the workers", perSecond, workers)
	}
	heard, err := callLoop(context.Background(), cell, func(reply func(int, error)) {
		reply(cell.machine.CountWorkers().Heard, nil)
	})
	if err != nil || heard < workers {
		t.Errorf("%d of %d workers have been heard of lately (error %v)", heard, workers, err)
	}
	before = own.count.Load()
	if r := c.submit(cell, "j1", 300); !r.Accepted {
		t.Fatalf("submission was answered with %+v", r)
	}
	c.completed(i, "j1")
	if extra := own.count.Load() - before; extra > 4*300 {
		t.Errorf("300 tasks took %d looks of the owner", extra)
	}
	c.check()
}

// Guards against tasks that are lost, run twice or wait when an instance that
// looks for the owner dies, falls silent, is cut from the workers, or breaks
// off in the middle of its answers.
func TestLookRelayFaults(t *testing.T) {
	for name, fault := range map[string]relayFault{"dead": relayDead, "silent": relaySilent, "cut": relayCut, "breaks": relayBreaks} {
		t.Run(name, func(t *testing.T) {
			c := newFleetTest(t, 40, 300*time.Millisecond)
			c.directWorkers = 10
			peers := &fakePeers{workers: c.fleet, faults: make(map[domain.InstanceID]relayFault)}
			c.peers = peers
			i := c.start("a")
			cell := i.owned(t)
			greet(t, cell, 3)
			time.Sleep(time.Second)
			c.submit(cell, "j1", 60)
			time.Sleep(100 * time.Millisecond)
			for n := range 3 {
				peers.set(domain.InstanceID(fmt.Sprintf("r%d", n)), fault)
			}
			c.completed(i, "j1")
			begun := time.Now()
			c.submit(cell, "j2", 60)
			c.completed(i, "j2")
			// A look is lost once and the worker's turn from here comes a cycle
			// later; a task that ends just after that is seen in the cycle after it.
			const margin = 500 * time.Millisecond
			bound := pollWait + relayMargin + 2*directPollCycle + c.runTime + margin
			if took := time.Since(begun); took > bound {
				t.Errorf("a job took %v beside instances that are %s, want at most %v", took, name, bound)
			}
			if n := c.fleet.Starts(); n != 120 {
				t.Errorf("%d starts for 120 tasks", n)
			}
			c.check()
		})
	}
}

// slowLooks are workers that take a while to answer, and counts the looks
// under way that extend no lease.
type slowLooks struct {
	port.WorkerClient
	takes         time.Duration
	probes, worst atomic.Int64
}

func (s *slowLooks) Poll(ctx context.Context, id domain.WorkerID, address string, r port.PollRequest) (jobs.WorkerReport, error) {
	if r.LimitClockMS == 0 {
		now := s.probes.Add(1)
		for worst := s.worst.Load(); now > worst && !s.worst.CompareAndSwap(worst, now); worst = s.worst.Load() {
		}
		time.Sleep(s.takes)
		s.probes.Add(-1)
	}
	return s.WorkerClient.Poll(ctx, id, address, r)
}

// Guards against an owner that looks at all workers of a large fleet at once
// after a takeover: with 3,000 workers each such look cost a connection, none
// was answered in time, and all were repeated.
func TestTakeoverOfLargeFleet(t *testing.T) {
	const workers = 1500
	c := newFleetTest(t, workers, 50*time.Millisecond)
	slow := &slowLooks{WorkerClient: c.fleet, takes: 20 * time.Millisecond}
	c.workers, c.directWorkers = slow, 400
	i := c.start("a")
	cell := i.owned(t)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		heard, err := callLoop(context.Background(), cell, func(reply func(int, error)) {
			reply(cell.machine.CountWorkers().Heard, nil)
		})
		if err == nil && heard == workers && c.fleet.Looked() == workers {
			break
		}
	}
	if n := c.fleet.Looked(); n < workers {
		t.Errorf("%d of %d workers were looked at within 5 s", n, workers)
	}
	if worst := slow.worst.Load(); worst > maxProbes {
		t.Errorf("%d looks at workers that had not answered were under way at once, want at most %d", worst, maxProbes)
	}
}

// Guards against looks that cross regions although the worker's zone has an
// instance, and against workers that nobody looks at since it has none.
func TestLookGroupsFollowZones(t *testing.T) {
	g := pollGroups{directLimit: 10, byHost: make(map[port.InstanceInfo]*pollGroup), byZone: make(map[domain.ZoneID][]*pollGroup)}
	hosts := []port.InstanceInfo{{Address: "own", Zone: "a", CPUMilli: 900}, {Address: "a1", Zone: "a", CPUMilli: 400}, {Address: "a2", Zone: "a", CPUMilli: 800},
		{Address: "b1", Zone: "b", CPUMilli: 200}}
	peers := &fakePeers{faults: make(map[domain.InstanceID]relayFault)}
	workers := map[domain.ZoneID]int{"a": workersPerRelay, "b": 2 * workersPerRelay, "c": 5}
	g.assign(workers, "own", hosts, peers.Workers, 0)
	for _, c := range []struct {
		zone domain.ZoneID
		want string
	}{{"a", "a2"}, {"b", "b1"}} {
		if got := g.groupFor(&pollState{zone: c.zone}); got == nil || got.host.Address != c.want {
			t.Errorf("workers of zone %s are looked at by %+v, want %s", c.zone, got, c.want)
		}
	}
	if g.groupFor(&pollState{zone: "c"}) == nil {
		t.Error("workers of a zone without an instance are looked at by none")
	}
	g.byHost[hosts[2]].pausedUntilMS = 10
	g.assign(workers, "own", hosts, peers.Workers, 5)
	if got := g.groupFor(&pollState{zone: "a"}); got == nil || got.host.Address != "a1" {
		t.Errorf("while a2 is paused, its workers are looked at by %+v, want a1", got)
	}
	g.assign(map[domain.ZoneID]int{"a": 10}, "own", hosts, peers.Workers, 5)
	if g.groupFor(&pollState{zone: "a"}) != nil {
		t.Error("a small fleet is looked at through other instances")
	}
}
