package taskplane

import (
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// LeaseDeputies reports whether deputies may still renew leases of this instance.
type LeaseDeputies interface {
	// Withdrawn reports whether no deputy will renew the lease any more. It is
	// called for leases that are no longer listed in PartitionLeases.
	Withdrawn(partition domain.PartitionID, lease domain.LeaseID) bool
}

// PartitionLeases lists the worker leases of one partition of this instance.
type PartitionLeases struct {
	Partition domain.PartitionID
	Epoch     domain.Epoch
	// Changes increases with each lease that is acquired or lost.
	Changes uint64
	Leases  []port.SharedLease
}

// heldLease is the lease of one worker.
type heldLease struct {
	address    string
	lease      domain.LeaseID
	acquiredAt time.Time // when the response to the acquisition was received
}

// heldLeases holds the leases of a partition and the time of the last renewal. It
// is written by the leaseKeepers and read by other goroutines.
type heldLeases struct {
	mu      sync.Mutex
	leases  map[domain.WorkerID]heldLease
	changes uint64
	renewed time.Time
}

func (h *heldLeases) acquired(worker domain.WorkerID, lease heldLease, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leases == nil {
		h.leases = make(map[domain.WorkerID]heldLease)
	}
	h.leases[worker] = lease
	h.changes++
	h.updateRenewed(sentAt)
}

// drop removes the lease, unless the worker already has another one.
func (h *heldLeases) drop(worker domain.WorkerID, lease domain.LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.leases[worker]; ok && held.lease == lease {
		delete(h.leases, worker)
		h.changes++
	}
}

// recordRenewal records the time at which a renewal is sent.
func (h *heldLeases) recordRenewal(sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateRenewed(sentAt)
}

// updateRenewed is called with the lock held.
func (h *heldLeases) updateRenewed(sentAt time.Time) {
	if sentAt.After(h.renewed) {
		h.renewed = sentAt
	}
}

func (h *heldLeases) lastRenewal() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewed
}

func (h *heldLeases) list(now time.Time) ([]port.SharedLease, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	leases := make([]port.SharedLease, 0, len(h.leases))
	for worker, held := range h.leases {
		leases = append(leases, port.SharedLease{
			Worker: worker, Address: held.address, Lease: held.lease, Age: now.Sub(held.acquiredAt),
		})
	}
	return leases, h.changes
}

// SharedLeases lists the worker leases of all partitions of this instance.
func (m *Manager) SharedLeases() []PartitionLeases {
	m.mu.Lock()
	owned := m.ownedList()
	m.mu.Unlock()
	lists := make([]PartitionLeases, 0, len(owned))
	for _, p := range owned {
		leases, changes := p.held.list(m.o.Clock.Now())
		lists = append(lists, PartitionLeases{Partition: p.id, Epoch: p.epoch, Changes: changes, Leases: leases})
	}
	return lists
}

// Depose stops the partition if this instance runs it under a lower epoch. It
// returns once this instance no longer renews any of its leases, with the time at
// which the last renewal or acquisition was sent, or zero if there was none. It
// returns false if this instance runs the partition under this epoch or a higher one.
func (m *Manager) Depose(id domain.PartitionID, epoch domain.Epoch) (time.Time, bool) {
	m.mu.Lock()
	p := m.owned[id]
	handingOver := m.handingOver[id]
	m.mu.Unlock()
	if p != nil && p.epoch >= epoch {
		return time.Time{}, false
	}
	if handingOver != nil {
		<-handingOver.done
	}
	if p != nil {
		p.Stop()
		m.removePartition(id, p)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastRenewals[id]
	if handingOver != nil && handingOver.held.lastRenewal().After(last) {
		last = handingOver.held.lastRenewal()
	}
	return last, true
}

// recordLastRenewal is called with the lock held when the partition has ended.
func (m *Manager) recordLastRenewal(p *Partition) {
	if last := p.held.lastRenewal(); last.After(m.lastRenewals[p.id]) {
		m.lastRenewals[p.id] = last
	}
}
