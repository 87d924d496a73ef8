package port

import (
	"context"
	"time"

	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// VMFleet lists the worker VMs and shuts them down for maintenance.
type VMFleet interface {
	VMs(ctx context.Context) ([]waves.VM, error)
	// StartMaintenance asks the platform to shut down a VM. Holder and fence
	// identify the owner of the cell. It returns a *FencedError if a later owner
	// has already sent an order for the VM; other errors explain an outcome other
	// than begun.
	StartMaintenance(ctx context.Context, holder domain.InstanceID, fence int64, o waves.Order) (waves.Outcome, error)
}

// WaveSource reads the maintenance waves that operators request.
type WaveSource interface {
	// Waves returns all waves and the store revision at which they were read.
	Waves(ctx context.Context) (list []waves.Wave, revision int64, err error)
	// WaitForChange waits for a change after the revision. It reports whether there
	// was one, or may have been one in revisions that the store has compacted.
	WaitForChange(ctx context.Context, after int64, wait time.Duration) (changed bool, revision int64, err error)
	// StatePut returns the write that publishes to operators whether a wave is done.
	StatePut(number int64, done bool) (Put, error)
}
