package peergrpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"auburnpier/internal/adapter/peergrpc/peerpb"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// Server serves the calls of other instances.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that passes each call to the handler.
func NewServer(o Options, handler port.Peer) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	var chain []grpc.UnaryServerInterceptor
	if len(o.Secret) > 0 {
		chain = append(chain, verifyRequests(newVerifier(newSigner(o.Secret)), o.Clock, o.Metrics))
	}
	// The limit stands behind the verification so that its refusal is authenticated.
	chain = append(chain, limitCalls(o.Metrics))
	options := []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(chain...),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerPeer),
		grpc.ConnectionTimeout(callTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: maxIdle,
			Time:              keepaliveTime,
			Timeout:           keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
	}
	if o.TLS != nil {
		config := o.TLS.Clone()
		config.ClientAuth = tls.RequireAndVerifyClientCert
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	s := &Server{grpc: grpc.NewServer(options...)}
	peerpb.RegisterPeerServer(s.grpc, &service{handler: handler})
	return s, nil
}

// Serve accepts connections until Stop is called. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	return s.grpc.Serve(listener)
}

// Stop refuses new calls, waits up to the bound for running ones and cuts the rest.
func (s *Server) Stop(bound time.Duration) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.grpc.Stop()
		<-done
	}
}

// service translates between the wire and the port.
type service struct {
	peerpb.UnimplementedPeerServer
	handler port.Peer
}

func (s *service) FetchConfig(ctx context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	config, err := s.handler.FetchConfig(ctx, r.GetNewerThan())
	if err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.FetchConfigResponse{Version: config.Version, Document: config.Document}, nil
}

func (s *service) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	call, ok := forwardedCall(r)
	if !ok {
		return refusedForward(refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			"the operation of the forwarded call is unknown", "upgrade all instances to the same version")), nil
	}
	payload, err := s.handler.Forward(ctx, call)
	if outOfTime(err) {
		return nil, status.FromContextError(err).Err()
	}
	if err != nil {
		return refusedForward(refusal.FromError(err)), nil
	}
	return &peerpb.ForwardResponse{Result: &peerpb.ForwardResponse_Payload{Payload: payload}}, nil
}

func refusedForward(r *refusal.Refusal) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{Result: &peerpb.ForwardResponse_Refusal{Refusal: refusalToWire(r)}}
}

func (s *service) AcknowledgeDeposition(ctx context.Context, r *peerpb.DepositionRequest) (*peerpb.DepositionResponse, error) {
	deposition, err := s.handler.StepDown(ctx, domain.InstanceID(r.GetFrom()),
		domain.PartitionID(r.GetPartition()), domain.Epoch(r.GetEpoch()))
	if err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.DepositionResponse{
		Acknowledged:       deposition.Acknowledged,
		SinceLastRenewalMs: deposition.SinceLastRenewalMS,
	}, nil
}

func (s *service) RequestAllotment(ctx context.Context, r *peerpb.AllotmentRequest) (*peerpb.AllotmentResponse, error) {
	kind, ok := inverse(allotmentKinds, r.GetKind())
	if !ok {
		return nil, errorToStatus(refusal.New(http.StatusBadRequest, refusal.InvalidRequest,
			"the kind of allotment is unknown", "upgrade all instances to the same version"))
	}
	grant, err := s.handler.RequestAllotment(ctx, port.AllotmentRequest{
		Kind:    kind,
		Subject: r.GetSubject(),
		Holder:  r.GetHolder(),
		Wanted:  r.GetWanted(),
	})
	if err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.AllotmentResponse{Given: grant.Given, Revision: grant.Revision}, nil
}

func (s *service) Bar(ctx context.Context, r *peerpb.BarRequest) (*peerpb.BarResponse, error) {
	err := s.handler.SuppressPingAcks(ctx, domain.InstanceID(r.GetFrom()), domain.InstanceID(r.GetInstance()), r.GetIncarnation())
	if err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.BarResponse{Barred: true}, nil
}

func (s *service) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	payload, err := s.handler.Status(ctx)
	if err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.StatusResponse{Payload: payload}, nil
}

func (s *service) ShareLeases(ctx context.Context, r *peerpb.ShareLeasesRequest) (*peerpb.ShareLeasesResponse, error) {
	if err := s.handler.ShareLeases(ctx, sharedLeases(r)); err != nil {
		return nil, errorToStatus(err)
	}
	return &peerpb.ShareLeasesResponse{}, nil
}
