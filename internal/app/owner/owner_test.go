package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/cellworker"
	"auburnpier/internal/standin/leasestore"
	"auburnpier/internal/steady"
)

// livesRegistry lists workers that change only by restarting. It lists each life with the next heartbeat.
type livesRegistry struct {
	workers []jobs.WorkerInfo
	fleet   *cellworker.Fleet
}

// restartHeartbeat is the time between two checks of whether workers have restarted.
const restartHeartbeat = 20 * time.Millisecond

func (r livesRegistry) Workers(context.Context) ([]jobs.WorkerInfo, int, int64, error) {
	list := slices.Clone(r.workers)
	for i := range list {
		list[i].StartedMS = r.fleet.Born(list[i].ID)
	}
	return list, 0, r.revision(), nil
}

// revision rises with each life.
func (r livesRegistry) revision() (sum int64) {
	for _, w := range r.workers {
		sum += r.fleet.Born(w.ID)
	}
	return sum
}

func (r livesRegistry) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	for deadline := time.Now().Add(wait); r.revision() == after && ctx.Err() == nil && time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
		case <-time.After(min(restartHeartbeat, time.Until(deadline))):
		}
	}
	if r.revision() == after {
		return port.RegistryChanges{Revision: after}, nil
	}
	list, _, revision, err := r.Workers(ctx)
	return port.RegistryChanges{Updated: list, Revision: revision}, err
}

// fixedRegistry lists workers that never change.
type fixedRegistry []jobs.WorkerInfo

func (r fixedRegistry) Workers(context.Context) ([]jobs.WorkerInfo, int, int64, error) {
	return r, 0, 1, nil
}

func (r fixedRegistry) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return port.RegistryChanges{Revision: after}, nil
}

type noPeers struct{}

func (noPeers) Approver(port.InstanceInfo) port.Approver      { return nil }
func (noPeers) Workers(port.InstanceInfo) port.WorkerRelay    { return nil }
func (noPeers) Registry(port.InstanceInfo) port.WorkerChanges { return nil }

type cellTest struct {
	t       *testing.T
	store   *leasestore.Store
	fleet   *cellworker.Fleet
	ids     []domain.WorkerID
	queue   jobs.Queue
	runTime time.Duration

	workers       port.WorkerClient
	registry      port.WorkerRegistry
	claimStore    port.LeaseStore
	peers         PeerClients
	vms           port.VMFleet
	waves         port.WaveSource
	directWorkers int
	claimTTL      time.Duration
	// memoryBytes is the memory of the VMs of instances started from now on. Zero means no bound.
	memoryBytes int64
	features    jobs.Features
	probe       func(context.Context, string) error
	// evacuated are the zones that operators have evacuated. configAge is the age of that knowledge.
	evacuated []domain.ZoneID
	configAge atomic.Int64
	// nowMS replaces the steady clock of instances started from now on, unless it is nil.
	nowMS func() int64
	// removed are workers that the registry does not list to instances started from now on.
	removed []domain.WorkerID
}

// inVirtualTime runs f in a synctest bubble.
func inVirtualTime(t *testing.T, f func(*testing.T)) {
	t.Helper()
	// The first timer starts a goroutine that never ends, which a bubble would wait for.
	metrics.New().Timer("first")
	synctest.Test(t, f)
}

// virtualMS is the steady clock of tests that run in a synctest bubble. A stall of the test's process,
// which exceeded the claim's time to live on a loaded machine, takes no virtual time.
func virtualMS() int64 { return time.Now().UnixMilli() }

// newVirtualTest is newFleetTest for tests that run in a synctest bubble.
func newVirtualTest(t *testing.T, workers int, runTime time.Duration) *cellTest {
	c := newFleetTest(t, workers, runTime)
	c.nowMS = virtualMS
	return c
}

func newCellTest(t *testing.T, runTime time.Duration) *cellTest { return newFleetTest(t, 4, runTime) }

