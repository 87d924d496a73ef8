package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"auburnpier/internal/app/owner"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/intake"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Options configures a Service.
type Options struct {
	// Self describes this instance to the owner.
	Self port.InstanceInfo
	// MaxConfigAge is the age from which on the configuration no longer decides about calls.
	MaxConfigAge time.Duration
	// MaxBodiesBytes bounds the memory of the jobs that callers hand in at a time. Zero means no bound.
	MaxBodiesBytes int64
}

const (
	// submitWaitShare is the fraction of a job's slack for which its submission waits for an owner,
	// within the bounds below. A rejected caller retries only after a second or more, and the job is
	// then late if that is its slack, whereas a handover takes about as long as the claim's TTL.
	submitWaitShare = 0.9
	minSubmitWait   = 100 * time.Millisecond
	maxSubmitWait   = 1500 * time.Millisecond
	// unknownOutcomeWait bounds the wait for an owner that knows the outcome of a submission. It
	// covers the claim's TTL and the recovery of the cell.
	unknownOutcomeWait = 2 * time.Second
	// queryWait bounds the wait for an owner of calls that are read-only or idempotent.
	queryWait = 1200 * time.Millisecond
	// callTimeout bounds a call to the owner if the caller sets no deadline.
	callTimeout = 2500 * time.Millisecond
	// responseMargin is the part of the caller's deadline reserved for sending the response.
	responseMargin = 60 * time.Millisecond
	// announceTimeout bounds one announcement. After a failure the retry delay doubles from
	// minAnnounceRetryDelay to maxAnnounceRetryDelay. It starts low because a new owner needs the
	// list of instances at once.
	announceTimeout       = time.Second
	minAnnounceRetryDelay = 200 * time.Millisecond
	maxAnnounceRetryDelay = time.Second
	// maxWaitingCountAge is the maximum age of a cached count of waiting jobs.
	maxWaitingCountAge = 300 * time.Millisecond
	// retryAfter is the delay after which rejected callers are asked to retry.
	retryAfter = time.Second
	// noOwnerRemedy is the remedy of calls that no owner has answered and that had no effect.
	noOwnerRemedy = "no instance owns the cell now, come back"
)

// Service handles client calls at one instance.
type Service struct {
	options   Options
	config    *ConfigWatcher
	directory *Directory
	store     port.LeaseStore
	log       *zap.Logger
	metrics   *metrics.Registry

	// bodies bounds the memory of the jobs that are being handed in.
	bodies *intake.Budget

	// previewRate and previewSlots limit the previews that are asked of the owner.
	previewRate  *rate.Limiter
	previewSlots chan struct{}

	mu      sync.Mutex
	waiting map[domain.QueueID]waitingCount
}

type waitingCount struct {
	count int
	at    time.Time
}

// NewService returns a service.
func NewService(o Options, config *ConfigWatcher, d *Directory, store port.LeaseStore, log *zap.Logger, m *metrics.Registry) *Service {
	return &Service{options: o, config: config, directory: d, store: store, log: log, metrics: m,
		previewRate: rate.NewLimiter(previewsPerSecond, previewBurst), previewSlots: make(chan struct{}, maxPreviews),
		bodies: intake.NewBudget(o.MaxBodiesBytes, m), waiting: make(map[domain.QueueID]waitingCount)}
}

// Ready reports whether the load balancer should route new connections to this instance.
func (s *Service) Ready() bool {
	client, _ := s.directory.Owner()
	if cell, local := client.(*owner.Cell); local && !cell.Recovered() {
		return false
	}
	return s.config.Current() != nil && client != nil && s.config.AgeMS() < s.options.MaxConfigAge.Milliseconds()
}

