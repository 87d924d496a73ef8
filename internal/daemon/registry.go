package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	// registryPrefix is the part of the store that lists the instances.
	registryPrefix = sharedwatch.Prefix + "instances/"
	// registryLength bounds the records that wait for the membership.
	registryLength = 256
	// registerRetryDelay is the wait between tries to register.
	registerRetryDelay = time.Second
)

// registry lists the instances in the store, so that a fresh instance finds the
// others even where all its seeds were replaced.
type registry struct {
	i       *Instance
	learned chan membership.Record
}

func newRegistry(i *Instance) *registry {
	r := &registry{i: i, learned: make(chan membership.Record, registryLength)}
	i.watch.Subscribe(r.onUpdate)
	return r
}

func registryKey(id domain.InstanceID) string { return registryPrefix + string(id) }

// onUpdate takes the records of other instances from an answer of the watch.
func (r *registry) onUpdate(u sharedwatch.Update) {
	for _, ev := range u.Events {
		if ev.Deleted || !strings.HasPrefix(ev.Entry.Key, registryPrefix) {
			continue
		}
		var record membership.Record
		if err := json.Unmarshal(ev.Entry.Value, &record); err != nil {
			r.i.log.Warn("an instance's record in the store cannot be read", zap.String("key", ev.Entry.Key), zap.Error(err))
			continue
		}
		if record.ID == r.i.settings.Instance {
			continue
		}
		select {
		case r.learned <- record:
		default:
			r.i.metrics.Counter("registry.dropped_full").Inc(1)
		}
	}
}

// run registers this instance and passes the records of others to the membership.
func (r *registry) run(ctx context.Context) {
	for ctx.Err() == nil && r.register(ctx) != nil {
		ctxtime.Sleep(ctx, registerRetryDelay)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-r.learned:
			if err := r.i.peers.AddFromRegistry(ctx, record); err != nil {
				r.i.log.Warn("an instance of the registry was not added", zap.Error(err))
			}
		}
	}
}

func (r *registry) register(ctx context.Context) error {
	value, err := json.Marshal(r.i.peers.Self().Record)
	if err != nil {
		return err
	}
	key := registryKey(r.i.settings.Instance)
	revision, err := r.revision(ctx, key)
	if err != nil {
		return err
	}
	_, err = r.i.store.CompareAndSwap(ctx, key, revision, value)
	return err
}

// revision returns the revision of the key, or zero where it is absent.
func (r *registry) revision(ctx context.Context, key string) (int64, error) {
	e, err := r.i.store.Get(ctx, key)
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return e.Revision, err
}

// remove deletes the record of a process that ended. A later process of the
// same instance keeps its record.
func (r *registry) remove(ctx context.Context, id domain.InstanceID, incarnation uint64) error {
	e, err := r.i.store.Get(ctx, registryKey(id))
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	var record membership.Record
	if err := json.Unmarshal(e.Value, &record); err == nil && record.Incarnation != incarnation {
		return nil
	}
	return r.i.store.Delete(ctx, e.Key, e.Revision)
}
