package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
	"auburnpier/internal/steady"
)

// Parameters of looking up unresponsive workers in the platform's list of VMs.
const (
	// requiredListings is how many consecutive lists must be without a worker, so that its runs are
	// never abandoned because of a single answer. The pages of a list are not one snapshot.
	requiredListings = 2
	// minListingPauseMS and maxListingPauseMS bound the pause between two listings. It doubles while
	// the same workers stay unresponsive: the platform limits the rate of listings for all callers.
	minListingPauseMS = 100
	maxListingPauseMS = 1000
	// listingTimeout bounds one listing.
	listingTimeout = time.Second
)

// vmCheck looks up unresponsive workers in the platform's list of VMs. The list names the worker of
// each VM, so a worker that it no longer names has terminated together with its tasks. A refused or
// broken connection and silence prove nothing: the network may cause them while the tasks run on.
// It is used only by the event loop.
type vmCheck struct {
	inFlight  bool
	pauseMS   int64
	nextMS    int64
	checkedMS int64
	// unlisted counts the consecutive lists without each unresponsive worker.
	unlisted map[domain.WorkerID]int
}

// checkVMs starts a listing if one is due.
func (c *Cell) checkVMs(now int64) {
	v := &c.vmCheck
	if c.vms == nil || v.inFlight || now-v.checkedMS < minListingPauseMS {
		return
	}
	v.checkedMS = now
	workers := c.machine.UnresponsiveWorkers()
	if v.track(workers) {
		v.pauseMS, v.nextMS = minListingPauseMS, now
	}
	if len(workers) == 0 || now < v.nextMS {
		return
	}
	v.inFlight = true
	go c.guarded("vm_check", func() { c.listVMsFor(workers) })
}

// track keeps the counts of the given workers only. It reports whether one of them is new.
func (v *vmCheck) track(workers []domain.WorkerID) (added bool) {
	kept := make(map[domain.WorkerID]int, len(workers))
	for _, id := range workers {
		n, known := v.unlisted[id]
		kept[id] = n
		added = added || !known
	}
	v.unlisted = kept
	return added
}

// listVMsFor lists the VMs and reports the result for the workers, which did not answer before.
func (c *Cell) listVMsFor(workers []domain.WorkerID) {
	ctx, cancel := context.WithTimeout(c.ctx, listingTimeout)
	defer cancel()
	list, err := c.vms.VMs(ctx)
	c.post(func() { c.handleVMList(workers, list, err) })
}

// handleVMList declares those of the workers terminated that have been missing in enough lists.
func (c *Cell) handleVMList(workers []domain.WorkerID, list []waves.VM, err error) {
	v := &c.vmCheck
	v.inFlight = false
	v.nextMS = steady.NowMS() + v.pauseMS
	v.pauseMS = min(2*v.pauseMS, maxListingPauseMS)
	if err != nil {
		c.metrics.Counter("vms.list_failed").Inc(1)
		c.log.Info("failed to list VMs; unresponsive workers keep their runs until their leases expire", zap.Error(err))
		return
	}
	c.metrics.Counter("vms.list_checked").Inc(1)
	listed := make(map[domain.WorkerID]bool, len(list))
	knowsFleet := false
	for _, vm := range list {
		listed[vm.Worker] = true
		knowsFleet = knowsFleet || c.polls[vm.Worker] != nil
	}
	if !knowsFleet {
		// A list that names no worker of this cell says nothing about the missing ones.
		c.metrics.Counter("vms.list_foreign").Inc(1)
		return
	}
	// A worker that has answered since the listing began is no longer unresponsive.
	v.track(c.machine.UnresponsiveWorkers())
	for _, id := range workers {
		if _, unresponsive := v.unlisted[id]; !unresponsive {
			continue
		}
		if listed[id] {
			v.unlisted[id] = 0
			continue
		}
		if v.unlisted[id]++; v.unlisted[id] == requiredListings {
			c.workerTerminated(id, "no VM of the platform's list has the worker")
		}
	}
}
