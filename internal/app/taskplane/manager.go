package taskplane

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
)

// Intervals of the manager.
const (
	manageInterval = 500 * time.Millisecond
	// ownerlessGrace is how long a partition has no live owner before it is
	// taken over, so that news of a hand-over can arrive first.
	ownerlessGrace = 2 * time.Second
	// misplacedGrace is how long another instance is the better owner before
	// the partition is handed over.
	misplacedGrace = 10 * time.Second
	// openTimeout bounds one takeover.
	openTimeout = 20 * time.Second
)

// Member is a live instance as the task plane sees it.
type Member struct {
	ID       domain.InstanceID
	Region   domain.RegionID
	Draining bool
	// Owned lists the partitions that the instance says it owns.
	Owned []domain.PartitionID
}

// Members is the membership that partitions are divided over.
type Members interface {
	// Live returns the live instances, this one included.
	Live() []Member
}

// FormerOwners finds out when a former owner stopped renewing leases.
type FormerOwners interface {
	// StoppedAt returns the last moment at which the instance can have renewed
	// a lease of the partition under an epoch below the given one, or false
	// where that is not known yet.
	StoppedAt(ctx context.Context, former domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (time.Time, bool)
}

// Inputs is what the partitions are fed with.
type Inputs struct {
	Partitions []domain.PartitionRow
	Teams      []sched.TeamRow
}

// Manager owns the partitions of this instance: it takes over those without a
// live owner and hands over those that another instance should own.
type Manager struct {
	o       Options
	region  domain.RegionID
	members Members
	former  FormerOwners

	mu       sync.Mutex
	inputs   Inputs
	vms      []domain.VM
	owned    map[domain.PartitionID]*Partition
	since    map[domain.PartitionID]time.Time // when the present disagreement about the owner began
	draining bool
	leaving  map[domain.PartitionID]*Partition // handed over at the end of Run
	renewed  map[domain.PartitionID]time.Time  // last renewal of partitions that no longer run here
}

// NewManager returns a manager that owns nothing yet.
func NewManager(o Options, region domain.RegionID, members Members, former FormerOwners) *Manager {
	return &Manager{
		o:       o,
		region:  region,
		members: members,
		former:  former,
		owned:   make(map[domain.PartitionID]*Partition),
		since:   make(map[domain.PartitionID]time.Time),
		renewed: make(map[domain.PartitionID]time.Time),
	}
}

// Run divides partitions until ctx ends, then hands all of them over.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		m.review(ctx)
		select {
		case <-ctx.Done():
			m.HandOver()
			return
		case <-ticker.C:
		}
	}
}

// SetInputs replaces the configuration that partitions run under.
func (m *Manager) SetInputs(in Inputs) {
	m.mu.Lock()
	m.inputs = in
	owned := m.list()
	m.mu.Unlock()
	for _, p := range owned {
		p.setInputs(in)
	}
}

// SetVMs passes one read of the platform's list on.
func (m *Manager) SetVMs(vms []domain.VM) {
	m.mu.Lock()
	m.vms = vms
	rows := m.inputs.Partitions
	owned := m.list()
	m.mu.Unlock()
	for _, p := range owned {
		p.setWorkers(workersOf(rows, p.id, vms))
	}
}

