// Package celld assembles an instance that runs on the users' platform: the
// entry for callers, the owner of the cell, and the calls between instances.
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
	"auburnpier/internal/logring"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/settings"
)

// Adapters reach the platform.
type Adapters struct {
	Store   port.LeaseStore
	Workers port.WorkerClient
	// Registry and Config read what others keep in the store.
	Registry func(port.LeaseStore) port.WorkerRegistry
	Config   func(port.LeaseStore) port.ConfigSource
	Approver port.Approver
	// VMs and Waves are used where the settings name duties.
	VMs   port.VMFleet
	Waves func(port.LeaseStore) port.WaveSource
	// Front makes the handler of callers' requests.
	Front func(service *entry.Service, draining func() bool) http.Handler
}

// Shares of the platform's bounds.
const (
	// claimTTL is how long a claim outlives its owner: four renewals, of which a
	// slow store, with up to 400 ms for an answer, or a lost answer takes two.
	claimTTL = 1200 * time.Millisecond
	// workerLease is how long tasks outlive their owner. It exceeds the time in
	// which another instance takes the cell over and reaches the workers.
	workerLease = 4500 * time.Millisecond
	// unconfirmedTTL is how long an owner cut from the store keeps tasks alive.
	unconfirmedTTL = 3 * time.Second
	// ampleCPUShare is the processor time of a VM that an owner needs at a few
	// hundred workers; VMs with less wait up to maxClaimDelay before they claim.
	ampleCPUShare = 0.8
	maxClaimDelay = 400 * time.Millisecond
	// directWorkers is the number of workers to which an owner makes all calls
	// itself. At 350 workers with 750 starts a second those calls took all of its
	// processor time; at 48 they take a tenth of a core.
	directWorkers = 60
	// startLimit bounds how late an unanswered start may take effect.
	startLimit = 1500 * time.Millisecond
	// keyTrustShare of the revocation bound leaves time for a watch that hears
	// nothing for a second, and for the request's way.
	keyTrustShare = 0.68
	// balancerNotice is the time in which the balancer takes an instance out of rotation.
	balancerNotice = 2300 * time.Millisecond
	// gcMemoryShare of the VM's memory is where the collector works harder.
	gcMemoryShare = 0.6
	gcPercent     = 200
	// Bounds of callers' connections.
	headerTimeout  = 3 * time.Second
	idleTimeout    = cellhttp.IdleTimeout + 5*time.Second
	maxHeaderBytes = 16 << 10
)

// Instance is one process.
type Instance struct {
	settings  settings.Cell
	adapters  Adapters
	log       *zap.Logger
	logs      *logring.Log
	metrics   *metrics.Registry
	config    *entry.ConfigKeeper
	directory *entry.Directory
	service   *entry.Service
	owner     *owner.Owner
	store     *storerelay.Store
	draining  atomic.Bool
}

// New assembles an instance.
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
	i.config = entry.NewConfigKeeper(a.Config(relay), log, i.configChanged)
	trust := time.Duration(float64(s.Bounds.RevokeMS)*keyTrustShare) * time.Millisecond
	self := port.InstanceInfo{Instance: s.Instance, Address: s.Listen.Peers, CPUMilli: int64(s.Limits.CPUShare * 1000), Zone: s.Zone}
	i.service = entry.NewService(entry.Options{Self: self, KeyTrust: trust}, i.config, i.directory, relay, log, i.metrics)
	lease := min(workerLease, time.Duration(s.Bounds.MaxLeaseMS)*time.Millisecond*9/10)
	ttl := max(claimTTL, time.Duration(s.Bounds.MinLeaseMS)*time.Millisecond)
	i.owner = owner.New(owner.Options{
		Instance: s.Instance, Address: s.Listen.Peers, ClaimTTL: ttl, UnconfirmedGrace: unconfirmedTTL,
		ClaimDelay: i.claimDelay, MaxDirectWorkers: directWorkers, HolderLeaseMS: s.Bounds.HolderLeaseMS,
		Jobs: jobs.Config{
			LeaseMS: lease.Milliseconds(), FormerLeaseMS: (lease + unconfirmedTTL).Milliseconds() * 21 / 20,
			StartLimitMS: startLimit.Milliseconds(), GangWaitMS: s.Bounds.GangWaitMS, StopMS: s.Bounds.StopMS,
			RetentionMS: s.Bounds.RetentionMS, FarFactor: s.Bounds.FarFactor, LimitOvershoot: s.Bounds.LimitOvershoot,
		},
	}, i.ownerPorts(relay, dialer), log, i.metrics)
	dialer.OnFailure = i.owner.ReportUnreachable
	return i
}

