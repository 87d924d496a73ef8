package peergrpc

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Bounds of the calls.
const (
	// maxMessageBytes leaves room for the largest configuration document and its envelope.
	maxMessageBytes = port.MaxValueBytes + 64<<10
	// maxHeaderBytes bounds the metadata of a call.
	maxHeaderBytes = 8 << 10
	// maxStreamsPerPeer bounds the concurrent calls on one connection.
	maxStreamsPerPeer = 128
	// maxConcurrentCalls bounds the calls that a server runs at once.
	maxConcurrentCalls = 256
	// callTimeout bounds a call whose answer is in the peer's memory.
	callTimeout = 3 * time.Second
	// forwardTimeout bounds a call that may wait for a store write.
	forwardTimeout = 10 * time.Second
	// keepaliveTime is the idle time after which a connection in use is checked.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout closes a connection whose check has no answer.
	keepaliveTimeout = 3 * time.Second
	// maxIdle closes a connection without calls.
	maxIdle = 2 * time.Minute
	// maxReconnectDelay bounds the pause between attempts to connect.
	maxReconnectDelay = 2 * time.Second
	// MinSecretBytes is the shortest shared secret that is accepted.
	MinSecretBytes = 16
	// MaxClockSkew is the largest difference between the clocks of two
	// instances at which authenticated calls are accepted.
	MaxClockSkew = 30 * time.Second
)

// Options are the settings of both ends.
type Options struct {
	// Secret is shared by all instances. It may be nil if TLS is set.
	Secret []byte
	// TLS holds the certificate of this instance and the pool that peers are
	// verified against. Servers require and verify client certificates.
	TLS     *tls.Config
	Clock   port.Clock
	Metrics *metrics.Registry
}

func (o Options) validate() error {
	if o.Clock == nil || o.Metrics == nil {
		return errors.New("peergrpc needs a clock and a metrics registry")
	}
	if len(o.Secret) == 0 && o.TLS == nil {
		return errors.New("peer calls need a shared secret or TLS certificates; set one of them in the settings")
	}
	if len(o.Secret) > 0 && len(o.Secret) < MinSecretBytes {
		return errors.Newf("the shared secret of the peers has %d bytes, it needs at least %d", len(o.Secret), MinSecretBytes)
	}
	return nil
}