func newFleetTest(t *testing.T, workers int, runTime time.Duration) *cellTest {
	c := &cellTest{t: t, store: leasestore.New(), runTime: runTime,
		queue: jobs.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000}}
	for i := range workers {
		c.ids = append(c.ids, domain.WorkerID(fmt.Sprintf("w%d", i)))
	}
	c.fleet = cellworker.New(runTime, c.ids...)
	c.workers, c.peers, c.vms, c.directWorkers, c.claimTTL = c.fleet, noPeers{}, c.fleet, workers, 300*time.Millisecond
	return c
}

// instance is a process that campaigns for the cell.
type instance struct {
	stop    context.CancelFunc
	done    chan struct{}
	changes chan Ownership
	cell    *Cell
	owner   *Owner
}

// listed returns the workers that the registry lists.
func (c *cellTest) listed() fixedRegistry {
	var fixed fixedRegistry
	for _, id := range c.ids {
		if slices.Contains(c.removed, id) {
			continue
		}
		fixed = append(fixed, jobs.WorkerInfo{ID: id, Address: "10.0.0.1:1", Service: "svc", Zone: "z", StartedMS: 1,
			Capacity: domain.Resources{CPUMilli: 4000, MemoryMB: 4000}})
	}
	return fixed
}

func (c *cellTest) start(name string) *instance {
	var store port.LeaseStore = c.store
	if c.claimStore != nil {
		store = c.claimStore
	}
	registry := c.registry
	if registry == nil {
		registry = livesRegistry{c.listed(), c.fleet}
	}
	o := New(Options{Instance: domain.InstanceID(name), Address: name, ClaimTTL: c.claimTTL,
		MaxDirectWorkers: c.directWorkers, HolderLeaseMS: 300, ClaimDelay: func() time.Duration { return 0 }, UnconfirmedGrace: 400 * time.Millisecond,
		ConfigAge: func() time.Duration { return time.Duration(c.configAge.Load()) }, MaxConfigAge: time.Second,
		Jobs: jobs.Config{LeaseMS: 2000, MaxLeaseMS: c.fleet.MaxLease.Milliseconds(), FormerLeaseMS: 2600, StartLimitMS: 400, GangWaitMS: 1000, StopMS: 100,
			RetentionMS: 60_000, OffRackFactor: 2, MemoryBytes: c.memoryBytes, Features: c.features}},
		Ports{Store: store, Workers: c.workers, Registry: registry, Peers: c.peers, VMs: c.vms, Waves: c.waves, Probe: c.probe}, zap.NewNop(), metrics.New())
	if c.nowMS != nil {
		o.nowMS = c.nowMS
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{owner: o, stop: stop, done: make(chan struct{}), changes: make(chan Ownership, 64)}
	config := &port.CellConfig{Version: 1, EvacuatedZones: c.evacuated, Routes: []port.QueueRoute{{Queue: c.queue}}}
	go func() {
		defer close(i.done)
		o.Campaign(ctx, func() *port.CellConfig { return config }, func(ownership Ownership) { i.changes <- ownership })
	}()
	c.t.Cleanup(func() { i.stop(); <-i.done })
	return i
}

// awaitOwned waits until the instance owns the cell.
func (i *instance) awaitOwned(t *testing.T) *Cell {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case s := <-i.changes:
			if s.Local != nil {
				i.cell = s.Local
				return s.Local
			}
		case <-deadline:
			t.Fatal("the instance does not own the cell after 10 s")
		}
	}
}

func (c *cellTest) spec(tasks int) jobs.Spec {
	return jobs.Spec{Steps: []jobs.StepSpec{{Tasks: tasks, Need: domain.Resources{CPUMilli: 500, MemoryMB: 100}, EstimateMS: c.runTime.Milliseconds()}}}
}

