package peering

import (
	"context"
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/loopback"
)

var testSecret = []byte("a secret of the peering tests")

// instance is a service running in a test.
type instance struct {
	*Service
	metrics *metrics.Registry
	cancel  context.CancelFunc
	done    chan error
	crashed bool
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func startInstance(t *testing.T, s Settings) *instance {
	t.Helper()
	m := metrics.New()
	p, err := New(s, Deps{Clock: port.SystemClock{}, Metrics: m})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{Service: p, metrics: m, cancel: cancel, done: make(chan error, 1)}
	go func() { i.done <- p.Run(ctx) }()
	t.Cleanup(func() { i.stop(t) })
	return i
}

// stop stops the instance gracefully. It may be called more than once.
func (i *instance) stop(t *testing.T) {
	i.cancel()
	err, running := <-i.done
	if running {
		close(i.done)
	}
	if err != nil && !i.crashed {
		t.Errorf("Run of %s: %v", i.settings.ID, err)
	}
}

// crash closes the datagram socket of the instance without announcing an exit.
func (i *instance) crash() {
	i.crashed = true
	_ = i.socket.Close()
}

// startCell starts count instances spread over the regions and waits until each
// lists all others as alive.
func startCell(t *testing.T, count, regions int) []*instance {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, freeAddress(t))
	}
	var cell []*instance
	for i, address := range addresses {
		region := domain.RegionID(fmt.Sprintf("region-%d", i%regions))
		cell = append(cell, startInstance(t, Settings{
			ID:             domain.InstanceID(fmt.Sprintf("entry-%02d", i)),
			Incarnation:    uint64(time.Now().UnixMilli()),
			Address:        address,
			RequestAddress: address,
			Location:       domain.Location{Region: region, Zone: domain.ZoneID(region + "-a")},
			Seeds:          addresses[:min(3, count)],
			Secret:         testSecret,
		}))
	}
	waitFor(t, "each instance lists all others as alive", func() bool { return countAlive(cell) == count*(count-1) })
	return cell
}

func countAlive(cell []*instance) int {
	alive := 0
	for _, i := range cell {
		for _, m := range i.List() {
			if m.State == membership.StateAlive {
				alive++
			}
		}
	}
	return alive
}

// allKnow reports whether the condition holds for the member in the list of each
// other instance.
func allKnow(cell []*instance, id domain.InstanceID, holds func(membership.Member) bool) bool {
	for _, i := range cell {
		if i.settings.ID == id {
			continue
		}
		if m, found := i.Get(id); !found || !holds(m) {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("not reached within 20 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}
