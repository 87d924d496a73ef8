package deputy

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	// shareInterval is the interval at which an unchanged list is sent again.
	shareInterval = 10 * time.Second
	// shareTimeout bounds one call to the deputy.
	shareTimeout = 2 * time.Second
	// leasesPerCall limits a call to about 200 KB, far below the maximum message size.
	leasesPerCall = 1000
)

// Directory lists the instances of the region and connects to them.
type Directory interface {
	// Live returns the live instances, including this one.
	Live() []taskplane.Member
	// Peer returns a client of the instance, or false if the instance has left or
	// is proven to have terminated.
	Peer(id domain.InstanceID) (port.Peer, bool)
}

// SharerOptions are the dependencies of a Sharer.
type SharerOptions struct {
	Instance  domain.InstanceID
	Region    domain.RegionID
	Directory Directory
	// Leases lists the leases of the partitions that this instance owns.
	Leases func() []taskplane.PartitionLeases
	Clock  port.Clock
}

// Sharer sends the leases of each partition that this instance owns to the
// partition's deputy. It records which instances may renew a lease, so that the
// owner does not treat a lease as expired while a deputy may still renew it. It
// is safe for concurrent use.
type Sharer struct {
	o SharerOptions

	mu       sync.Mutex
	sequence uint64
	shared   map[domain.PartitionID]*shareRecord
}

// shareRecord records to whom the leases of one partition were sent under one epoch.
type shareRecord struct {
	epoch   domain.Epoch
	holders map[domain.InstanceID]*holder
}

// holder is an instance that a list was sent to.
type holder struct {
	leases  map[domain.LeaseID]struct{} // the leases that it may hold
	changes uint64                      // change counter of the list that it last acknowledged
	ackedAt time.Time
}

// NewSharer returns a sharer that has not sent any leases.
func NewSharer(o SharerOptions) *Sharer {
	return &Sharer{o: o, shared: make(map[domain.PartitionID]*shareRecord)}
}

// Choose returns the deputy of the partition, or "" if the region has no other
// live instance that is not draining.
func Choose(partition domain.PartitionID, owner domain.InstanceID, region domain.RegionID, live []taskplane.Member) domain.InstanceID {
	var names []string
	for _, m := range live {
		if m.ID != owner && m.Region == region && !m.Draining {
			names = append(names, string(m.ID))
		}
	}
	return domain.InstanceID(rendezvous.Choose(string(partition), names))
}

// Run calls Tick every tickInterval until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	ctxtime.Every(ctx, tickInterval, func() { s.Tick(ctx) })
}

// Tick sends the lists that are due: changed lists, lists for a new deputy, and
// unchanged lists every shareInterval. An instance that is no longer the deputy
// receives an empty list.
func (s *Sharer) Tick(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range s.planMessages() {
		group.Go(func() { s.send(ctx, m) })
	}
	group.Wait()
}

// message is a list of leases to be sent to one instance.
type message struct {
	to       domain.InstanceID
	list     taskplane.PartitionLeases
	sequence uint64
}

// planMessages returns the lists that are due. It holds the lock from reading the leases
// until they are recorded as exposed, so that Withdrawn accounts for every list
// that was read before a lease was lost.
func (s *Sharer) planMessages() []message {
	s.mu.Lock()
	defer s.mu.Unlock()
	lists := s.o.Leases()
	live := s.o.Directory.Live()
	s.dropStaleEpochs(lists)
	var due []message
	for _, list := range lists {
		deputy := Choose(list.Partition, s.o.Instance, s.o.Region, live)
		for _, to := range s.dueReceivers(list, deputy) {
			m := message{to: to, list: list}
			if to != deputy {
				m.list.Leases = nil
			}
			s.sequence++
			m.sequence = s.sequence
			s.markExposed(m)
			due = append(due, m)
		}
	}
	return due
}

// Withdrawn implements taskplane.LeaseDeputies.
func (s *Sharer) Withdrawn(partition domain.PartitionID, lease domain.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.shared[partition]
	if !ok {
		return true
	}
	for id, h := range p.holders {
		if _, held := h.leases[lease]; !held {
			continue
		}
		if _, ok := s.o.Directory.Peer(id); ok {
			return false
		}
	}
	return true
}

// dropStaleEpochs drops the records of partitions that this instance no longer owns under
// the same epoch. The caller holds the lock.
func (s *Sharer) dropStaleEpochs(lists []taskplane.PartitionLeases) {
	epochs := make(map[domain.PartitionID]domain.Epoch, len(lists))
	for _, list := range lists {
		epochs[list.Partition] = list.Epoch
	}
	for id, p := range s.shared {
		if epochs[id] != p.epoch {
			delete(s.shared, id)
		}
	}
}

// dueReceivers returns the instances that the list is due for. The caller holds the
// lock.
func (s *Sharer) dueReceivers(list taskplane.PartitionLeases, deputy domain.InstanceID) []domain.InstanceID {
	p, ok := s.shared[list.Partition]
	if !ok {
		p = &shareRecord{epoch: list.Epoch, holders: make(map[domain.InstanceID]*holder)}
		s.shared[list.Partition] = p
	}
	if _, known := p.holders[deputy]; !known && deputy != "" {
		p.holders[deputy] = &holder{leases: make(map[domain.LeaseID]struct{})}
	}
	now := s.o.Clock.Now()
	var due []domain.InstanceID
	for id, h := range p.holders {
		switch {
		case id == deputy && (h.ackedAt.IsZero() || h.changes != list.Changes || now.Sub(h.ackedAt) >= shareInterval):
			due = append(due, id)
		case id != deputy && len(h.leases) > 0:
			due = append(due, id)
		case id != deputy:
			delete(p.holders, id)
		}
	}
	return due
}

func (s *Sharer) send(ctx context.Context, m message) {
	peer, ok := s.o.Directory.Peer(m.to)
	if !ok {
		s.dropHolder(m)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	leases := m.list.Leases
	part := port.SharedLeases{From: s.o.Instance, Partition: m.list.Partition, Epoch: m.list.Epoch, Sequence: m.sequence}
	part.Chunks = max(1, (len(leases)+leasesPerCall-1)/leasesPerCall)
	for part.Chunk = range part.Chunks {
		first := part.Chunk * leasesPerCall
		part.Leases = leases[first:min(first+leasesPerCall, len(leases))]
		if peer.ShareLeases(ctx, part) != nil {
			return
		}
	}
	s.markAcknowledged(m)
}

// holder returns the record of the message's receiver, or nil if the partition
// has a different epoch now. The caller holds the lock.
func (s *Sharer) holder(m message) *holder {
	p, ok := s.shared[m.list.Partition]
	if !ok || p.epoch != m.list.Epoch {
		return nil
	}
	return p.holders[m.to]
}

// markExposed records, before the call, that the instance may hold the leases. The
// caller holds the lock.
func (s *Sharer) markExposed(m message) {
	if h := s.holder(m); h != nil {
		for _, l := range m.list.Leases {
			h.leases[l.Lease] = struct{}{}
		}
	}
}

// markAcknowledged records that the instance holds exactly the leases of this list.
func (s *Sharer) markAcknowledged(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder(m)
	if h == nil {
		return
	}
	clear(h.leases)
	s.markExposed(m)
	h.changes = m.list.Changes
	h.ackedAt = s.o.Clock.Now()
}

// dropHolder removes the record of an instance that has left or is proven to have
// terminated.
func (s *Sharer) dropHolder(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.shared[m.list.Partition]; ok && p.epoch == m.list.Epoch {
		delete(p.holders, m.to)
	}
}
