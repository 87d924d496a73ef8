package peergrpc

import (
	"context"
	"crypto/hmac"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// overloadDelay is the wait that an overloaded instance asks for.
const overloadDelay = time.Second

// Names of the counters.
const (
	counterUnauthenticated = "peer.call.unauthenticated"
	counterOverload        = "peer.call.overload"
	counterForgedAnswer    = "peer.call.answer_unauthenticated"
)

// errUnauthenticAnswer tells that an answer has no valid code.
var errUnauthenticAnswer = errors.New("the answer has no valid authentication code; give all instances the same peer secret")

// signRequests signs each request and verifies its answer.
func signRequests(s *signer, clock port.Clock, m *metrics.Registry) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		body, err := canonical(req)
		if err != nil {
			return err
		}
		nonce := newNonce()
		sentAt := timestamp(clock.Now())
		ctx = metadata.AppendToOutgoingContext(ctx,
			metaTime, sentAt,
			metaNonce, string(nonce),
			metaMAC, string(s.request(method, sentAt, nonce, body)))
		var trailer metadata.MD
		callErr := invoke(ctx, method, req, reply, cc, append(opts, grpc.Trailer(&trailer))...)
		answer, err := answerBody(reply, callErr)
		if err != nil {
			return err
		}
		if hmac.Equal([]byte(one(trailer, metaMAC)), s.answer(method, nonce, answer)) {
			return callErr
		}
		if callErr != nil && len(trailer.Get(metaMAC)) == 0 {
			// The error arose on the way. It must not carry a refusal.
			return status.Error(status.Code(callErr), callErr.Error())
		}
		m.Counter(counterForgedAnswer).Inc(1)
		return status.Error(codes.Unauthenticated, errUnauthenticAnswer.Error())
	}
}

// answerBody returns the bytes of an answer that are authenticated.
func answerBody(reply any, callErr error) ([]byte, error) {
	if callErr == nil {
		return canonical(reply)
	}
	return canonical(status.Convert(callErr).Proto())
}

// verifyRequests refuses requests that are not authentic and signs answers.
func verifyRequests(v *verifier, clock port.Clock, m *metrics.Registry) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		body, err := canonical(req)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		md, _ := metadata.FromIncomingContext(ctx)
		nonce, err := v.check(md, info.FullMethod, body, clock.Now())
		if err != nil {
			m.Counter(counterUnauthenticated).Inc(1)
			return nil, status.Error(codes.Unauthenticated, err.Error())
		}
		reply, callErr := handle(ctx, req)
		answer, err := answerBody(reply, callErr)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		code := v.signer.answer(info.FullMethod, nonce, answer)
		_ = grpc.SetTrailer(ctx, metadata.Pairs(metaMAC, string(code)))
		return reply, callErr
	}
}

// limitCalls refuses calls beyond maxConcurrentCalls instead of queueing them.
func limitCalls(m *metrics.Registry) grpc.UnaryServerInterceptor {
	slots := make(chan struct{}, maxConcurrentCalls)
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			return handle(ctx, req)
		default:
			m.Counter(counterOverload).Inc(1)
			m.CountRefusal(refusal.InstanceOverloaded)
			return nil, errorToStatus(refusal.New(http.StatusServiceUnavailable, refusal.InstanceOverloaded,
				"the instance runs its maximum of peer calls", "retry later").WithRetryAfter(overloadDelay))
		}
	}
}