func (c *cellTest) submit(cell *Cell, id string, tasks int) port.SubmitReply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := cell.Submit(ctx, port.SubmitRequest{Job: domain.JobID(id), Queue: c.queue, Team: "team", Spec: c.spec(tasks)})
	if err != nil {
		c.t.Errorf("submission of %s: %v", id, err)
	}
	return r
}

// awaitCompleted waits until the current term of the instance reports the job as completed.
func (c *cellTest) awaitCompleted(i *instance, id string) {
	c.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case s := <-i.changes:
			if s.Local != nil {
				i.cell = s.Local
			}
		default:
		}
		r, err := i.cell.State(context.Background(), port.JobRequest{Job: domain.JobID(id), Team: "team"})
		if err == nil && r.Found && r.State == jobs.Completed {
			return
		}
	}
	c.t.Fatalf("job %s is not completed after 15 s", id)
}

func (c *cellTest) checkFaults() {
	c.t.Helper()
	for _, f := range c.fleet.Faults() {
		c.t.Error(f)
	}
}

// Guards against a job that is not completed, or whose tasks run more than once.
func TestJobRunsOnce(t *testing.T) {
	c := newCellTest(t, 50*time.Millisecond)
	i := c.start("a")
	cell := i.awaitOwned(t)
	if r := c.submit(cell, "j1", 8); !r.Accepted {
		t.Fatalf("submission was answered with %+v", r)
	}
	c.awaitCompleted(i, "j1")
	if r := c.submit(cell, "j1", 8); !r.Accepted {
		t.Fatalf("the same submission again was answered with %+v", r)
	}
	if n := c.fleet.Starts(); n != 8 {
		t.Errorf("%d starts for 8 tasks", n)
	}
	c.checkFaults()
}

// Guards against work that is lost, repeated or forgotten when the owner ends, either gracefully or
// without notice.
func TestJobSurvivesOwnerChange(t *testing.T) {
	for name, graceful := range map[string]bool{"graceful": true, "abrupt": false} {
		t.Run(name, func(t *testing.T) {
			c := newCellTest(t, 700*time.Millisecond)
			a := c.start("a")
			first := a.awaitOwned(t)
			b := c.start("b")
			c.submit(first, "j1", 8)
			time.Sleep(100 * time.Millisecond)
			if graceful {
				a.stop()
			} else {
				first.cancel()
				a.stop()
			}
			b.awaitOwned(t)
			c.awaitCompleted(b, "j1")
			if n := c.fleet.Starts(); n != 8 {
				t.Errorf("%d starts for 8 tasks, the successor should have adopted the running tasks", n)
			}
			c.checkFaults()
		})
	}
}

// Guards against a second run of a task whose worker the successor cannot reach while the worker's
// lease may still be valid.
func TestSuccessorWaitsForUnreachableWorker(t *testing.T) {
	c := newCellTest(t, 500*time.Millisecond)
	a := c.start("a")
	first := a.awaitOwned(t)
	b := c.start("b")
	c.submit(first, "j1", 8)
	time.Sleep(100 * time.Millisecond)
	for _, id := range c.ids[:2] {
		c.fleet.Cut(id, true)
	}
	first.cancel()
	a.stop()
	b.awaitOwned(t)
	time.Sleep(4 * time.Second)
	for _, id := range c.ids[:2] {
		c.fleet.Cut(id, false)
	}
	c.awaitCompleted(b, "j1")
	c.checkFaults()
}

// Guards against lost or repeated jobs under each fault of the store and with lost worker replies.
func TestStoreFaults(t *testing.T) {
	for name, fault := range map[string]leasestore.Fault{"answers lost": leasestore.AnswerLost, "late writes": leasestore.Late, "down": leasestore.Down} {
		t.Run(name, func(t *testing.T) {
			c := newCellTest(t, 60*time.Millisecond)
			c.fleet.LoseEvery(4)
			i := c.start("a")
			cell := i.awaitOwned(t)
			c.submit(cell, "before", 6)
			c.store.SetFault(fault)
			replies := make(chan port.SubmitReply, 1)
			go func() { replies <- c.submit(cell, "meanwhile", 6) }()
			time.Sleep(250 * time.Millisecond)
			c.store.SetFault(leasestore.None)
			r := <-replies
			if !r.Accepted && !r.OutcomeUnknown && r.Reason == "" {
				t.Errorf("the submission during the fault has no definite reply: %+v", r)
			}
			c.awaitCompleted(i, "before")
			if r.Accepted {
				c.awaitCompleted(i, "meanwhile")
			}
			c.checkFaults()
		})
	}
}

