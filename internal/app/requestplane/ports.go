// Package requestplane accepts requests on queues, queues them fairly,
// forwards each to a backend server with a free slot, and returns either the
// complete response of that server or a visible failure.
package requestplane

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/domain"
	"auburnpier/internal/intake"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Caller is the authenticated origin of a request.
type Caller struct {
	// Team is empty for a caller without a key on an open queue.
	Team domain.TeamID
	// Share is the team's weight in fair queuing. Zero counts as the smallest weight.
	Share float64
	// Row is the queue's row of the configuration in force.
	Row domain.QueueRow
}

// Admission authenticates callers against the configuration in force. It returns a
// *refusal.Refusal for an unknown queue, a missing or unknown key, or a
// configuration that is too old.
type Admission interface {
	Admit(r *http.Request, queue domain.QueueID) (Caller, error)
}

// Slots says how many slots of the backend servers this instance may use. Its
// methods are called with the plane's lock held and must not block or call
// the plane. After Held was lowered, no new request starts above it; requests
// that are already running are counted in Plane.Usage.
type Slots interface {
	// Held returns how many slots of the server this instance holds.
	Held(server domain.BackendID) int
	// Authority reports whether the instance may currently use the slots it holds.
	Authority() bool
}

// TeamLimits says how many requests of a team this instance may have in
// flight. The rules for implementations of Slots apply.
type TeamLimits interface {
	MaxInFlight(team domain.TeamID) int64
}

// Peer is another instance with free slots.
type Peer struct {
	ID      domain.InstanceID
	Address string // host:port of its request listener
}

// Peers tracks the free slots that the other instances report.
type Peers interface {
	// AcquireSlot returns an instance that reported a free slot for the queue, and
	// deducts one slot from its report. The plane forwards at most one
	// request for each successful AcquireSlot.
	AcquireSlot(queue domain.QueueID) (Peer, bool)
	// ReturnSlot adds a slot that AcquireSlot deducted back to the report, after the forwarded
	// request was answered. It is not called for a request that the other instance
	// refused, so that an outdated report is used up.
	ReturnSlot(queue domain.QueueID, peer domain.InstanceID)
}

// Defaults of Options.
const (
	// DefaultSlotHoldTimeout is how long the slot of a cancelled request is held for a server
	// that does not close the connection.
	DefaultSlotHoldTimeout = 30 * time.Second
	// DefaultTimeout applies if neither the caller nor the queue sets a timeout.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout bounds the timeout that a caller may request.
	MaxTimeout = 10 * time.Minute
	// DefaultMaxWaiting bounds the waiting requests of a queue whose row sets no bound.
	DefaultMaxWaiting = 1000
	// DefaultMaxWaitingBytes bounds the estimated memory of all waiting requests.
	DefaultMaxWaitingBytes = 64 << 20
	// DefaultMaxConnections bounds the connections to a server whose row sets no bound.
	DefaultMaxConnections = 60
)

// Options configures a Plane.
type Options struct {
	Location  domain.Location
	Admission Admission
	Slots     Slots
	Teams     TeamLimits
	// Peers may be nil if there are no other instances.
	Peers Peers
	// PeerTLS is the configuration with which requests are forwarded to other instances. Nil means plain text.
	PeerTLS *tls.Config
	Clock   port.Clock
	Metrics *metrics.Registry
	// SlotHoldTimeout, MaxWaitingBytes: zero means the default.
	SlotHoldTimeout time.Duration
	MaxWaitingBytes int64
	// Bodies bounds the memory of short bodies, which are read before a request is queued. Without it there is no bound.
	Bodies *intake.Budget
}

// check fills in defaults and returns an error if a dependency is missing.
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
	if o.Bodies == nil {
		o.Bodies = intake.NewBudget(0, o.Metrics)
	}
	if o.SlotHoldTimeout == 0 {
		o.SlotHoldTimeout = DefaultSlotHoldTimeout
	}
	if o.MaxWaitingBytes == 0 {
		o.MaxWaitingBytes = DefaultMaxWaitingBytes
	}
	return nil
}
