package peering

import (
	"context"
	"sync"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Peer returns the calls of a member. The calls of this instance run without a connection.
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

// Bar stops this instance from acknowledging pings of the incarnation. It
// returns nil only if the bar is in force.
func (p *Service) Bar(ctx context.Context, instance domain.InstanceID, incarnation uint64) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.Bar(instance, incarnation) })
}

// BarEverywhere bars the incarnation here and asks all other members of the
// region for a bar. It returns the members that are neither barring, left nor
// proven dead; the barred instance itself is not among them.
func (p *Service) BarEverywhere(ctx context.Context, instance domain.InstanceID, incarnation uint64) []domain.InstanceID {
	if err := p.Bar(ctx, instance, incarnation); err != nil {
		return []domain.InstanceID{p.settings.ID}
	}
	var mu sync.Mutex
	var missing []domain.InstanceID
	var calls sync.WaitGroup
	for _, m := range p.List() {
		if m.ID == instance || m.Location.Region != p.settings.Location.Region || m.State.Gone() {
			continue
		}
		calls.Go(func() {
			if p.client.Peer(m.Address).SuppressPingAcks(ctx, p.settings.ID, instance, incarnation) == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, m.ID)
		})
	}
	calls.Wait()
	return missing
}

// Learn adds an instance of the registry in the store to the member list.
func (p *Service) Learn(ctx context.Context, record membership.Record) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.Learn(record) })
}

// ProveDead notes a proof that the incarnation ended.
func (p *Service) ProveDead(ctx context.Context, instance domain.InstanceID, incarnation uint64) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.ProveDead(instance, incarnation) })
}