// startBeforeOutage returns an owner that has completed a job, and whose store is down.
func startBeforeOutage(t *testing.T) (*cellTest, *instance, *Cell) {
	t.Helper()
	c := newCellTest(t, 50*time.Millisecond)
	i := c.start("a")
	cell := i.awaitOwned(t)
	c.submit(cell, "before", 1)
	c.awaitCompleted(i, "before")
	c.store.SetFault(leasestore.Down)
	return c, i, cell
}

// checkRefused submits a job, and checks that it is refused with a retry time within the bound.
func (c *cellTest) checkRefused(cell *Cell, id string, bound time.Duration) {
	c.t.Helper()
	start := time.Now()
	r := c.submit(cell, id, 1)
	if r.Accepted || r.OutcomeUnknown || r.RetryAfterMS == 0 {
		c.t.Errorf("%s: the submission while the store is down is answered with %+v, want a refusal with a retry time", id, r)
	}
	if took := time.Since(start); took > bound {
		c.t.Errorf("%s: the refusal took %v, want at most %v", id, took, bound)
	}
}

// Guards against a submission that waits for an unavailable store although the caller could be told
// that the job has not run.
func TestSubmissionRefusedWhileStoreIsDown(t *testing.T) {
	c, _, cell := startBeforeOutage(t)
	for n := range writeChains {
		go c.submit(cell, fmt.Sprintf("taken%d", n), 1)
		time.Sleep(2 * partialWriteInterval)
	}
	c.checkRefused(cell, "late", 2*time.Second)
	c.store.SetFault(leasestore.None)
}

// Guards against a submission whose write the store rejects and that is held until its deadline and
// answered with an unknown outcome, although the job has not run.
func TestRejectedWriteRefusesSubmission(t *testing.T) {
	c, i, cell := startBeforeOutage(t)
	for _, id := range []string{"first", "second"} {
		c.checkRefused(cell, id, 2*storeDownAfter)
	}
	c.store.SetFault(leasestore.None)
	// The claim has expired in the meantime.
	next := i.awaitOwned(t)
	if r, err := next.State(context.Background(), port.JobRequest{Job: "first", Team: "team"}); err != nil || r.Found {
		t.Errorf("a refused job is reported as %+v, %v once the store is available again", r, err)
	}
	if r := c.submit(next, "first", 1); !r.Accepted {
		t.Errorf("the refused job is answered with %+v when it is submitted again", r)
	}
	c.awaitCompleted(i, "first")
	c.checkFaults()
}

// Guards against an accepted job that an open queue does not show to callers without a key once the key of its
// team is withdrawn, against one of another queue that is shown to them, and against an owner that takes over
// and does not know the queue of a job that has ended.
func TestOpenQueueShowsJobsOfAllTeams(t *testing.T) {
	c := newCellTest(t, 100*time.Millisecond)
	first := c.start("a")
	cell := first.awaitOwned(t)
	check := func(when string, cell *Cell) {
		t.Helper()
		for _, tc := range []struct {
			team  domain.TeamID
			open  domain.QueueID
			found bool
		}{{"team", "", true}, {"team", "q", true}, {"", "q", true}, {"", "", false}, {"other", "", false}, {"", "another", false}} {
			r, err := cell.State(t.Context(), port.JobRequest{Job: "job", Team: tc.team, OpenQueue: tc.open})
			if err != nil || r.Found != tc.found {
				t.Errorf("%s, team %q, open queue %q: found %v, error %v, want found %v", when, tc.team, tc.open, r.Found, err, tc.found)
			}
		}
	}
	if r := c.submit(cell, "job", 1); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	check("while the job runs", cell)
	c.awaitCompleted(first, "job")
	first.stop()
	<-first.done
	check("after a change of the owner", c.start("b").awaitOwned(t))
}

