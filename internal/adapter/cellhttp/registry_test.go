package cellhttp

import (
	"context"
	"errors"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

type registryFunc func(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error)

func (f registryFunc) Changes(ctx context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
	return f(ctx, after, wait)
}

// Guards against workers that are altered in transit, and against a failure or a
// gap that is delivered as a response without changes.
func TestRegistryRelay(t *testing.T) {
	full := port.RegistryChanges{Revision: 12, More: true, Removed: []domain.WorkerID{"gone"},
		Updated: []jobs.WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Zone: "z", Service: "svc", Rack: "r", Labels: []string{"k", "r"},
			Capacity: domain.Resources{CPUMilli: 1, MemoryMB: 2, Accelerators: 3}, StartedMS: 4, Draining: true, DrainTimeLeftMS: 5}}}
	answers := map[int64]struct {
		changes port.RegistryChanges
		err     error
	}{
		1: {changes: full}, 2: {changes: port.RegistryChanges{Gap: true}}, 3: {err: errors.New("the store gives no answer")},
	}
	var waited time.Duration
	server := httptest.NewServer(NewHandler(LocalServices{Registry: registryFunc(func(_ context.Context, after int64, wait time.Duration) (port.RegistryChanges, error) {
		waited = wait
		return answers[after].changes, answers[after].err
	})}))
	defer server.Close()
	registry := NewDialer().Registry(port.InstanceInfo{Address: strings.TrimPrefix(server.URL, "http://")})
	for after, want := range answers {
		got, err := registry.Changes(t.Context(), after, time.Second)
		if (err != nil) != (want.err != nil) || !reflect.DeepEqual(got, want.changes) {
			t.Errorf("after %d: %+v %v, want %+v %v", after, got, err, want.changes, want.err)
		}
		if waited != time.Second {
			t.Errorf("the registry was called with wait %v, want 1s", waited)
		}
	}
	if _, err := registry.Changes(t.Context(), 1, time.Hour); err != nil || waited != maxRegistryWait {
		t.Errorf("a requested wait of one hour became %v (error %v), want %v", waited, err, maxRegistryWait)
	}
}
