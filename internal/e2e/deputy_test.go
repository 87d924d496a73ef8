package e2e

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
)

// Guards against running tasks that are lost or started again when their owner
// dies while no instance reaches the store for longer than a lease lives. One
// half of the tasks ends during the outage, the other half after it.
func TestOwnerIsKilledDuringStoreOutage(t *testing.T) {
	const beyondLease = 40 * time.Second // a lease lives for 30 s
	c := startCell(t, 3)
	jobs := c.submitMany(4, 38*time.Second)
	jobs = append(jobs, c.submitMany(4, 60*time.Second)...)
	for _, j := range jobs {
		c.eventually(15*time.Second, "tasks run", func() error {
			status, err := c.job(j.ID)
			if err == nil && status.Running < j.Spec.Tasks {
				err = errors.Newf("%d tasks run", status.Running)
			}
			return err
		})
	}
	owner := c.owner()
	time.Sleep(3 * time.Second) // the deputy has the leases
	for _, i := range c.all() {
		i.store.cut.Store(true)
	}
	c.kill(owner)
	time.Sleep(beyondLease)
	for _, i := range c.all() {
		i.store.cut.Store(false)
	}
	c.awaitAll(45*time.Second, jobs)
	c.checkWorkers(jobs, 1)
	for _, j := range jobs {
		status, err := c.job(j.ID)
		if err != nil || status.State != domain.JobSucceeded {
			t.Errorf("job %s: %+v, error %v", j.ID, status, err)
		}
	}
}