// Guards against a caller that is told that its job does not run although the job is stored: its first
// submission got no answer, and an owner whose claim was not confirmed at that moment refused the second
// without looking the job up.
func TestStoredJobIsNotRefusedWhileClaimIsUnconfirmed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newVirtualTest(t, 4, time.Minute)
		cell := c.start("a").awaitOwned(t)
		if r := c.submit(cell, "stored", 1); !r.Accepted {
			t.Fatalf("submission: %+v", r)
		}
		cell.unconfirmClaim()
		if r := c.submit(cell, "stored", 1); !r.Accepted {
			t.Errorf("the second submission of a stored job is answered with %+v, want accepted", r)
		}
		cell.unconfirmClaim()
		if r := c.submit(cell, "new", 1); r.Accepted || r.RetryAfterMS == 0 {
			t.Errorf("a new job is answered with %+v while the claim is not confirmed, want a refusal with a retry time", r)
		}
	})
}

// unconfirmClaim lets the claim count as unconfirmed until it is renewed, which takes virtual time.
func (c *Cell) unconfirmClaim() {
	synctest.Wait()
	c.confirmedUntilMS.Store(0)
}

// Guards against answers of an owner that has lost its claim without knowing it, and does not know what its successor
// has accepted: a job that is not known, or too few that wait.
func TestUnconfirmedOwnerAnswersNoQuestions(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newVirtualTest(t, 4, time.Minute)
		cell := c.start("a").awaitOwned(t)
		request := port.JobRequest{Job: "accepted by the successor", Team: "team"}
		for name, ask := range map[string]func() error{
			"state":   func() error { _, err := cell.State(t.Context(), request); return err },
			"cancel":  func() error { _, err := cell.Cancel(t.Context(), request); return err },
			"waiting": func() error { _, err := cell.WaitingJobs(t.Context(), "q"); return err },
		} {
			if err := ask(); err != nil {
				t.Errorf("%s: %v while the claim is confirmed", name, err)
			}
			cell.unconfirmClaim()
			var notOwner *port.NotOwnerError
			if err := ask(); !errors.As(err, &notOwner) {
				t.Errorf("%s: error %v while the claim is not confirmed, want *port.NotOwnerError", name, err)
			}
			cell.extendConfirmed(virtualMS() + 1000)
		}
	})
}

// Guards against a job that is shown as completed before this is stored: the workers that list the ends
// may terminate while the store is down, and the next owner runs the tasks again. Guards, too, against a
// completion that is withheld longer than the store is down.
func TestCompletionIsShownOnceStored(t *testing.T) {
	for name, lose := range map[string]bool{"workers stay": false, "workers terminate": true} {
		t.Run(name, func(t *testing.T) {
			c := newCellTest(t, 300*time.Millisecond)
			i := c.start("a")
			cell := i.awaitOwned(t)
			c.submit(cell, "job", 2)
			c.store.SetFault(leasestore.Down)
			defer c.store.SetFault(leasestore.None)
			for start := time.Now(); time.Since(start) < 1200*time.Millisecond; time.Sleep(10 * time.Millisecond) {
				r, err := cell.State(context.Background(), port.JobRequest{Job: "job", Team: "team"})
				if err == nil && r.State == jobs.Completed {
					t.Fatalf("the job is shown as completed %v after the store went down", time.Since(start))
				}
			}
			if lose {
				for _, id := range c.ids {
					c.fleet.Restart(id)
				}
			}
			c.store.SetFault(leasestore.None)
			back := time.Now()
			c.awaitCompleted(i, "job")
			// A term that ended meanwhile is followed by a claim and a recovery, and lost tasks run again.
			const bound = 3 * time.Second
			if took := time.Since(back); took > bound {
				t.Errorf("the job is shown as completed %v after the store is back, want at most %v", took, bound)
			}
			c.checkFaults()
		})
	}
}

