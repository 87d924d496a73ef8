// Package celld assembles an instance that runs on the users' platform: the
// client entry, the owner of the cell, and the API between instances.
package celld

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/adapter/cellhttp"
	"auburnpier/internal/app/entry"
	"auburnpier/internal/app/owner"
	"auburnpier/internal/app/storerelay"
	"auburnpier/internal/app/workerfeed"
	"auburnpier/internal/app/workerrelay"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/guard"
	"auburnpier/internal/intake"
	"auburnpier/internal/logring"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/settings"
)

// Adapters are the platform's implementations of the ports.
type Adapters struct {
	Store   port.LeaseStore
	Workers port.WorkerClient
	// Registry and Config return readers of the workers' registry and of the
	// operator's configuration, which others write to the store.
	Registry func(port.LeaseStore) port.WorkerRegistry
	Config   func(port.LeaseStore) port.ConfigSource
	Approver port.Approver
	// VMs is used only if the settings name the VM service, and Waves only if they list duties too.
	VMs   port.VMFleet
	Waves func(port.LeaseStore) port.WaveSource
	// ClientHandler returns the HTTP handler of client requests.
	ClientHandler func(service *entry.Service, draining func() bool) http.Handler
}

const (
	// claimTTL is the TTL of the claim on the cell. It spans four renewal
	// intervals; a slow store, which takes up to 400 ms to answer, or a lost answer
	// uses up two of them.
	claimTTL = 1200 * time.Millisecond
	// workerLeaseTTL is how long tasks keep running after their owner fails. It
	// exceeds the time that another instance needs to take over the cell and reach
	// the workers.
	workerLeaseTTL = 4500 * time.Millisecond
	// unconfirmedGrace is how long an owner that cannot reach the store keeps
	// extending worker leases.
	unconfirmedGrace = 3 * time.Second
	// sufficientCPUShare is the number of cores that an owner needs for a few
	// hundred workers. Smaller VMs wait up to maxClaimDelay before they claim the
	// cell.
	sufficientCPUShare = 0.8
	maxClaimDelay      = 400 * time.Millisecond
	// maxDirectWorkers is the number of workers up to which an owner makes all
	// worker calls itself rather than through relay instances. At 350 workers with
	// 750 starts per second these calls used all of its CPU time; at 48 workers
	// they use a tenth of a core.
	maxDirectWorkers = 60
	// startTimeLimit bounds how late a start without an answer may take effect.
	startTimeLimit = 1500 * time.Millisecond
	// maxConfigAgeShare is the fraction of Bounds.RevokeMS during which a confirmed
	// configuration authenticates keys. The rest covers a watch that receives
	// nothing for a second and the transit time of the request.
	maxConfigAgeShare = 0.68
	// orderTransit is the part of Bounds.EvacuateMS left to the transit of orders and to differences
	// of clock rates.
	orderTransit = 250 * time.Millisecond
	// balancerDelay is the time that the load balancer takes to remove an instance
	// from rotation.
	balancerDelay = 2300 * time.Millisecond
	// memoryLimitShare is the fraction of the VM's memory that is set as the
	// runtime's soft memory limit, near which garbage collection runs more often
	// than gcPercent asks for.
	memoryLimitShare = 0.6
	gcPercent        = 200
	// bodiesMemoryShare is the fraction of the VM's memory for the jobs that callers hand in at a time.
	bodiesMemoryShare = 0.05
	// callersMemoryShare is the fraction of the VM's memory for the connections of callers.
	callersMemoryShare = 0.1
	// reservedFDs are descriptors for files and for the process itself.
	reservedFDs = 200
	// callersFDShare is the part of the other descriptors for the connections of callers. Connections to up to 1,500
	// workers, the store and other instances need the rest.
	callersFDShare = 0.25
	minCallers     = 16
	// Limits of client and peer connections.
	headerTimeout  = 3 * time.Second
	idleTimeout    = cellhttp.IdleTimeout + 5*time.Second
	maxHeaderBytes = 16 << 10
)

// Instance is one process of the cell.
type Instance struct {
	settings  settings.Cell
	adapters  Adapters
	log       *zap.Logger
	logs      *logring.Log
	metrics   *metrics.Registry
	config    *entry.ConfigWatcher
	directory *entry.Directory
	service   *entry.Service
	owner     *owner.Owner
	store     *storerelay.Store
	draining  atomic.Bool
}

