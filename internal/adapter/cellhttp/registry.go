package cellhttp

import (
	"context"
	"time"

	"auburnpier/internal/port"
)

// registryCall requests the changes of the workers' registry after a store revision.
type registryCall struct {
	After int64         `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// maxRegistryWait limits the wait that a caller can request.
const maxRegistryWait = 30 * time.Second

type relayRegistry struct{ *peer }

// Registry returns a client of the workers' registry that relays its calls through the instance.
func (d *Dialer) Registry(h port.InstanceInfo) port.WorkerChanges {
	return &relayRegistry{d.peer(h.Address)}
}

// Changes implements port.WorkerChanges.
func (r *relayRegistry) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	return call[port.RegistryChanges](ctx, r.peer, pathRegistry, registryCall{After: after, Wait: wait})
}

func serveRegistry(registry port.WorkerChanges) func(context.Context, registryCall) (port.RegistryChanges, error) {
	return func(ctx context.Context, c registryCall) (port.RegistryChanges, error) {
		return registry.Changes(ctx, c.After, min(max(c.Wait, 0), maxRegistryWait))
	}
}