// Announce announces the instance to each new owner, and again at the interval that the owner asks
// for, until ctx ends.
func (s *Service) Announce(ctx context.Context) {
	retry := minAnnounceRetryDelay
	for ctx.Err() == nil {
		client, changed := s.directory.Owner()
		delay := maxAnnounceRetryDelay
		if client != nil {
			var ok bool
			if delay, ok = s.announceOnce(ctx, client); ok {
				retry = minAnnounceRetryDelay
			} else {
				delay, retry = retry, min(2*retry, maxAnnounceRetryDelay)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
			retry = minAnnounceRetryDelay
		case <-time.After(delay):
		}
	}
}

// announceOnce announces the instance to the owner and returns the delay until the next announcement.
func (s *Service) announceOnce(ctx context.Context, client port.OwnerService) (delay time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := client.Announce(ctx, port.AnnounceRequest{Instance: s.options.Self, KnownVersion: s.directory.version()})
	if err != nil {
		s.metrics.Counter("owner.hello.failed").Inc(1)
		return 0, false
	}
	s.directory.setInstances(reply)
	return time.Duration(reply.NextAnnounceMS) * time.Millisecond, true
}

// Call is an authenticated and routed client call.
type Call struct {
	Route *port.QueueRoute
	Team  domain.TeamID
	// Rest is the path after the queue's prefix.
	Rest string
}

// jobRequest returns the request for a job of the call.
func (c *Call) jobRequest(id domain.JobID) port.JobRequest {
	r := port.JobRequest{Job: id, Team: c.Team}
	if c.Route.Open {
		r.OpenQueue = c.Route.Queue.Name
	}
	return r
}

// Admit routes a call to a queue by its host and path, and authenticates its key.
func (s *Service) Admit(host, path, key string) (Call, *Rejection) {
	return s.admit(key, "no queue has this host and path", func(c *Config) (*port.QueueRoute, string) { return c.Route(host, path) })
}

// AdmitQueue authenticates the key of a call that names its queue.
func (s *Service) AdmitQueue(queue domain.QueueID, key string) (Call, *Rejection) {
	return s.admit(key, "no queue has this name", func(c *Config) (*port.QueueRoute, string) { return c.Queue(queue), "" })
}

func (s *Service) admit(key, unknown string, find func(*Config) (route *port.QueueRoute, rest string)) (Call, *Rejection) {
	config := s.config.Current()
	if config == nil {
		return Call{}, s.reject(NotReady, retryAfter, "no configuration yet")
	}
	// A later configuration may have removed the queue or added it, or withdrawn the key or granted it.
	if s.config.AgeMS() >= s.options.MaxConfigAge.Milliseconds() {
		return Call{}, s.reject(StaleConfig, retryAfter, "the configuration cannot be confirmed now, come back")
	}
	route, rest := find(config)
	if route == nil {
		return Call{}, s.reject(UnknownQueue, 0, unknown)
	}
	team, known := config.TeamOf(key)
	if !known && !route.Open {
		return Call{}, s.reject(UnknownKey, 0, "present a key of a team that was granted and not withdrawn")
	}
	return Call{Route: route, Team: team, Rest: rest}, nil
}

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (s *Service) MaxBodyBytes() int64 {
	if c := s.config.Current(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

const defaultMaxBodyBytes = 256 << 10

const (
	// bodyFactor is what a job takes until it is answered, in sizes of its body: the body, the decoded job, and its copy for the owner.
	bodyFactor = 4
	// bodyTimeout bounds the time in which a body arrives. Callers wait 3 s for the response.
	bodyTimeout = 10 * time.Second
)

// ReadBody reads the job that a call hands in. The caller calls release, which is never nil, once the job is answered.
func (s *Service) ReadBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), rejection *Rejection) {
	body, release, err := s.bodies.Read(w, r, intake.Limits{MaxBytes: s.MaxBodyBytes(), Factor: bodyFactor, Timeout: bodyTimeout})
	var evicted *intake.EvictedError
	var full *intake.FullError
	var timeout *intake.TimeoutError
	var tooLarge *intake.TooLargeError
	switch {
	case err == nil:
		return body, release, nil
	case errors.As(err, &evicted), errors.As(err, &full):
		rejection = s.reject(Busy, retryAfter, err.Error())
	case errors.As(err, &timeout):
		rejection = s.reject(SlowBody, retryAfter, err.Error())
	case errors.As(err, &tooLarge):
		rejection = s.reject(LargeBody, 0, "the body is too large")
	default:
		rejection = s.reject(Invalid, 0, "the body ended early or is malformed: "+err.Error())
	}
	return nil, release, rejection
}

// DecodeBody calls f, which decodes a job, while few others are decoded.
func (s *Service) DecodeBody(f func()) { s.bodies.Decode(f) }

func (s *Service) reject(kind RejectionKind, after time.Duration, remedy string) *Rejection {
	s.metrics.Counter("refusal." + kind.String()).Inc(1)
	return &Rejection{Kind: kind, RetryAfter: after, Remedy: remedy}
}

// withDeadline bounds a call by the caller's deadline less responseMargin, or by callTimeout if the
// caller set none.
func withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = callTimeout
	}
	return context.WithTimeout(ctx, max(deadline-responseMargin, responseMargin))
}