// New assembles an instance without starting it.
func New(s settings.Cell, a Adapters, logs *logring.Log) *Instance {
	log := logs.With(zap.String("instance", string(s.Instance)))
	i := &Instance{settings: s, adapters: a, log: log, logs: logs, metrics: metrics.New()}
	dialer := cellhttp.NewDialer()
	i.directory = entry.NewDirectory(dialer)
	relay := storerelay.New(a.Store, func() []port.LeaseStore {
		var stores []port.LeaseStore
		for _, h := range i.directory.Instances() {
			if h.Address != s.Listen.Peers {
				stores = append(stores, dialer.Store(h.Address))
			}
		}
		return stores
	}, i.metrics)
	i.store = relay
	i.config = entry.NewConfigWatcher(a.Config(relay), log, i.metrics, i.configChanged)
	maxConfigAge := time.Duration(float64(s.Bounds.RevokeMS)*maxConfigAgeShare) * time.Millisecond
	self := port.InstanceInfo{Instance: s.Instance, Address: s.Listen.Peers, CPUMilli: int64(s.Limits.CPUShare * 1000), Zone: s.Zone, MemoryMB: int64(s.Limits.MemoryMB)}
	i.service = entry.NewService(entry.Options{Self: self, MaxConfigAge: maxConfigAge, MaxBodiesBytes: int64(float64(s.Limits.MemoryMB<<20) * bodiesMemoryShare)}, i.config, i.directory, relay, log, i.metrics)
	lease := min(workerLeaseTTL, time.Duration(s.Bounds.MaxLeaseMS)*time.Millisecond*9/10)
	ttl := max(claimTTL, time.Duration(s.Bounds.MinLeaseMS)*time.Millisecond)
	i.owner = owner.New(owner.Options{
		Instance: s.Instance, Address: s.Listen.Peers, ClaimTTL: ttl, UnconfirmedGrace: unconfirmedGrace,
		ClaimDelay: i.claimDelay, MaxDirectWorkers: maxDirectWorkers, HolderLeaseMS: s.Bounds.HolderLeaseMS,
		ConfigAge: func() time.Duration { return time.Duration(i.config.AgeMS()) * time.Millisecond }, MaxConfigAge: maxStartConfigAge(s.Bounds),
		Jobs: jobs.Config{
			LeaseMS: lease.Milliseconds(), MaxLeaseMS: s.Bounds.MaxLeaseMS, FormerLeaseMS: formerLease(lease, ttl).Milliseconds(),
			StartLimitMS: startTimeLimit.Milliseconds(), GangWaitMS: s.Bounds.GangWaitMS, StopMS: s.Bounds.MaxStopMS,
			RetentionMS: s.Bounds.RetentionMS, OffRackFactor: s.Bounds.OffRackFactor, LimitOvershoot: s.Bounds.LimitOvershoot,
			MemoryBytes: int64(s.Limits.MemoryMB) << 20, Features: jobs.Features(s.Scheduling),
		},
	}, i.ownerPorts(relay, dialer), log, i.metrics)
	dialer.OnUnreachable = i.owner.ReportUnreachable
	return i
}

// formerLease returns how long tasks of a former owner may run on after a takeover, on workers that only it can
// reach. Another instance may have released its claim, so it may take the claim for held during the claim's
// TTL, and calls workers for unconfirmedGrace after that. Clock rates may differ.
func formerLease(workerLease, claimTTL time.Duration) time.Duration {
	return (workerLease + unconfirmedGrace + claimTTL) * 21 / 20
}

// maxStartConfigAge returns the age of the last confirmed configuration beyond which no task is
// started, or zero if the platform evacuates no zones. A start order has no effect after
// startTimeLimit, so none takes effect later than EvacuateMS after a zone was evacuated.
func maxStartConfigAge(b settings.CellBounds) time.Duration {
	if b.EvacuateMS == 0 {
		return 0
	}
	return time.Duration(b.EvacuateMS)*time.Millisecond - startTimeLimit - orderTransit
}

func (i *Instance) ownerPorts(store port.LeaseStore, peers *cellhttp.Dialer) owner.Ports {
	p := owner.Ports{Store: store, Workers: i.adapters.Workers, Registry: i.adapters.Registry(store), Peers: peers, Probe: peers.Probe}
	if i.settings.Platform.VMs == "" {
		return p
	}
	p.VMs = i.adapters.VMs
	if len(i.settings.Platform.Duties) > 0 {
		p.Waves = i.adapters.Waves(store)
	}
	return p
}

// claimDelay returns the delay before this instance claims a free cell, so that
// larger VMs can claim it first. There is no delay if the VM is sufficient or no
// larger one is listed. An empty list counts as listing a larger one.
func (i *Instance) claimDelay() time.Duration {
	own := i.settings.Limits.CPUShare
	known := i.directory.Instances()
	larger := len(known) == 0
	for _, h := range known {
		larger = larger || h.CPUMilli > int64(own*1000)
	}
	if !larger || own >= sufficientCPUShare {
		return 0
	}
	return time.Duration((1 - own/sufficientCPUShare) * float64(maxClaimDelay))
}

func (i *Instance) configChanged(c *port.CellConfig) {
	if cell := i.directory.Ownership().Local; cell != nil {
		cell.Configure(c)
	}
}

