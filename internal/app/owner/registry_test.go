package owner

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Guards against a placement pass over the whole fleet for each heartbeat of a
// worker, and against a change that is taken for a heartbeat.
func TestHeartbeatsAreNoChange(t *testing.T) {
	base := jobs.WorkerInfo{ID: "w", Address: "10.0.0.1:1", Zone: "z", Service: "svc", Rack: "r", Labels: []string{"a", "r"},
		Capacity: domain.Resources{CPUMilli: 4000, MemoryMB: 4000}, BornMS: 1}
	with := func(change func(*jobs.WorkerInfo)) port.RegistryChanges {
		w := base
		change(&w)
		return port.RegistryChanges{Set: []jobs.WorkerInfo{w}}
	}
	for name, c := range map[string]struct {
		changes port.RegistryChanges
		want    bool
	}{
		"heartbeat":           {with(func(*jobs.WorkerInfo) {}), false},
		"time left":           {with(func(w *jobs.WorkerInfo) { w.LeavesInMS = 900 }), false},
		"unknown removed":     {port.RegistryChanges{Removed: []domain.WorkerID{"other"}}, false},
		"removed":             {port.RegistryChanges{Removed: []domain.WorkerID{"w"}}, true},
		"another worker":      {with(func(w *jobs.WorkerInfo) { w.ID = "x" }), true},
		"drains":              {with(func(w *jobs.WorkerInfo) { w.Draining = true }), true},
		"moved":               {with(func(w *jobs.WorkerInfo) { w.Address = "10.0.0.2:1" }), true},
		"reborn":              {with(func(w *jobs.WorkerInfo) { w.BornMS = 2 }), true},
		"relabelled":          {with(func(w *jobs.WorkerInfo) { w.Labels = []string{"b", "r"} }), true},
		"resized":             {with(func(w *jobs.WorkerInfo) { w.Capacity.MemoryMB = 1 }), true},
		"moved between pools": {with(func(w *jobs.WorkerInfo) { w.Service = "other" }), true},
		"moved between zones": {with(func(w *jobs.WorkerInfo) { w.Zone = "y" }), true},
		"moved between racks": {with(func(w *jobs.WorkerInfo) { w.Rack = "s" }), true},
	} {
		t.Run(name, func(t *testing.T) {
			cell := &Cell{Owner: &Owner{log: zap.NewNop(), metrics: metrics.New()}}
			known := map[domain.WorkerID]jobs.WorkerInfo{"w": base}
			if got := cell.applyChanges(known, c.changes); got != c.want {
				t.Errorf("a change is seen: %v, want %v", got, c.want)
			}
		})
	}
}

// pagedRegistry has more changes than one answer holds.
type pagedRegistry struct {
	pages    int64
	caughtUp chan struct{}
}

func (r *pagedRegistry) Workers(context.Context) ([]jobs.WorkerInfo, int, int64, error) {
	return nil, 0, 0, nil
}

func (r *pagedRegistry) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	if after == r.pages-1 {
		close(r.caughtUp)
	}
	if after >= r.pages {
		<-ctx.Done()
		return port.RegistryChanges{}, ctx.Err()
	}
	return port.RegistryChanges{Removed: []domain.WorkerID{"w"}, Revision: after + 1, More: after+1 < r.pages}, nil
}

// Guards against an owner that falls behind the heartbeats of a large fleet:
// with 500 entries an answer and a pause after each it learned 4.5 s late that
// a worker drains.
func TestRegistryCatchesUp(t *testing.T) {
	registry := &pagedRegistry{pages: 12, caughtUp: make(chan struct{})}
	c := newCellTest(t, 50*time.Millisecond)
	c.registry = registry
	c.start("a").owned(t)
	select {
	case <-registry.caughtUp:
	case <-time.After(registryPause):
		t.Errorf("%d answers took more than one pause of %v", registry.pages, registryPause)
	}
}
