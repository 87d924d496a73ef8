package owner

import (
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
)

// started waits until so many runs have begun and returns how long that took.
func (c *cellTest) started(n int, within time.Duration) time.Duration {
	c.t.Helper()
	begun := time.Now()
	for c.fleet.Starts() < n {
		if time.Since(begun) > within {
			c.t.Fatalf("%d of %d starts within %v", c.fleet.Starts(), n, within)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// Guards against tasks of a crashed worker that wait until its lease has
// lapsed although its process is certainly gone, and against a silent worker
// whose tasks are started again while they may still run.
func TestCrashedAndSilentWorkers(t *testing.T) {
	const lease = 2 * time.Second
	run := func(t *testing.T, fail func(*cellTest, domain.WorkerID), least, most time.Duration) {
		c := newFleetTest(t, 2, time.Minute)
		cell := c.start("a").owned(t)
		c.fleet.Lasting("j")
		if r := c.submit(cell, "j", 4); !r.Accepted {
			t.Fatalf("submission: %+v", r)
		}
		c.started(4, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		victim := c.ids[0]
		if c.fleet.Running(victim) == 0 {
			victim = c.ids[1]
		}
		running := c.fleet.Running(victim)
		fail(c, victim)
		if took := c.started(4+running, 2*lease); took < least || took > most {
			t.Errorf("the tasks were started again after %v, want %v to %v", took, least, most)
		}
		c.check()
	}
	t.Run("crashed", func(t *testing.T) {
		run(t, func(c *cellTest, id domain.WorkerID) { c.fleet.Crash(id) }, 0, lease/2)
	})
	t.Run("silent", func(t *testing.T) {
		run(t, func(c *cellTest, id domain.WorkerID) { c.fleet.Cut(id, true) }, lease/2, 2*lease)
	})
}

// Guards against a successor whose recovered jobs wait for workers that left
// before the takeover and that the registry does not list any more: on a day
// of the large site they waited 7.8 s for 28 of them.
func TestSuccessorAsksWorkersThatLeft(t *testing.T) {
	const formerLease = 2600 * time.Millisecond
	c := newFleetTest(t, 4, time.Minute)
	first := c.start("a")
	cell := first.owned(t)
	c.fleet.Lasting("j")
	if r := c.submit(cell, "j", 8); !r.Accepted {
		t.Fatalf("submission: %+v", r)
	}
	c.started(8, 5*time.Second)
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
	c.start("b").owned(t)
	if took := c.started(8+running, 2*formerLease); took > formerLease/2 {
		t.Errorf("the tasks of the worker that left were started after %v", took)
	}
	c.check()
}

// Guards against a stored set of workers of an earlier version that stops the recovery.
func TestMembersOfEarlierVersion(t *testing.T) {
	members, err := decodeMembers([]byte{0x82, 0x62, 'w', '1', 0x62, 'w', '2'})
	if err != nil || len(members) != 2 || members[1] != (jobs.Member{ID: "w2"}) {
		t.Errorf("members are %+v, error %v", members, err)
	}
	if _, err := decodeMembers([]byte{0x01}); err == nil {
		t.Error("a number was read as a set of workers")
	}
}
