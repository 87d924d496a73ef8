package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"

	"github.com/cockroachdb/errors"
)

func sleepJob(name string, tasks int, d time.Duration, idempotent bool) domain.JobSpec {
	return domain.JobSpec{
		Name: name, Kind: domain.JobBatch, Tasks: tasks, Idempotent: idempotent,
		Resources: domain.Resources{CPUMilli: 500, MemoryMB: 500},
		Command:   []string{"sleep", d.String()},
	}
}

// submitMany submits n jobs of two tasks each that are not idempotent.
func (c *cell) submitMany(n int, d time.Duration) []domain.JobStatus {
	c.t.Helper()
	var jobs []domain.JobStatus
	for i := range n {
		jobs = append(jobs, c.submit(sleepJob(fmt.Sprintf("job-%d", i), 2, d, false)))
	}
	return jobs
}

func (c *cell) awaitAll(bound time.Duration, jobs []domain.JobStatus) {
	c.t.Helper()
	for _, j := range jobs {
		c.awaitState(bound, j.ID, domain.JobSucceeded)
	}
}

// Guards against accepted work that is lost or started twice when the owner of
// its partition dies while tasks run and wait.
func TestOwnerIsKilled(t *testing.T) {
	c := startCell(t, 3)
	jobs := c.submitMany(12, 4*time.Second)
	c.kill(c.owner())
	more := c.submitMany(4, time.Second)
	jobs = append(jobs, more...)
	c.awaitAll(45*time.Second, jobs)
	c.checkWorkers(jobs, 1)
}

// Guards against a paused owner that goes on starting tasks, or whose tasks
// are started again elsewhere, after a successor has taken over.
func TestOwnerIsPaused(t *testing.T) {
	c := startCell(t, 3)
	jobs := c.submitMany(12, 6*time.Second)
	paused := c.owner()
	c.signal(paused, syscall.SIGSTOP)
	c.forget(paused)
	var successor *instance
	c.eventually(30*time.Second, "a successor owns the partition", func() error {
		successor = c.owner()
		if successor == paused {
			return errors.New("the paused instance is still the owner")
		}
		return nil
	})
	jobs = append(jobs, c.submitMany(4, time.Second)...)
	c.signal(paused, syscall.SIGCONT)
	t.Cleanup(func() { _ = paused.process.Process.Kill() })
	c.awaitAll(60*time.Second, jobs)
	c.checkWorkers(jobs, 1)
}

// Guards against state that only lives in the processes: all of them die, and
// fresh instances with new names continue from the store and the workers.
func TestAllInstancesAreReplaced(t *testing.T) {
	c := startCell(t, 3)
	jobs := c.submitMany(8, 5*time.Second)
	for _, i := range c.all() {
		c.kill(i)
	}
	for _, peer := range c.peers {
		c.start(peer)
	}
	for _, i := range c.all() {
		c.awaitReady(i)
	}
	c.awaitAll(60*time.Second, jobs)
	c.checkWorkers(jobs, 1)
}

// Guards against running work that depends on the store, against an accepted
// job that is not durable, and against a refusal that claims too much.
func TestStoreOutage(t *testing.T) {
	c := startCell(t, 3)
	jobs := c.submitMany(4, 12*time.Second)
	c.eventually(10*time.Second, "tasks run", func() error {
		status, err := c.job(jobs[3].ID)
		if err == nil && status.Running < 2 {
			err = errors.Newf("%d tasks run", status.Running)
		}
		return err
	})
	for _, i := range c.all() {
		i.store.cut.Store(true)
	}
	c.eventually(15*time.Second, "a submission is refused for the store", func() error {
		return c.refusedForStore()
	})
	for n := range 20 {
		body := fmt.Sprintf("during-outage-%d", n)
		answer, err := c.request(c.all()[n%3], c.team, "counting", body)
		if err != nil || answer != body {
			t.Errorf("request during the outage: answer %q, error %v", answer, err)
		}
	}
	time.Sleep(12 * time.Second)
	if answer, err := c.request(c.all()[0], c.team, "counting", "late-in-outage"); err != nil {
		t.Errorf("keyed request 12 s into an outage that all instances see: answer %q, error %v", answer, err)
	}
	for _, i := range c.all() {
		i.store.cut.Store(false)
	}
	c.awaitAll(30*time.Second, jobs)
	after := c.submitMany(1, 200*time.Millisecond)
	c.awaitAll(30*time.Second, after)
	c.checkWorkers(append(jobs, after...), 1)
}

// refusedForStore returns nil where a submission is refused as not run because
// the store is away.
func (c *cell) refusedForStore() error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	status, err := c.client(c.all()[0], c.team).Submit(ctx, sleepJob("outage", 1, time.Second, true))
	if err == nil {
		return errors.Newf("job %s was accepted", status.ID)
	}
	var refused *apiclient.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	if refused.Reason != refusal.StoreUnavailable || !refused.NotRun || refused.RetryAfter == 0 {
		return errors.Newf("refused as %s, not_run %v, retry after %s", refused.Reason, refused.NotRun, refused.RetryAfter)
	}
	return nil
}

// Guards against a fresh instance that finds nobody because every seed of its
// settings was replaced: the registry in the store leads it to the others.
func TestSeedsAreGone(t *testing.T) {
	c := startCell(t, 2)
	c.peers = []string{c.freeAddress()}
	fresh := c.start(c.freeAddress())
	c.awaitReady(fresh)
	c.eventually(15*time.Second, "the fresh instance knows the others", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		list, err := c.client(fresh, c.operator).Status(ctx)
		if err != nil {
			return err
		}
		alive := 0
		for _, s := range list {
			if s.Details != nil {
				alive++
			}
		}
		if alive != 3 {
			return errors.Newf("%d of 3 instances answer: %+v", alive, list)
		}
		return nil
	})
}
