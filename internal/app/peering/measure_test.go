//go:build measure

package peering

import (
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"auburnpier/internal/adapter/peergnet"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// headerBytes is the size of the IPv4 and UDP headers of one datagram.
const headerBytes = 28

// usage is the cumulative resource usage of a cell at a point in time.
type usage struct {
	at                  time.Time
	cpu                 time.Duration
	sent, sentBytes     int64
	received, recvBytes int64
}

func measureUsage(cell []*instance) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, i := range cell {
		u.sent += i.metrics.Counter(peergnet.CounterSent).Count()
		u.sentBytes += i.metrics.Counter(peergnet.CounterSentBytes).Count()
		u.received += i.metrics.Counter(peergnet.CounterReceived).Count()
		u.recvBytes += i.metrics.Counter(peergnet.CounterReceivedBytes).Count()
	}
	return u
}

// feed sets free slots and store confirmations as a running daemon does, until stop
// is closed.
func feed(cell []*instance, store func() bool, stop <-chan struct{}) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for round := uint32(0); ; round++ {
		for n, i := range cell {
			var slots []membership.QueueSlots
			for q := range 6 {
				slots = append(slots, membership.QueueSlots{Queue: domain.QueueID(fmt.Sprintf("queue-%d", q)), Free: (round + uint32(n)) % 50})
			}
			i.SetSlots(slots)
			if store() {
				i.StoreConfirmed(1, time.Now().Add(-2*time.Second))
			}
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func report(t *testing.T, name string, count int, cell []*instance, length time.Duration) {
	t.Helper()
	before := measureUsage(cell)
	time.Sleep(length)
	after := measureUsage(cell)
	seconds := after.at.Sub(before.at).Seconds() * float64(count)
	sent, received := float64(after.sent-before.sent)/seconds, float64(after.received-before.received)/seconds
	sentBytes := float64(after.sentBytes-before.sentBytes)/seconds + headerBytes*sent
	recvBytes := float64(after.recvBytes-before.recvBytes)/seconds + headerBytes*received
	cpu := 100 * (after.cpu - before.cpu).Seconds() / seconds
	t.Logf("| %d | %s | %.1f | %.0f | %.1f | %.0f | %.2f | %.2f %% |", count, name,
		sent, sentBytes, received, recvBytes, (sentBytes+recvBytes)/1000, cpu)
}

// TestMeasureTraffic prints datagrams, bytes including headers and CPU time per
// second and instance, first without changes and then during a store outage.
func TestMeasureTraffic(t *testing.T) {
	for _, count := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			cell := startCell(t, count, min(count, 3))
			var storeUp atomic.Bool
			storeUp.Store(true)
			stop, fed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(fed)
				feed(cell, storeUp.Load, stop)
			}()
			for n, i := range cell {
				i.SetConfigVersion(1)
				i.SetPartitions([]membership.OwnedPartition{{ID: domain.PartitionID(fmt.Sprintf("partition-%d", n%8)), Epoch: 3}})
			}
			time.Sleep(10 * time.Second)
			report(t, "store up", count, cell, 30*time.Second)
			storeUp.Store(false)
			time.Sleep(8 * time.Second)
			report(t, "store down", count, cell, 15*time.Second)
			close(stop)
			<-fed
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			t.Logf("%d instances in one process: heap in use %.1f MB, all memory from the system %.1f MB, %d goroutines",
				count, float64(m.HeapInuse)/1e6, float64(m.Sys)/1e6, runtime.NumGoroutine())
		})
	}
}

// TestMeasureSpread prints the time until all instances know of a version, a drain
// and a death.
func TestMeasureSpread(t *testing.T) {
	const runs = 5
	for _, count := range []int{3, 8, 40} {
		var versions, drains, deaths []time.Duration
		for run := range runs {
			t.Run(fmt.Sprintf("%d/%d", count, run), func(t *testing.T) {
				cell := startCell(t, count, min(count, 3))
				for _, i := range cell {
					i.StoreConfirmed(1, time.Now())
				}
				time.Sleep(3 * time.Second)
				origin := cell[run%count]
				origin.SetConfigVersion(2)
				versions = append(versions, waitFor(t, "the version", func() bool {
					return !slices.ContainsFunc(cell, func(i *instance) bool { v, _ := i.NewestVersion(); return v != 2 })
				}))
				origin.SetDraining(true)
				drains = append(drains, waitFor(t, "the drain", func() bool {
					return allKnow(cell, origin.settings.ID, func(m membership.Member) bool { return m.Draining })
				}))
				origin.crash()
				deaths = append(deaths, waitFor(t, "the death", func() bool {
					return allKnow(cell, origin.settings.ID, func(m membership.Member) bool { return m.State == membership.StateDead })
				}))
			})
		}
		for name, times := range map[string][]time.Duration{"version": versions, "drain": drains, "death": deaths} {
			slices.Sort(times)
			t.Logf("| %d | %s | %s | %s |", count, name,
				times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
		}
	}
}
