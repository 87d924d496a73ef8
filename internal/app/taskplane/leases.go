package taskplane

import (
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// LeaseDeputies tells whether leases of this instance may be renewed by a deputy.
type LeaseDeputies interface {
	// Withdrawn reports whether no deputy renews the lease from now on. It is
	// asked for leases that are off the list of PartitionLeases.
	Withdrawn(partition domain.PartitionID, lease domain.LeaseID) bool
}

// PartitionLeases lists the worker leases of one partition that runs here.
type PartitionLeases struct {
	Partition domain.PartitionID
	Epoch     domain.Epoch
	// Changes grows with each lease that is acquired or lost.
	Changes uint64
	Leases  []port.SharedLease
}

// heldLease is the lease of one worker.
type heldLease struct {
	address string
	lease   domain.LeaseID
	at      time.Time // receipt of the answer to the acquisition
}

// heldLeases holds the leases of a partition and the time of its last renewal.
// The keepers write it; other goroutines read it.
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
	h.note(sentAt)
}

// drop removes the lease, unless the worker has another one by now.
func (h *heldLeases) drop(worker domain.WorkerID, lease domain.LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.leases[worker]; ok && held.lease == lease {
		delete(h.leases, worker)
		h.changes++
	}
}

// renewing notes that a renewal is sent.
func (h *heldLeases) renewing(sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(sentAt)
}

// note is called with the lock held.
func (h *heldLeases) note(sentAt time.Time) {
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
			Worker: worker, Address: held.address, Lease: held.lease, Age: now.Sub(held.at),
		})
	}
	return leases, h.changes
}

// SharedLeases lists the worker leases of the partitions that run here.
func (m *Manager) SharedLeases() []PartitionLeases {
	m.mu.Lock()
	owned := m.list()
	m.mu.Unlock()
	lists := make([]PartitionLeases, 0, len(owned))
	for _, p := range owned {
		leases, changes := p.held.list(m.o.Clock.Now())
		lists = append(lists, PartitionLeases{Partition: p.id, Epoch: p.epoch, Changes: changes, Leases: leases})
	}
	return lists
}

// Depose stops the partition where it runs here under a lower epoch. It returns
// when this instance renews no lease of it any more, with the time at which the
// last renewal or acquisition was sent, or zero where there was none. It returns
// false where the partition runs here under the epoch or a higher one.
func (m *Manager) Depose(id domain.PartitionID, epoch domain.Epoch) (time.Time, bool) {
	m.mu.Lock()
	p := m.owned[id]
	leaving := m.leaving[id]
	m.mu.Unlock()
	if p != nil && p.epoch >= epoch {
		return time.Time{}, false
	}
	if leaving != nil {
		<-leaving.done
	}
	if p != nil {
		p.Stop()
		m.forget(id, p)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.renewed[id]
	if leaving != nil && leaving.held.lastRenewal().After(last) {
		last = leaving.held.lastRenewal()
	}
	return last, true
}

// noteRenewal is called with the lock held when the partition has ended.
func (m *Manager) noteRenewal(p *Partition) {
	if last := p.held.lastRenewal(); last.After(m.renewed[p.id]) {
		m.renewed[p.id] = last
	}
}