// Submit forwards a job to the owner and logs the outcome.
func (s *Service) Submit(ctx context.Context, c Call, id domain.JobID, spec jobs.Spec, deadline time.Duration) *Rejection {
	start := time.Now()
	rejection := s.submit(ctx, c, id, spec, deadline)
	s.metrics.Timer("job.answer").UpdateSince(start)
	if rejection == nil {
		s.log.Info("job_accepted", zap.String("job", string(id)), zap.String("queue", string(c.Route.Queue.Name)),
			zap.String("team", string(c.Team)))
		return nil
	}
	event := "job_refused"
	if rejection.Kind == OutcomeUnknown {
		event = "job_outcome_unknown"
	}
	s.log.Info(event, zap.String("job", string(id)), zap.String("queue", string(c.Route.Queue.Name)),
		zap.String("team", string(c.Team)), zap.String("kind", rejection.Kind.String()),
		zap.String("reason", rejection.Remedy), zap.Duration("retry_after", rejection.RetryAfter))
	return rejection
}

func (s *Service) submit(ctx context.Context, c Call, id domain.JobID, spec jobs.Spec, deadline time.Duration) *Rejection {
	if faults := spec.Validate(); len(faults) > 0 {
		return s.reject(Invalid, 0, faults.String())
	}
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	call := port.SubmitRequest{Job: id, Queue: c.Route.Queue, Team: c.Team, Spec: spec}
	var previous *ownerTerm
	// silent are the owners that have not answered and may have accepted the job.
	var silent silentOwners
	waitUntil := time.Now().Add(submitWait(&c.Route.Queue, &spec))
	for range maxSubmitAttempts {
		term := s.directory.waitForOwner(ctx, previous, max(0, time.Until(waitUntil)))
		if term == nil {
			break
		}
		reply, err := s.submitTo(ctx, term, call)
		switch {
		case hadNoEffect(err):
			previous = term
		case err != nil || reply.OutcomeUnknown:
			// The ID makes repeats harmless. The same owner may answer one; a later owner knows whether
			// the job is stored, and no former owner can store it any more.
			s.metrics.Counter("job.asked_again").Inc(1)
			s.log.Info("the owner did not answer a submission, asking again", zap.String("job", string(id)), zap.Error(err))
			silent.add(term)
			waitUntil = time.Now().Add(unknownOutcomeWait)
			ctxtime.Sleep(ctx, queryRetryDelay)
		case !reply.Accepted && !silent.refutedBy(term):
			return s.rejectUnknown()
		default:
			return s.submitResult(reply)
		}
	}
	if len(silent.addresses) > 0 {
		return s.rejectUnknown()
	}
	return s.reject(NoOwner, retryAfter, noOwnerRemedy)
}

// silentOwners are the owners that have not answered a submission.
type silentOwners struct {
	addresses map[string]bool
	lastEpoch int64
}

func (o *silentOwners) add(t *ownerTerm) {
	if o.addresses == nil {
		o.addresses = make(map[string]bool)
	}
	o.addresses[t.address] = true
	o.lastEpoch = max(o.lastEpoch, t.epoch)
}

// refutedBy reports whether a refusal in the given term proves that none of the owners has accepted the
// job or can still do so. The owner of a later term knows what is stored, and no former owner can store
// anything any more. But a call may still be on its way to an instance that has not answered.
func (o *silentOwners) refutedBy(t *ownerTerm) bool {
	return len(o.addresses) == 0 || t.epoch > o.lastEpoch && !o.addresses[t.address]
}

// submitTo submits a job to an owner. It gives up when a later owner is known, which can tell the
// outcome sooner than an owner that is lost.
func (s *Service) submitTo(ctx context.Context, t *ownerTerm, r port.SubmitRequest) (port.SubmitReply, error) {
	ctx, cancel := s.directory.whileOwner(ctx, t)
	defer cancel()
	return t.Submit(ctx, r)
}

func (s *Service) rejectUnknown() *Rejection {
	return s.reject(OutcomeUnknown, 0, "the job may have been accepted, send it again under the same ID")
}