// Run serves until ctx ends, then hands over the cell and drains connections.
func (i *Instance) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(i.settings.Limits.MemoryMB) * memoryLimitShare * (1 << 20)))
	i.log.Info("start", zap.String("region", string(i.settings.Region)), zap.String("zone", string(i.settings.Zone)))
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := i.listen(backgroundCtx)
	if err != nil {
		return err
	}
	campaignCtx, resign := context.WithCancel(backgroundCtx)
	campaignEnded := make(chan struct{})
	runDuty := func(duty string, f func(context.Context)) {
		go guard.RunWithRestart(backgroundCtx, i.log, i.metrics, duty, func() { f(backgroundCtx) })
	}
	runDuty("configuration", i.config.Run)
	runDuty("greeting", i.service.Announce)
	runDuty("summary", i.logSummaries)
	go func() {
		defer close(campaignEnded)
		guard.RunWithRestart(campaignCtx, i.log, i.metrics, "campaign", func() {
			i.owner.Campaign(campaignCtx, i.config.CellConfig, i.directory.Publish)
		})
	}()
	<-ctx.Done()
	i.log.Info("stop", zap.Int64("grace_ms", i.settings.Bounds.GraceMS))
	stopStart := time.Now()
	i.draining.Store(true)
	resign()
	grace := time.Duration(i.settings.Bounds.GraceMS) * time.Millisecond
	<-campaignEnded
	// While draining, the instance still forwards calls and needs to know the next owner.
	go i.followNextOwner(backgroundCtx)
	time.Sleep(min(balancerDelay, grace/2) - time.Since(stopStart))
	shutdownCtx, cancel := context.WithDeadline(backgroundCtx, stopStart.Add(grace-shutdownMargin))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(shutdownCtx); err != nil {
			i.log.Warn("server shutdown failed or connections were still open at the end of the grace period", zap.Error(err))
		}
	}
	i.log.Info("stopped", zap.Duration("took", time.Since(stopStart)))
	// A flush error cannot be reported anywhere: the log itself failed.
	_ = i.log.Sync()
	return nil
}

// shutdownMargin is the part of the grace period reserved for the process to exit.
const shutdownMargin = 400 * time.Millisecond

// followNextOwner polls the store until another instance holds the claim, publishes that owner and
// returns. It never claims the cell.
func (i *Instance) followNextOwner(ctx context.Context) {
	const pause = 100 * time.Millisecond
	for ctx.Err() == nil {
		if claim, _, _, err := owner.FindClaim(ctx, i.store); err == nil && claim != nil && claim.Address != i.settings.Listen.Peers {
			i.directory.Publish(owner.Ownership{Claim: claim})
			return
		}
		time.Sleep(pause)
	}
}

// maxCallers returns the bound of the connections of callers, by the memory and the descriptors of the VM.
func maxCallers(l settings.CellLimits) int {
	byMemory := int64(float64(l.MemoryMB<<20)*callersMemoryShare) / intake.ConnectionBytes
	byFDs := int64(float64(intake.DescriptorLimit(l.MaxFDs)-reservedFDs) * callersFDShare)
	return int(max(min(byMemory, byFDs), minCallers))
}

// listen opens the addresses of the settings, the readiness address first, and
// serves them. The connections of callers are bounded. The registry is read on behalf of other instances until backgroundCtx ends.
func (i *Instance) listen(backgroundCtx context.Context) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", i.serveReady)
	peers := cellhttp.NewHandler(cellhttp.LocalServices{
		Instance: i.settings.Instance, Approver: i.adapters.Approver, Store: i.store.Direct(),
		Workers:  workerrelay.New(i.adapters.Workers, i.log, i.metrics),
		Registry: workerfeed.NewRelay(backgroundCtx, i.adapters.Registry(i.store.Direct()), i.metrics),
		Owner: func() port.OwnerService {
			if cell := i.directory.Ownership().Local; cell != nil {
				return cell
			}
			return nil
		},
	})
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{i.settings.Listen.Ready, ready},
		{i.settings.Listen.Metrics, i.operatorHandler()},
		{i.settings.Listen.Callers, i.adapters.ClientHandler(i.service, i.draining.Load)},
		{i.settings.Listen.Peers, peers},
	}
	var servers []*http.Server
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s; free the address or change the settings", h.address)
		}
		s := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		if h.address == i.settings.Listen.Callers {
			callers := intake.NewConns(maxCallers(i.settings.Limits), true, i.metrics)
			l, s.Handler, s.ConnContext = callers.Listen(l), callers.Handler(h.handler), callers.Context
		}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				i.log.Error("HTTP server stopped unexpectedly", zap.String("address", h.address), zap.Error(err))
			}
		}()
	}
	return servers, nil
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if i.draining.Load() || !i.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
