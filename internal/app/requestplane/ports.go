// Package requestplane accepts requests on queues, queues them fairly,
// forwards each to a backend server with a free slot, and answers with the
// whole answer of that server or a visible failure.
package requestplane

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Caller is a request's resolved origin.
type Caller struct {
	// Team is empty for a caller without a key on an open queue.
	Team domain.TeamID
	// Share is the team's weight. Zero counts as the smallest weight.
	Share float64
	// Row is the queue's row of the configuration in force.
	Row domain.QueueRow
}

// Admission resolves callers from the configuration in force. It returns a
// *refusal.Refusal for an unknown queue, a missing or unknown key, or a
// configuration that is not fresh.
type Admission interface {
	Admit(r *http.Request, queue domain.QueueID) (Caller, error)
}

// Slots tells what this instance may use of the backend servers' slots. Its
// methods are called with the plane's lock held and must not block or call
// the plane. After Held was lowered, no new request starts above it; requests
// that run already are seen in Plane.Usage.
type Slots interface {
	// Held returns the slots of the server that this instance holds.
	Held(server domain.BackendID) int
	// Authority reports whether the instance may use what it holds now.
	Authority() bool
}

// TeamLimits tells how many requests of a team this instance may have in
// flight. The same rules as for Slots apply.
type TeamLimits interface {
	Allowed(team domain.TeamID) int64
}

// Peer is another instance with free slots.
type Peer struct {
	ID      domain.InstanceID
	Address string // host:port of its request listener
}

// Peers knows the free slots of the other instances.
type Peers interface {
	// Take returns an instance that reported a free slot for the queue, and
	// counts one slot off what it reported. The plane forwards at most one
	// request for each successful Take.
	Take(queue domain.QueueID) (Peer, bool)
	// Return gives a slot that Take counted back, after the forwarded request
	// was answered. A request that was refused there returns nothing, so that
	// an outdated report is used up.
	Return(queue domain.QueueID, peer domain.InstanceID)
}

// Defaults of Options.
const (
	// DefaultHoldBound frees the slot of a cancelled request whose server never ends it.
	DefaultHoldBound = 30 * time.Second
	// DefaultTimeout applies where neither the caller nor the queue sets one.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout bounds the timeout that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// DefaultMaxWaiting applies where the queue's row sets none.
	DefaultMaxWaiting = 1000
	// DefaultMaxWaitingBytes bounds the headers and bodies held for waiting requests.
	DefaultMaxWaitingBytes = 64 << 20
	// DefaultConnections bounds the connections to a server whose row sets no bound.
	DefaultConnections = 60
)

// Options configures a Plane.
type Options struct {
	Location  domain.Location
	Admission Admission
	Slots     Slots
	Teams     TeamLimits
	// Peers may be nil where there are no other instances.
	Peers   Peers
	Clock   port.Clock
	Metrics *metrics.Registry
	// HoldBound, MaxWaitingBytes: zero means the default.
	HoldBound       time.Duration
	MaxWaitingBytes int64
}

// check fills in defaults and reports what is missing.
func (o *Options) check() error {
	if o.Admission == nil || o.Slots == nil || o.Teams == nil {
		return errors.New("requestplane: Admission, Slots and Teams must be set in Options")
	}
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.HoldBound == 0 {
		o.HoldBound = DefaultHoldBound
	}
	if o.MaxWaitingBytes == 0 {
		o.MaxWaitingBytes = DefaultMaxWaitingBytes
	}
	return nil
}
