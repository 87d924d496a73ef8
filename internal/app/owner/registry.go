package owner

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/workerfeed"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Parameters of reading the registry through another instance.
const (
	// registryRelayWait is how long a call waits for a change. Together with its margin it bounds
	// how long a suspended relay goes unnoticed.
	registryRelayWait   = time.Second
	registryRelayMargin = 500 * time.Millisecond
	// registryRelayPauseMS is how long an instance that did not answer is not asked again.
	registryRelayPauseMS = 5000
)

// registryRelay is the instance that reads the registry on the owner's behalf.
type registryRelay struct {
	host    port.InstanceInfo
	changes port.WorkerChanges
	// failedMS is the steady time of a call that was not answered, zero if there was none.
	failedMS atomic.Int64
}

// chooseRegistryRelay selects the instance that reads the registry of a large fleet: preferably one
// that polls no workers, and among those the largest VM.
func (c *Cell) chooseRegistryRelay(known []port.InstanceInfo, now int64) {
	if len(c.polls) <= c.options.MaxDirectWorkers {
		c.registryRelay.Store(nil)
		return
	}
	current := c.registryRelay.Load()
	if current != nil && current.failedMS.Load() > 0 {
		c.registryPausedUntil[current.host] = current.failedMS.Load() + registryRelayPauseMS
		current = nil
	}
	if current != nil && slices.Contains(known, current.host) {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(known), func(h port.InstanceInfo) bool {
		return h.Address == c.options.Address || now < c.registryPausedUntil[h]
	})
	if len(candidates) == 0 {
		c.registryRelay.Store(nil)
		return
	}
	polling := func(h port.InstanceInfo) int {
		if c.pollGroups.byHost[h] != nil {
			return 1
		}
		return 0
	}
	best := slices.MinFunc(candidates, func(a, b port.InstanceInfo) int {
		return cmp.Or(cmp.Compare(polling(a), polling(b)), compareSizes(a, b))
	})
	c.log.Info("registry is read through an instance", zap.String("relay", string(best.Instance)), zap.Int("workers", len(c.polls)))
	c.registryRelay.Store(&registryRelay{host: best, changes: c.peers.Registry(best)})
}

// watchRegistry lists the workers and follows their changes.
func (c *Cell) watchRegistry() {
	for c.ctx.Err() == nil {
		list, unreadable, revision, err := c.registry.Workers(c.ctx)
		if err != nil {
			ctxtime.Sleep(c.ctx, workerfeed.RetryDelay)
			continue
		}
		if unreadable > 0 {
			c.log.Warn("skipped registry entries that name no worker", zap.Int("entries", unreadable))
		}
		known := make(map[domain.WorkerID]jobs.WorkerInfo, len(list))
		for _, w := range list {
			known[w.ID] = w
		}
		c.updateWorkers(known)
		c.watchChanges(known, revision)
	}
}

// watchChanges applies changes until one is missed.
func (c *Cell) watchChanges(known map[domain.WorkerID]jobs.WorkerInfo, revision int64) {
	reader := workerfeed.NewReader(c.registry)
	// behind is set while a relay has failed and the store has unread changes: what the relay
	// should have delivered is read directly before another relay is asked.
	behind := false
	for c.ctx.Err() == nil {
		var changes port.RegistryChanges
		var err error
		if relay := c.registryRelay.Load(); relay != nil && !behind && relay.failedMS.Load() == 0 {
			changes, err = c.relayedChanges(relay, revision)
			behind = err != nil
		} else {
			changes, err = reader.Next(c.ctx, revision)
			behind = behind && (err != nil || changes.More)
		}
		if err != nil {
			continue
		}
		if changes.Gap {
			return
		}
		revision = changes.Revision
		if c.applyChanges(known, changes) {
			c.updateWorkers(known)
		}
	}
}

// relayedChanges asks the instance that reads the registry.
func (c *Cell) relayedChanges(relay *registryRelay, revision int64) (port.RegistryChanges, error) {
	ctx, cancel := context.WithTimeout(c.ctx, registryRelayWait+registryRelayMargin)
	defer cancel()
	changes, err := relay.changes.Changes(ctx, revision, registryRelayWait)
	if err != nil && c.ctx.Err() == nil {
		relay.failedMS.Store(c.nowMS())
		c.metrics.Counter("registry.relay.failed").Inc(1)
		c.log.Info("instance did not read the registry", zap.String("relay", string(relay.host.Instance)),
			zap.Int64("paused_ms", registryRelayPauseMS), zap.Error(err))
	}
	return changes, err
}

// applyChanges updates known. It reports whether any worker actually differs: most changes are
// heartbeats.
func (c *Cell) applyChanges(known map[domain.WorkerID]jobs.WorkerInfo, changes port.RegistryChanges) bool {
	changed := false
	for _, id := range changes.Removed {
		if _, ok := known[id]; ok {
			delete(known, id)
			changed = true
		}
	}
	for _, w := range changes.Updated {
		if before, ok := known[w.ID]; !ok || !before.SameDescription(w) {
			changed = true
		}
		known[w.ID] = w
	}
	c.metrics.Counter("registry.entries").Inc(int64(len(changes.Updated) + len(changes.Removed)))
	if changed {
		c.metrics.Counter("registry.changes").Inc(1)
	}
	return changed
}

func (c *Cell) updateWorkers(known map[domain.WorkerID]jobs.WorkerInfo) {
	list := make([]jobs.WorkerInfo, 0, len(known))
	for _, w := range known {
		list = append(list, w)
	}
	c.post(func() {
		c.machine.UpdateWorkers(list)
		for _, w := range list {
			c.trackWorker(w)
		}
	})
}
