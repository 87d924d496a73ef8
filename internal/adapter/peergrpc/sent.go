package peergrpc

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sentTracker records whether a call was handed to a connection, so that a
// call that was not can be reported as not sent.
type sentTracker struct{}

type sentKey struct{}

// withSent returns a context in which the tracker records, and the record.
func withSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// TagRPC keeps the context, which already carries the record.
func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC records the first event after the call got a stream.
func (sentTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	}
}

// TagConn keeps the context.
func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores connection events.
func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}
