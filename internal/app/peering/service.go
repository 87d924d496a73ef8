package peering

import (
	"context"
	"hash/fnv"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"auburnpier/internal/adapter/peergnet"
	"auburnpier/internal/adapter/peergrpc"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// stopTimeout is the time allowed for calls in progress when the service stops.
const stopTimeout = 2 * time.Second

// Service is the peering of one instance. It implements Members, Clients,
// SelfState, Freshness and Authority.
type Service struct {
	*view
	*selfState
	settings Settings
	deps     Deps
	handlers *dispatcher
	client   *peergrpc.Client
	server   *peergrpc.Server
	listener net.Listener
	socket   *peergnet.Socket
	loop     *loop
	vms      vmTracker
}

var (
	_ Members   = (*Service)(nil)
	_ Clients   = (*Service)(nil)
	_ SelfState = (*Service)(nil)
	_ Freshness = (*Service)(nil)
	_ Authority = (*Service)(nil)
)

// New opens the listeners and returns the service; Run starts it. The TCP listener
// is opened first: only one process can listen on its port, so a new incarnation at
// the same address proves that the earlier process has terminated.
func New(s Settings, d Deps) (*Service, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	p := &Service{
		view:      newView(membership.Member{Record: s.record()}, d.Metrics),
		selfState: newSelfState(),
		settings:  s,
		deps:      d,
	}
	p.handlers = newDispatcher(p.Self, p.SuppressPingAcks)
	options := peergrpc.Options{Secret: s.Secret, TLS: s.TLS, Clock: d.Clock, Metrics: d.Metrics}
	var err error
	if p.client, err = peergrpc.NewClient(options); err != nil {
		return nil, err
	}
	if p.server, err = peergrpc.NewServer(options, p.handlers); err != nil {
		return nil, err
	}
	if p.listener, err = net.Listen("tcp", s.listen()); err != nil {
		return nil, errors.Wrapf(err, "cannot listen for peer calls on %s; set the peer address to an unused port of this VM", s.listen())
	}
	p.socket, err = peergnet.Listen(peergnet.Options{
		Address:     s.listen(),
		Secret:      s.Secret,
		QueueLength: incomingQueueLength,
		Clock:       d.Clock,
		Metrics:     d.Metrics,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, p.listener.Close())
	}
	p.loop = p.newLoop()
	return p, nil
}

func (p *Service) newLoop() *loop {
	cfg := membership.DefaultConfig(p.settings.record(), p.settings.Seeds, p.seed())
	if p.settings.adjustConfig != nil {
		p.settings.adjustConfig(&cfg)
	}
	return &loop{
		node:      membership.New(cfg, p.deps.Clock.Now()),
		clock:     p.deps.Clock,
		metrics:   p.deps.Metrics,
		selfState: p.selfState,
		view:      p.view,
		incoming:  p.socket.Datagrams(),
		outgoing:  make(chan membership.Datagram, outgoingQueueLength),
		commands:  make(chan command, commandQueueLength),
		ended:     make(chan struct{}),
		onChange:  p.memberChanged,
	}
}

// seed derives the random seed from the ID and the incarnation, so that it differs
// between instances.
func (p *Service) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.settings.ID))
	return h.Sum64() ^ p.settings.Incarnation
}

// memberChanged closes connections to instances that left or are proven dead.
func (p *Service) memberChanged(c membership.Change) {
	if c.Kind == membership.ChangeState && c.Member.State.Departed() {
		p.client.Forget(c.Member.Address)
	}
}

// Handle sets the handlers of peer calls. It may be called again.
func (p *Service) Handle(h Handlers) {
	p.handlers.handlers.Store(&h)
}

// Run serves until the context ends and then announces the exit. The caller must
// stop accepting work and edits before it ends the context.
func (p *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.server.Serve(p.listener) })
	group.Go(func() error {
		p.loop.send(p.socket)
		return nil
	})
	p.loop.run(ctx)
	p.server.Stop(stopTimeout)
	p.client.Close()
	err := group.Wait()
	return errors.CombineErrors(err, p.socket.Close())
}

// Region returns the live members of a region, including this instance, sorted by ID.
func (p *Service) Region(region domain.RegionID) []membership.Member {
	s := p.read()
	var members []membership.Member
	for _, m := range append([]membership.Member{s.self}, s.members...) {
		if m.Location.Region == region && (m.State == membership.StateAlive || m.State == membership.StateSuspect) {
			members = append(members, m)
		}
	}
	sortByID(members)
	return members
}