// submitWait returns how long a submission of the job waits for an owner: most of the time that the
// job can wait and still meet its objective.
func submitWait(q *jobs.Queue, spec *jobs.Spec) time.Duration {
	share := time.Duration(submitWaitShare*float64(jobs.SlackMS(spec, q))) * time.Millisecond
	return min(maxSubmitWait, max(minSubmitWait, share))
}

// maxSubmitAttempts is the maximum number of calls to owners for one submission.
const maxSubmitAttempts = 5

// hadNoEffect reports whether the failed call certainly had no effect.
func hadNoEffect(err error) bool {
	var notOwner *port.NotOwnerError
	var unreachable *port.OwnerUnreachableError
	return errors.As(err, &notOwner) || errors.As(err, &unreachable) && unreachable.NotSent
}

func (s *Service) submitResult(r port.SubmitReply) *Rejection {
	if r.Accepted {
		return nil
	}
	return &Rejection{Kind: JobRefused, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, Remedy: r.Reason}
}

// askOwner calls ask with the owner, and again with the same or the next one while it returns an error, until the deadline or queryWait without an
// owner has passed. It returns what ask returned without an error, or else a rejection with the remedy.
func (s *Service) askOwner(ctx context.Context, deadline time.Duration, remedy string,
	ask func(ctx context.Context, client *ownerTerm) (*Rejection, error)) *Rejection {
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	var previous *ownerTerm
	for ctx.Err() == nil {
		client := s.directory.waitForOwner(ctx, previous, queryWait)
		if client == nil {
			break
		}
		rejection, err := ask(ctx, client)
		if err == nil {
			return rejection
		}
		previous = s.prepareRetry(ctx, client, err)
	}
	return s.reject(NoOwner, retryAfter, remedy)
}

// prepareRetry returns the owner that a retry must skip: client, if the call certainly had no effect
// there. Otherwise it sleeps and returns nil, because the same owner may answer the next call.
func (s *Service) prepareRetry(ctx context.Context, client *ownerTerm, err error) *ownerTerm {
	if hadNoEffect(err) {
		return client
	}
	ctxtime.Sleep(ctx, queryRetryDelay)
	return nil
}

// Cancel cancels a job. It retries until the owner has stored the end of the job.
func (s *Service) Cancel(ctx context.Context, c Call, id domain.JobID, deadline time.Duration) *Rejection {
	return s.askOwner(ctx, deadline, "the cancellation is not stored yet, send it again", func(ctx context.Context, client *ownerTerm) (*Rejection, error) {
		reply, err := client.Cancel(ctx, c.jobRequest(id))
		switch {
		case err != nil:
			return nil, err
		case reply.Found && reply.Done:
			return nil, nil
		case reply.Found:
			return nil, errNotStored
		}
		// An owner whose claim was released takes it for held until it would have expired, and does not know
		// the jobs of its successor.
		state, found, err := s.storedState(ctx, c, id)
		switch {
		case err != nil:
			return s.reject(NoOwner, retryAfter, "the owner does not know the job, and the store does not answer; send it again"), nil
		case !found:
			return s.reject(UnknownJob, 0, "the team has no such job"), nil
		case state.Terminal():
			return nil, nil
		}
		return nil, errNotStored
	})
}

var errNotStored = errors.New("the end of the job is not stored yet")

// queryRetryDelay is the delay before a failed call to the owner or the store is repeated.
const queryRetryDelay = 100 * time.Millisecond

// State returns the state of a job. If no owner answers it is read from the store.
func (s *Service) State(ctx context.Context, c Call, id domain.JobID, deadline time.Duration) (jobs.State, *Rejection) {
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	client, _ := s.directory.Owner()
	if client != nil {
		ownerCtx, stop := context.WithTimeout(ctx, ownerStateTimeout)
		reply, err := client.State(ownerCtx, c.jobRequest(id))
		stop()
		if err == nil && reply.Found {
			return reply.State, nil
		}
		if err == nil {
			return 0, s.reject(UnknownJob, 0, "the team has no such job")
		}
		s.metrics.Counter("state.from_store").Inc(1)
	}
	return s.stateFromStore(ctx, c, id)
}

// ownerStateTimeout bounds a state query to the owner, to leave time for the fallback to the store.
const ownerStateTimeout = 900 * time.Millisecond

