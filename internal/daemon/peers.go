package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnpier/internal/app/deputy"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// stepDownTimeout bounds one step-down call to a former owner or a possible deputy.
const stepDownTimeout = 2 * time.Second

// peerView adapts the membership to the interfaces of the task plane.
type peerView struct {
	peers *peering.Service
}

// Live implements taskplane.Members.
func (v peerView) Live() []taskplane.Member {
	self := v.peers.Self()
	live := []taskplane.Member{toMember(self)}
	for _, m := range v.peers.List() {
		if m.State == membership.StateAlive || m.State == membership.StateSuspect {
			live = append(live, toMember(m))
		}
	}
	return live
}

func toMember(m membership.Member) taskplane.Member {
	t := taskplane.Member{ID: m.ID, Region: m.Location.Region, Draining: m.Draining}
	for _, p := range m.Partitions {
		t.Owned = append(t.Owned, p.ID)
	}
	return t
}

// Owner implements taskplane.Directory.
func (v peerView) Owner(partition domain.PartitionID) (domain.InstanceID, bool) {
	m, _, ok := v.peers.Owner(partition)
	return m.ID, ok
}

// Peer implements taskplane.Directory.
func (v peerView) Peer(id domain.InstanceID) (port.Peer, bool) {
	return v.peers.Peer(id)
}

// deputyCluster adapts the membership to the interface of the deputy.
type deputyCluster struct {
	*peering.Service
}

// Incarnation implements deputy.Cluster.
func (c deputyCluster) Incarnation(id domain.InstanceID) uint64 {
	m, _ := c.Get(id)
	return m.Incarnation
}

// Ended implements deputy.Cluster. Incarnation 0 stands for a member that was never
// listed, which does not count as ended.
func (c deputyCluster) Ended(id domain.InstanceID, incarnation uint64) bool {
	m, ok := c.Get(id)
	if incarnation == 0 {
		return false
	}
	return !ok || m.Incarnation > incarnation || m.State == membership.StateDead || m.State.Departed()
}

// Epoch implements deputy.Cluster.
func (c deputyCluster) Epoch(partition domain.PartitionID) domain.Epoch {
	_, epoch, _ := c.Owner(partition)
	return epoch
}

// regionPeers is the part of the peering service that formerOwners uses.
type regionPeers interface {
	List() []membership.Member
	Get(id domain.InstanceID) (membership.Member, bool)
	Peer(id domain.InstanceID) (port.Peer, bool)
}

// formerOwners determines when all lease renewals for a former owner have stopped.
// The owner and every other member of the region, each of which could be its
// deputy, must either acknowledge this or have provably ended.
type formerOwners struct {
	peers  regionPeers
	deputy *deputy.Deputy
	self   domain.InstanceID
	region domain.RegionID
	clock  port.Clock
}

// StoppedAt implements taskplane.FormerOwners.
func (f formerOwners) StoppedAt(ctx context.Context, former domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (time.Time, bool) {
	f.deputy.Depose(partition, epoch)
	if !f.renewalsStopped(ctx, former, partition, epoch) {
		return time.Time{}, false
	}
	// The members are listed after the former owner stopped, because until then it
	// could choose another deputy.
	var unacknowledged atomic.Int64
	var calls sync.WaitGroup
	for _, m := range f.peers.List() {
		if m.Location.Region != f.region || m.ID == former {
			continue
		}
		calls.Go(func() {
			if !f.renewalsStopped(ctx, m.ID, partition, epoch) {
				unacknowledged.Add(1)
			}
		})
	}
	calls.Wait()
	return f.clock.Now(), unacknowledged.Load() == 0
}

// renewalsStopped reports whether the instance has stopped renewing leases below the
// epoch. An earlier process with this instance's own ID must have ended, since
// this one could not listen on its address before.
func (f formerOwners) renewalsStopped(ctx context.Context, id domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) bool {
	if id == f.self {
		return true
	}
	if m, ok := f.peers.Get(id); ok && m.State.Departed() {
		return true
	}
	peer, ok := f.peers.Peer(id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout)
	defer cancel()
	reply, err := peer.StepDown(ctx, f.self, partition, epoch)
	return err == nil && reply.Acknowledged
}

// stepDownHandler handles step-down calls from new owners of partitions that this
// instance owned or was the deputy for.
type stepDownHandler struct {
	manager *taskplane.Manager
	deputy  *deputy.Deputy
	clock   port.Clock
}

// StepDown stops the partition if this instance still runs it with a lower epoch,
// and stops the deputy's renewals. Both have stopped before the reply is sent.
func (d stepDownHandler) StepDown(_ context.Context, _ domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.StepDownReply, error) {
	last := d.deputy.Depose(partition, epoch)
	own, ok := d.manager.Depose(partition, epoch)
	if !ok {
		return port.StepDownReply{}, nil
	}
	if own.After(last) {
		last = own
	}
	reply := port.StepDownReply{Acknowledged: true, SinceLastRenewalMS: -1}
	if !last.IsZero() {
		reply.SinceLastRenewalMS = max(0, d.clock.Now().Sub(last).Milliseconds())
	}
	return reply, nil
}
