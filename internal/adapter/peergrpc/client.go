package peergrpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"auburnpier/internal/adapter/peergrpc/peerpb"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// Client holds one connection to each peer that was called.
type Client struct {
	dialOptions []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewClient returns a client without connections.
func NewClient(o Options) (*Client, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS.Clone())
	}
	delays := backoff.DefaultConfig
	delays.BaseDelay = 100 * time.Millisecond
	delays.MaxDelay = maxReconnectDelay
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		// A call is repeated only by callers that know whether it is idempotent.
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sentTracker{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithIdleTimeout(maxIdle),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: delays, MinConnectTimeout: callTimeout}),
	}
	if len(o.Secret) > 0 {
		options = append(options, grpc.WithChainUnaryInterceptor(signRequests(newSigner(o.Secret), o.Clock, o.Metrics)))
	}
	return &Client{dialOptions: options, conns: make(map[string]*grpc.ClientConn)}, nil
}

// Peer returns the peer at the address. It connects on the first call.
func (c *Client) Peer(address string) port.Peer {
	return &remote{client: c, address: address}
}

// Forget closes the connection to the address, if there is one.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections. Later calls fail as not sent.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[string]*grpc.ClientConn)
	c.closed = true
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the peer client is closed")
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.dialOptions...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// remote is one peer behind a connection.
type remote struct {
	client  *Client
	address string
}

// call runs one call under a deadline and types its error.
func (r *remote) call(ctx context.Context, name string, timeout time.Duration, run func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := r.client.conn(r.address)
	if err != nil {
		return &port.PeerUnreachableError{Address: r.address, Call: name, NotSent: true, Err: err}
	}
	ctx, sent := withSent(ctx)
	err = run(ctx, peerpb.NewPeerClient(conn))
	if err == nil {
		return nil
	}
	if refused := refusalInStatus(err); refused != nil {
		return refused
	}
	return &port.PeerUnreachableError{Address: r.address, Call: name, NotSent: !sent.Load(), Err: err}
}

func (r *remote) FetchConfig(ctx context.Context, newerThan uint64) (port.PeerConfig, error) {
	var config port.PeerConfig
	err := r.call(ctx, "FetchConfig", callTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		answer, err := c.FetchConfig(ctx, &peerpb.FetchConfigRequest{NewerThan: newerThan})
		config = port.PeerConfig{Version: answer.GetVersion(), Document: answer.GetDocument()}
		return err
	})
	return config, err
}

func (r *remote) Forward(ctx context.Context, call port.ForwardedCall) ([]byte, error) {
	var answer *peerpb.ForwardResponse
	err := r.call(ctx, "Forward", forwardTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		var err error
		answer, err = c.Forward(ctx, &peerpb.ForwardRequest{
			From:      string(call.From),
			Partition: string(call.Partition),
			Operation: operations[call.Operation],
			Team:      string(call.Team),
			Operator:  call.Operator,
			Job:       string(call.Job),
			Payload:   call.Payload,
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	switch result := answer.GetResult().(type) {
	case *peerpb.ForwardResponse_Payload:
		return result.Payload, nil
	case *peerpb.ForwardResponse_Refusal:
		return nil, refusalFromWire(result.Refusal)
	default:
		return nil, refusal.NewOutcomeUnknown(http.StatusBadGateway, refusal.OutcomeUnknown,
			"the partition owner sent an empty answer", "look up the job before you submit it again")
	}
}

func (r *remote) StepDown(ctx context.Context, from domain.InstanceID, partition domain.PartitionID, epoch domain.Epoch) (port.StepDownReply, error) {
	var deposition port.StepDownReply
	err := r.call(ctx, "AcknowledgeDeposition", callTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		answer, err := c.AcknowledgeDeposition(ctx, &peerpb.DepositionRequest{
			From:      string(from),
			Partition: string(partition),
			Epoch:     uint64(epoch),
		})
		deposition = port.StepDownReply{
			Acknowledged:       answer.GetAcknowledged(),
			SinceLastRenewalMS: answer.GetSinceLastRenewalMs(),
		}
		return err
	})
	return deposition, err
}

func (r *remote) RequestAllotment(ctx context.Context, request port.AllotmentRequest) (port.AllotmentGrant, error) {
	var grant port.AllotmentGrant
	err := r.call(ctx, "RequestAllotment", forwardTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		answer, err := c.RequestAllotment(ctx, &peerpb.AllotmentRequest{
			Kind:    allotmentKinds[request.Kind],
			Subject: request.Subject,
			Holder:  request.Holder,
			Wanted:  request.Wanted,
		})
		grant = port.AllotmentGrant{Given: answer.GetGiven(), Revision: answer.GetRevision()}
		return err
	})
	return grant, err
}

func (r *remote) SuppressPingAcks(ctx context.Context, from, instance domain.InstanceID, incarnation uint64) error {
	return r.call(ctx, "Bar", callTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		answer, err := c.Bar(ctx, &peerpb.BarRequest{
			From:        string(from),
			Instance:    string(instance),
			Incarnation: incarnation,
		})
		if err == nil && !answer.GetBarred() {
			return errors.New("the peer did not bar the incarnation")
		}
		return err
	})
}

func (r *remote) Status(ctx context.Context) ([]byte, error) {
	var payload []byte
	err := r.call(ctx, "Status", callTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		answer, err := c.Status(ctx, &peerpb.StatusRequest{})
		payload = answer.GetPayload()
		return err
	})
	return payload, err
}

func (r *remote) ShareLeases(ctx context.Context, leases port.SharedLeases) error {
	return r.call(ctx, "ShareLeases", callTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		_, err := c.ShareLeases(ctx, sharedLeasesToWire(leases))
		return err
	})
}