// Guards against a handover that waits for a moment without changes, which never comes under load.
func TestResignUnderLoad(t *testing.T) {
	c := newCellTest(t, 100*time.Millisecond)
	a := c.start("a")
	first := a.awaitOwned(t)
	b := c.start("b")
	c.store.SetFault(leasestore.Slow)
	// More than two seconds of work, so that tasks start and end throughout.
	for k := range 8 {
		c.submit(first, fmt.Sprintf("load%d", k), 100)
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	a.stop()
	b.awaitOwned(t)
	if took := time.Since(start); took > resignTimeout/2 {
		t.Errorf("the handover under load took %v, want at most %v", took, resignTimeout/2)
	}
	c.checkFaults()
}

// Guards against a caller that is told "unknown" or "overloaded" during a handover although the job
// has certainly not run and the next owner can accept it immediately.
func TestSubmissionsDuringHandover(t *testing.T) {
	for name, end := range map[string]func(*Cell){"graceful": (*Cell).Resign, "abrupt": func(c *Cell) { c.endTerm("test") }} {
		t.Run(name, func(t *testing.T) {
			c := newCellTest(t, 50*time.Millisecond)
			i := c.start("a")
			cell := i.awaitOwned(t)
			// Block the loop, so that submissions are queued when the term ends.
			release, blocked := make(chan struct{}), make(chan struct{})
			cell.post(func() { close(blocked); <-release })
			<-blocked
			type outcome struct {
				reply port.SubmitReply
				err   error
			}
			const submissions = 200
			outcomes := make(chan outcome, submissions)
			end(cell)
			for n := range submissions {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					r, err := cell.Submit(ctx, port.SubmitRequest{Job: domain.JobID(fmt.Sprintf("j%d", n)), Queue: c.queue, Team: "team", Spec: c.spec(1)})
					outcomes <- outcome{r, err}
				}()
			}
			time.Sleep(50 * time.Millisecond)
			close(release)
			for range submissions {
				o := <-outcomes
				var notOwner *port.NotOwnerError
				if !errors.As(o.err, &notOwner) {
					t.Fatalf("a submission that has not run was answered with %+v and error %v, want a *port.NotOwnerError", o.reply, o.err)
				}
			}
		})
	}
}

// Guards against a submission that is answered with "unknown" because the term ended before the
// loop had answered the calls whose outcome it knows.
func TestEndOfTermAnswersPendingCalls(t *testing.T) {
	for range 20 {
		c := newCellTest(t, 50*time.Millisecond)
		i := c.start("a")
		cell := i.awaitOwned(t)
		release, blocked := make(chan struct{}), make(chan struct{})
		errs := make(chan error, 1)
		replies := make(chan port.SubmitReply, 1)
		cell.post(func() {
			close(blocked)
			<-release
			cell.lastWriteMS = steady.NowMS() + time.Hour.Milliseconds()
		})
		<-blocked
		go func() {
			r, err := cell.Submit(context.Background(), port.SubmitRequest{Job: "j", Queue: c.queue, Team: "team", Spec: c.spec(1)})
			replies <- r
			errs <- err
		}()
		time.Sleep(5 * time.Millisecond)
		close(release)
		time.Sleep(5 * time.Millisecond)
		cell.endTerm("test")
		r, err := <-replies, <-errs
		var notOwner *port.NotOwnerError
		if !errors.As(err, &notOwner) {
			t.Fatalf("a submission that is part of no write was answered with %+v and error %v, want a *port.NotOwnerError", r, err)
		}
		i.stop()
	}
}
