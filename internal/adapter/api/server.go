package api

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/httpjson"
	"auburnpier/internal/intake"
	"auburnpier/internal/metrics"
	"auburnpier/internal/refusal"
)

// Jobs serves job calls.
type Jobs interface {
	Submit(ctx context.Context, team domain.TeamID, spec domain.JobSpec) (domain.JobStatus, error)
	Status(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error)
	Explain(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error)
	Wait(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error)
	Cancel(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error)
}

// Config is the configuration in force.
type Config interface {
	Resolve(key teamkey.Key) (confsync.Identity, error)
	Current() *confsync.Snapshot
	Apply(ctx context.Context, e confdoc.Edit) (confdoc.EditResult, error)
	Ready() bool
}

// Cell reports on all instances and controls this one.
type Cell interface {
	// Status reports on the instances, sorted by name.
	Status(ctx context.Context) []InstanceStatus
	// Drain begins a graceful shutdown of this instance.
	Drain()
	// Draining reports whether it has begun.
	Draining() bool
}

// InstanceStatus is what an operator sees of one instance.
type InstanceStatus struct {
	ID      domain.InstanceID `json:"id"`
	State   string            `json:"state"`
	Region  domain.RegionID   `json:"region"`
	Zone    domain.ZoneID     `json:"zone"`
	Address string            `json:"address"`
	// ConfigVersion is the version in force at the instance.
	ConfigVersion uint64 `json:"config_version"`
	Draining      bool   `json:"draining,omitempty"`
	// Partitions lists the partitions that the instance owns.
	Partitions []domain.PartitionID `json:"partitions,omitempty"`
	// Details is set for instances that answered.
	Details *InstanceDetails `json:"details,omitempty"`
	// Error says why Details is missing.
	Error string `json:"error,omitempty"`
}

// InstanceDetails is what an instance reports about itself.
type InstanceDetails struct {
	Version      string            `json:"version"`
	Ready        bool              `json:"ready"`
	ConfigFresh  bool              `json:"config_fresh"`
	ConfigAgeMS  int64             `json:"config_age_ms"`
	Partitions   []PartitionStatus `json:"partitions,omitempty"`
	UptimeSecond int64             `json:"uptime_s"`
}

// PartitionStatus is what an owner reports about a partition.
type PartitionStatus struct {
	ID           domain.PartitionID `json:"id"`
	Epoch        domain.Epoch       `json:"epoch"`
	JobsQueued   int                `json:"jobs_queued"`
	JobsRunning  int                `json:"jobs_running"`
	TasksWaiting int                `json:"tasks_waiting"`
	TasksActive  int                `json:"tasks_active"`
	Workers      int                `json:"workers"`
	Leased       int                `json:"workers_leased"`
	Unreachable  int                `json:"workers_unreachable"`
	Quarantined  int                `json:"workers_quarantined"`
	Capacity     domain.Resources   `json:"capacity"`
	Reserved     domain.Resources   `json:"reserved"`
}

// Options are what the server needs.
type Options struct {
	Jobs   Jobs
	Config Config
	Cell   Cell
	// Requests serves the paths below queuesPrefix. It resolves the key itself.
	Requests http.Handler
	// ReadTimeout bounds the time in which a JSON body arrives.
	ReadTimeout time.Duration
	// Bodies bounds the memory of JSON bodies.
	Bodies  *intake.Budget
	Metrics *metrics.Registry
	Log     *zap.Logger
}

// Server is the HTTP interface for callers and operators.
type Server struct {
	o   Options
	mux *http.ServeMux
}

