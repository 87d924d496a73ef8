package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
	"auburnpier/internal/standin/cellworker"
)

// awaitStarts waits until n runs have started and returns how long that took.
func (c *cellTest) awaitStarts(n int, within time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	for c.fleet.Starts() < n {
		if time.Since(start) > within {
			c.t.Fatalf("%d of %d starts within %v", c.fleet.Starts(), n, within)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// faultyVMs replaces the list of VMs.
type faultyVMs struct {
	*cellworker.Fleet
	list func(context.Context) ([]waves.VM, error)
}

func (f *faultyVMs) VMs(ctx context.Context) ([]waves.VM, error) { return f.list(ctx) }

// Guards against tasks of a crashed worker that wait for its lease to expire although the platform's
// list of VMs proves that its process has terminated, and against a worker that refuses connections or
// is silent whose tasks are started again while they may still be running: a partition refuses
// connections, too, and a list that is unavailable, foreign or without the worker only once proves nothing.
func TestCrashedAndUnresponsiveWorkers(t *testing.T) {
	const lease = 2 * time.Second
	run := func(t *testing.T, list func(*cellworker.Fleet) ([]waves.VM, error), fail func(*cellTest, domain.WorkerID), least, most time.Duration) {
		c := newFleetTest(t, 2, time.Minute)
		if list != nil {
			c.vms = &faultyVMs{c.fleet, func(context.Context) ([]waves.VM, error) { return list(c.fleet) }}
		}
		cell := c.start("a").awaitOwned(t)
		c.fleet.Lasting("j")
		if r := c.submit(cell, "j", 4); !r.Accepted {
			t.Fatalf("submission: %+v", r)
		}
		c.awaitStarts(4, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		victim := c.ids[0]
		if c.fleet.Running(victim) == 0 {
			victim = c.ids[1]
		}
		running := c.fleet.Running(victim)
		fail(c, victim)
		if took := c.awaitStarts(4+running, 2*lease); took < least || took > most {
			t.Errorf("the tasks were started again after %v, want %v to %v", took, least, most)
		}
		c.checkFaults()
	}
	crash := func(c *cellTest, id domain.WorkerID) { c.fleet.Crash(id) }
	cut := func(c *cellTest, id domain.WorkerID) { c.fleet.Cut(id, true) }
	refuse := func(c *cellTest, id domain.WorkerID) { c.fleet.Refuse(id) }
	var missedOnce atomic.Bool
	for name, tc := range map[string]struct {
		list        func(*cellworker.Fleet) ([]waves.VM, error)
		fail        func(*cellTest, domain.WorkerID)
		least, most time.Duration
	}{
		"crashed":                         {nil, crash, 0, lease / 2},
		"silent":                          {nil, cut, lease / 2, 2 * lease},
		"refuses connections":             {nil, refuse, lease / 2, 2 * lease},
		"refuses, VM service unavailable": {func(*cellworker.Fleet) ([]waves.VM, error) { return nil, errRelayFailed }, refuse, lease / 2, 2 * lease},
		"refuses, list names no worker":   {func(*cellworker.Fleet) ([]waves.VM, error) { return []waves.VM{{ID: "other"}}, nil }, refuse, lease / 2, 2 * lease},
		"refuses, missing in one list": {func(f *cellworker.Fleet) ([]waves.VM, error) {
			list, err := f.VMs(t.Context())
			if missedOnce.CompareAndSwap(false, true) {
				list = list[:1]
			}
			return list, err
		}, refuse, lease / 2, 2 * lease},
	} {
		t.Run(name, func(t *testing.T) { run(t, tc.list, tc.fail, tc.least, tc.most) })
	}
}

// Guards against recovered jobs that wait for workers which terminated before the takeover and are
// no longer in the registry: in a large fleet they waited 7.8 s for 28 such workers.
func TestSuccessorPollsTerminatedWorkers(t *testing.T) {
	const formerLease = 2600 * time.Millisecond
	c := newFleetTest(t, 4, time.Minute)
	first := c.start("a")
	cell := first.awaitOwned(t)
	c.fleet.Lasting("j")
	if r := c.submit(cell, "j", 8); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	c.awaitStarts(8, 5*time.Second)
	time.Sleep(100 * time.Millisecond)
	running := 0
	for _, id := range c.ids {
		if n := c.fleet.Running(id); n > 0 {
			running = n
			c.fleet.Crash(id)
			c.removed = append(c.removed, id)
			break
		}
	}
	first.stop()
	<-first.done
	c.start("b").awaitOwned(t)
	if took := c.awaitStarts(8+running, 2*formerLease); took > formerLease/2 {
		t.Errorf("the tasks of the terminated worker were started again after %v", took)
	}
	c.checkFaults()
}

// Guards against a recovery that fails on a set of workers stored by an earlier version.
func TestDecodeMembersOfEarlierVersion(t *testing.T) {
	members, err := decodeMembers([]byte{0x82, 0x62, 'w', '1', 0x62, 'w', '2'})
	if err != nil || len(members) != 2 || members[1] != (jobs.Member{ID: "w2"}) {
		t.Errorf("members are %+v, error %v", members, err)
	}
	if _, err := decodeMembers([]byte{0x01}); err == nil {
		t.Error("a number was decoded as a set of workers")
	}
}
