package peering

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// notReadyDelay is the retry delay sent to a peer if the handler is not yet set.
const notReadyDelay = time.Second

// statusResponse is the JSON response to the Status call.
type statusResponse struct {
	Member membership.Member `json:"member"`
	Parts  any               `json:"parts,omitempty"`
}

// dispatcher dispatches the calls of peers to the handlers. It implements port.Peer.
type dispatcher struct {
	handlers         atomic.Pointer[Handlers]
	self             func() membership.Member
	suppressPingAcks func(ctx context.Context, instance domain.InstanceID, incarnation uint64) error
}

func newDispatcher(self func() membership.Member, suppressPingAcks func(context.Context, domain.InstanceID, uint64) error) *dispatcher {
	d := &dispatcher{self: self, suppressPingAcks: suppressPingAcks}
	d.handlers.Store(&Handlers{})
	return d
}

func notReady(part string) error {
	return refusal.New(http.StatusServiceUnavailable, refusal.NotReady,
		"the instance does not yet answer calls about "+part, "retry later or choose another instance").WithRetryAfter(notReadyDelay)
}

func (d *dispatcher) FetchConfig(ctx context.Context, newerThan uint64) (port.PeerConfig, error) {
	if h := d.handlers.Load().Config; h != nil {
		return h.FetchConfig(ctx, newerThan)
	}
	return port.PeerConfig{}, notReady("the configuration")
}

func (d *dispatcher) Forward(ctx context.Context, call port.ForwardedCall) ([]byte, error) {
	if h := d.handlers.Load().Jobs; h != nil {
		return h.Forward(ctx, call)
	}
	return nil, notReady("jobs")
}

func (d *dispatcher) StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.StepDownReply, error) {
	if h := d.handlers.Load().StepDown; h != nil {
		return h.StepDown(ctx, from, partition, epoch)
	}
	return port.StepDownReply{}, notReady("depositions")
}

func (d *dispatcher) RequestAllotment(ctx context.Context, request port.AllotmentRequest) (port.AllotmentGrant, error) {
	if h := d.handlers.Load().Allotments; h != nil {
		return h.RequestAllotment(ctx, request)
	}
	return port.AllotmentGrant{}, notReady("allotments")
}

func (d *dispatcher) SuppressPingAcks(ctx context.Context, _, instance domain.InstanceID, incarnation uint64) error {
	return d.suppressPingAcks(ctx, instance, incarnation)
}

func (d *dispatcher) ShareLeases(ctx context.Context, leases port.SharedLeases) error {
	if h := d.handlers.Load().Leases; h != nil {
		return h.ShareLeases(ctx, leases)
	}
	return notReady("leases")
}

func (d *dispatcher) Status(ctx context.Context) ([]byte, error) {
	response := statusResponse{Member: d.self()}
	if h := d.handlers.Load().Status; h != nil {
		parts, err := h.PeerStatus(ctx)
		if err != nil {
			return nil, err
		}
		response.Parts = parts
	}
	return json.Marshal(response)
}
