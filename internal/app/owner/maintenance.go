package owner

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/waves"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/port"
)

// Intervals of maintenance waves.
const (
	// waveWatchWait is how long a watch of the waves waits. The store may drop a watch silently;
	// waves take minutes, so noticing that late is acceptable.
	waveWatchWait = 5 * time.Second
	// waveRetryPause is the pause after a failed call.
	waveRetryPause = 500 * time.Millisecond
	// listVMsInterval is the time between two listings of the VMs during a wave. The platform's
	// rate limit is shared with other clients.
	listVMsInterval = time.Second
	// wavePlanIntervalMS is the time between two planning passes.
	wavePlanIntervalMS = 250
)

// maintenance is the state of the waves during a term. It is used only by the event loop.
type maintenance struct {
	planner *waves.Planner
	chain   *writeChain
	plannedMS,
	listedMS int64
	listing, writing bool
}

// loadWaves reads the wave records stored by former owners.
func (c *Cell) loadWaves(ctx context.Context) error {
	if c.waves == nil || c.vms == nil {
		return nil
	}
	entries, _, err := c.store.List(ctx, wavePrefix)
	if err != nil {
		return err
	}
	var records []waves.Record
	for _, e := range entries {
		var r waves.Record
		if err := cbor.Unmarshal(e.Value, &r); err != nil {
			return fmt.Errorf("decode the value of %s: %w", e.Key, err)
		}
		records = append(records, r)
	}
	c.maintenance = &maintenance{planner: waves.NewPlanner(records, c.term.claimedMS+c.options.HolderLeaseMS),
		chain: &writeChain{key: chainKey(waveChain), revision: c.term.chainRevisions[waveChain]}}
	return nil
}

// watchWaves follows the waves that operators request.
func (c *Cell) watchWaves() {
	for c.ctx.Err() == nil {
		list, revision, err := c.waves.Waves(c.ctx)
		if err != nil {
			ctxtime.Sleep(c.ctx, waveRetryPause)
			continue
		}
		c.post(func() { c.maintenance.planner.SetWaves(list, c.nowMS(), time.Now().UnixMilli()) })
		for changed := false; !changed && c.ctx.Err() == nil; {
			if changed, revision, err = c.waves.WaitForChange(c.ctx, revision, waveWatchWait); err != nil {
				ctxtime.Sleep(c.ctx, waveRetryPause)
			}
		}
	}
}

// planMaintenance evacuates workers, stores the planned state and sends the orders that are due.
func (c *Cell) planMaintenance(now int64) {
	m := c.maintenance
	if m == nil || now-m.plannedMS < wavePlanIntervalMS {
		return
	}
	m.plannedMS = now
	toEvacuate, orders := m.planner.Plan(now, c.machine.WorkerLoad)
	c.machine.EvacuateWorkers(toEvacuate)
	c.storeWaves()
	if m.planner.Active() && !m.listing && now-m.listedMS >= listVMsInterval.Milliseconds() {
		m.listing, m.listedMS = true, now
		go c.listVMs()
	}
	for _, o := range orders {
		c.runCall(func() { c.sendMaintenance(o) })
	}
}

func (c *Cell) listVMs() {
	sentMS := c.nowMS()
	list, err := c.vms.VMs(c.ctx)
	if err != nil && c.ctx.Err() == nil {
		c.metrics.Counter("vms.list_failed").Inc(1)
		c.log.Warn("failed to list VMs", zap.Error(err))
	}
	c.post(func() {
		c.maintenance.listing = false
		if err == nil {
			c.maintenance.planner.SetVMs(list, sentMS)
		}
	})
}

// storeWaves writes the waves that have changed. The state shown to operators is written in the
// same transaction as the record, so that neither exists without the other.
func (c *Cell) storeWaves() {
	m := c.maintenance
	if m.writing {
		return
	}
	records := m.planner.UnstoredRecords()
	if len(records) == 0 {
		return
	}
	r := records[0]
	value, err := cbor.Marshal(r)
	state, stateErr := c.waves.StatePut(r.Number, r.Done)
	if err := errors.Join(err, stateErr); err != nil {
		c.log.Error("failed to encode the state of a wave", zap.Int64("wave", r.Number), zap.Error(err))
		return
	}
	m.writing = true
	puts := []port.Put{{Key: wavePrefix + strconv.FormatInt(r.Number, 10), Value: value}, state}
	go func() {
		if err := c.commit(m.chain, puts, nil); err != nil {
			c.endTerm(err.Error())
			return
		}
		c.log.Info("wave_stored", zap.Int64("wave", r.Number), zap.Int("ordered", len(r.Ordered)), zap.Int("begun", len(r.Begun)),
			zap.Int("dropped", len(r.Dropped)), zap.Bool("done", r.Done), zap.Int64("epoch", c.term.epoch))
		c.post(func() {
			m.writing = false
			m.planner.MarkStored(r)
		})
	}()
}

// sendMaintenance sends one maintenance order.
func (c *Cell) sendMaintenance(o waves.Order) {
	// Where the platform does not check fences, only the claim keeps two owners from acting at
	// once, and this process may have been suspended since the decision.
	if !c.claimConfirmed() {
		c.metrics.Counter("vms.maintain.claim_not_confirmed").Inc(1)
		c.post(func() { c.maintenance.planner.Answered(o, waves.Unanswered, c.nowMS()) })
		return
	}
	outcome, err := c.vms.StartMaintenance(c.ctx, c.options.Instance, c.term.epoch, o)
	if c.endIfFenced(err) {
		return
	}
	c.metrics.Counter("vms.maintain." + outcome.String()).Inc(1)
	if c.ctx.Err() == nil {
		c.log.Info("vm_maintenance", zap.Int64("wave", o.Wave), zap.String("vm", string(o.VM)), zap.String("outcome", outcome.String()),
			zap.Int64("epoch", c.term.epoch), zap.Error(err))
	}
	c.post(func() { c.maintenance.planner.Answered(o, outcome, c.nowMS()) })
}
