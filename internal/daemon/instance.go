package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/adapter/storeguard"
	"auburnpier/internal/adapter/storehttp"
	"auburnpier/internal/adapter/tlsfiles"
	"auburnpier/internal/adapter/vmlisthttp"
	"auburnpier/internal/adapter/workerhttp"
	"auburnpier/internal/app/allotment"
	"auburnpier/internal/app/confsync"
	"auburnpier/internal/app/deputy"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/requestplane"
	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/intake"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/settings"
)

// minSecretBytes is the minimum length of the shared secret, because peers are
// authenticated by it and a short one could be guessed.
const minSecretBytes = 16

// Instance is one running daemon: its listeners, request plane, task plane and membership.
type Instance struct {
	settings settings.Settings
	log      *zap.Logger
	metrics  *metrics.Registry
	clock    port.Clock
	started  time.Time

	store      port.Store
	watch      *sharedwatch.Watcher
	peers      *peering.Service
	config     *confsync.Sync
	manager    *taskplane.Manager
	deputy     *deputy.Deputy
	sharer     *deputy.Sharer
	router     *taskplane.Router
	plane      *requestplane.Plane
	allotments *allotments
	registry   *registry
	bodies     *intake.Budget
	vms        *vmlisthttp.Poller

	// apiPair is the certificate of the API, or nil if it is plain text.
	apiPair  *tlsfiles.Pair
	listener net.Listener
	server   *http.Server

	draining       atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New creates an instance and opens its listeners. Run starts it.
func New(s settings.Settings, log *zap.Logger) (*Instance, error) {
	i := &Instance{
		settings:       s,
		log:            log,
		metrics:        metrics.New(),
		clock:          port.SystemClock{},
		started:        time.Now(),
		drainRequested: make(chan struct{}),
	}
	i.store = storeguard.New(storehttp.NewClient(s.Store.Address), i.metrics, storeguard.Config{
		Timeout: settings.Milliseconds(s.Store.TimeoutMS),
	})
	i.watch = sharedwatch.New(i.store, i.clock, i.metrics, sharedwatch.Prefix)
	if err := i.newPeers(); err != nil {
		return nil, err
	}
	i.config = confsync.New(confsync.Config{
		Store: i.store, Watch: i.watch, Clock: i.clock, Metrics: i.metrics, Log: log,
		Peers:    configPeers{peers: i.peers, applied: i.appliedVersion},
		Announce: i.publishStatement,
	})
	i.allotments = newAllotments(i)
	i.registry = newRegistry(i)
	i.newTaskPlane()
	i.bodies = intake.NewBudget(cmp.Or(s.Requests.MaxIncomingBytes, s.Requests.MaxWaitingBytes), i.metrics)
	var err error
	if i.apiPair, err = loadPair(s.TLS.API); err != nil {
		return nil, err
	}
	if err := i.newRequestPlane(); err != nil {
		return nil, err
	}
	i.vms = vmlisthttp.NewPoller(vmlisthttp.NewClient(s.VMList.Address), i.clock, i.deliverVMs)
	if err := i.listen(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Instance) newPeers() error {
	secret, err := i.secret()
	if err != nil {
		return err
	}
	mutual, err := i.peerTLS()
	if err != nil {
		return err
	}
	s := i.settings
	i.peers, err = peering.New(peering.Settings{
		ID:             s.Instance,
		Incarnation:    uint64(i.started.UnixMilli()),
		Address:        s.Listen.Peers,
		RequestAddress: s.Listen.API,
		Location:       domain.Location{Region: s.Location.Region, Zone: s.Location.Zone},
		Seeds:          s.Peers.Seeds,
		Secret:         secret,
		TLS:            mutual,
	}, peering.Deps{Clock: i.clock, Metrics: i.metrics})
	return err
}

// secret reads the shared secret. Without a secret file it generates one, which
// suffices for a single instance.
func (i *Instance) secret() ([]byte, error) {
	file := i.settings.Peers.SecretFile
	if file == "" {
		return []byte(rand.Text()), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read peers.secret_file")
	}
	secret := strings.TrimSpace(string(raw))
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("peers.secret_file holds %d bytes; write at least %d", len(secret), minSecretBytes)
	}
	return []byte(secret), nil
}

func (i *Instance) peerTLS() (*tls.Config, error) {
	c := i.settings.TLS.Peers
	pair, err := loadPair(c)
	if pair == nil {
		return nil, err
	}
	return pair.MutualConfig(c.CAFile)
}

// loadPair loads a certificate with its key, and returns nil if there are no files for it.
func loadPair(c settings.Certificate) (*tlsfiles.Pair, error) {
	if !c.Enabled() {
		return nil, nil
	}
	return tlsfiles.Load(c.CertFile, c.KeyFile)
}

func (i *Instance) newTaskPlane() {
	p := i.settings.Policy
	view := peerView{peers: i.peers}
	workers := workerhttp.NewDialer()
	region := i.settings.Location.Region
	i.deputy = deputy.New(deputy.Options{
		Cluster: deputyCluster{i.peers}, Workers: workers, Clock: i.clock, Log: i.log, Metrics: i.metrics,
	})
	i.sharer = deputy.NewSharer(deputy.SharerOptions{
		Instance: i.settings.Instance, Region: region, Directory: view, Clock: i.clock,
		Leases: func() []taskplane.PartitionLeases { return i.manager.SharedLeases() },
	})
	i.manager = taskplane.NewManager(taskplane.Options{
		Instance:         i.settings.Instance,
		Store:            i.store,
		Workers:          workers,
		Deputies:         i.sharer,
		Allotments:       i.allotments.tasks,
		Clock:            i.clock,
		Weights:          policy.Weights{Share: p.ShareWeight, Waiting: p.WaitingWeight, Packing: p.PackingWeight},
		MaxHeld:          p.MaxHoldFraction,
		ReservationDelay: settings.Milliseconds(p.HoldDelayMS),
		Log:              i.log,
		Metrics:          i.metrics,
		NewID:            newID,
		ListLag:          settings.Milliseconds(i.settings.VMList.MaxLagMS),
	}, region, view, formerOwners{
		peers: i.peers, deputy: i.deputy, self: i.settings.Instance, region: region, clock: i.clock,
	})
	i.router = taskplane.NewRouter(i.manager, view)
	i.peers.Handle(peering.Handlers{
		Config:   configSource{i.config},
		Jobs:     i.router,
		StepDown: stepDownHandler{manager: i.manager, deputy: i.deputy, clock: i.clock},
		Leases:   i.deputy,
		Status:   statusSource{i},
	})
}

func (i *Instance) newRequestPlane() error {
	s := i.settings
	forward, err := i.forwardTLS()
	if err != nil {
		return err
	}
	i.plane = requestplane.New(requestplane.Options{
		Location:        domain.Location{Region: s.Location.Region, Zone: s.Location.Zone},
		Admission:       admission{config: i.config},
		Slots:           allotment.ServerSlots{Ledger: i.allotments.slots},
		Teams:           allotment.TeamRequests{Ledger: i.allotments.teams},
		Peers:           newOverflow(i.peers, i.clock.Now),
		PeerTLS:         forward,
		Clock:           i.clock,
		Metrics:         i.metrics,
		SlotHoldTimeout: settings.Milliseconds(s.Requests.SlotHoldTimeoutMS),
		MaxWaitingBytes: s.Requests.MaxWaitingBytes,
		Bodies:          i.bodies,
	})
	return nil
}

// forwardTLS returns the TLS configuration of requests that are forwarded to the API of other instances, or nil if that
// is plain text. The instances of a deployment have the same setting.
func (i *Instance) forwardTLS() (*tls.Config, error) {
	if i.apiPair == nil {
		return nil, nil
	}
	c := i.settings.TLS
	return i.apiPair.ForwardConfig(c.API.CAFile, c.Peers.CAFile)
}

// deliverVMs passes each update of the platform's VM list to the membership, the
// allotments and both planes.
func (i *Instance) deliverVMs(vms []domain.VM) {
	if err := i.peers.ObserveVMs(context.Background(), vms); err != nil {
		i.log.Warn("the platform's VM list could not be compared with the members", zap.Error(err))
	}
	i.allotments.setVMs(vms)
	i.manager.SetVMs(vms)
	i.plane.UpdateVMs(vms)
}

// listen opens the API listener and limits connections, header and body sizes and read times.
func (i *Instance) listen() error {
	s := i.settings
	listener, err := net.Listen("tcp", s.Listen.API)
	if err != nil {
		return errors.Wrapf(err, "listen on listen.api %s; choose a free port of this VM", s.Listen.API)
	}
	handler := api.NewServer(api.Options{
		Jobs: i.router, Config: i.config, Cell: i, Metrics: i.metrics, Log: i.log,
		Requests:    api.LimitBody(i.plane, s.Requests.MaxBodyBytes, i.metrics),
		ReadTimeout: settings.Milliseconds(s.Requests.ReadTimeoutMS), Bodies: i.bodies,
	})
	callers := intake.NewConns(i.maxCallers(), !s.TLS.API.Enabled(), i.metrics)
	i.server = &http.Server{
		Handler:           callers.Handler(handler),
		ConnContext:       callers.Context,
		MaxHeaderBytes:    int(s.Requests.MaxHeaderBytes),
		ReadHeaderTimeout: settings.Milliseconds(s.Requests.ReadTimeoutMS),
		IdleTimeout:       2 * settings.Milliseconds(s.Requests.ReadTimeoutMS),
	}
	i.listener = callers.Listen(listener)
	if i.apiPair == nil {
		return nil
	}
	config, err := i.apiPair.ServerConfig(s.TLS.API.CAFile)
	if err != nil {
		return err
	}
	i.listener = tls.NewListener(i.listener, config)
	return nil
}

// maxCallers returns the bound of the connections of callers: the one of the settings, or half of the descriptors that the
// process may open if that is less, since peers, workers, backend servers and the store need the others.
func (i *Instance) maxCallers() int {
	most := i.settings.Requests.MaxConnections
	bound := intake.DescriptorLimit(2*most) / 2
	if bound < most {
		i.log.Warn("requests.max_connections is more than half of the descriptors that the process may open; raise its limit of open files",
			zap.Int64("max_connections", most), zap.Int64("bound", bound))
	}
	return int(bound)
}

// APIAddress returns the address that the API listens on.
func (i *Instance) APIAddress() string { return i.listener.Addr().String() }

// Metrics returns the instance's metrics registry.
func (i *Instance) Metrics() *metrics.Registry { return i.metrics }

// Drain implements api.Cell.
func (i *Instance) Drain() {
	i.drainOnce.Do(func() {
		i.draining.Store(true)
		i.peers.SetDraining(true)
		close(i.drainRequested)
	})
}

// Draining implements api.Cell.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Run serves until ctx ends or Drain is called, then shuts down gracefully
// within the configured time-out.
func (i *Instance) Run(ctx context.Context) error {
	// The background loops outlive ctx, because a graceful shutdown needs them.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group sync.WaitGroup
	group.Go(func() { _ = i.watch.Run(background) })
	group.Go(func() { _ = i.config.Run(background) })
	group.Go(func() { i.runPeers(background) })
	group.Go(func() { i.applyConfigVersions(background) })
	group.Go(func() { i.vms.Run(background) })
	group.Go(func() { i.allotments.run(background) })
	group.Go(func() { i.registry.run(background) })
	group.Go(func() { i.plane.Run(background) })
	group.Go(func() { i.deputy.Run(background) })
	group.Go(func() { i.sharer.Run(background) })
	group.Go(func() { i.reportState(background) })
	group.Go(func() { i.bootstrap(background) })
	managing, stopManaging := context.WithCancel(background)
	defer stopManaging()
	managed := make(chan struct{})
	go func() {
		i.manager.Run(managing)
		close(managed)
	}()
	served := make(chan error, 1)
	go func() { served <- i.server.Serve(i.listener) }()
	i.log.Info("instance is serving", zap.String("api", i.APIAddress()), zap.String("peers", i.settings.Listen.Peers))
	select {
	case err := <-served:
		return errors.Wrap(err, "serve the API")
	case <-ctx.Done():
	case <-i.drainRequested:
	}
	err := i.shutdown(stopManaging, managed)
	stopBackground()
	group.Wait()
	return err
}

// shutdown turns readiness off and gives the load balancer and the other instances time
// to notice before it closes connections, so that no request is interrupted. Partitions
// are handed over meanwhile.
func (i *Instance) shutdown(stopManaging func(), managed <-chan struct{}) error {
	start := i.clock.Now()
	i.Drain()
	i.log.Info("graceful shutdown begins")
	stopManaging()
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(i.settings.Shutdown.TimeoutMS))
	defer cancel()
	ctxtime.Sleep(ctx, settings.Milliseconds(i.settings.Shutdown.BalancerDelayMS))
	awaitNotChosen(ctx, notChosenAfter-i.clock.Now().Sub(start), i.peers.DrainingKnown)
	err := errors.CombineErrors(i.plane.Drain(ctx), i.server.Shutdown(ctx))
	select {
	case <-managed:
	case <-ctx.Done():
	}
	err = errors.CombineErrors(err, i.allotments.release(ctx))
	err = errors.CombineErrors(err, i.registry.remove(ctx, i.settings.Instance, uint64(i.started.UnixMilli())))
	i.log.Info("graceful shutdown ends", zap.Duration("took", i.clock.Now().Sub(start)), zap.Error(err))
	return err
}

func (i *Instance) runPeers(ctx context.Context) {
	if err := i.peers.Run(ctx); err != nil && ctx.Err() == nil {
		i.log.Error("peer calls cannot be served", zap.Error(err))
	}
}