// NewServer returns the server's handler.
func NewServer(o Options) *Server {
	if o.Bodies == nil {
		o.Bodies = intake.NewBudget(0, o.Metrics)
	}
	s := &Server{o: o, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /metrics", s.metrics)
	s.mux.HandleFunc("POST /v1/jobs", s.keyed(s.submit))
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.keyed(s.status))
	s.mux.HandleFunc("GET /v1/jobs/{id}/explain", s.keyed(s.explain))
	s.mux.HandleFunc("GET /v1/jobs/{id}/wait", s.keyed(s.wait))
	s.mux.HandleFunc("DELETE /v1/jobs/{id}", s.keyed(s.cancel))
	s.mux.HandleFunc("GET /v1/table", s.operator(s.table))
	s.mux.HandleFunc("POST /v1/edits", s.operator(s.edit))
	s.mux.HandleFunc("GET /v1/status", s.operator(s.cellStatus))
	s.mux.HandleFunc("POST /v1/drain", s.operator(s.drain))
	s.mux.HandleFunc("/", s.unknownPath)
	return s
}

// queuesPrefix starts the paths of requests on queues.
const queuesPrefix = "/v1/queues/"

// ServeHTTP implements http.Handler. Requests on queues bypass the mux, which
// would redirect target paths that contain "//" or "..".
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.o.Requests != nil && strings.HasPrefix(r.URL.Path, queuesPrefix) {
		s.o.Requests.ServeHTTP(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, map[string]string{"status": "alive"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.o.Cell.Draining():
		s.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.ShuttingDown,
			"this instance is shutting down", "send the call to another instance").WithRetryAfter(time.Second))
	case !s.o.Config.Ready():
		s.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.NotReady,
			"the configuration is missing or not confirmed", "wait, or check that the store can be reached").WithRetryAfter(time.Second))
	default:
		httpjson.Write(w, http.StatusOK, map[string]string{"status": "ready"})
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(s.o.Metrics.Underlying(), w)
}

func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, refusal.New(http.StatusNotFound, refusal.NotFound,
		"there is no "+r.Method+" "+r.URL.Path, "see docs/operators.md for the paths"))
}

// keyedHandler serves a call whose key was resolved.
type keyedHandler func(w http.ResponseWriter, r *http.Request, id confsync.Identity)

// keyed resolves the key before anything of the body is read.
func (s *Server) keyed(h keyedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := s.identify(r)
		if err != nil {
			s.refuse(w, err)
			return
		}
		h(w, r, id)
	}
}

func (s *Server) operator(h keyedHandler) http.HandlerFunc {
	return s.keyed(func(w http.ResponseWriter, r *http.Request, id confsync.Identity) {
		if !id.Operator {
			s.refuse(w, refusal.New(http.StatusForbidden, refusal.KeyNotOperator,
				"the key belongs to a team, not to an operator", "present an operator's key"))
			return
		}
		h(w, r, id)
	})
}

func (s *Server) identify(r *http.Request) (confsync.Identity, error) {
	key, err := KeyFromHeader(r.Header)
	if err != nil {
		return confsync.Identity{}, err
	}
	return s.o.Config.Resolve(key)
}

// LimitBody refuses requests whose body is longer than limit bytes, before
// anything is read of it where its length is declared.
func LimitBody(h http.Handler, limit int64, m *metrics.Registry) http.Handler {
	bounded := http.MaxBytesHandler(h, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= limit {
			bounded.ServeHTTP(w, r)
			return
		}
		m.CountRefusal(refusal.BodyTooLarge)
		refusal.Write(w, refusal.Body{Refusal: refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
			fmt.Sprintf("the body has %d bytes, allowed are %d", r.ContentLength, limit), "send a smaller body")})
	})
}

// KeyFromHeader returns the key of the Authorization header or a typed refusal
// that does not repeat it.
func KeyFromHeader(h http.Header) (teamkey.Key, error) {
	scheme, text, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || text == "" {
		return teamkey.Key{}, refusal.New(http.StatusUnauthorized, refusal.KeyMissing,
			"the request has no key", "send the header Authorization: Bearer ap_<id>_<secret>")
	}
	key, err := teamkey.Parse(strings.TrimSpace(text))
	if err != nil {
		return teamkey.Key{}, refusal.New(http.StatusUnauthorized, refusal.KeyUnknown,
			"the key is not of the form ap_<id>_<secret>", "present a key that an operator granted")
	}
	return key, nil
}
