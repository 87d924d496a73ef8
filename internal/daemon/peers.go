package daemon

import (
	"context"
	"time"

	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// depositionTimeout bounds the question to a former owner.
const depositionTimeout = 2 * time.Second

// peerView shows the membership to the task plane.
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

// formerOwners finds out when a former owner stopped renewing leases: it
// acknowledges so itself, or its process provably ended.
type formerOwners struct {
	peers *peering.Service
	self  domain.InstanceID
	clock port.Clock
}

// StoppedAt implements taskplane.FormerOwners.
func (f formerOwners) StoppedAt(ctx context.Context, former domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (time.Time, bool) {
	asked := f.clock.Now()
	if m, ok := f.peers.Get(former); ok && m.State.Gone() {
		return asked, true
	}
	peer, ok := f.peers.Peer(former)
	if !ok {
		return time.Time{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, depositionTimeout)
	defer cancel()
	answer, err := peer.AcknowledgeDeposition(ctx, f.self, partition, epoch)
	if err != nil || !answer.Acknowledged {
		return time.Time{}, false
	}
	return f.clock.Now(), true
}

// depositions answers successors of partitions that this instance owned.
type depositions struct {
	manager *taskplane.Manager
}

// AcknowledgeDeposition stops the partition where it still runs here under a
// lower epoch. Stopping ends the renewals before the answer is sent.
func (d depositions) AcknowledgeDeposition(_ context.Context, _ domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.Deposition, error) {
	if p, ok := d.manager.Partition(partition); ok {
		if p.Epoch() >= epoch {
			return port.Deposition{}, nil
		}
		p.Stop()
	}
	return port.Deposition{Acknowledged: true, SinceLastRenewalMS: -1}, nil
}