func (s *Service) stateFromStore(ctx context.Context, c Call, id domain.JobID) (jobs.State, *Rejection) {
	for {
		state, found, err := s.storedState(ctx, c, id)
		var undecodable *undecodableError
		switch {
		case errors.As(err, &undecodable):
			return 0, s.reject(NoOwner, retryAfter, "the state cannot be read now")
		case err == nil && !found:
			return 0, s.reject(UnknownJob, 0, "the team has no such job")
		case err == nil:
			return state, nil
		}
		if !ctxtime.Sleep(ctx, queryRetryDelay) {
			return 0, s.reject(NoOwner, retryAfter, "neither the owner nor the store answers, come back")
		}
	}
}

// undecodableError reports a stored state of a job that cannot be decoded. Reading it again does not help.
type undecodableError struct{ err error }

func (e *undecodableError) Error() string {
	return "failed to decode the stored job state: " + e.err.Error()
}
func (e *undecodableError) Unwrap() error { return e.err }

// storedState reads the state of a job that the caller may see from the store.
func (s *Service) storedState(ctx context.Context, c Call, id domain.JobID) (state jobs.State, found bool, err error) {
	entry, err := s.store.Get(ctx, owner.StateKey(id))
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var r jobs.StateRecord
	if err := cbor.Unmarshal(entry.Value, &r); err != nil {
		s.log.Error("failed to decode the stored job state", zap.String("job", string(id)), zap.Error(err))
		return 0, false, &undecodableError{err}
	}
	return r.State.Shown(r.Started), c.jobRequest(id).Sees(r.Team, r.Queue), nil
}

// Bounds of the previews that one instance asks of the owner. The owner has a bound of its own for those of all instances.
const (
	maxPreviews       = 2
	previewsPerSecond = 5
	previewBurst      = 5
)

// Preview asks the owner where a job would go if it were submitted now. Nothing is stored, reserved or sent on.
func (s *Service) Preview(ctx context.Context, c Call, spec jobs.Spec, deadline time.Duration) (jobs.Preview, *Rejection) {
	if faults := spec.Validate(); len(faults) > 0 {
		return jobs.Preview{}, s.reject(Invalid, 0, faults.String())
	}
	const tooMany = "ask again after the time named; a preview is for people, submit the job instead of polling"
	select {
	case s.previewSlots <- struct{}{}:
		defer func() { <-s.previewSlots }()
	default:
		return jobs.Preview{}, s.reject(PreviewBusy, retryAfter, tooMany)
	}
	if !s.previewRate.Allow() {
		return jobs.Preview{}, s.reject(PreviewBusy, retryAfter, tooMany)
	}
	var preview jobs.Preview
	rejection := s.askOwner(ctx, deadline, noOwnerRemedy, func(ctx context.Context, client *ownerTerm) (*Rejection, error) {
		reply, err := client.Preview(ctx, port.PreviewRequest{Queue: c.Route.Queue, Team: c.Team, Spec: spec})
		var unsupported *port.UnsupportedCallError
		switch {
		case errors.As(err, &unsupported):
			return s.reject(Unsupported, 0, "the owner's version can't preview; upgrade all instances, or submit the job"), nil
		case err != nil:
			return nil, err
		case reply.Busy:
			return s.reject(PreviewBusy, time.Duration(reply.RetryAfterMS)*time.Millisecond, tooMany), nil
		}
		preview = reply.Preview
		return nil, nil
	})
	return preview, rejection
}

// Waiting returns the number of the queue's jobs of which no task has started. The count may be up
// to maxWaitingCountAge old.
func (s *Service) Waiting(ctx context.Context, c Call, deadline time.Duration) (int, *Rejection) {
	queue := c.Route.Queue.Name
	s.mu.Lock()
	cached, ok := s.waiting[queue]
	s.mu.Unlock()
	if ok && time.Since(cached.at) < maxWaitingCountAge {
		return cached.count, nil
	}
	var n int
	rejection := s.askOwner(ctx, deadline, noOwnerRemedy, func(ctx context.Context, client *ownerTerm) (*Rejection, error) {
		var err error
		if n, err = client.WaitingJobs(ctx, queue); err != nil {
			// The same owner is asked again, whatever the failure.
			return nil, errNotCounted
		}
		s.mu.Lock()
		s.waiting[queue] = waitingCount{n, time.Now()}
		s.mu.Unlock()
		return nil, nil
	})
	if rejection != nil {
		return 0, rejection
	}
	return n, nil
}

var errNotCounted = errors.New("the owner has not counted the waiting jobs")
