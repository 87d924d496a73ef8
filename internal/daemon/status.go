package daemon

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// Version is the version of the program.
const Version = "0.1.0"

// statusTimeout bounds the status calls to the other instances.
const statusTimeout = 2 * time.Second

// statusSource serves the state of this instance to peers.
type statusSource struct {
	instance *Instance
}

// PeerStatus implements peering.StatusSource.
func (s statusSource) PeerStatus(ctx context.Context) (any, error) {
	return s.instance.details(ctx), nil
}

func (i *Instance) details(ctx context.Context) api.InstanceDetails {
	age, _ := i.config.Age()
	d := api.InstanceDetails{
		Version:      Version,
		Ready:        i.config.Ready() && !i.Draining(),
		ConfigFresh:  i.config.Fresh(),
		ConfigAgeMS:  age.Milliseconds(),
		UptimeSecond: int64(i.clock.Now().Sub(i.started).Seconds()),
	}
	for _, id := range i.manager.Owned() {
		if p, ok := i.partitionStatus(ctx, id); ok {
			d.Partitions = append(d.Partitions, p)
		}
	}
	return d
}

func (i *Instance) partitionStatus(ctx context.Context, id domain.PartitionID) (api.PartitionStatus, bool) {
	p, ok := i.manager.Partition(id)
	if !ok {
		return api.PartitionStatus{}, false
	}
	stats, err := p.Stats(ctx)
	if err != nil {
		return api.PartitionStatus{}, false
	}
	return api.PartitionStatus{
		ID:           id,
		Epoch:        p.Epoch(),
		JobsQueued:   stats.JobsQueued,
		JobsRunning:  stats.JobsRunning,
		TasksWaiting: stats.TasksWaiting,
		TasksActive:  stats.TasksActive,
		Workers:      stats.Workers,
		Leased:       stats.WorkersLeased,
		Unreachable:  stats.WorkersUnreachable,
		Quarantined:  stats.WorkersQuarantined,
		Capacity:     stats.Capacity,
		Reserved:     stats.Reserved,
	}, true
}

// Status implements api.Cell. It calls the other instances concurrently.
func (i *Instance) Status(ctx context.Context) []api.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self := i.peers.Self()
	members := append([]membership.Member{self}, i.peers.List()...)
	list := make([]api.InstanceStatus, len(members))
	var group sync.WaitGroup
	for n, m := range members {
		group.Go(func() { list[n] = i.instanceStatus(ctx, m, m.ID == self.ID) })
	}
	group.Wait()
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (i *Instance) instanceStatus(ctx context.Context, m membership.Member, self bool) api.InstanceStatus {
	s := api.InstanceStatus{
		ID:            m.ID,
		State:         m.State.String(),
		Region:        m.Location.Region,
		Zone:          m.Location.Zone,
		Address:       m.RequestAddress,
		ConfigVersion: m.ConfigVersion,
		Draining:      m.Draining,
	}
	for _, p := range m.Partitions {
		s.Partitions = append(s.Partitions, p.ID)
	}
	if self {
		d := i.details(ctx)
		s.Details = &d
		return s
	}
	peer, ok := i.peers.Peer(m.ID)
	if !ok {
		s.Error = "the instance is gone"
		return s
	}
	raw, err := peer.Status(ctx)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	var reply struct {
		Parts api.InstanceDetails `json:"parts"`
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		s.Error = err.Error()
		return s
	}
	s.Details = &reply.Parts
	return s
}
