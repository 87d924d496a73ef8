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
	// registryPrefix is the key prefix of the instance records in the store.
	registryPrefix = sharedwatch.Prefix + "instances/"
	// registryQueueLength bounds the number of records queued for the membership.
	registryQueueLength = 256
	// registerRetryDelay is the delay between attempts to register.
	registerRetryDelay = time.Second
)

// registry keeps a record of each instance in the store, so that a new instance
// finds the others even if all its seeds have been replaced.
type registry struct {
	i       *Instance
	records chan membership.Record
}

func newRegistry(i *Instance) *registry {
	r := &registry{i: i, records: make(chan membership.Record, registryQueueLength)}
	i.watch.Subscribe(r.onUpdate)
	return r
}

func registryKey(id domain.InstanceID) string { return registryPrefix + string(id) }

// onUpdate queues the records of other instances that a watch update contains.
func (r *registry) onUpdate(u sharedwatch.Update) {
	for _, ev := range u.Events {
		if ev.Deleted || !strings.HasPrefix(ev.Entry.Key, registryPrefix) {
			continue
		}
		var record membership.Record
		if err := json.Unmarshal(ev.Entry.Value, &record); err != nil {
			r.i.log.Warn("cannot decode the record of an instance in the store", zap.String("key", ev.Entry.Key), zap.Error(err))
			continue
		}
		if record.ID == r.i.settings.Instance {
			continue
		}
		select {
		case r.records <- record:
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
		case record := <-r.records:
			if err := r.i.peers.AddFromRegistry(ctx, record); err != nil {
				r.i.log.Warn("an instance from the registry was not added to the members", zap.Error(err))
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

// revision returns the revision of the key, or zero if it does not exist.
func (r *registry) revision(ctx context.Context, key string) (int64, error) {
	e, err := r.i.store.Get(ctx, key)
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return e.Revision, err
}

// remove deletes the record of a process that ended. The record of a later
// process of the same instance is kept.
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
