package peering

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"auburnpier/internal/adapter/peergrpc"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Periods of the loop.
const (
	// pollInterval is the pause between two rounds of status calls to the seeds.
	pollInterval = time.Second
	// stopBound is the time that running calls get when the service stops.
	stopBound = 2 * time.Second
)

// Service is the peering of one instance.
type Service struct {
	*view
	settings Settings
	deps     Deps
	handlers *dispatcher
	client   *peergrpc.Client
	server   *peergrpc.Server
	listener net.Listener
}

// New opens the listener and returns the service. Run starts it.
func New(s Settings, d Deps) (*Service, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	options := peergrpc.Options{Secret: s.Secret, TLS: s.TLS, Clock: d.Clock, Metrics: d.Metrics}
	client, err := peergrpc.NewClient(options)
	if err != nil {
		return nil, err
	}
	p := &Service{
		view:     newView(membership.Member{Record: s.record()}, d.Metrics),
		settings: s,
		deps:     d,
		client:   client,
	}
	p.handlers = newDispatcher(p.Self)
	p.server, err = peergrpc.NewServer(options, p.handlers)
	if err != nil {
		return nil, err
	}
	p.listener, err = net.Listen("tcp", s.listen())
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen for peer calls on %s; set the peer address to a free port of this VM", s.listen())
	}
	return p, nil
}

// Handle sets the handlers of peer calls. It may be called again.
func (p *Service) Handle(h Handlers) {
	p.handlers.handlers.Store(&h)
}

// Run serves until the context ends.
func (p *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.server.Serve(p.listener) })
	group.Go(func() error {
		p.poll(ctx)
		p.server.Stop(stopBound)
		p.client.Close()
		return nil
	})
	return group.Wait()
}

// Peer returns the calls of a member.
func (p *Service) Peer(id domain.InstanceID) (port.Peer, bool) {
	if id == p.settings.ID {
		return p.handlers, true
	}
	member, found := p.Get(id)
	if !found || member.State.Gone() {
		return nil, false
	}
	return p.client.Peer(member.Address), true
}

func (p *Service) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.pollSeeds(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Service) pollSeeds(ctx context.Context) {
	members := p.List()
	var changes []membership.Change
	for _, seed := range p.settings.Seeds {
		if seed == p.settings.Address {
			continue
		}
		members, changes = p.pollSeed(ctx, seed, members, changes)
	}
	p.publish(p.Self(), members, changes)
}

func (p *Service) pollSeed(ctx context.Context, seed string, members []membership.Member, changes []membership.Change) ([]membership.Member, []membership.Change) {
	payload, err := p.client.Peer(seed).Status(ctx)
	var answer statusAnswer
	if err == nil {
		err = json.Unmarshal(payload, &answer)
	}
	if err != nil {
		return markDead(members, changes, seed)
	}
	answer.Member.HeardAt = p.deps.Clock.Now()
	i, found := slices.BinarySearchFunc(members, answer.Member.ID, compareID)
	if !found {
		changes = append(changes, membership.Change{Kind: membership.ChangeJoined, Member: answer.Member})
		return slices.Insert(members, i, answer.Member), changes
	}
	if old := members[i].State; old != membership.StateAlive {
		changes = append(changes, membership.Change{Kind: membership.ChangeState, Member: answer.Member, Old: old})
	}
	members[i] = answer.Member
	return members, changes
}

func markDead(members []membership.Member, changes []membership.Change, address string) ([]membership.Member, []membership.Change) {
	for i, m := range members {
		if m.Address != address || m.State == membership.StateDead {
			continue
		}
		members[i].State = membership.StateDead
		changes = append(changes, membership.Change{Kind: membership.ChangeState, Member: members[i], Old: m.State})
	}
	return members, changes
}