func (i *Instance) ownerPorts(store port.LeaseStore, peers *cellhttp.Dialer) owner.Ports {
	p := owner.Ports{Store: store, Workers: i.adapters.Workers, Registry: i.adapters.Registry(store), Peers: peers, Probe: peers.Probe}
	if len(i.settings.Platform.Duties) > 0 && i.settings.Platform.VMs != "" {
		p.VMs, p.Waves = i.adapters.VMs, i.adapters.Waves(store)
	}
	return p
}

// claimDelay lets larger VMs claim a free cell first. Where no larger one is
// known, or none is known yet and this one is ample, there is no delay.
func (i *Instance) claimDelay() time.Duration {
	own := i.settings.Limits.CPUShare
	known := i.directory.Instances()
	larger := len(known) == 0
	for _, h := range known {
		larger = larger || h.CPUMilli > int64(own*1000)
	}
	if !larger || own >= ampleCPUShare {
		return 0
	}
	return time.Duration((1 - own/ampleCPUShare) * float64(maxClaimDelay))
}

func (i *Instance) configChanged(c *port.CellConfig) {
	if cell := i.directory.Seat().Local; cell != nil {
		cell.Configure(c)
	}
}

// Run serves until ctx ends, and then hands over and drains.
func (i *Instance) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(i.settings.Limits.MemoryMB) * gcMemoryShare * (1 << 20)))
	i.log.Info("start", zap.String("region", string(i.settings.Region)), zap.String("zone", string(i.settings.Zone)))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := i.listen(work)
	if err != nil {
		return err
	}
	campaign, resign := context.WithCancel(work)
	campaignDone := make(chan struct{})
	keep := func(duty string, f func(context.Context)) {
		go guard.Keep(work, i.log, i.metrics, duty, func() { f(work) })
	}
	keep("configuration", i.config.Run)
	keep("greeting", i.service.Greet)
	keep("summary", i.summarize)
	go func() {
		defer close(campaignDone)
		guard.Keep(campaign, i.log, i.metrics, "campaign", func() {
			i.owner.Campaign(campaign, i.config.Plain, i.directory.Publish)
		})
	}()
	<-ctx.Done()
	i.log.Info("stop", zap.Int64("grace_ms", i.settings.Bounds.GraceMS))
	begun := time.Now()
	i.draining.Store(true)
	resign()
	grace := time.Duration(i.settings.Bounds.GraceMS) * time.Millisecond
	<-campaignDone
	// An instance that resigned still has to know the next owner.
	go i.followClaim(work)
	time.Sleep(min(balancerNotice, grace/2) - time.Since(begun))
	shutdown, cancel := context.WithDeadline(work, begun.Add(grace-shutdownMargin))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(shutdown); err != nil {
			i.log.Warn("connections were open at the end of the grace time", zap.Error(err))
		}
	}
	i.log.Info("stopped", zap.Duration("took", time.Since(begun)))
	// The log is all that is left to flush; an error has nowhere to go.
	_ = i.log.Sync()
	return nil
}

// shutdownMargin is left of the grace time for the process to end.
const shutdownMargin = 400 * time.Millisecond

// followClaim keeps the directory current without claiming the cell.
func (i *Instance) followClaim(ctx context.Context) {
	const pause = 100 * time.Millisecond
	for ctx.Err() == nil {
		if claim, _, _, err := owner.FindClaim(ctx, i.store); err == nil && claim != nil && claim.Address != i.settings.Listen.Peers {
			i.directory.Publish(owner.Ownership{Claim: claim})
			return
		}
		time.Sleep(pause)
	}
}

// listen opens the addresses of the settings. The readiness address comes
// first. What other instances ask for is read until work ends.
func (i *Instance) listen(work context.Context) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", i.serveReady)
	peers := cellhttp.NewHandler(cellhttp.Local{
		Instance: i.settings.Instance, Approver: i.adapters.Approver, Store: i.store.Direct(),
		Workers:  workerrelay.New(i.adapters.Workers, i.log, i.metrics),
		Registry: workerfeed.NewRelay(work, i.adapters.Registry(i.store.Direct()), i.metrics),
		Owner: func() port.OwnerService {
			if cell := i.directory.Seat().Local; cell != nil {
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
		{i.settings.Listen.Callers, i.adapters.Front(i.service, i.draining.Load)},
		{i.settings.Listen.Peers, peers},
	}
	var servers []*http.Server
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s; free the address or change the settings", h.address)
		}
		s := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				i.log.Error("server ended", zap.String("address", h.address), zap.Error(err))
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
