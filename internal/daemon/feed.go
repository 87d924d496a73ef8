package daemon

import (
	"context"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	// reportInterval is the interval at which this instance's state is passed to the membership.
	reportInterval = 250 * time.Millisecond
	// bootstrapInterval is the delay between attempts to create the first configuration.
	bootstrapInterval = time.Second
)

// applyConfigVersions passes each new configuration version to the allotments and the task plane.
func (i *Instance) applyConfigVersions(ctx context.Context) {
	versions := i.config.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-versions:
			i.allotments.setConfig(snapshot.Doc)
			i.manager.SetInputs(taskPlaneInputs(snapshot.Doc))
			i.log.Info("configuration in force", zap.Uint64("version", snapshot.Version()))
		}
	}
}

func taskPlaneInputs(doc domain.ConfigDocument) taskplane.Inputs {
	in := taskplane.Inputs{Partitions: doc.Partitions}
	for id, row := range doc.Teams {
		in.Teams = append(in.Teams, sched.TeamRow{ID: id, Share: row.Share, Limit: row.Limit})
	}
	sort.Slice(in.Teams, func(a, b int) bool { return in.Teams[a].ID < in.Teams[b].ID })
	return in
}

// reportState periodically passes this instance's state to the membership.
func (i *Instance) reportState(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.peers.SetPartitions(i.ownedPartitions())
		i.peers.SetSlots(i.freeSlots())
		i.exchangeConfig()
		if i.peers.Superseded() {
			// Otherwise two processes would act under the same instance ID.
			i.log.Error("another process runs with this instance ID; shutting down")
			i.Drain()
			return
		}
	}
}

// freeSlots lists the queues that have free slots on this instance, with their number.
func (i *Instance) freeSlots() []membership.QueueSlots {
	current := i.config.Current()
	if current == nil {
		return nil
	}
	var slots []membership.QueueSlots
	for _, queue := range slices.Sorted(maps.Keys(current.Doc.Queues)) {
		if free := i.plane.FreeSlots(queue); free > 0 {
			slots = append(slots, membership.QueueSlots{Queue: queue, Free: uint32(free)})
		}
	}
	return slots
}

func (i *Instance) ownedPartitions() []membership.OwnedPartition {
	var owned []membership.OwnedPartition
	for _, id := range i.manager.Owned() {
		if p, ok := i.manager.Partition(id); ok {
			owned = append(owned, membership.OwnedPartition{ID: id, Epoch: p.Epoch()})
		}
	}
	return owned
}

// bootstrap creates the first configuration, which contains the operator's key,
// if the store has none yet.
func (i *Instance) bootstrap(ctx context.Context) {
	file := i.settings.Bootstrap.KeyFile
	if file == "" {
		return
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		i.log.Error("bootstrap.key_file cannot be read", zap.Error(err))
		return
	}
	key, err := teamkey.Parse(strings.TrimSpace(string(raw)))
	if err != nil {
		i.log.Error("bootstrap.key_file does not contain a valid key", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		if current := i.config.Current(); current != nil && current.Version() > 0 {
			return
		}
		// The VM list may be empty at first, but the partition's zones are taken from it.
		if vms, _, _ := i.vms.Last(); i.config.Ready() && len(vms) > 0 {
			i.createConfig(ctx, key)
		}
		ctxtime.Sleep(ctx, bootstrapInterval)
	}
}

func (i *Instance) createConfig(ctx context.Context, key teamkey.Key) {
	operators := domain.TeamRow{Share: 1}
	_, err := i.config.Apply(ctx, confdoc.Edit{
		ID: "bootstrap-" + key.ID(),
		Import: &confdoc.Import{Table: confdoc.Table{
			Teams: map[domain.TeamID]domain.TeamRow{"operators": operators},
			Keys: map[string]domain.KeyRow{key.ID(): {
				Team: "operators", SecretSHA256: key.SecretSHA256(), Operator: true, Granted: i.clock.Now(),
			}},
			Partitions: []domain.PartitionRow{{
				ID:     domain.PartitionID(i.settings.Location.Region),
				Region: i.settings.Location.Region,
				Zones:  i.zonesOfRegion(),
			}},
		}},
	})
	if err != nil {
		i.log.Warn("first configuration was not created; retrying", zap.Error(err))
		return
	}
	i.log.Info("first configuration created", zap.String("operator_key", key.ID()))
}

// zonesOfRegion returns the availability zone of this instance and those of the
// region in which the platform's list has VMs.
func (i *Instance) zonesOfRegion() []domain.ZoneID {
	zones := []domain.ZoneID{i.settings.Location.Zone}
	vms, _, _ := i.vms.Last()
	for _, vm := range vms {
		if vm.Location.Region == i.settings.Location.Region && !slices.Contains(zones, vm.Location.Zone) {
			zones = append(zones, vm.Location.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// configSource serves the configuration to peers.
type configSource struct {
	config *confsync.Sync
}

// FetchConfig implements peering.ConfigSource.
func (c configSource) FetchConfig(_ context.Context, newerThan uint64) (port.PeerConfig, error) {
	current := c.config.Current()
	if current == nil {
		return port.PeerConfig{}, nil
	}
	reply := port.PeerConfig{Version: current.Version()}
	if current.Version() <= newerThan {
		return reply, nil
	}
	if doc, ok := c.config.Document(); ok {
		reply.Document = doc
	}
	return reply, nil
}

var _ peering.ConfigSource = configSource{}