// Owned returns the partitions that run here, by name.
func (m *Manager) Owned() []domain.PartitionID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]domain.PartitionID, 0, len(m.owned))
	for id := range m.owned {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Partition returns the partition where it runs here.
func (m *Manager) Partition(id domain.PartitionID) (*Partition, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.owned[id]
	return p, ok
}

// HandOver stops all partitions and takes no more.
func (m *Manager) HandOver() {
	m.mu.Lock()
	m.draining = true
	owned := m.list()
	m.leaving = m.owned
	m.owned = make(map[domain.PartitionID]*Partition)
	m.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range owned {
		group.Go(func() {
			p.Stop()
			m.forget(p.id, p)
		})
	}
	group.Wait()
}

// list is called with the lock held.
func (m *Manager) list() []*Partition {
	list := make([]*Partition, 0, len(m.owned))
	for _, p := range m.owned {
		list = append(list, p)
	}
	return list
}

func (m *Manager) review(ctx context.Context) {
	m.dropEnded()
	m.mu.Lock()
	rows := m.inputs.Partitions
	m.mu.Unlock()
	live := m.members.Live()
	for _, row := range rows {
		if row.Region == m.region {
			m.reviewPartition(ctx, row.ID, live)
		}
	}
	m.dropUnconfigured(rows)
}

func (m *Manager) reviewPartition(ctx context.Context, id domain.PartitionID, live []Member) {
	choice, others := preferredOwner(id, m.region, live)
	m.mu.Lock()
	p := m.owned[id]
	draining := m.draining
	m.mu.Unlock()
	now := m.o.Clock.Now()
	switch {
	case draining:
	case p != nil && choice == m.o.Instance, p == nil && ownedByOther(id, m.o.Instance, live), p == nil && choice != m.o.Instance:
		delete(m.since, id)
	case p != nil:
		if m.persisted(id, now, misplacedGrace) {
			m.handOver(id, p)
		}
	default:
		if others == 0 || m.persisted(id, now, ownerlessGrace) {
			m.open(ctx, id)
		}
	}
}

// persisted reports whether the disagreement about the owner lasts for d.
func (m *Manager) persisted(id domain.PartitionID, now time.Time, d time.Duration) bool {
	since, ok := m.since[id]
	if !ok {
		m.since[id] = now
		return false
	}
	return now.Sub(since) >= d
}

func (m *Manager) open(ctx context.Context, id domain.PartitionID) {
	octx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	p, former, err := open(octx, ctx, m.o, id)
	if err != nil {
		m.o.Log.Warn("partition cannot be taken over, it is tried again",
			zap.String("partition", string(id)), zap.Error(err))
		return
	}
	delete(m.since, id)
	m.mu.Lock()
	m.owned[id] = p
	in, vms := m.inputs, m.vms
	m.mu.Unlock()
	p.setInputs(in)
	if vms != nil {
		p.setWorkers(workersOf(in.Partitions, id, vms))
	}
	if former != "" {
		go m.proveStopped(ctx, p, former)
	}
}

// proveStopped asks until it is known when the former owner stopped renewing leases.
func (m *Manager) proveStopped(ctx context.Context, p *Partition, former domain.InstanceID) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		at, ok := m.former.StoppedAt(ctx, former, p.id, p.epoch)
		if ok {
			p.post(ctx, sched.FormerOwnerStopped{At: at})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) handOver(id domain.PartitionID, p *Partition) {
	m.o.Log.Info("partition is handed over to its preferred owner", zap.String("partition", string(id)))
	delete(m.since, id)
	p.Stop()
	m.forget(id, p)
}

func (m *Manager) forget(id domain.PartitionID, p *Partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteRenewal(p)
	if m.owned[id] == p {
		delete(m.owned, id)
	}
}

func (m *Manager) dropEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.owned {
		select {
		case <-p.done:
			m.noteRenewal(p)
			delete(m.owned, id)
		default:
		}
	}
}

func (m *Manager) dropUnconfigured(rows []domain.PartitionRow) {
	if len(rows) == 0 {
		return
	}
	known := make(map[domain.PartitionID]bool)
	for _, row := range rows {
		known[row.ID] = true
	}
	m.mu.Lock()
	owned := m.list()
	m.mu.Unlock()
	for _, p := range owned {
		if !known[p.id] {
			p.Stop()
			m.forget(p.id, p)
		}
	}
}

// preferredOwner chooses over the live instances of the region that do not
// drain. It returns the number of the other instances too.
func preferredOwner(id domain.PartitionID, region domain.RegionID, live []Member) (domain.InstanceID, int) {
	var names []string
	for _, member := range live {
		if member.Region == region && !member.Draining {
			names = append(names, string(member.ID))
		}
	}
	return domain.InstanceID(rendezvous.Choose(string(id), names)), max(0, len(names)-1)
}

func ownedByOther(id domain.PartitionID, self domain.InstanceID, live []Member) bool {
	for _, member := range live {
		if member.ID == self {
			continue
		}
		for _, owned := range member.Owned {
			if owned == id {
				return true
			}
		}
	}
	return false
}

func workersOf(rows []domain.PartitionRow, id domain.PartitionID, vms []domain.VM) []domain.VM {
	zones := make(map[domain.ZoneID]bool)
	var region domain.RegionID
	for _, row := range rows {
		if row.ID != id {
			continue
		}
		region = row.Region
		for _, z := range row.Zones {
			zones[z] = true
		}
	}
	var workers []domain.VM
	for _, vm := range vms {
		if vm.Role == domain.RoleWorker && vm.Location.Region == region && zones[vm.Location.Zone] {
			workers = append(workers, vm)
		}
	}
	return workers
}
