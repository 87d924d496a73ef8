package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// Parameters of looking up workers in the platform's list of VMs.
const (
	// minListingPauseMS and maxListingPauseMS bound the pause between two listings while workers do not
	// answer. It doubles while the same workers stay unresponsive: the platform limits the rate of listings for
	// all callers.
	minListingPauseMS = 100
	maxListingPauseMS = 1000
	// minDiscoveryPauseMS and maxDiscoveryPauseMS bound the pause between two listings that are to show the VMs
	// of workers that have joined. It doubles unless more workers join. The first listing begins with the term.
	minDiscoveryPauseMS = 1000
	maxDiscoveryPauseMS = 30_000
	// listingTimeout bounds one listing.
	listingTimeout = time.Second
)

// vmCheck looks up unresponsive workers in the platform's list of VMs. The list names the worker of each VM, so it
// can prove that a worker has terminated together with its tasks. A refused or broken connection and silence prove
// nothing: the network may cause them while the tasks run on. It is used only by the event loop.
type vmCheck struct {
	inFlight  bool
	pauseMS   int64
	nextMS    int64
	checkedMS int64
	// unresponsive holds the workers that did not answer when the check last ran.
	unresponsive map[domain.WorkerID]bool
	// unlisted is the number of workers that answer and that no list has named.
	unlisted                    int
	discoveryMS, discoveryPause int64
	// outdated is set if the last list was.
	outdated bool
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
	unlisted := c.machine.CountUnlistedWorkers()
	if unlisted > v.unlisted {
		v.discoveryPause = minDiscoveryPauseMS
	}
	v.unlisted = unlisted
	discover := v.discoveryMS == 0 || unlisted > 0 && now-v.discoveryMS >= v.discoveryPause
	if !discover && (len(workers) == 0 || now < v.nextMS) {
		return
	}
	v.inFlight, v.discoveryMS = true, now
	go c.guarded("vm_check", c.lookUpVMs)
}

// track replaces the unresponsive workers. It reports whether one of them is new.
func (v *vmCheck) track(workers []domain.WorkerID) (added bool) {
	kept := make(map[domain.WorkerID]bool, len(workers))
	for _, id := range workers {
		kept[id] = true
		added = added || !v.unresponsive[id]
	}
	v.unresponsive = kept
	return added
}

// lookUpVMs lists the VMs and reports the result to the loop.
func (c *Cell) lookUpVMs() {
	ctx, cancel := context.WithTimeout(c.ctx, listingTimeout)
	defer cancel()
	requestedMS := c.nowMS()
	list, err := c.vms.VMs(ctx)
	c.post(func() { c.handleVMList(list, requestedMS, err) })
}

// handleVMList declares the workers terminated that the list proves to be.
func (c *Cell) handleVMList(list []waves.VM, requestedMS int64, err error) {
	v := &c.vmCheck
	v.inFlight = false
	v.nextMS = c.nowMS() + v.pauseMS
	v.pauseMS = min(2*v.pauseMS, maxListingPauseMS)
	v.discoveryPause = min(2*v.discoveryPause, maxDiscoveryPauseMS)
	if err != nil {
		c.metrics.Counter("vms.list_failed").Inc(1)
		c.log.Info("failed to list VMs; unresponsive workers keep their runs until their leases expire", zap.Error(err))
		return
	}
	c.metrics.Counter("vms.list_checked").Inc(1)
	verdict := c.machine.HandleVMList(list, requestedMS)
	c.metrics.Counter("vms.worker_unproven").Inc(int64(verdict.Unproven))
	switch {
	case verdict.Foreign:
		c.metrics.Counter("vms.list_foreign").Inc(1)
	case verdict.Outdated:
		c.metrics.Counter("vms.list_outdated").Inc(1)
		if !v.outdated {
			c.log.Warn("list of VMs is older than an earlier one; unresponsive workers keep their runs until their leases expire")
		}
	}
	v.outdated = verdict.Outdated
	for _, w := range verdict.Terminated {
		c.workerTerminated(w.ID, w.Proof)
	}
}
