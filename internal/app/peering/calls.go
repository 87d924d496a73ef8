package peering

import (
	"context"
	"sync"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Peer returns a client for a member. Calls to this instance need no connection.
func (p *Service) Peer(id domain.InstanceID) (port.Peer, bool) {
	if id == p.settings.ID {
		return p.handlers, true
	}
	member, found := p.Get(id)
	if !found || member.State.Departed() {
		return nil, false
	}
	return p.client.Peer(member.Address), true
}

// SuppressPingAcks stops this instance from acknowledging pings of the incarnation. It
// returns nil only if this is in effect.
func (p *Service) SuppressPingAcks(ctx context.Context, instance domain.InstanceID, incarnation uint64) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.SuppressPingAcks(instance, incarnation) })
}

// SuppressPingAcksInRegion stops acknowledging pings of the incarnation and has all other
// members of the region do the same. It returns the members that have not
// confirmed this and are not known to have left or terminated, without the
// instance concerned.
func (p *Service) SuppressPingAcksInRegion(ctx context.Context, instance domain.InstanceID, incarnation uint64) []domain.InstanceID {
	if err := p.SuppressPingAcks(ctx, instance, incarnation); err != nil {
		return []domain.InstanceID{p.settings.ID}
	}
	var mu sync.Mutex
	var missing []domain.InstanceID
	var calls sync.WaitGroup
	for _, m := range p.List() {
		if m.ID == instance || m.Location.Region != p.settings.Location.Region || m.State.Departed() {
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

// AddFromRegistry adds an instance from the registry in the store to the member list.
func (p *Service) AddFromRegistry(ctx context.Context, record membership.Record) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.AddFromRegistry(record) })
}

// MarkProvenDead records a proof that the incarnation has terminated.
func (p *Service) MarkProvenDead(ctx context.Context, instance domain.InstanceID, incarnation uint64) error {
	return p.loop.do(ctx, func(n *membership.Node) { n.MarkProvenDead(instance, incarnation) })
}
