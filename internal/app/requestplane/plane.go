package requestplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"auburnpier/internal/core/route"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/intake"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

// tickInterval bounds how late a waiting request is refused after its deadline.
const tickInterval = 20 * time.Millisecond

// pruneInterval is the time between two checks of idle connections.
const pruneInterval = time.Second

// maxPeerConnections bounds the connections to one other instance.
const maxPeerConnections = 512

// Plane is the request plane of one instance. It is an http.Handler for the
// paths /v1/queues/{queue}/request[/path] and /v1/queues/{queue}/preview.
type Plane struct {
	admission   Admission
	peers       Peers
	clock       port.Clock
	metrics     *metrics.Registry
	holdTimeout time.Duration
	bodies      *intake.Budget
	streams     streams
	disp        *dispatcher
	peerPools   peerPools

	draining  atomic.Bool
	inFlight  atomic.Int64
	heldSlots atomic.Int64 // slots held after their caller disconnected
	idle      chan struct{}
	previews  *rate.Limiter

	accepted    gometrics.Counter
	answered    gometrics.Counter
	aborted     gometrics.Counter
	stalled     gometrics.Counter
	forwarded   gometrics.Counter
	holdExpired gometrics.Counter
	waitTime    gometrics.Timer
}

// New returns a plane. It panics if the options lack a required dependency, which is
// a programming error. Run must be running while requests are served.
func New(o Options) *Plane {
	if err := o.check(); err != nil {
		panic(err)
	}
	return &Plane{
		admission:   o.Admission,
		peers:       o.Peers,
		clock:       o.Clock,
		metrics:     o.Metrics,
		holdTimeout: o.SlotHoldTimeout,
		bodies:      o.Bodies,
		disp:        newDispatcher(&o),
		peerPools:   peerPools{tls: o.PeerTLS, byAddress: make(map[string]*pool)},
		idle:        make(chan struct{}, 1),
		previews:    rate.NewLimiter(previewsPerSecond, previewBurst),
		accepted:    o.Metrics.Counter("requestplane.accepted"),
		answered:    o.Metrics.Counter("requestplane.answered"),
		stalled:     o.Metrics.Counter("intake.stream_evicted"),
		aborted:     o.Metrics.Counter("requestplane.aborted"),
		forwarded:   o.Metrics.Counter("requestplane.forwarded"),
		holdExpired: o.Metrics.Counter("requestplane.hold_expired"),
		waitTime:    o.Metrics.Timer("requestplane.waited"),
	}
}

// Run expires waiting requests and closes idle connections until ctx is done.
func (p *Plane) Run(ctx context.Context) {
	var pruned time.Time
	ctxtime.Every(ctx, tickInterval, func() {
		now := p.clock.Now()
		p.disp.tick(now)
		p.interruptStalled(now)
		if now.Sub(pruned) >= pruneInterval {
			pruned = now
			p.disp.prune(now)
			p.peerPools.prune(now)
		}
	})
}

// UpdateVMs replaces the list of backend servers by those in the platform's list of VMs.
func (p *Plane) UpdateVMs(vms []domain.VM) {
	var list []route.ServerInfo
	for _, vm := range vms {
		if vm.Role == domain.RoleBackend {
			list = append(list, route.FromVM(vm))
		}
	}
	p.disp.updateServers(list)
}

// ServeHTTP implements http.Handler. It aborts the caller's connection if
// a response that has begun cannot be completed.
func (p *Plane) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.beginRequest() {
		w.Header().Set(headerConnection, "close")
		p.writeRefusal(w, refuseShuttingDown())
		return
	}
	defer p.endRequest()
	if queue, ok := previewPath(r); ok {
		p.servePreview(w, r, queue)
		return
	}
	q, ref := p.accept(w, r)
	if ref != nil {
		p.writeRefusal(w, ref)
		return
	}
	defer q.releaseBody()
	p.accepted.Inc(1)
	p.serve(q)
}

// accept authenticates the caller, validates the request's headers and reads a short body.
func (p *Plane) accept(w http.ResponseWriter, r *http.Request) (*request, *refusal.Refusal) {
	now := p.clock.Now()
	queue, target, ok := splitPath(r.URL)
	if !ok {
		return nil, refusal.New(http.StatusNotFound, refusal.NotFound,
			"the path is neither /v1/queues/{queue}/request[/path] nor GET /v1/queues/{queue}/preview", "correct the path")
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, refuseInvalid(http.StatusHTTPVersionNotSupported,
			"HTTP/1.0 cannot tell a whole answer from a broken one", "use HTTP/1.1")
	}
	caller, err := p.admission.Admit(r, queue)
	if err != nil {
		return nil, refusal.FromError(err)
	}
	q := &request{r: r, w: w, queue: queue, target: target, caller: caller}
	if q.idempotent, ok = parseIdempotent(r); !ok {
		return nil, refuseInvalid(http.StatusBadRequest,
			"header "+HeaderIdempotency+" is neither yes nor no", "correct or drop the header")
	}
	limit, ok := requestTimeout(r, caller.Row)
	if !ok {
		return nil, refuseInvalid(http.StatusBadRequest,
			"header "+HeaderTimeout+" is not a positive number of milliseconds", "correct or drop the header")
	}
	q.deadline = now.Add(limit)
	q.forwarded = r.Header.Get(HeaderHop) != ""
	q.id = r.Header.Get(HeaderRequestID)
	if q.id == "" {
		q.id = newRequestID()
	}
	if err := q.prefetch(p.bodies, limit); err != nil {
		if ref := intake.Refusal(err); ref != nil {
			return nil, ref
		}
		return nil, refuseInvalid(http.StatusBadRequest, "the request body ended early: "+err.Error(),
			"send the whole body before the deadline")
	}
	return q, nil
}

// beginRequest counts a request as in flight. It reports false while the plane drains.
func (p *Plane) beginRequest() bool {
	p.inFlight.Add(1)
	if p.draining.Load() {
		p.endRequest()
		return false
	}
	return true
}

func (p *Plane) endRequest() {
	if p.inFlight.Add(-1) == 0 {
		p.signalIdle()
	}
}

// releaseHold counts off a slot that was held after its caller disconnected.
func (p *Plane) releaseHold() {
	if p.heldSlots.Add(-1) == 0 {
		p.signalIdle()
	}
}

func (p *Plane) signalIdle() {
	if !p.draining.Load() {
		return
	}
	select {
	case p.idle <- struct{}{}:
	default:
	}
}
