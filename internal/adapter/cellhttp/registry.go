package cellhttp

import (
	"context"
	"time"

	"auburnpier/internal/port"
)

// registryCall asks for the changes of the registry after a store revision.
type registryCall struct {
	After int64         `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// maxRegistryWait bounds how long a caller may have a call wait.
const maxRegistryWait = 30 * time.Second

type relayRegistry struct{ *peer }

// Registry reaches the registry of workers through the instance.
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
