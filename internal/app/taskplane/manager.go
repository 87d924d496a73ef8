package taskplane

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
)

// Intervals of the manager.
const (
	manageInterval = 500 * time.Millisecond
	// ownerlessGrace is how long a partition must have no live owner before it is
	// taken over, so that a hand-over can be announced first.
	ownerlessGrace = 2 * time.Second
	// misplacedGrace is how long another instance must be the preferred owner before
	// the partition is handed over.
	misplacedGrace = 10 * time.Second
	// openTimeout bounds one takeover.
	openTimeout = 20 * time.Second
)

// Member describes a live instance.
type Member struct {
	ID       domain.InstanceID
	Region   domain.RegionID
	Draining bool
	// Owned lists the partitions that the instance reports to own.
	Owned []domain.PartitionID
}

// Members lists the instances that partitions are assigned to.
type Members interface {
	// Live returns the live instances, this one included.
	Live() []Member
}

// FormerOwners determines when a former owner stopped renewing leases.
type FormerOwners interface {
	// StoppedAt returns the latest time at which the instance can have renewed a
	// lease of the partition under an epoch below the given one, or false if that
	// is not known yet.
	StoppedAt(ctx context.Context, former domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (time.Time, bool)
}

// Inputs is the configuration of the partitions and teams.
type Inputs struct {
	Partitions []domain.PartitionRow
	Teams      []sched.TeamRow
}

// Manager manages the partitions of this instance: it takes over those without a
// live owner and hands over those that another instance should own.
type Manager struct {
	o       Options
	region  domain.RegionID
	members Members
	former  FormerOwners

	mu              sync.Mutex
	inputs          Inputs
	vms             []domain.VM
	owned           map[domain.PartitionID]*Partition
	mismatchedSince map[domain.PartitionID]time.Time // since when the actual and the preferred owner differ
	draining        bool
	handingOver     map[domain.PartitionID]*Partition // handed over at the end of Run
	lastRenewals    map[domain.PartitionID]time.Time  // last renewal of partitions that this instance no longer runs
}

// NewManager returns a manager that owns no partitions yet.
func NewManager(o Options, region domain.RegionID, members Members, former FormerOwners) *Manager {
	return &Manager{
		o:               o,
		region:          region,
		members:         members,
		former:          former,
		owned:           make(map[domain.PartitionID]*Partition),
		mismatchedSince: make(map[domain.PartitionID]time.Time),
		lastRenewals:    make(map[domain.PartitionID]time.Time),
	}
}

// Run takes over and hands over partitions until ctx ends, then hands over all of them.
func (m *Manager) Run(ctx context.Context) {
	ctxtime.Repeat(ctx, manageInterval, func() { m.reconcile(ctx) })
	m.HandOver()
}

// SetInputs replaces the configuration of the partitions.
func (m *Manager) SetInputs(in Inputs) {
	m.mu.Lock()
	m.inputs = in
	owned := m.ownedList()
	m.mu.Unlock()
	for _, p := range owned {
		p.setInputs(in)
	}
}

// SetVMs passes a new read of the platform's VM list to the partitions.
func (m *Manager) SetVMs(vms []domain.VM) {
	m.mu.Lock()
	m.vms = vms
	rows := m.inputs.Partitions
	owned := m.ownedList()
	m.mu.Unlock()
	for _, p := range owned {
		p.setWorkers(workersOf(rows, p.id, vms))
	}
}

// Owned returns the partitions of this instance, sorted by name.
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

// Partition returns the partition if this instance runs it.
func (m *Manager) Partition(id domain.PartitionID) (*Partition, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.owned[id]
	return p, ok
}

// HandOver stops all partitions and takes over no more.
func (m *Manager) HandOver() {
	m.mu.Lock()
	m.draining = true
	owned := m.ownedList()
	m.handingOver = m.owned
	m.owned = make(map[domain.PartitionID]*Partition)
	m.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range owned {
		group.Go(func() {
			p.Stop()
			m.removePartition(p.id, p)
		})
	}
	group.Wait()
}

// ownedList is called with the lock held.
func (m *Manager) ownedList() []*Partition {
	list := make([]*Partition, 0, len(m.owned))
	for _, p := range m.owned {
		list = append(list, p)
	}
	return list
}

func (m *Manager) reconcile(ctx context.Context) {
	m.dropEnded()
	m.mu.Lock()
	rows := m.inputs.Partitions
	m.mu.Unlock()
	live := m.members.Live()
	for _, row := range rows {
		if row.Region == m.region {
			m.reconcilePartition(ctx, row.ID, live)
		}
	}
	m.dropUnconfigured(rows)
}

func (m *Manager) reconcilePartition(ctx context.Context, id domain.PartitionID, live []Member) {
	choice, others := preferredOwner(id, m.region, live)
	m.mu.Lock()
	p := m.owned[id]
	draining := m.draining
	m.mu.Unlock()
	now := m.o.Clock.Now()
	switch {
	case draining:
	case p != nil && choice == m.o.Instance, p == nil && ownedByOther(id, m.o.Instance, live), p == nil && choice != m.o.Instance:
		delete(m.mismatchedSince, id)
	case p != nil:
		if m.mismatchedFor(id, now, misplacedGrace) {
			m.handOver(id, p)
		}
	default:
		if others == 0 || m.mismatchedFor(id, now, ownerlessGrace) {
			m.open(ctx, id)
		}
	}
}

// mismatchedFor reports whether the actual and the preferred owner have differed for d.
func (m *Manager) mismatchedFor(id domain.PartitionID, now time.Time, d time.Duration) bool {
	since, ok := m.mismatchedSince[id]
	if !ok {
		m.mismatchedSince[id] = now
		return false
	}
	return now.Sub(since) >= d
}

func (m *Manager) open(ctx context.Context, id domain.PartitionID) {
	octx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	p, former, err := open(octx, ctx, m.o, id)
	if err != nil {
		m.o.Log.Warn("cannot take over partition; retrying",
			zap.String("partition", string(id)), zap.Error(err))
		return
	}
	delete(m.mismatchedSince, id)
	m.mu.Lock()
	m.owned[id] = p
	in, vms := m.inputs, m.vms
	m.mu.Unlock()
	p.setInputs(in)
	if vms != nil {
		p.setWorkers(workersOf(in.Partitions, id, vms))
	}
	if former != "" {
		go m.awaitFormerOwner(ctx, p, former)
	}
}

// awaitFormerOwner polls until it is known when the former owner stopped renewing leases.
func (m *Manager) awaitFormerOwner(ctx context.Context, p *Partition, former domain.InstanceID) {
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
	m.o.Log.Info("handing over partition to its preferred owner", zap.String("partition", string(id)))
	delete(m.mismatchedSince, id)
	p.Stop()
	m.removePartition(id, p)
}

func (m *Manager) removePartition(id domain.PartitionID, p *Partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLastRenewal(p)
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
			m.recordLastRenewal(p)
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
	owned := m.ownedList()
	m.mu.Unlock()
	for _, p := range owned {
		if !known[p.id] {
			p.Stop()
			m.removePartition(p.id, p)
		}
	}
}

// preferredOwner chooses among the live instances of the region that are not
// draining. It also returns the number of the remaining candidates.
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
