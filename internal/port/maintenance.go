package port

import (
	"context"
	"time"

	"auburnpier/internal/core/waves"
	"auburnpier/internal/domain"
)

// VMFleet lists the VMs of workers and takes them down for maintenance.
type VMFleet interface {
	VMs(ctx context.Context) ([]waves.VM, error)
	// StartMaintenance orders a VM to go down. Holder and fence name the owner of the
	// cell. It returns a *FencedError where a later owner has given an order for
	// the VM; other errors explain an outcome other than begun.
	StartMaintenance(ctx context.Context, holder domain.InstanceID, fence int64, o waves.Order) (waves.Outcome, error)
}

// WaveSource reads the maintenance waves that operators ask for.
type WaveSource interface {
	// Waves returns all waves and the store revision at which they were read.
	Waves(ctx context.Context) (list []waves.Wave, revision int64, err error)
	// WaitForChange waits for a change after the revision and reports whether there was one, or may have been.
	WaitForChange(ctx context.Context, after int64, wait time.Duration) (changed bool, revision int64, err error)
	// StatePut returns the entry that tells operators whether a wave is done.
	StatePut(number int64, done bool) (Put, error)
}
